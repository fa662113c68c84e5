//! Pattern: fillers of many images come and go beside serving tasks whose own load swings.

use hornbeamlead_jobs::ids::{RunName, RunNumber};
use hornbeamlead_jobs::ledger::LearnedInterference;
use hornbeamlead_jobs::planner::ImageId;
use hornbeamlead_jobs::planner::impact::{ImpactModel, ImpactReading, ServingLevel};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use std::collections::BTreeMap;

const SERVING: ImageId = ImageId(1);
const HEAVY: ImageId = ImageId(2);
const LIGHT: ImageId = ImageId(3);

/// Rise of the logarithm for a whole worker of fillers, as the emulated worker has it.
const TRUE_HEAVY: f64 = 4.0;
const TRUE_LIGHT: f64 = 0.3;

/// Draws readings half a second apart: the level swings with a period of 10 s, fillers come and go,
/// and each reading is rough by up to 5 %.
fn learn(seed: u64, readings: u32) -> ImpactModel {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut model = ImpactModel::default();
    let mut before = ImpactReading::default();
    let run = RunName {
        run: RunNumber(1),
        ..RunName::default()
    };
    for index in 0..readings {
        let level = -0.5 + 0.3 * (f64::from(index) * 0.5 * std::f64::consts::TAU / 10.0).sin();
        let heavy = f64::from(random.random_range(0..3_u32)) * 0.1;
        let light = f64::from(random.random_range(0..3_u32)) * 0.1;
        let noise = random.random_range(-0.05..0.05);
        let latency = level + TRUE_HEAVY * heavy + TRUE_LIGHT * light + noise;
        let after = ImpactReading {
            serving: BTreeMap::from([(run, (SERVING, latency))]),
            fillers: BTreeMap::from([(HEAVY, heavy), (LIGHT, light)]),
        };
        if index > 0 {
            model.learn(&before, &after);
        }
        before = after;
    }
    model
}

/// Twenty seconds of one worker tell a pressing image from a harmless one.
#[rstest]
fn heavy_told_from_light(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let model = learn(seed, 40);
    let (heavy, light) = (
        model.coefficient(SERVING, HEAVY),
        model.coefficient(SERVING, LIGHT),
    );
    assert!(heavy > 2.0, "heavy {heavy}");
    assert!(light < heavy / 2.0, "light {light}, heavy {heavy}");
}

/// What one planner has learned is there for the next.
#[test]
fn learned_outlives_planner() {
    let model = learn(7, 40);
    let recalled = ImpactModel::recall(&model.learned());
    let difference = recalled.coefficient(SERVING, HEAVY) - model.coefficient(SERVING, HEAVY);
    assert!(difference.abs() < 0.001);
}

/// A worker that serves several images is judged by the one on which a filler presses most: its
/// latency decides how far the fillers are slowed.
#[test]
fn most_sensitive_image_decides() {
    let coefficient = |serving: ImageId, coefficient| LearnedInterference {
        serving: serving.0,
        best_effort: HEAVY.0,
        coefficient,
    };
    let (sensitive, calm) = (ImageId(4), ImageId(5));
    let model = ImpactModel::recall(&[coefficient(sensitive, 6.0), coefficient(calm, 0.0)]);
    let level = |tasks| ServingLevel {
        tasks,
        latency: -1.0,
    };
    let mixed = BTreeMap::from([(sensitive, level(1)), (calm, level(5))]);
    assert_eq!(model.worst_press(&mixed, HEAVY), 6.0);
    let alone = BTreeMap::from([(calm, level(6))]);
    assert_eq!(model.worst_press(&alone, HEAVY), 0.0);
}
