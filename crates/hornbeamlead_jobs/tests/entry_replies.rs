//! Replies of an entry: a refusal is immediate, and means that the request has no effect.

mod entry;
mod world;

use entry::{JOB, TestEntry, refused, unanswered};
use hornbeamlead_jobs::effect::CallerReply;
use hornbeamlead_jobs::entry::{CallerOperation, EntryMachine};
use hornbeamlead_jobs::job::JobBody;
use hornbeamlead_jobs::store::{StoreCaller, StoreOutcome};
use rstest::rstest;
use world::WorldFormat;

#[test]
fn accepted_when_stored() {
    let mut entry = TestEntry::ready();
    let ticket = entry.submit();
    assert_eq!(entry.reply(ticket), None);
    entry.stored(
        StoreCaller::Ticket(ticket),
        StoreOutcome::Appended { offset: 5 },
    );
    assert_eq!(entry.reply(ticket), Some(&CallerReply::Accepted));
    let again = entry.submit();
    assert_eq!(entry.reply(again), Some(&CallerReply::Accepted));
    assert_eq!(entry.appends(), 1, "a repeated request is one job");
}

#[test]
fn refused_at_once() {
    let mut entry = TestEntry::ready();
    let first = entry.submit();
    entry.stored(StoreCaller::Ticket(first), refused());
    assert!(matches!(
        entry.reply(first),
        Some(CallerReply::Refused { .. })
    ));
    // The store is known to be unavailable, so the next request is refused without an append.
    let second = entry.submit();
    assert!(matches!(
        entry.reply(second),
        Some(CallerReply::Refused { .. })
    ));
    assert_eq!(entry.appends(), 1);
}

/// An append without an answer may have taken effect, even if the store refuses its repetition.
#[test]
fn unknown_never_refused() {
    let mut entry = TestEntry::ready();
    let ticket = entry.submit();
    entry.stored(StoreCaller::Ticket(ticket), unanswered());
    for _ in 0..40 {
        entry.now_ms += 100;
        entry.tick();
        entry.stored(StoreCaller::Ticket(ticket), refused());
    }
    assert_eq!(entry.reply(ticket), Some(&CallerReply::Unknown));
}

#[test]
fn unanswered_repeated() {
    let mut entry = TestEntry::ready();
    let ticket = entry.submit();
    entry.stored(StoreCaller::Ticket(ticket), unanswered());
    entry.now_ms += 200;
    entry.tick();
    assert_eq!(entry.appends(), 2);
    entry.stored(
        StoreCaller::Ticket(ticket),
        StoreOutcome::Appended { offset: 6 },
    );
    assert_eq!(entry.reply(ticket), Some(&CallerReply::Accepted));
}

/// A job is reported as absent only after a recent heartbeat of the planner, which has read all jobs.
#[rstest]
#[case(500, true)]
#[case(5000, false)]
fn absent_needs_heartbeat(#[case] age_ms: u64, #[case] expected: bool) {
    let mut entry = TestEntry::ready();
    entry.now_ms += age_ms;
    let ticket = entry.send_request(JOB, CallerOperation::Read);
    let (end, records) = (0, Vec::new());
    entry.stored(StoreCaller::JobsEnd, StoreOutcome::Records { end, records });
    let absent = entry.reply(ticket) == Some(&CallerReply::NoJob);
    assert_eq!(absent, expected);
}

/// The planner appends heartbeats while its newest read of the jobs is up to 2 s old. A queue whose
/// heartbeat is older still could hide jobs that were accepted 5 s before.
#[rstest]
#[case(1900, true)]
#[case(2500, false)]
#[case(3900, false)]
fn queue_needs_heartbeat(#[case] age_ms: u64, #[case] expected: bool) {
    let mut entry = TestEntry::ready();
    entry.now_ms += age_ms;
    let ticket = entry.send_request("/q/", CallerOperation::Read);
    let is_length = matches!(entry.reply(ticket), Some(CallerReply::Waiting(_)));
    assert_eq!(is_length, expected);
}

#[rstest]
#[case("/q/00000000000000AA")]
#[case("/q/short")]
#[case("/other/00000000000000aa")]
fn bad_paths(#[case] path: &str) {
    let mut entry = TestEntry::ready();
    let ticket = entry.send_request(path, CallerOperation::Read);
    assert_eq!(entry.reply(ticket), Some(&CallerReply::NoQueue));
}

#[test]
fn bad_bodies() {
    let mut entry = TestEntry::ready();
    let ticket = entry.send_request(JOB, CallerOperation::Submit(Ok(JobBody::default())));
    assert!(matches!(entry.reply(ticket), Some(CallerReply::Invalid(_))));
    assert_eq!(entry.appends(), 0);
}

#[test]
fn unready_without_configuration() {
    let machine = EntryMachine::new(WorldFormat);
    assert!(!machine.is_ready());
}
