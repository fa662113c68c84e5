//! A refused job never runs: one that may be stored is not refused.

mod entry;
mod world;

use entry::meeting::TestMeeting;
use entry::{TestEntry, refused, unanswered};
use hornbeamlead_jobs::effect::CallerReply;
use hornbeamlead_jobs::entry::{CallerOperation, EntryPolicy};
use hornbeamlead_jobs::ids::JobId;
use hornbeamlead_jobs::job::{JobBody, StepSpec};
use hornbeamlead_jobs::load::{CoreMillis, LoadReport, LoadRow};
use hornbeamlead_jobs::record::{HeartbeatReports, PlanRecord, encode, encode_heartbeat};
use hornbeamlead_jobs::store::{StoreCaller, StoreOutcome};

const APPENDED: StoreOutcome = StoreOutcome::Appended { offset: 6 };

fn is_refused(entry: &TestEntry, ticket: u64) -> bool {
    matches!(entry.reply(ticket), Some(CallerReply::Refused { .. }))
}

/// Submits a job whose append has no answer until the caller is told so.
fn submit_unknown(entry: &mut TestEntry) {
    let ticket = entry.submit();
    entry.stored(StoreCaller::Ticket(ticket), unanswered());
    entry.now_ms += 3000;
    entry.tick();
    assert_eq!(entry.reply(ticket), Some(&CallerReply::Unknown));
}

/// The caller comes again after a 504 while the store is known to be away.
#[test]
fn unknown_then_away() {
    let mut entry = TestEntry::ready();
    submit_unknown(&mut entry);
    entry.stored(StoreCaller::Plan, refused());
    let again = entry.submit();
    assert!(!is_refused(&entry, again));
    entry.stored(StoreCaller::Ticket(again), refused());
    assert!(!is_refused(&entry, again));
    entry.now_ms += 200;
    entry.tick();
    entry.stored(StoreCaller::Ticket(again), APPENDED);
    assert_eq!(entry.reply(again), Some(&CallerReply::Accepted));
}

/// The caller's connection breaks and it comes again while its first append is in flight; the store
/// refuses either of the two.
#[test]
fn broken_connection() {
    for refused_first in [false, true] {
        let mut entry = TestEntry::ready();
        let tickets = [entry.submit(), entry.submit()];
        let refused_ticket = tickets[usize::from(!refused_first)];
        entry.stored(StoreCaller::Ticket(refused_ticket), refused());
        assert!(!is_refused(&entry, refused_ticket));
        let other = tickets[usize::from(refused_first)];
        entry.stored(StoreCaller::Ticket(other), APPENDED);
        assert_eq!(entry.reply(other), Some(&CallerReply::Accepted));
    }
}

/// Once the plan would show a job that was stored late, the job can be refused. A heartbeat that
/// is read after an outage may have been stored before it; one counts if the read before it was sent
/// lately.
#[test]
fn certain_again() {
    let mut entry = TestEntry::ready();
    submit_unknown(&mut entry);
    entry.now_ms += 11_000;
    entry.planner_heartbeat(1);
    entry.stored(StoreCaller::Plan, refused());
    let again = entry.submit();
    assert!(!is_refused(&entry, again));
    entry.stored(StoreCaller::Ticket(again), APPENDED);
    let mut entry = TestEntry::ready();
    submit_unknown(&mut entry);
    entry.now_ms += 11_000;
    for offset in 1..=3 {
        entry.planner_heartbeat(offset);
        entry.now_ms += 200;
        entry.tick();
    }
    entry.stored(StoreCaller::Plan, refused());
    let again = entry.submit();
    assert!(is_refused(&entry, again));
}

/// Guards against a false refusal at an entry that was not told of the first append, as when the first
/// entry was killed before it told anybody.
#[test]
fn refused_untold() {
    let mut first = TestEntry::ready();
    submit_unknown(&mut first);
    let mut second = TestEntry::ready();
    second.stored(StoreCaller::Plan, refused());
    let again = second.submit();
    assert!(!is_refused(&second, again));
}

/// The caller comes again at another entry, which cannot know of the first append unless it is told.
#[test]
fn refused_elsewhere() {
    let mut meeting = TestMeeting::new(&[false]);
    let (first, second) = (meeting.start_entry(), meeting.start_entry());
    submit_unknown(meeting.entry(first));
    meeting.exchange();
    let second = meeting.entry(second);
    second.stored(StoreCaller::Plan, refused());
    let again = second.submit();
    assert!(!is_refused(second, again));
    second.stored(StoreCaller::Ticket(again), refused());
    assert!(!is_refused(second, again));
    second.now_ms += 3000;
    second.tick();
    assert_eq!(second.reply(again), Some(&CallerReply::Unknown));
}

/// Returns an entry that has read that work for 60 s waits.
fn overloaded_entry(admission: bool) -> TestEntry {
    let mut entry = TestEntry::with_policy(EntryPolicy { admission, seed: 1 });
    report_load(&mut entry, 1, 60);
    entry
}

/// Delivers a heartbeat with a report of work that takes the given time.
fn report_load(entry: &mut TestEntry, offset: u64, span_s: u64) {
    entry.now_ms += 200;
    entry.tick();
    let load = LoadReport::new(vec![LoadRow {
        service: "s".into(),
        priority: 0,
        best_effort: false,
        jobs: span_s as u32,
        work: CoreMillis(span_s * 1000),
        late_work: CoreMillis(0),
        room: 1000,
        rate: 1000,
        speed: 1000,
        wait_ms: span_s as u32 * 1000,
    }]);
    let heartbeat = PlanRecord::Tick { jobs_read: 0 };
    let reports = HeartbeatReports {
        load: Some(load),
        placed: None,
    };
    entry.plan_record(offset, encode_heartbeat(&heartbeat, &reports));
}

fn submit_work(entry: &mut TestEntry, id: u64) -> u64 {
    let step = StepSpec {
        tasks: 1,
        cpu: 1000,
        estimate_ms: 1000,
        ..StepSpec::default()
    };
    let body = JobBody {
        steps: vec![step],
        ..JobBody::default()
    };
    let path = format!("/q/{:016x}", id);
    entry.send_request(&path, CallerOperation::Submit(Ok(body)))
}

fn is_rejected(entry: &TestEntry, ticket: u64) -> bool {
    matches!(entry.reply(ticket), Some(CallerReply::Overloaded { .. }))
}

#[test]
fn overload_rejected() {
    let mut entry = overloaded_entry(true);
    let ticket = submit_work(&mut entry, 1);
    assert!(is_rejected(&entry, ticket));
    assert_eq!(entry.appends(), 0);
    let mut entry = overloaded_entry(false);
    let ticket = submit_work(&mut entry, 1);
    assert_eq!((entry.reply(ticket), entry.appends()), (None, 1));
}

/// A report does not count for long, nor one that may have been stored long before it was read.
#[test]
fn old_news() {
    let mut entry = overloaded_entry(true);
    for offset in 2..8 {
        entry.now_ms += 400;
        entry.planner_heartbeat(offset);
    }
    let ticket = submit_work(&mut entry, 1);
    assert!(!is_rejected(&entry, ticket));
    let mut entry = TestEntry::with_policy(EntryPolicy {
        admission: true,
        seed: 1,
    });
    entry.now_ms += 4000;
    report_load(&mut entry, 1, 60);
    let ticket = submit_work(&mut entry, 1);
    assert!(!is_rejected(&entry, ticket));
}

/// After trouble with the store, another entry may have stored the job without knowing it.
#[test]
fn trouble_not_rejected() {
    let mut entry = overloaded_entry(true);
    entry.stored(StoreCaller::Operators, refused());
    report_load(&mut entry, 1, 60);
    let ticket = submit_work(&mut entry, 1);
    assert!(!is_rejected(&entry, ticket));
}

/// A job of which an append is in flight is not rejected when its caller comes again.
#[test]
fn repeat_not_rejected() {
    let mut entry = TestEntry::with_policy(EntryPolicy {
        admission: true,
        seed: 1,
    });
    submit_work(&mut entry, 1);
    report_load(&mut entry, 1, 60);
    let again = submit_work(&mut entry, 1);
    assert!(!is_rejected(&entry, again));
}

/// Returns how many jobs an entry accepts on one report, while the plan accepts `others` jobs of
/// other entries for each of its own.
fn accepted_on_report(others: u64) -> usize {
    let mut entry = TestEntry::with_policy(EntryPolicy {
        admission: true,
        seed: 1,
    });
    submit_work(&mut entry, 1);
    for number in 0..=others {
        let queue = "h/q/".into();
        let job = JobId(1 + number * 1000);
        let accepted = PlanRecord::Accepted { job, queue };
        entry.plan_record(1 + number, encode(&accepted));
    }
    report_load(&mut entry, 2 + others, 1);
    let before = entry.appends();
    for id in 2..40 {
        submit_work(&mut entry, id);
    }
    entry.appends() - before
}

/// An entry takes the others to accept as much as the plan shows of them: alone it admits jobs until
/// the limit, beside three others a quarter of them.
#[test]
fn others_counted() {
    let alone = accepted_on_report(0);
    assert!((6..=10).contains(&alone), "{alone}");
    assert!(accepted_on_report(3) <= alone / 3);
}
