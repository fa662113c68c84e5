//! Entry with a clock and a store that the test controls.

#![allow(dead_code, reason = "each test file uses some of the items")]

pub(crate) mod meeting;

use crate::world::WorldFormat;
use hornbeamlead_core::clock::{ClockReading, MonoTime, WallTime};
use hornbeamlead_jobs::effect::{CallerReply, Effect};
use hornbeamlead_jobs::entry::{
    CallerOperation, CallerRequest, EntryEvent, EntryMachine, EntryPolicy,
};
use hornbeamlead_jobs::job::{JobBody, StepSpec};
use hornbeamlead_jobs::record::{PlanRecord, encode};
use hornbeamlead_jobs::store::{ReadRecord, StoreCaller, StoreOperation, StoreOutcome, StreamName};
use std::time::Duration;

pub(crate) const JOB: &str = "/q/00000000000000aa";

/// Entry with a clock that the test controls.
pub(crate) struct TestEntry {
    pub(crate) machine: EntryMachine<WorldFormat>,
    pub(crate) now_ms: u64,
    pub(crate) effects: Vec<Effect>,
    last_ticket: u64,
}

impl TestEntry {
    /// Creates an entry that has read its configuration and an empty plan with a heartbeat.
    pub(crate) fn ready() -> Self {
        Self::with_policy(EntryPolicy::default())
    }

    /// Creates an entry with settings that has read its configuration and an empty plan, and then a
    /// heartbeat.
    pub(crate) fn with_policy(policy: EntryPolicy) -> Self {
        let mut entry = Self::started(policy);
        let (end, records) = (0, Vec::new());
        entry.stored(StoreCaller::Plan, StoreOutcome::Records { end, records });
        entry.planner_heartbeat(0);
        assert!(entry.machine.is_ready());
        entry
    }

    /// Creates an entry that has read its configuration and no records of the plan.
    pub(crate) fn started(policy: EntryPolicy) -> Self {
        let mut entry = Self {
            machine: EntryMachine::with_policy(policy, WorldFormat),
            now_ms: 10_000,
            effects: Vec::new(),
            last_ticket: 0,
        };
        entry.tick();
        let config = record("config", b"1");
        entry.stored(StoreCaller::Operators, page(vec![config]));
        entry.stored(StoreCaller::Plan, page(Vec::new()));
        entry
    }

    pub(crate) fn handle(&mut self, event: EntryEvent) {
        let now = ClockReading {
            mono: MonoTime(self.now_ms * 1000),
            wall: WallTime(1_000_000 + self.now_ms),
        };
        self.effects.extend(self.machine.handle(now, event));
    }

    pub(crate) fn tick(&mut self) {
        self.handle(EntryEvent::Tick);
    }

    pub(crate) fn stored(&mut self, caller: StoreCaller, outcome: StoreOutcome) {
        self.handle(EntryEvent::Stored { caller, outcome });
    }

    pub(crate) fn planner_heartbeat(&mut self, offset: u64) {
        self.planner_position(offset, 0);
    }

    /// Delivers a heartbeat of a planner that has read the jobs up to an offset.
    pub(crate) fn planner_position(&mut self, offset: u64, jobs_read: u64) {
        self.plan_record(offset, encode(&PlanRecord::Tick { jobs_read }));
    }

    /// Delivers a record of the plan, after which the entry has read all of it.
    pub(crate) fn plan_record(&mut self, offset: u64, value: bytes::Bytes) {
        let tick = ReadRecord {
            offset,
            key: "".into(),
            value: Some(value),
        };
        let records = vec![tick];
        let end = offset + 1;
        self.stored(StoreCaller::Plan, StoreOutcome::Records { end, records });
    }

    pub(crate) fn send_request(&mut self, path: &str, operation: CallerOperation) -> u64 {
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

    pub(crate) fn submit(&mut self) -> u64 {
        self.submit_body(body())
    }

    pub(crate) fn submit_body(&mut self, body: JobBody) -> u64 {
        self.send_request(JOB, CallerOperation::Submit(Ok(body)))
    }

    pub(crate) fn reply(&self, ticket: u64) -> Option<&CallerReply> {
        self.effects.iter().find_map(|effect| match effect {
            Effect::Reply { ticket: it, reply } if *it == ticket => Some(reply),
            _ => None,
        })
    }

    pub(crate) fn appends(&self) -> usize {
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

pub(crate) fn body() -> JobBody {
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

pub(crate) fn refused() -> StoreOutcome {
    let cause = "status 503".into();
    StoreOutcome::Refused { cause }
}

pub(crate) fn unanswered() -> StoreOutcome {
    let cause = "no answer".into();
    StoreOutcome::Unanswered { cause }
}
