//! Central scheduler: assigns tasks to hosts and persists each attempt before dispatching it.
//!
//! One process at a time holds the planner role. Its appends carry its epoch as a fencing token:
//! once another process has claimed a later epoch, the store rejects them. An attempt whose record
//! was not stored is never dispatched.

mod batch;
mod consolidate;
mod copies;
mod crash_watch;
mod crashes;
mod early_cancels;
mod health;
mod host_runs;
pub mod host_speeds;
mod hosts;
mod intake;
pub mod interference;
mod isolation;
mod job_plan;
mod journal;
mod late_stops;
mod leases;
mod load_report;
mod occurrences;
mod orders;
mod overload;
mod pass_rooms;
mod placed_jobs;
mod placement;
mod readings;
mod ready;
mod rebalance;
mod recovery;
mod refusals;
mod reports;
pub mod run_times;
mod schedule;
pub mod service_order;
mod serving_level;
mod stragglers;
mod upkeep;
mod waiting_load;
mod work_queue;

pub use host_runs::HostRuns;
pub use hosts::HostView;
pub use placement::{ImageId, PlacementPolicy, TaskDemand};

use crate::effect::{Effect, LinkId};
use crate::follow::StreamFollower;
use crate::ids::{HostName, PlannerEpoch, RunName, TaskName, TaskSlot};
use crate::job::RunEnd;
use crate::ledger::JobLedger;
use crate::locator::PlannerElection;
use crate::message::AgentMessage;
use crate::operators::{OperatorFormat, OperatorReader};
use crate::record::PlanRecord;
use crate::store::{PlannerComponent, StoreCaller, StoreOutcome, StreamName};
use batch::RecordBatch;
use crash_watch::CrashWatch;
use early_cancels::EarlyCancels;
use hornbeamlead_core::clock::{ClockReading, MonoTime};
use hornbeamlead_core::policy::ServiceOrder;
use host_speeds::HostSpeeds;
use interference::InterferenceModel;
use journal::JournalWriter;
use late_stops::LateStop;
use load_report::LoadTracker;
use overload::OverloadState;
use placed_jobs::PlacedTracker;
use recovery::RecoveryState;
use run_times::{RunTimes, RunWork};
use serving_level::ServingLevels;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use upkeep::UpkeepState;
use work_queue::WorkQueue;

/// Longest wait of a long poll. Bounds how long a connection that went silent can hide new jobs.
const LONG_POLL_WAIT: Duration = Duration::from_millis(400);

/// Time after its last successful append for which a planner answers reports with grants, and after
/// its last read of the jobs stream for which it reports its position there.
pub(crate) const GRANT_WINDOW: Duration = Duration::from_secs(2);

/// Planner configuration.
#[derive(Clone, Debug)]
pub struct PlannerPolicy {
    /// Host that the planner runs on.
    pub host: HostName,
    /// Incarnation of the process; distinguishes its claims from those of other processes.
    pub incarnation: u64,
    /// Address at which agents connect to the planner.
    pub address: SocketAddr,
    /// Longest lease after a granted stamp; must equal the value that agents use.
    pub lease_span: Duration,
    /// Cost weights for the choice of a host.
    pub placement: PlacementPolicy,
    /// Order in which jobs are served.
    pub order: ServiceOrder,
    /// Whether learned run times decide on moves, and tasks that run far longer than their siblings
    /// get a second attempt, if their step permits it, or move, if they save checkpoints.
    pub copies: bool,
}

/// Input to the planner's state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum PlannerEvent {
    /// A store call has completed.
    Stored {
        /// Component that made the call.
        caller: StoreCaller,
        /// Result of the call.
        outcome: StoreOutcome,
    },
    /// A message from an agent has arrived.
    Agent {
        /// Link on which it arrived.
        link: LinkId,
        /// Message from the agent.
        message: AgentMessage,
    },
    /// A link that an agent opened has closed.
    Closed(LinkId),
    /// Time has passed, or all pending events have been handled.
    Tick,
}

/// Volatile state of an attempt, kept alongside its entry in the ledger.
#[derive(Clone, Copy, Debug)]
struct RunView {
    /// Number of the first order for the attempt on the host's current link, as a rule its start.
    /// `None` until an order is sent; 0 if one may have been sent on an earlier link.
    order_number: Option<u64>,
    /// When the start order was sent, if this planner has sent it.
    ordered_at: Option<MonoTime>,
    /// Time before which an attempt that an earlier planner ordered has not begun, if its agent knows.
    begun_after: Option<MonoTime>,
    /// Number of the latest stop order on the current link.
    stop_number: Option<u64>,
    /// When the planner placed the attempt, or first learned of it.
    created_at: MonoTime,
    /// Whether the worker has listed the attempt as running.
    listed: bool,
    /// When the first and the latest report arrived that listed the attempt as running.
    seen: Option<(MonoTime, MonoTime)>,
    /// Progress in percent.
    percent: u8,
    /// When the progress last increased.
    progressed_at: MonoTime,
    /// Best-effort tasks: CPU in use as a share of what the task requests, as last reported.
    cpu_rate: f64,
    /// Best-effort tasks: since when the task has been slow.
    slow_since: Option<MonoTime>,
    /// Work done since the worker first listed the attempt.
    work: Option<RunWork>,
    /// Whether it was logged that the attempt gets no copy.
    copy_withheld: bool,
    /// Whether the attempt was on a worker whose crash has been explained.
    crash_noted: bool,
    /// Whether the attempt of an isolated task started beside others, as no host was free for it.
    shared: bool,
}

impl RunView {
    fn new(now: MonoTime) -> Self {
        Self {
            order_number: None,
            ordered_at: None,
            begun_after: None,
            stop_number: None,
            created_at: now,
            listed: false,
            seen: None,
            percent: 0,
            progressed_at: now,
            cpu_rate: 1.0,
            slow_since: None,
            work: None,
            copy_withheld: false,
            crash_noted: false,
            shared: false,
        }
    }

    /// Notes a report that lists the attempt as running.
    fn note_seen(&mut self, now: MonoTime) {
        let first = self.seen.map_or(now, |(first, _)| first);
        self.seen = Some((first, now));
    }

    /// Returns how long the attempt is known to have run.
    fn seen_for(&self) -> Duration {
        self.seen
            .map_or(Duration::ZERO, |(first, latest)| latest.since(first))
    }

    /// Returns whether a long-running attempt has completed its startup.
    fn is_operational(&self) -> bool {
        self.listed && self.percent >= 100
    }
}

/// State machine of the planner. Performs no I/O: each event returns the effects to carry out.
#[derive(Debug)]
pub struct PlannerMachine<F> {
    policy: PlannerPolicy,
    epoch: PlannerEpoch,
    started_at: MonoTime,
    /// Time after which no earlier planner has sent an append that succeeded.
    plan_ended_at: MonoTime,
    recovery: Option<RecoveryState>,
    deposed: bool,
    ledger: JobLedger,
    operators: OperatorReader<F>,
    jobs_follower: StreamFollower,
    hosts: BTreeMap<HostName, HostView>,
    links: BTreeMap<LinkId, HostName>,
    runs: BTreeMap<RunName, RunView>,
    /// Stops of attempts on later lives than those they were meant for.
    late_stops: BTreeMap<RunName, LateStop>,
    interference: InterferenceModel,
    serving_levels: ServingLevels,
    run_times: RunTimes,
    host_speeds: HostSpeeds,
    batch: RecordBatch,
    journal: JournalWriter,
    upkeep: UpkeepState,
    early_cancels: EarlyCancels,
    load: LoadTracker,
    placed: PlacedTracker,
    /// When workers have crashed by themselves lately.
    self_crashes: VecDeque<MonoTime>,
    crash_watch: CrashWatch,
    /// Isolated tasks that wait for a host of their own, and since when.
    trial_waits: BTreeMap<TaskName, MonoTime>,
    /// Isolated tasks of which an attempt has just started, as of the latest pass.
    fresh_trials: BTreeSet<TaskSlot>,
    work: WorkQueue,
    pass_needed: bool,
    overload: OverloadState,
    last_pass: MonoTime,
    last_check: MonoTime,
    last_rebalance: MonoTime,
    last_consolidation: MonoTime,
    last_copies: MonoTime,
    effects: Vec<Effect>,
}

impl<F: OperatorFormat> PlannerMachine<F> {
    /// Creates the planner of an epoch. It schedules nothing until its state is recovered.
    pub fn new(policy: PlannerPolicy, format: F, election: PlannerElection, now: MonoTime) -> Self {
        let PlannerElection {
            epoch,
            claim,
            plan_ended_at,
        } = election;
        let jobs_follower = StreamFollower::new(
            StreamName::Jobs,
            PlannerComponent::Jobs.caller(epoch),
            LONG_POLL_WAIT,
            Duration::ZERO,
        );
        let operators_caller = PlannerComponent::Operators.caller(epoch);
        Self {
            policy,
            epoch,
            started_at: now,
            plan_ended_at,
            recovery: Some(RecoveryState::new(epoch, claim)),
            deposed: false,
            ledger: JobLedger::default(),
            operators: OperatorReader::new(format, operators_caller),
            jobs_follower,
            hosts: BTreeMap::new(),
            links: BTreeMap::new(),
            runs: BTreeMap::new(),
            late_stops: BTreeMap::new(),
            interference: InterferenceModel::default(),
            serving_levels: ServingLevels::default(),
            run_times: RunTimes::default(),
            host_speeds: HostSpeeds::default(),
            batch: RecordBatch::new(epoch, claim, now),
            journal: JournalWriter::new(epoch, claim),
            upkeep: UpkeepState::new(now),
            early_cancels: EarlyCancels::default(),
            load: LoadTracker::default(),
            placed: PlacedTracker::default(),
            self_crashes: VecDeque::new(),
            crash_watch: CrashWatch::default(),
            trial_waits: BTreeMap::new(),
            fresh_trials: BTreeSet::new(),
            work: WorkQueue::default(),
            pass_needed: false,
            overload: OverloadState::default(),
            last_pass: now,
            last_check: now,
            last_rebalance: now,
            last_consolidation: now,
            last_copies: now,
            effects: Vec::new(),
        }
    }

    /// Returns whether the planner has ceased to act, as a rule because a later one has taken over.
    #[must_use]
    pub fn is_deposed(&self) -> bool {
        self.deposed
    }

    /// Returns whether recovery is complete and the planner has not been deposed.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.recovery.is_none() && !self.deposed
    }

    /// Epoch under which the planner appends.
    #[must_use]
    pub fn epoch(&self) -> PlannerEpoch {
        self.epoch
    }

    /// State of all jobs, including records that are not stored yet.
    #[must_use]
    pub fn ledger(&self) -> &JobLedger {
        &self.ledger
    }

    /// Hosts that have connected or have attempts placed on them, by name.
    #[must_use]
    pub fn hosts(&self) -> &BTreeMap<HostName, HostView> {
        &self.hosts
    }

    /// Handles an event and returns the effects to carry out, in order.
    pub fn handle(&mut self, now: ClockReading, event: PlannerEvent) -> Vec<Effect> {
        match event {
            PlannerEvent::Stored { caller, outcome } => {
                self.handle_store_outcome(now, caller, outcome)
            }
            PlannerEvent::Agent { link, message } => {
                self.handle_agent_message(now.mono, link, message)
            }
            PlannerEvent::Closed(link) => self.close_link(now.mono, link),
            PlannerEvent::Tick if !self.deposed => self.advance(now),
            PlannerEvent::Tick => {}
        }
        std::mem::take(&mut self.effects)
    }

    fn advance(&mut self, now: ClockReading) {
        self.load.wall = now.wall;
        let call = self.operators.poll(now.mono);
        self.effects.extend(call.map(Effect::Store));
        if self.recovery.is_some() {
            self.poll_recovery(now.mono);
            self.hold_role(now.mono);
            return;
        }
        let call = self.jobs_follower.poll(now.mono);
        self.effects.extend(call.map(Effect::Store));
        self.confirm_grants(now.mono);
        self.expire_silent_hosts(now.mono);
        self.schedule(now);
        self.flush(now.mono);
        self.poll_upkeep(now.mono);
    }

    fn handle_store_outcome(
        &mut self,
        now: ClockReading,
        caller: StoreCaller,
        outcome: StoreOutcome,
    ) {
        let StoreCaller::Planner { epoch, component } = caller else {
            return;
        };
        if epoch != self.epoch {
            return;
        }
        match component {
            PlannerComponent::Operators => {
                self.effects.extend(self.operators.take(now.mono, outcome));
                self.pass_needed = true;
            }
            PlannerComponent::Jobs => self.handle_jobs_read(now.mono, outcome),
            PlannerComponent::Recovery | PlannerComponent::Plan => {
                self.handle_recovery(now.mono, component, outcome);
            }
            PlannerComponent::Records => self.handle_append(now.mono, outcome),
            PlannerComponent::Journal => self.handle_copy(now.mono, outcome),
            PlannerComponent::Upkeep => self.handle_upkeep(now.mono, outcome),
        }
    }

    /// Applies a record to the ledger and queues it for the next append.
    fn record(&mut self, now: MonoTime, record: PlanRecord) {
        self.track_placed(&record);
        self.ledger.apply(&record);
        self.note_change(&record);
        self.batch.add(now, record);
        self.pass_needed = true;
    }

    /// Brings what is kept of open work up to date with a record, which has been applied.
    fn note_change(&mut self, record: &PlanRecord) {
        let job = match record {
            PlanRecord::Started { run, .. } | PlanRecord::Ended { run, .. } => {
                let step = run.task.step;
                self.work.note(step.job, step.occurrence);
                step.job
            }
            PlanRecord::Closed { job, .. } => {
                self.work.remove_job(*job);
                *job
            }
            _ => return,
        };
        match self.ledger.jobs.get(&job) {
            Some(state) => self.run_times.forget_completed(job, state.completed()),
            None => {
                self.run_times.forget_job(job);
                self.serving_levels.forget_job(job);
            }
        }
    }

    /// Records the end of an attempt and closes its job if that decides it.
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
        self.update_health(now, run, &host, end);
        self.learn_end(now, run, &host, end);
        self.runs.remove(&run);
        self.late_stops.remove(&run);
        if end == RunEnd::Done {
            self.count_completed(run);
        }
        self.record(now, PlanRecord::Ended { run, end, saved });
        self.stop_other_attempts(run);
        self.check_end(now, run.task);
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
