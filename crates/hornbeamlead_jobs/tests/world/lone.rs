//! Planner without agents, with a store of its own.

use super::*;
use hornbeamlead_jobs::record::decode;
use rustix::time::{ClockId, clock_gettime};

/// Step of the clock, in milliseconds.
const LONE_STEP_MS: u64 = 10;

/// Planner, the store that it uses, and what it has requested.
pub(crate) struct LonePlanner {
    machine: PlannerMachine<WorldFormat>,
    /// Store, in which the planner's claim is the newest record of the plan.
    pub(crate) store: EmulatedStore,
    /// Reading of the clock in milliseconds.
    pub(crate) now_ms: u64,
    /// Stream to which the store refuses appends.
    pub(crate) refused: Option<StreamName>,
    /// Calls to the store.
    pub(crate) calls: Vec<StoreOperation>,
    /// Events that were logged.
    pub(crate) events: Vec<&'static str>,
    /// Messages to agents, with their link.
    pub(crate) sent: Vec<(LinkId, PlannerMessage)>,
    outcomes: Vec<(StoreCaller, StoreOutcome)>,
    /// Processor time of all steps, and of the longest since it was taken.
    pub(crate) spent: Duration,
    longest: Duration,
}

/// Returns the processor time of this thread.
fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

impl LonePlanner {
    /// Creates a planner that has claimed its role in a store with a plan and a snapshot.
    pub(crate) fn new(store: EmulatedStore, now_ms: u64) -> Self {
        Self::with_epoch(store, now_ms, 1)
    }

    /// Creates a planner of an epoch, which is one of several in the same store.
    pub(crate) fn with_epoch(mut store: EmulatedStore, now_ms: u64, epoch: u64) -> Self {
        let policy = planner_policy(0, 1);
        let record = PlanRecord::Takeover(PlannerClaim {
            host: policy.host.clone(),
            incarnation: policy.incarnation,
            address: policy.address,
        });
        let record = NewRecord {
            key: None,
            value: Some(encode(&record)),
        };
        let StoreOutcome::Appended { offset: claim } = store.append(
            now_ms,
            StreamName::Plan,
            &[record],
            AppendCondition::Epoch { epoch, sequence: 0 },
        ) else {
            panic!("the claim is stored");
        };
        let now = MonoTime(now_ms * 1000);
        let election = PlannerElection {
            epoch: PlannerEpoch(epoch),
            claim,
            plan_ended_at: now,
        };
        Self {
            machine: PlannerMachine::new(policy, WorldFormat, election, now),
            store,
            now_ms,
            refused: None,
            calls: Vec::new(),
            events: Vec::new(),
            sent: Vec::new(),
            outcomes: Vec::new(),
            spent: Duration::ZERO,
            longest: Duration::ZERO,
        }
    }

    /// Returns the processor time of the longest step since this was last called.
    pub(crate) fn take_longest(&mut self) -> Duration {
        std::mem::take(&mut self.longest)
    }

    /// Returns whether the planner is active.
    pub(crate) fn is_active(&self) -> bool {
        self.machine.is_active()
    }

    /// Returns the records of the plan that have not expired.
    pub(crate) fn plan_records(&self) -> Vec<PlanRecord> {
        let read = |from| {
            self.store.read(&StoreOperation::Read {
                stream: StreamName::Plan,
                from,
                wait_until: MonoTime(0),
                end_only: false,
            })
        };
        let outcome = match read(0) {
            Some(StoreOutcome::Expired { first }) => read(first),
            outcome => outcome,
        };
        let Some(StoreOutcome::Records { records, .. }) = outcome else {
            return Vec::new();
        };
        let values = records.iter().filter_map(|read| read.value.as_deref());
        values.filter_map(|value| decode(value).ok()).collect()
    }

    /// Advances the clock. Calls are answered after a step; long polls do not wait.
    pub(crate) fn run(&mut self, span_ms: u64) {
        let end = self.now_ms + span_ms;
        while self.now_ms < end {
            self.now_ms += LONE_STEP_MS;
            self.store.expire(self.now_ms);
            for (caller, outcome) in std::mem::take(&mut self.outcomes) {
                self.handle(PlannerEvent::Stored { caller, outcome });
            }
            self.handle(PlannerEvent::Tick);
        }
    }

    /// Hands the planner an event and answers its calls to the store.
    pub(crate) fn handle(&mut self, event: PlannerEvent) {
        let now = ClockReading {
            mono: MonoTime(self.now_ms * 1000),
            wall: WallTime(World::wall_ms(self.now_ms)),
        };
        let before = thread_time();
        let effects = self.machine.handle(now, event);
        let step = thread_time().saturating_sub(before);
        self.spent += step;
        self.longest = self.longest.max(step);
        for effect in effects {
            match effect {
                Effect::Store(call) => self.answer(call),
                Effect::Log(line) => self.events.push(line.event),
                Effect::ToAgent { link, message } => self.sent.push((link, message)),
                _ => {}
            }
        }
    }

    fn answer(&mut self, call: StoreCall) {
        let outcome = match &call.operation {
            StoreOperation::Append { stream, .. } if self.refused == Some(*stream) => {
                let cause = "refused".into();
                StoreOutcome::Refused { cause }
            }
            StoreOperation::Append {
                stream,
                records,
                condition,
            } => self.store.append(self.now_ms, *stream, records, *condition),
            read => {
                let outcome = self.store.read(read);
                outcome.unwrap_or_else(|| self.store.read_empty(read))
            }
        };
        self.calls.push(call.operation);
        self.outcomes.push((call.caller, outcome));
    }
}
