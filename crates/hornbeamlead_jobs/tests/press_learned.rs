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

/// Trains a model on one best-effort image at a time beside one serving image.
fn train_pairs(pairs: &[(u64, u64, f64)]) -> InterferenceModel {
    let mut model = InterferenceModel::default();
    let run = RunName {
        run: RunNumber(1),
        ..RunName::default()
    };
    let sample = |serving: u64, best_effort: u64, share: f64, coefficient: f64| {
        let log_latency = -0.8 + coefficient * share;
        InterferenceSample {
            serving: BTreeMap::from([(run, (ImageId(serving), log_latency))]),
            usage: BTreeMap::from([(ImageId(best_effort), share)]),
        }
    };
    for &(serving, best_effort, coefficient) in pairs {
        let (idle, busy) = (
            sample(serving, best_effort, 0.0, coefficient),
            sample(serving, best_effort, 0.15, coefficient),
        );
        for _ in 0..3 {
            model.learn(&idle, &busy);
            model.learn(&busy, &idle);
        }
    }
    model.refresh();
    model
}

/// Two serving images that one best-effort image slows down depend on the same resource: what is
/// known of a second best-effort image beside one of them is assumed beside the other.
#[test]
fn similar_images_inferred() {
    let (first, second, other) = (1, 2, 3);
    let (reports, backups) = (11, 12);
    let model = train_pairs(&[
        (first, reports, 4.0),
        (second, reports, 4.0),
        (other, reports, 0.0),
        (first, backups, 5.0),
        (other, backups, 0.0),
    ]);
    assert!(model.is_similar(ImageId(first), ImageId(second)));
    assert!(!model.is_similar(ImageId(first), ImageId(other)));
    let inferred = model.coefficient(ImageId(second), ImageId(backups));
    assert!(inferred > 3.0, "{inferred}");
}

/// With several best-effort images at once, the rise is attributed to the one that causes it.
#[test]
fn cause_separated() {
    let mut model = InterferenceModel::default();
    let run = RunName {
        run: RunNumber(1),
        ..RunName::default()
    };
    let mut random = SmallRng::seed_from_u64(9);
    let mut before = InterferenceSample::default();
    for _ in 0..60 {
        let shares: Vec<f64> = (0..4).map(|_| random.random_range(0.0..0.15)).collect();
        let after = InterferenceSample {
            serving: BTreeMap::from([(run, (SERVING, -0.8 + 6.0 * shares[2]))]),
            usage: (10..).map(ImageId).zip(shares).collect(),
        };
        model.learn(&before, &after);
        before = after;
    }
    let learned: Vec<f64> = (10..14)
        .map(|image| model.coefficient(SERVING, ImageId(image)))
        .collect();
    assert!((learned[2] - 6.0).abs() < 1.0, "{learned:?}");
    let harmless = [learned[0], learned[1], learned[3]];
    assert!(harmless.iter().all(|&value| value < 1.0), "{learned:?}");
}
