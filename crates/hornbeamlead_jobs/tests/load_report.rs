//! Load report: what the planner states in its heartbeat, and who can read it.

mod world;

use hornbeamlead_jobs::ids::JobId;
use hornbeamlead_jobs::job::{JobBody, StepSpec};
use hornbeamlead_jobs::load::{CoreMillis, LoadReport, LoadRow, MAX_LOAD_ROWS};
use hornbeamlead_jobs::record::{
    HeartbeatReports, PlanRecord, decode, decode_heartbeat, encode, encode_heartbeat,
};
use world::{World, WorldFaults};

/// CPU of an emulated worker, in thousandths of a core.
const WORKER_CPU: u32 = 8000;

const HEARTBEAT: PlanRecord = PlanRecord::Tick { jobs_read: 7 };

fn job(estimate_ms: u32, change: impl Fn(&mut StepSpec)) -> JobBody {
    let mut step = StepSpec {
        tasks: 1,
        cpu: WORKER_CPU,
        memory: 100,
        estimate_ms,
        ..StepSpec::default()
    };
    change(&mut step);
    JobBody {
        spec: "work".into(),
        steps: vec![step],
        ..JobBody::default()
    }
}

fn of_load(report: LoadReport) -> HeartbeatReports {
    HeartbeatReports {
        load: Some(report),
        placed: None,
    }
}

fn row(index: u32) -> LoadRow {
    LoadRow {
        service: format!("team-{}", index / 3).into(),
        priority: (index % 3) as u8,
        best_effort: false,
        jobs: 1,
        work: CoreMillis(u64::from(index) * 1000),
        late_work: CoreMillis(0),
        room: 64_000,
        rate: 60_000,
        speed: 60_000,
        wait_ms: 5000,
    }
}

/// One of six jobs runs and counts half; the wait is that of the work on the whole worker.
#[test]
fn waiting_work() {
    let mut world = World::new(3, 1, WorldFaults::default(), 0);
    world.run(5000);
    for id in 1..=6 {
        world.submit(JobId(id), job(2000, |_| ()));
    }
    world.run(500);
    let report = world.newest_load().expect("a heartbeat states the load");
    let [row] = &*report.rows else {
        panic!("one kind of work waits: {report:?}");
    };
    assert_eq!((&*row.service, row.jobs, row.work.0), ("s", 6, 88_000));
    assert_eq!((row.room, row.speed, row.wait_ms), (8000, 8000, 11_000));
    assert_eq!(row.late_work, CoreMillis(0));
}

/// Jobs that no worker can run would make the queue look full for ever.
#[test]
fn impossible_work() {
    let mut world = World::new(3, 1, WorldFaults::default(), 0);
    world.run(5000);
    world.submit(JobId(1), job(2000, |step| step.cpu = WORKER_CPU + 1));
    world.submit(
        JobId(2),
        job(2000, |step| step.label = Some("nowhere".into())),
    );
    world.submit(JobId(3), job(2000, |step| step.long_running = true));
    world.run(500);
    assert_eq!(world.newest_load(), Some(LoadReport::default()));
}

/// Work of jobs that are too late to be worth anything is not before that of new ones.
#[test]
fn late_work() {
    let mut world = World::new(4, 1, WorldFaults::default(), 0);
    world.run(5000);
    for id in 1..=16 {
        world.submit(JobId(id), job(100, |_| ()));
    }
    world.run(3500);
    let report = world.newest_load().expect("a heartbeat states the load");
    let [row] = &*report.rows else {
        panic!("one kind of work waits: {report:?}");
    };
    let (waiting, running) = (row.late_work.0 / 800, row.work.0);
    assert!(waiting >= 4, "{report:?}");
    assert_eq!((running, row.wait_ms), (400, 50));
}

/// Tasks that work more slowly than estimated make the wait longer, once that is known.
#[test]
fn slow_work() {
    let mut world = World::new(5, 1, WorldFaults::default(), 0);
    world.run(5000);
    for id in 1..=60 {
        let change = |step: &mut StepSpec| (step.tasks, step.cpu) = (100, WORKER_CPU / 8);
        world.submit(JobId(id), job(10, change));
    }
    world.run(400);
    let first = world.newest_load().expect("a heartbeat states the load");
    world.run(6000);
    let later = world.newest_load().expect("a heartbeat states the load");
    assert_eq!(first.rows[0].speed, WORKER_CPU);
    assert!(later.rows[0].speed <= WORKER_CPU / 2, "{later:?}");
}

/// The version before reads the heartbeat alone; this version takes one without a report.
#[test]
fn other_versions() {
    let reports = of_load(LoadReport::new(vec![row(1)]));
    let none = HeartbeatReports::default();
    let bytes = encode_heartbeat(&HEARTBEAT, &reports);
    assert_eq!(decode::<PlanRecord>(&bytes), Ok(HEARTBEAT));
    assert_eq!(decode_heartbeat(&bytes), Ok((HEARTBEAT, reports)));
    let bare = decode_heartbeat(&encode(&HEARTBEAT));
    assert_eq!(bare, Ok((HEARTBEAT, none.clone())));
    let cut = &bytes[..bytes.len() - 3];
    assert_eq!(decode_heartbeat(cut), Ok((HEARTBEAT, none)));
}

/// 180 teams with three priorities each fit into a small report.
#[test]
fn many_teams() {
    let report = LoadReport::new((0..540).map(row).collect());
    assert_eq!(report.rows.len(), MAX_LOAD_ROWS);
    assert_eq!(report.rest_rows as usize, 540 - MAX_LOAD_ROWS);
    let total: u64 = (0..540).map(|index| index * 1000).sum();
    let kept: u64 = report.rows.iter().map(|row| row.work.0).sum();
    assert_eq!(kept + report.rest_work.0, total);
    assert!(
        report
            .rows
            .iter()
            .all(|row| row.work >= report.rows[23].work)
    );
    assert!(encode_heartbeat(&HEARTBEAT, &of_load(report)).len() < 1024);
}
