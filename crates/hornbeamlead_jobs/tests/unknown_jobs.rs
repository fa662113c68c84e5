//! Jobs that an entry does not know: it denies none that may be stored.

mod entry;
mod world;

use entry::{JOB, TestEntry, unanswered};
use hornbeamlead_jobs::effect::CallerReply;
use hornbeamlead_jobs::entry::{CallerOperation, EntryPolicy};
use hornbeamlead_jobs::ids::JobId;
use hornbeamlead_jobs::record::{PlanRecord, encode};
use hornbeamlead_jobs::store::{StoreCaller, StoreOutcome};
use rstest::rstest;
use world::{World, WorldFaults};

fn is_refused(entry: &TestEntry, ticket: u64) -> bool {
    matches!(entry.reply(ticket), Some(CallerReply::Refused { .. }))
}

/// Answers the read of the end of the jobs.
fn read_end(entry: &mut TestEntry, end: u64) {
    let records = Vec::new();
    entry.stored(StoreCaller::JobsEnd, StoreOutcome::Records { end, records });
}

/// Guards against an entry that has just started and takes heartbeats for fresh that were stored long
/// before it read them.
#[rstest]
#[case(JOB)]
#[case("/q/")]
fn old_heartbeats(#[case] path: &str) {
    let mut entry = TestEntry::started(EntryPolicy::default());
    entry.planner_heartbeat(0);
    let ticket = entry.send_request(path, CallerOperation::Read);
    assert!(is_refused(&entry, ticket));
}

/// Guards against a job that is reported as absent although it is stored, because the planner has not
/// read it.
#[test]
fn absent_once_read() {
    let mut entry = TestEntry::ready();
    let unread = entry.send_request(JOB, CallerOperation::Read);
    read_end(&mut entry, 5);
    assert_eq!(entry.reply(unread), None);
    entry.now_ms += 200;
    entry.planner_position(1, 4);
    assert_eq!(entry.reply(unread), None);
    entry.now_ms += 200;
    entry.planner_position(2, 5);
    assert_eq!(entry.reply(unread), Some(&CallerReply::NoJob));
}

/// Guards against the same where the planner finds the job.
#[test]
fn found_once_read() {
    let mut entry = TestEntry::ready();
    let unread = entry.send_request(JOB, CallerOperation::Read);
    read_end(&mut entry, 5);
    entry.now_ms += 200;
    let accepted = PlanRecord::Accepted {
        job: JobId(0xaa),
        queue: "h/q/".into(),
    };
    entry.plan_record(1, encode(&accepted));
    assert!(matches!(entry.reply(unread), Some(CallerReply::Phase(_))));
}

/// Guards against a read that is held until its caller gives up, while nothing shows whether the job
/// exists.
#[rstest]
#[case(true)]
#[case(false)]
fn unproven_refused(#[case] answered: bool) {
    let mut entry = TestEntry::ready();
    let ticket = entry.send_request(JOB, CallerOperation::Read);
    match answered {
        true => read_end(&mut entry, 5),
        false => entry.stored(StoreCaller::JobsEnd, unanswered()),
    }
    entry.now_ms += 800;
    entry.tick();
    assert!(is_refused(&entry, ticket));
}

/// Guards against an end of the jobs that was read before a request and counts for it.
#[test]
fn earlier_end() {
    let mut entry = TestEntry::ready();
    entry.send_request(JOB, CallerOperation::Read);
    entry.now_ms += 50;
    let later = entry.send_request(JOB, CallerOperation::Read);
    read_end(&mut entry, 0);
    assert_eq!(entry.reply(later), None);
    entry.now_ms += 50;
    entry.tick();
    read_end(&mut entry, 1);
    assert_eq!(entry.reply(later), None);
    entry.now_ms += 200;
    entry.planner_position(1, 1);
    assert_eq!(entry.reply(later), Some(&CallerReply::NoJob));
}

const STORED: JobId = JobId(7);

/// Guards against an accepted job that an entry denies while no planner has recorded it.
#[rstest]
fn denied_elsewhere(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut world = World::new(seed, 4, WorldFaults::default(), 0);
    world.run(3000);
    world.accept_unseen(STORED, World::long_running_job(4));
    for _ in 0..80 {
        let ticket = world.read(STORED);
        world.run(50);
        assert_ne!(world.reply(ticket), Some(&CallerReply::NoJob));
    }
}
