//! Large jobs: planners hold the bodies of all open jobs, so an entry accepts a bounded part of them.

mod entry;
mod world;

use entry::{TestEntry, body, unanswered};
use hornbeamlead_jobs::effect::CallerReply;
use hornbeamlead_jobs::entry::{CallerOperation, MAX_LARGE_BYTES};
use hornbeamlead_jobs::ids::JobId;
use hornbeamlead_jobs::job::{JobBody, JobPhase};
use hornbeamlead_jobs::record::{PlanRecord, encode};
use hornbeamlead_jobs::store::{StoreCaller, StoreOutcome};

/// Length of a text that makes a job large.
const TEXT_BYTES: usize = 250_000;

fn large_body() -> JobBody {
    let mut large = body();
    large.steps[0].image = "i".repeat(TEXT_BYTES).into();
    large
}

/// Submits a job and stores it if the entry appends it; returns the reply.
fn submit(entry: &mut TestEntry, job: u64, body: JobBody) -> CallerReply {
    let path = format!("/q/{job:016x}");
    let ticket = entry.send_request(&path, CallerOperation::Submit(Ok(body)));
    if entry.reply(ticket).is_none() {
        entry.stored(
            StoreCaller::Ticket(ticket),
            StoreOutcome::Appended { offset: job },
        );
    }
    entry.reply(ticket).expect("a reply").clone()
}

fn fill(entry: &mut TestEntry) -> u64 {
    let count = (MAX_LARGE_BYTES / large_body().held_bytes()) as u64;
    for job in 1..=count {
        assert_eq!(submit(entry, job, large_body()), CallerReply::Accepted);
    }
    count
}

fn is_refused(reply: &CallerReply) -> bool {
    matches!(reply, CallerReply::Refused { reason, .. } if *reason == "large_jobs_full")
}

/// Guards against planners that run out of memory; usual jobs and repeated ones go on.
#[test]
fn large_jobs_bounded() {
    let mut entry = TestEntry::ready();
    let count = fill(&mut entry);
    assert!(is_refused(&submit(&mut entry, count + 1, large_body())));
    assert_eq!(submit(&mut entry, 1, large_body()), CallerReply::Accepted);
    assert_eq!(submit(&mut entry, count + 2, body()), CallerReply::Accepted);
}

/// A job that has ended, or that was not stored, leaves its room.
#[test]
fn room_returned() {
    let mut entry = TestEntry::ready();
    let count = fill(&mut entry);
    let job = JobId(1);
    let accepted = PlanRecord::Accepted {
        job,
        queue: "h/q/".into(),
    };
    entry.plan_record(1, encode(&accepted));
    let phase = JobPhase::Completed;
    entry.plan_record(2, encode(&PlanRecord::Closed { job, phase }));
    let path = format!("/q/{:016x}", count + 1);
    let ticket = entry.send_request(&path, CallerOperation::Submit(Ok(large_body())));
    entry.stored(StoreCaller::Ticket(ticket), entry::refused());
    assert!(entry.reply(ticket).is_some());
    entry.now_ms += 4000;
    for offset in 3..5 {
        entry.now_ms += 200;
        entry.tick();
        entry.planner_heartbeat(offset);
    }
    assert_eq!(
        submit(&mut entry, count + 2, large_body()),
        CallerReply::Accepted
    );
    let reply = submit(&mut entry, count + 3, large_body());
    assert!(is_refused(&reply), "{reply:?}");
}

/// "Never runs" is not said while another entry may have stored the job.
#[test]
fn refusals_true() {
    let mut entry = TestEntry::ready();
    let count = fill(&mut entry);
    let ticket = entry.submit();
    entry.stored(StoreCaller::Ticket(ticket), unanswered());
    entry.now_ms += 1000;
    entry.planner_heartbeat(1);
    assert_eq!(
        submit(&mut entry, count + 1, large_body()),
        CallerReply::Unknown
    );
}
