//! Placement of serving tasks: several services of different images arrive on an empty fleet, as on
//! its first morning.

mod world;

use hornbeamlead_jobs::ids::JobId;
use rstest::rstest;
use world::{World, WorldFaults};

/// Submits four services of eight tasks to eight workers, each of which holds four tasks, and
/// returns the number of images on each worker.
fn images_per_host(seed: u64, spread_limit: Option<u32>) -> Vec<usize> {
    let mut world = World::new(seed, 8, WorldFaults::default(), 0);
    world.run(3000);
    for (index, image) in ["orders", "search", "orders", "rosters"].iter().enumerate() {
        let mut service = World::long_running_job(8);
        service.steps[0].cpu = 2000;
        service.steps[0].target_ms = 100;
        service.steps[0].image = (*image).into();
        service.steps[0].spread_limit = spread_limit;
        world.submit(JobId(index as u64 + 1), service);
        world.run(200);
    }
    world.run(2000);
    assert_eq!(world.judge.violations, Vec::<String>::new());
    let images = world.serving_images();
    images.iter().map(std::collections::BTreeSet::len).collect()
}

/// Each worker serves a single image, so that best-effort tasks that spare this image can share it.
#[rstest]
fn one_image_per_host(#[values(1, 2, 3)] seed: u64) {
    assert_eq!(images_per_host(seed, None), [1; 8]);
}

/// A spread limit goes before the separation of images.
#[rstest]
fn spread_limit_kept(#[values(1, 2, 3)] seed: u64) {
    let images = images_per_host(seed, Some(1));
    assert!(images.iter().all(|&count| count >= 2), "{images:?}");
}
