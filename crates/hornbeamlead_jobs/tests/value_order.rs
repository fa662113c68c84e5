//! Order of service under overload: which jobs end on time when not all of them can.

mod world;

use hornbeamlead_core::policy::ServiceOrder;
use hornbeamlead_jobs::ids::JobId;
use hornbeamlead_jobs::job::{JobBody, JobPhase, StepSpec};
use hornbeamlead_jobs::planner::service_order::{JobDemand, select_on_time};
use rstest::rstest;
use world::{World, WorldFaults};

/// Completion objective of the jobs of a burst: twice their critical path, and 0.5 s.
const OBJECTIVE_MS: u64 = 6500;

/// Pause after each submission of a burst.
const SUBMIT_PAUSE_MS: u64 = 20;

fn demand(cores_for_a_second: f64, due_in_ms: i64) -> JobDemand {
    let work = cores_for_a_second * 1000.0;
    JobDemand {
        work,
        due_in_ms,
        total_work: work,
        priority: 0,
        started: false,
    }
}

/// With room for all, no job is left out.
#[test]
fn room_suffices() {
    let jobs = [demand(4.0, 1000), demand(4.0, 2000), demand(8.0, 4000)];
    assert_eq!(select_on_time(&jobs, 4.0), [true; 3]);
}

/// Burst of equal jobs with one deadline: as many are selected as fit, not all or none.
#[test]
fn equal_burst() {
    let jobs = [demand(4.0, 2000); 10];
    let selected = select_on_time(&jobs, 10.0);
    assert_eq!(selected.iter().filter(|selected| **selected).count(), 5);
}

/// One huge job is not kept at the price of many small ones.
#[test]
fn huge_left_out() {
    let mut jobs = vec![demand(1.0, 2000); 20];
    jobs.push(demand(20.0, 2000));
    let selected = select_on_time(&jobs, 10.0);
    assert!(!selected[20]);
    assert_eq!(selected.iter().filter(|selected| **selected).count(), 20);
}

/// A large job that needs little more is kept rather than a new one of its size, and a job of a
/// higher priority rather than one of a lower.
#[rstest]
#[case::started(JobDemand { started: true, ..demand(10.0, 2000) }, demand(10.0, 2000))]
#[case::nearly_done(JobDemand { total_work: 40_000.0, ..demand(10.0, 2000) }, demand(10.0, 2000))]
#[case::priority(demand(10.0, 2000), JobDemand { priority: 1, ..demand(10.0, 2000) })]
fn worth_more(#[case] kept: JobDemand, #[case] left_out: JobDemand) {
    assert_eq!(select_on_time(&[left_out, kept], 5.0), [false, true]);
}

/// Submits more work at once than the workers can do within the objective, which is twice the
/// estimated run time and 0.5 s, and returns how many jobs end on time.
fn on_time_after_burst(order: ServiceOrder, planner_killed: bool) -> usize {
    let mut world = World::new(6, 2, WorldFaults::default(), 0);
    world.order = order;
    world.run(3000);
    let step = |after: &[u16]| StepSpec {
        tasks: 1,
        cpu: 8000,
        memory: 100,
        estimate_ms: 1500,
        after: after.to_vec(),
        ..StepSpec::default()
    };
    let jobs: Vec<JobId> = (1..=12).map(JobId).collect();
    for &job in &jobs {
        let steps = vec![step(&[]), step(&[0])];
        let spec = "work".into();
        world.submit(
            job,
            JobBody {
                spec,
                steps,
                ..JobBody::default()
            },
        );
        world.run(SUBMIT_PAUSE_MS);
    }
    if planner_killed && let Some(planner) = world.planner_host() {
        world.kill(planner);
    }
    // The objective of the job that was submitted first ends now.
    world.run(OBJECTIVE_MS - jobs.len() as u64 * SUBMIT_PAUSE_MS);
    let mut on_time = 0;
    for &job in &jobs {
        on_time += usize::from(world.phase(job) == Some(JobPhase::Completed));
        world.run(SUBMIT_PAUSE_MS);
    }
    world.run(40_000);
    let completed = |job: &&JobId| world.phase(**job) == Some(JobPhase::Completed);
    assert_eq!(jobs.iter().filter(completed).count(), jobs.len());
    assert_eq!(world.judge.violations, Vec::<String>::new());
    on_time
}

/// Of a burst of equal jobs, no fewer end on time than by deadline, also if the planner that
/// deferred some is replaced.
#[rstest]
fn burst_deferred(#[values(false, true)] planner_killed: bool) {
    let by_deadline = on_time_after_burst(ServiceOrder::ByDeadline, planner_killed);
    let by_value = on_time_after_burst(ServiceOrder::ByValue, planner_killed);
    assert!(
        by_value >= by_deadline,
        "by value {by_value}, by deadline {by_deadline}"
    );
}

/// Small jobs end on time although a huge one was submitted before, which no order makes on time.
#[rstest]
#[case(ServiceOrder::ByValue, 2)]
#[case(ServiceOrder::ByDeadline, 0)]
fn small_over_huge(#[case] order: ServiceOrder, #[case] expected: usize) {
    let mut world = World::new(8, 2, WorldFaults::default(), 0);
    world.order = order;
    world.task_ms = Some(1500);
    world.run(3000);
    let job = |tasks| JobBody {
        spec: "work".into(),
        steps: vec![StepSpec {
            tasks,
            cpu: 8000,
            memory: 100,
            estimate_ms: 1500,
            ..StepSpec::default()
        }],
        ..JobBody::default()
    };
    world.submit(JobId(1), job(24));
    world.run(100);
    let small = [JobId(2), JobId(3)];
    for id in small {
        world.submit(id, job(1));
    }
    world.run(3500);
    let completed = |id: &&JobId| world.phase(**id) == Some(JobPhase::Completed);
    assert_eq!(small.iter().filter(completed).count(), expected);
}

/// Jobs that were deferred run once there is room again.
#[test]
fn deferred_run_later() {
    let mut world = World::new(7, 1, WorldFaults::default(), 0);
    world.order = ServiceOrder::ByValue;
    world.run(3000);
    let step = StepSpec {
        tasks: 4,
        cpu: 8000,
        memory: 100,
        estimate_ms: 500,
        ..StepSpec::default()
    };
    let jobs: Vec<JobId> = (1..=4).map(JobId).collect();
    for &job in &jobs {
        let (spec, steps) = ("work".into(), vec![step.clone()]);
        let body = JobBody {
            spec,
            steps,
            ..JobBody::default()
        };
        world.submit(job, body);
    }
    world.run(40_000);
    for job in jobs {
        assert_eq!(world.phase(job), Some(JobPhase::Completed));
    }
}
