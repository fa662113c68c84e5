//! Cancellations of jobs that the entry does not know: each is stored before it is acknowledged, and
//! the job does not run.

mod entry;
mod world;

use entry::{JOB, TestEntry, refused, unanswered};
use hornbeamlead_jobs::effect::CallerReply;
use hornbeamlead_jobs::entry::CallerOperation;
use hornbeamlead_jobs::ids::JobId;
use hornbeamlead_jobs::store::{StoreCaller, StoreOutcome};
use rstest::rstest;
use world::{World, WorldFaults};

const APPENDED: StoreOutcome = StoreOutcome::Appended { offset: 6 };

const CANCELLED: JobId = JobId(7);

fn is_refused(entry: &TestEntry, ticket: u64) -> bool {
    matches!(entry.reply(ticket), Some(CallerReply::Refused { .. }))
}

/// Guards against a cancellation that is acknowledged and stored nowhere, because another entry has
/// just accepted the job.
#[test]
fn cancel_stored() {
    let mut entry = TestEntry::ready();
    let ticket = entry.send_request(JOB, CallerOperation::Cancel);
    assert_eq!((entry.reply(ticket), entry.appends()), (None, 1));
    entry.stored(StoreCaller::Ticket(ticket), APPENDED);
    assert_eq!(entry.reply(ticket), Some(&CallerReply::Cancelled));
}

/// Guards against a cancellation that is acknowledged while the append of its job is in flight at the
/// same entry.
#[test]
fn cancel_beside_submit() {
    let mut entry = TestEntry::ready();
    let submitted = entry.submit();
    let cancelled = entry.send_request(JOB, CallerOperation::Cancel);
    assert_eq!((entry.reply(cancelled), entry.appends()), (None, 2));
    for ticket in [submitted, cancelled] {
        entry.stored(StoreCaller::Ticket(ticket), unanswered());
    }
    entry.now_ms += 3000;
    entry.tick();
    assert_eq!(entry.reply(cancelled), Some(&CallerReply::Unknown));
}

/// Guards against a cancellation of an unknown job that waits for a store that is away.
#[test]
fn cancel_while_away() {
    let mut entry = TestEntry::ready();
    entry.stored(StoreCaller::Plan, refused());
    let ticket = entry.send_request(JOB, CallerOperation::Cancel);
    assert!(is_refused(&entry, ticket));
    assert_eq!(entry.appends(), 0);
}

/// Guards against a job that runs after its cancellation was acknowledged by an entry that did not
/// know the job.
#[rstest]
fn cancelled_elsewhere(
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
    #[values(50, 150, 400, 900)] pause_ms: u64,
) {
    let mut world = World::new(seed, 4, WorldFaults::default(), 0);
    world.run(3000);
    world.accept_unseen(CANCELLED, World::long_running_job(4));
    world.run(pause_ms);
    world.cancel(CANCELLED);
    world.run(15_000);
    assert_eq!(world.judge.violations, Vec::<String>::new());
    if world.judge.is_cancelled(CANCELLED) {
        assert_eq!(world.running(CANCELLED), []);
    } else {
        assert!(pause_ms < 100, "the entry has read its configuration");
    }
}
