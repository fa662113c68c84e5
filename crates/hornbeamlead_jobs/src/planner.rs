//! Planner: decides which task runs where, and records each attempt before it is ordered.
//!
//! One process at a time holds the duty. Its records carry its epoch; once another has claimed
//! the duty, the store refuses them, and an attempt that is not recorded is never ordered.

mod batch;
mod health;
mod hosts;
pub mod impact;
mod intake;
mod placement;
mod readings;
mod ready;
mod rebalance;
mod recovery;
mod reports;
mod schedule;
mod upkeep;

pub use hosts::HostView;
pub use placement::{ImageId, PlacementPolicy, TaskDemand};

use crate::effect::{Effect, LinkId};
use crate::follow::StreamFollower;
use crate::ids::{HostName, PlannerEpoch, RunName, StreamOffset, TaskName};
use crate::job::RunEnd;
use crate::ledger::JobLedger;
use crate::message::AgentMessage;
use crate::operators::{OperatorFormat, OperatorReader};
use crate::record::PlanRecord;
use crate::store::{StoreCaller, StoreOutcome, StreamName};
use batch::RecordBatch;
use hornbeamlead_core::clock::{ClockReading, MonoTime};
use impact::ImpactModel;
use recovery::RecoveryState;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use upkeep::UpkeepState;

/// Wait of a long read; bounds how long a silent connection hides new jobs.
const FOLLOW_WAIT: Duration = Duration::from_millis(400);

/// Slack on spans that two clocks measure: workers' clocks may be 2 % slow.
const CLOCK_SLACK: f64 = 1.03;

/// Time for which a planner that cannot append any more may still have granted leases.
pub(crate) const GRANT_SPAN: Duration = Duration::from_secs(2);

/// What a planner is told by its settings.
#[derive(Clone, Debug)]
pub struct PlannerPolicy {
    /// Own host.
    pub host: HostName,
    /// Life of the process.
    pub incarnation: u64,
    /// Own address for links.
    pub address: SocketAddr,
    /// Span after a granted stamp for which leases may run, as keepers have it.
    pub lease_span: Duration,
    /// How hosts are chosen.
    pub placement: PlacementPolicy,
}

/// Event of a planner.
#[derive(Clone, Debug, PartialEq)]
pub enum PlannerEvent {
    /// The store answered a call.
    Stored {
        /// Who asked.
        caller: StoreCaller,
        /// Outcome.
        outcome: StoreOutcome,
    },
    /// An agent says something.
    Agent {
        /// Link.
        link: LinkId,
        /// Message.
        message: AgentMessage,
    },
    /// A link that an agent opened has ended.
    Closed(LinkId),
    /// Time has passed, or all waiting events were taken in.
    Tick,
}

/// What the planner knows of an attempt besides the ledger.
#[derive(Clone, Copy, Debug)]
struct RunView {
    /// Number of the order on the host's present link; none before it was sent there.
    ordered: Option<u64>,
    /// Number of the stop that was sent on the present link.
    stopped: Option<u64>,
    /// When the planner decided on it, or first heard of it.
    since: MonoTime,
    /// Whether the worker listed it.
    listed: bool,
    /// Progress, and when it last rose.
    percent: u8,
    progressed: MonoTime,
}

impl RunView {
    fn new(now: MonoTime) -> Self {
        Self {
            ordered: None,
            stopped: None,
            since: now,
            listed: false,
            percent: 0,
            progressed: now,
        }
    }
}

/// Planner's state machine.
#[derive(Debug)]
pub struct PlannerMachine<F> {
    policy: PlannerPolicy,
    epoch: PlannerEpoch,
    began: MonoTime,
    recovery: Option<RecoveryState>,
    deposed: bool,
    ledger: JobLedger,
    operators: OperatorReader<F>,
    jobs_follower: StreamFollower,
    hosts: BTreeMap<HostName, HostView>,
    links: BTreeMap<LinkId, HostName>,
    runs: BTreeMap<RunName, RunView>,
    /// Hosts on which a task has failed or stood still.
    failed_hosts: BTreeMap<TaskName, Vec<HostName>>,
    impact: ImpactModel,
    batch: RecordBatch,
    upkeep: UpkeepState,
    dirty: bool,
    scheduled: MonoTime,
    rebalanced: MonoTime,
    effects: Vec<Effect>,
}

impl<F: OperatorFormat> PlannerMachine<F> {
    /// Makes the planner of an epoch, which recovers its state first.
    pub fn new(
        policy: PlannerPolicy,
        format: F,
        epoch: PlannerEpoch,
        claim: StreamOffset,
        now: MonoTime,
    ) -> Self {
        let (stream, caller) = (StreamName::Jobs, StoreCaller::Jobs);
        let jobs_follower = StreamFollower::new(stream, caller, FOLLOW_WAIT, Duration::ZERO);
        Self {
            policy,
            epoch,
            began: now,
            recovery: Some(RecoveryState::new(claim)),
            deposed: false,
            ledger: JobLedger::default(),
            operators: OperatorReader::new(format),
            jobs_follower,
            hosts: BTreeMap::new(),
            links: BTreeMap::new(),
            runs: BTreeMap::new(),
            failed_hosts: BTreeMap::new(),
            impact: ImpactModel::default(),
            batch: RecordBatch::new(epoch, claim, now),
            upkeep: UpkeepState::new(now),
            dirty: false,
            scheduled: now,
            rebalanced: now,
            effects: Vec::new(),
        }
    }

    /// Returns whether another planner has taken over.
    #[must_use]
    pub fn is_deposed(&self) -> bool {
        self.deposed
    }

    /// Returns whether the state is recovered.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.recovery.is_none() && !self.deposed
    }

    /// Returns the epoch.
    #[must_use]
    pub fn epoch(&self) -> PlannerEpoch {
        self.epoch
    }

    /// Returns the state of all jobs.
    #[must_use]
    pub fn ledger(&self) -> &JobLedger {
        &self.ledger
    }

    /// Returns the hosts by name.
    #[must_use]
    pub fn hosts(&self) -> &BTreeMap<HostName, HostView> {
        &self.hosts
    }

    /// Takes in an event and returns what is to be done.
    pub fn handle(&mut self, now: ClockReading, event: PlannerEvent) -> Vec<Effect> {
        match event {
            PlannerEvent::Stored { caller, outcome } => self.take_outcome(now, caller, outcome),
            PlannerEvent::Agent { link, message } => self.take_agent(now.mono, link, message),
            PlannerEvent::Closed(link) => self.close_link(now.mono, link),
            PlannerEvent::Tick if !self.deposed => self.advance(now),
            PlannerEvent::Tick => {}
        }
        std::mem::take(&mut self.effects)
    }

    fn advance(&mut self, now: ClockReading) {
        let call = self.operators.poll(now.mono);
        self.effects.extend(call.map(Effect::Store));
        if self.recovery.is_some() {
            self.poll_recovery(now.mono);
            return;
        }
        let call = self.jobs_follower.poll(now.mono);
        self.effects.extend(call.map(Effect::Store));
        self.check_silence(now.mono);
        self.schedule(now);
        self.flush(now.mono);
        self.poll_upkeep(now.mono);
    }

    fn take_outcome(&mut self, now: ClockReading, caller: StoreCaller, outcome: StoreOutcome) {
        match caller {
            StoreCaller::Operators => {
                self.effects.extend(self.operators.take(now.mono, outcome));
                self.dirty = true;
            }
            StoreCaller::Jobs => self.take_jobs(now.mono, outcome),
            StoreCaller::Recovery | StoreCaller::Plan => {
                self.take_recovery(now.mono, caller, outcome);
            }
            StoreCaller::Records => self.take_appended(now.mono, outcome),
            StoreCaller::Upkeep => self.take_upkeep(now.mono, outcome),
            _ => {}
        }
    }

    /// Applies a record and has it appended with the next batch.
    fn record(&mut self, now: MonoTime, record: PlanRecord) {
        self.ledger.apply(&record);
        self.batch.add(now, record);
        self.dirty = true;
    }

    /// Records the end of an attempt, and what it means for its job.
    fn end_run(&mut self, now: MonoTime, run: RunName, end: RunEnd, saved: Option<Box<str>>) {
        if self.ledger.placement(run).is_none() {
            return;
        }
        let host = self
            .ledger
            .placement(run)
            .map(|placement| placement.host.clone());
        let host = host.unwrap_or_default();
        self.log("task_ended", run, format!("end={end} host={host}"));
        self.effects.push(Effect::Count(end_counter(end)));
        self.note_health(now, run, &host, end);
        self.runs.remove(&run);
        self.record(now, PlanRecord::Ended { run, end, saved });
        self.judge_job(now, run.task.step.job);
    }

    fn depose(&mut self, cause: &str) {
        self.log("planner_deposed", self.epoch, format!("cause={cause}"));
        self.deposed = true;
        let links: Vec<_> = self.links.keys().copied().collect();
        self.links.clear();
        self.effects
            .extend(links.into_iter().map(|link| Effect::CloseLink { link }));
    }

    fn log(&mut self, event: &'static str, id: impl ToString, detail: String) {
        self.effects.push(Effect::log(event, id, detail));
    }
}

fn end_counter(end: RunEnd) -> &'static str {
    match end {
        RunEnd::Done => "end_done",
        RunEnd::Failed => "end_failed",
        RunEnd::Stopped => "end_stopped",
        RunEnd::Lapsed => "end_lapsed",
        RunEnd::Broken => "end_broken",
        RunEnd::Alone => "end_alone",
        RunEnd::Lost => "end_lost",
        RunEnd::NotStarted => "end_not_started",
    }
}
