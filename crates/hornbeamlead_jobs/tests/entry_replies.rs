//! Replies of an entry: a refusal is immediate, and means that the request has no effect.

mod world;

use hornbeamlead_core::clock::{ClockReading, MonoTime, WallTime};
use hornbeamlead_jobs::effect::{CallerReply, Effect};
use hornbeamlead_jobs::entry::{CallerOperation, CallerRequest, EntryEvent, EntryMachine};
use hornbeamlead_jobs::job::{JobBody, StepSpec};
use hornbeamlead_jobs::record::{PlanRecord, encode};
use hornbeamlead_jobs::store::{ReadRecord, StoreCaller, StoreOperation, StoreOutcome, StreamName};
use rstest::rstest;
use std::time::Duration;
use world::WorldFormat;

const JOB: &str = "/q/00000000000000aa";

/// Entry with a clock that the test controls.
struct TestEntry {
    machine: EntryMachine<WorldFormat>,
    now_ms: u64,
    effects: Vec<Effect>,
    last_ticket: u64,
}

impl TestEntry {
    /// Creates an entry that has read its configuration and an empty plan with a heartbeat.
    fn ready() -> Self {
        let mut entry = Self {
            machine: EntryMachine::new(WorldFormat),
            now_ms: 10_000,
            effects: Vec::new(),
            last_ticket: 0,
        };
        entry.tick();
        let config = record("config", b"1");
        entry.stored(StoreCaller::Operators, page(vec![config]));
        entry.stored(StoreCaller::Plan, page(Vec::new()));
        entry.planner_heartbeat(0);
        assert!(entry.machine.is_ready());
        entry
    }

    fn handle(&mut self, event: EntryEvent) {
        let now = ClockReading {
            mono: MonoTime(self.now_ms * 1000),
            wall: WallTime(1_000_000 + self.now_ms),
        };
        self.effects.extend(self.machine.handle(now, event));
    }

    fn tick(&mut self) {
        self.handle(EntryEvent::Tick);
    }

    fn stored(&mut self, caller: StoreCaller, outcome: StoreOutcome) {
        self.handle(EntryEvent::Stored { caller, outcome });
    }

    fn planner_heartbeat(&mut self, offset: u64) {
        let value = encode(&PlanRecord::Tick { jobs_read: 0 });
        let tick = ReadRecord {
            offset,
            key: "".into(),
            value: Some(value),
        };
        let records = vec![tick];
        let end = offset + 1;
        self.stored(StoreCaller::Plan, StoreOutcome::Records { end, records });
    }

    fn send_request(&mut self, path: &str, operation: CallerOperation) -> u64 {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        let request = CallerRequest {
            ticket,
            host: "h".into(),
            path: path.into(),
            operation,
            deadline: MonoTime(self.now_ms * 1000).plus(Duration::from_secs(3)),
        };
        self.handle(EntryEvent::Request(request));
        ticket
    }

    fn submit(&mut self) -> u64 {
        self.send_request(JOB, CallerOperation::Submit(Ok(body())))
    }

    fn reply(&self, ticket: u64) -> Option<&CallerReply> {
        self.effects.iter().find_map(|effect| match effect {
            Effect::Reply { ticket: it, reply } if *it == ticket => Some(reply),
            _ => None,
        })
    }

    fn appends(&self) -> usize {
        let append = |effect: &&Effect| match effect {
            Effect::Store(call) => matches!(
                call.operation,
                StoreOperation::Append {
                    stream: StreamName::Jobs,
                    ..
                }
            ),
            _ => false,
        };
        self.effects.iter().filter(append).count()
    }
}

fn body() -> JobBody {
    let step = StepSpec {
        tasks: 1,
        ..StepSpec::default()
    };
    JobBody {
        steps: vec![step],
        ..JobBody::default()
    }
}

fn record(key: &str, value: &'static [u8]) -> ReadRecord {
    ReadRecord {
        offset: 0,
        key: key.into(),
        value: Some(bytes::Bytes::from_static(value)),
    }
}

fn page(records: Vec<ReadRecord>) -> StoreOutcome {
    StoreOutcome::Page {
        end: records.len() as u64,
        records,
        more: false,
    }
}

fn refused() -> StoreOutcome {
    let cause = "status 503".into();
    StoreOutcome::Refused { cause }
}

fn unanswered() -> StoreOutcome {
    let cause = "no answer".into();
    StoreOutcome::Unanswered { cause }
}

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

/// A job is reported as absent only after a recent heartbeat of the planner, which reads new jobs
/// within milliseconds.
#[rstest]
#[case(500, true)]
#[case(5000, false)]
fn absent_needs_heartbeat(#[case] age_ms: u64, #[case] expected: bool) {
    let mut entry = TestEntry::ready();
    entry.now_ms += age_ms;
    let ticket = entry.send_request(JOB, CallerOperation::Read);
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
