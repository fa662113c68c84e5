//! Which jobs are rejected under load, on named patterns: a burst of large jobs, a burst of small
//! ones over large ones, a flash crowd after an outage, an old report and none.

use hornbeamlead_jobs::entry::admission::{JobFacts, LoadFacts, QueueHistory, decide};
use hornbeamlead_jobs::job::{JobBody, JobSchedule, QueueTerms, StepSpec};
use hornbeamlead_jobs::load::{CoreMillis, JobWork, LoadReport, LoadRow};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use std::time::Duration;

/// Cores of the service.
const CORES: u64 = 100;

/// Work of a small and of a large job, in thousandths of a core-second.
const SMALL: u64 = 10_000;
const LARGE: u64 = 400_000;

/// Number of jobs that ask to be admitted.
const TURNS: usize = 6000;

const FRESH: Duration = Duration::from_millis(300);

/// Jobs of a critical path of 2 s are due after 6.5 s and worth nothing after 19.5 s.
fn terms(priority: u8) -> QueueTerms {
    QueueTerms {
        queue: "h/q/".into(),
        service: "s".into(),
        priority,
        max_attempts: 3,
        target_factor: 3.0,
        target_latency_ms: 500,
    }
}

fn job(work: u64) -> JobFacts {
    let reserved = CoreMillis(work);
    JobFacts {
        work: JobWork {
            reserved,
            ..JobWork::default()
        },
        path: Duration::from_secs(2),
        has_objective: true,
    }
}

fn report(priority: u8, jobs: u32, work: u64) -> LoadReport {
    LoadReport::new(vec![LoadRow {
        service: "s".into(),
        priority,
        best_effort: false,
        jobs,
        work: CoreMillis(work),
        late_work: CoreMillis(0),
        room: CORES as u32 * 1000,
        rate: 0,
        speed: CORES as u32 * 1000,
        wait_ms: 0,
    }])
}

/// Report of work that takes the given time on all cores.
fn waiting(span_s: u64, job_work: u64) -> LoadReport {
    let work = span_s * CORES * 1000;
    report(0, (work / job_work) as u32, work)
}

fn facts(report: &LoadReport, age: Duration, accepted: u64) -> LoadFacts<'_> {
    LoadFacts {
        report,
        age,
        accepted: job(accepted).work,
        history: None,
    }
}

/// Returns the admitted share of jobs of each kind that come by turns to one queue.
fn admitted_shares<const N: usize>(
    report: &LoadReport,
    terms: &QueueTerms,
    jobs: [JobFacts; N],
) -> [f64; N] {
    let mut random = SmallRng::seed_from_u64(7);
    let mut admitted = [0; N];
    let mut history = QueueHistory::new(jobs[0].work);
    for turn in 0..TURNS {
        let load = Some(LoadFacts {
            history: Some(history),
            ..facts(report, FRESH, 0)
        });
        let decision = decide(load, terms, jobs[turn % N], random.random());
        history.add(jobs[turn % N].work, decision.share);
        admitted[turn % N] += u32::from(decision.rejection.is_none());
    }
    admitted.map(|count| f64::from(count) * N as f64 / TURNS as f64)
}

fn admitted_share(report: &LoadReport, terms: &QueueTerms, job: JobFacts) -> f64 {
    admitted_shares(report, terms, [job])[0]
}

/// Nothing is rejected before the wait makes jobs worthless, everything far beyond; in between some.
#[rstest]
#[case(10, 1.0, 1.0)]
#[case(17, 1.0, 1.0)]
#[case(22, 0.4, 0.9)]
#[case(40, 0.0, 0.05)]
#[case(150, 0.0, 0.05)]
fn large_burst(#[case] wait_s: u64, #[case] least: f64, #[case] most: f64) {
    let share = admitted_share(&waiting(wait_s, LARGE), &terms(0), job(LARGE));
    assert!((least..=most).contains(&share), "{share}");
}

/// Small jobs gain worth for little room, so they are admitted while large ones are not all. The
/// largest tenth of the queue and the fifth below are admitted at least half as often as the queue.
#[rstest]
fn small_over_large(#[values(10, 25, 40, 80, 95)] wait_s: u64) {
    let report = waiting(wait_s, LARGE);
    let medium = SMALL * 6;
    let jobs = [
        SMALL, SMALL, medium, SMALL, SMALL, LARGE, SMALL, medium, SMALL, SMALL,
    ];
    let shares = admitted_shares(&report, &terms(0), jobs.map(job));
    let queue = shares.iter().sum::<f64>() / 10.0;
    let (small, large) = (shares[0], shares[5]);
    assert!(small >= large && large >= queue / 2.0, "{shares:?}");
    assert!(shares[2] + shares[7] >= queue, "{shares:?}");
}

/// After an outage all callers return at once: three entries that share one report fill the fleet
/// and admit no more than what ends within one and a half times the limit. Each takes the others to
/// accept as much as it does itself.
#[test]
fn flash_crowd() {
    let report = waiting(12, SMALL);
    let mut random = SmallRng::seed_from_u64(11);
    let mut entries = [(0, QueueHistory::new(job(SMALL).work)); 3];
    for caller in 0..6000 {
        let (accepted, history) = &mut entries[caller % 3];
        let load = Some(LoadFacts {
            history: Some(*history),
            ..facts(&report, FRESH, *accepted * 3)
        });
        let decision = decide(load, &terms(0), job(SMALL), random.random());
        history.add(job(SMALL).work, decision.share);
        *accepted += SMALL * u64::from(decision.rejection.is_none());
    }
    let accepted: u64 = entries.iter().map(|entry| entry.0).sum();
    let waiting_s = 12 + accepted / (CORES * 1000);
    assert!((17..=29).contains(&waiting_s), "{waiting_s} s");
}

/// News that is too old, or none, rejects nothing.
#[test]
fn old_report() {
    let report = waiting(500, LARGE);
    let rejection = |load| decide(load, &terms(0), job(LARGE), 0.99).rejection;
    let old = Duration::from_millis(1600);
    assert!(rejection(Some(facts(&report, FRESH, 0))).is_some());
    assert_eq!(rejection(Some(facts(&report, old, 0))), None);
    assert_eq!(rejection(None), None);
    let other = LoadReport::default();
    assert_eq!(rejection(Some(facts(&other, FRESH, 0))), None);
}

/// Work of a lower priority is not before an urgent job.
#[test]
fn lowest_priority_first() {
    let report = report(2, 100, 200 * CORES * 1000);
    assert_eq!(admitted_share(&report, &terms(1), job(SMALL)), 1.0);
    assert!(admitted_share(&report, &terms(2), job(LARGE * 5)) < 0.05);
}

/// Long-running and scheduled jobs, and queues without an objective, are not rejected.
#[test]
fn no_objective() {
    let report = waiting(500, LARGE);
    let step = |long_running| StepSpec {
        tasks: 4,
        cpu: 1000,
        estimate_ms: 2000,
        long_running,
        ..StepSpec::default()
    };
    let body = |long_running, times| JobBody {
        steps: vec![step(long_running)],
        schedule: JobSchedule {
            times,
            ..JobSchedule::default()
        },
        ..JobBody::default()
    };
    let rejection = |body: &JobBody, terms: &QueueTerms| {
        let load = Some(facts(&report, FRESH, 0));
        decide(load, terms, JobFacts::from(body), 0.99).rejection
    };
    assert!(rejection(&body(false, 0), &terms(0)).is_some());
    assert_eq!(rejection(&body(true, 0), &terms(0)), None);
    assert_eq!(rejection(&body(false, 3), &terms(0)), None);
    let plain = QueueTerms {
        target_factor: 0.0,
        target_latency_ms: 0,
        ..terms(0)
    };
    assert_eq!(rejection(&body(false, 0), &plain), None);
}
