//! Requests with an idempotency key through running processes: each key runs at most once.

mod common;

use common::{open_service, plan};
use hornbeamlead_standin::client::TestRequest;
use hornbeamlead_standin::fleet::Fleet;
use hornbeamlead_standin::worker::WorkerStandin;
use hornbeamlead_standin::worker::control::WorkerSettings;
use std::collections::BTreeMap;
use std::thread::sleep;
use std::time::Duration;

/// Time until an unresponsive host is removed from its cell's membership view: lease, margin and
/// one heartbeat.
const VIEW_CHANGE_TIME: Duration = Duration::from_secs(9);

/// Timeout of one keyed request.
const CALLER_TIMEOUT: Duration = Duration::from_secs(20);

fn fleet() -> Fleet {
    let plan = plan().entries(2).data_centre("negombo", 4);
    let fleet = plan.start();
    open_service(&fleet);
    fleet
}

/// Sends a keyed order and returns its status and, if there is one, the reason.
fn order(fleet: &Fleet, entry: usize, key: &str) -> (u16, String) {
    let request = TestRequest::post(fleet.log.addr(), "/ledger/orders", key.to_owned())
        .header("idempotency-key", key)
        .timeout(CALLER_TIMEOUT);
    match fleet.call(entry, request) {
        Ok(answer) => {
            let reason = answer.json()["reason"].as_str().unwrap_or("").to_owned();
            (answer.status.as_u16(), reason)
        }
        Err(error) => (0, error.to_string()),
    }
}

/// Sends a keyed order and retries it after `not_run` until it is answered.
///
/// Any other outcome fails the test: while all hosts are healthy, `not_run` is the only permitted
/// refusal.
fn order_until_answered(fleet: &Fleet, entry: usize, key: &str) {
    fleet.wait_until("a keyed request is answered", |fleet| {
        let (status, reason) = order(fleet, entry, key);
        let is_not_run = status == 503 && reason == "no_arbiter";
        assert!(status == 200 || is_not_run, "{key}: {status} {reason}");
        status == 200
    });
}

/// Sends keyed orders until one is answered, which shows that the cell has a membership view.
fn await_arbiters(fleet: &Fleet) {
    fleet.wait_until("a keyed request is answered", |fleet| {
        order(fleet, 0, "first-key").0 == 200
    });
}

fn runs_by_key(fleet: &Fleet) -> BTreeMap<Box<str>, usize> {
    let mut counts = BTreeMap::new();
    let runs = fleet.runs();
    for key in runs
        .iter()
        .flat_map(|it| &it.runs)
        .filter_map(|it| it.key.clone())
    {
        *counts.entry(key).or_default() += 1;
    }
    counts
}

fn assert_single_runs(fleet: &Fleet) {
    let runs = runs_by_key(fleet);
    let repeated: Vec<_> = runs.iter().filter(|(_, count)| **count > 1).collect();
    assert!(repeated.is_empty(), "{repeated:?}");
}

#[test]
fn other_entry_repeats_answer() {
    let fleet = fleet();
    await_arbiters(&fleet);
    for number in 0..20 {
        let key = format!("key-{number}");
        order_until_answered(&fleet, 0, &key);
        order_until_answered(&fleet, 1, &key);
    }
    assert_single_runs(&fleet);
    assert_eq!(runs_by_key(&fleet).len(), 21);
}

/// Workers of another fleet announce themselves to agents whose ports were those of its own agents.
#[test]
fn foreign_workers_announced() {
    let fleet = fleet();
    let strays = fleet.agents.iter().map(|agent| {
        let settings = WorkerSettings {
            agent: Some(agent.process.address("local")),
            ..WorkerSettings::default()
        };
        WorkerStandin::start(settings).expect("the worker starts")
    });
    let strays: Vec<WorkerStandin> = strays.collect();
    await_arbiters(&fleet);
    assert_single_runs(&fleet);
    for stray in strays {
        assert!(stray.stop().1.runs.is_empty());
    }
}

#[test]
fn agent_killed() {
    let mut fleet = fleet();
    await_arbiters(&fleet);
    let keys: Vec<String> = (0..20).map(|number| format!("key-{number}")).collect();
    for key in &keys {
        order_until_answered(&fleet, 0, key);
    }
    fleet.agents[1].process.kill();
    sleep(VIEW_CHANGE_TIME);
    for key in &keys {
        order(&fleet, 1, key);
    }
    assert_single_runs(&fleet);
    assert_eq!(runs_by_key(&fleet).len(), keys.len() + 1);
}

#[test]
fn agent_unfrozen() {
    let fleet = fleet();
    await_arbiters(&fleet);
    let keys: Vec<String> = (0..20).map(|number| format!("key-{number}")).collect();
    fleet.agents[1].process.freeze();
    std::thread::scope(|scope| {
        for key in &keys {
            scope.spawn(|| order(&fleet, 0, key));
        }
    });
    sleep(VIEW_CHANGE_TIME);
    std::thread::scope(|scope| {
        for key in &keys {
            scope.spawn(|| order(&fleet, 1, key));
        }
    });
    fleet.agents[1].process.unfreeze();
    sleep(VIEW_CHANGE_TIME);
    for key in &keys {
        order(&fleet, 0, key);
    }
    assert_single_runs(&fleet);
}
