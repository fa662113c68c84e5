//! End-to-end test of running processes: requests, notes, tasks, status and a drain.

mod common;

use common::{data_centre, get, job_note, open_service, plan};
use hornbeamlead_standin::client::TestRequest;
use hornbeamlead_standin::fleet::Fleet;
use hornbeamlead_standin::fleet::checker::{
    events_of, finished_tasks, overlapping_runs, repeated_attempts,
};
use hornbeamlead_standin::worker::history::TaskEventKind;
use serde_json::{Value, json};
use std::time::Duration;

/// Time after which no task may start in a drained data centre.
const DRAIN_BOUND: Duration = Duration::from_secs(5);

#[test]
fn request_answered() {
    let fleet = plan().data_centre("negombo", 2).start();
    open_service(&fleet);
    let request = TestRequest::post(fleet.log.addr(), "/ledger/casks?stave=3", "oak-17");
    let answer = fleet.call(0, request).unwrap();
    assert_eq!(answer.status, 200);
    let runs = fleet.runs();
    let run = runs
        .iter()
        .flat_map(|it| &it.runs)
        .find(|it| &*it.body == "oak-17");
    let run = run.expect("the endpoint ran the request");
    assert_eq!(&*run.method, "POST");
    assert!(run.path.ends_with("/casks?stave=3"), "{}", run.path);
    assert_eq!(get(&fleet, 0, "/cellar/x"), 404);
}

#[test]
fn job_finished() {
    let fleet = plan().data_centre("negombo", 2).start();
    open_service(&fleet);
    fleet.publish("season", &job_note("season", 6, 400));
    fleet.wait_until("all tasks finished", |fleet| {
        finished_tasks(&fleet.histories(), "season") == 6
    });
    let histories = fleet.histories();
    assert_eq!(overlapping_runs(&histories), []);
    assert_eq!(repeated_attempts(&histories), []);
    assert_eq!(events_of(&histories, TaskEventKind::OvercommitRefused), []);
    fleet.wait_until("the status shows the finished job", |fleet| {
        job_status(fleet, "season")["finished"] == 6
    });
}

#[test]
fn drain_stops_starts() {
    let fleet = plan().data_centre("negombo", 2).start();
    open_service(&fleet);
    let drained = json!({"data_centres": [data_centre("negombo", false)]});
    fleet.publish("drain", &json!({"based_on": null, "changed": drained}));
    std::thread::sleep(DRAIN_BOUND);
    fleet.publish("season", &job_note("season", 4, 200));
    std::thread::sleep(DRAIN_BOUND);
    assert_eq!(events_of(&fleet.histories(), TaskEventKind::Started), []);
    let returned = json!({"data_centres": [data_centre("negombo", true)]});
    fleet.publish("return", &json!({"based_on": null, "changed": returned}));
    fleet.wait_until("all tasks finished", |fleet| {
        finished_tasks(&fleet.histories(), "season") == 4
    });
}

/// Returns the status of a job from the planner of any cell.
fn job_status(fleet: &Fleet, job: &str) -> Value {
    let find_job = |status: Value| {
        let jobs = status["schedule"]["planning"]["jobs"].as_array().cloned();
        jobs.unwrap_or_default()
            .into_iter()
            .find(|it| it["job"] == job)
    };
    let mut agents = fleet.agents.iter().map(|agent| agent.status());
    agents.find_map(find_job).unwrap_or_default()
}
