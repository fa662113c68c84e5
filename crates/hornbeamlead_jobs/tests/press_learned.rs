//! Fits the interference model to best-effort tasks that come and go beside serving tasks whose own
//! load varies.

use hornbeamlead_jobs::ids::{RunName, RunNumber};
use hornbeamlead_jobs::ledger::LearnedInterference;
use hornbeamlead_jobs::planner::ImageId;
use hornbeamlead_jobs::planner::interference::{
    InterferenceModel, InterferenceSample, ServingGroup,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use std::collections::BTreeMap;

const SERVING: ImageId = ImageId(1);
const HEAVY: ImageId = ImageId(2);
const LIGHT: ImageId = ImageId(3);

/// Coefficients of the emulated worker: rise of the log latency if tasks of the image used all of
/// its CPU.
const TRUE_HEAVY: f64 = 4.0;
const TRUE_LIGHT: f64 = 0.3;

/// Trains a model on random samples half a second apart. The base level varies with a period of
/// 10 s, best-effort usage changes at random, and each sample has up to 5 % noise.
fn train(seed: u64, samples: u32) -> InterferenceModel {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut model = InterferenceModel::default();
    let mut before = InterferenceSample::default();
    let run = RunName {
        run: RunNumber(1),
        ..RunName::default()
    };
    for index in 0..samples {
        let level = -0.5 + 0.3 * (f64::from(index) * 0.5 * std::f64::consts::TAU / 10.0).sin();
        let heavy = f64::from(random.random_range(0..3_u32)) * 0.1;
        let light = f64::from(random.random_range(0..3_u32)) * 0.1;
        let noise = random.random_range(-0.05..0.05);
        let log_latency = level + TRUE_HEAVY * heavy + TRUE_LIGHT * light + noise;
        let after = InterferenceSample {
            serving: BTreeMap::from([(run, (SERVING, log_latency))]),
            usage: BTreeMap::from([(HEAVY, heavy), (LIGHT, light)]),
        };
        if index > 0 {
            model.learn(&before, &after);
        }
        before = after;
    }
    model
}

/// Twenty seconds of samples from one worker separate an interfering image from a harmless one.
#[rstest]
fn heavy_exceeds_light(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let model = train(seed, 40);
    let (heavy, light) = (
        model.coefficient(SERVING, HEAVY),
        model.coefficient(SERVING, LIGHT),
    );
    assert!(heavy > 2.0, "heavy {heavy}");
    assert!(light < heavy / 2.0, "light {light}, heavy {heavy}");
}

/// Learned coefficients survive the round trip through their stored form, so that the next planner
/// starts with them.
#[test]
fn learned_round_trip() {
    let model = train(7, 40);
    let restored = InterferenceModel::from_learned(&model.learned());
    let difference = restored.coefficient(SERVING, HEAVY) - model.coefficient(SERVING, HEAVY);
    assert!(difference.abs() < 0.001);
}

/// On a worker that serves several images, the most sensitive one determines the coefficient, even
/// if another image has more tasks.
#[test]
fn most_sensitive_image() {
    let row = |serving: ImageId, value| LearnedInterference {
        serving: serving.0,
        best_effort: HEAVY.0,
        coefficient: value,
    };
    let (sensitive, insensitive) = (ImageId(4), ImageId(5));
    let model = InterferenceModel::from_learned(&[row(sensitive, 6.0), row(insensitive, 0.0)]);
    let group = |tasks| ServingGroup {
        tasks,
        log_latency: -1.0,
    };
    let mixed = BTreeMap::from([(sensitive, group(1)), (insensitive, group(5))]);
    assert_eq!(model.max_coefficient(&mixed, HEAVY), 6.0);
    let single = BTreeMap::from([(insensitive, group(6))]);
    assert_eq!(model.max_coefficient(&single, HEAVY), 0.0);
}
