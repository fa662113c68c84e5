//! Supervisor of a host's worker: carries out the planner's orders, renews leases and reports.
//!
//! The worker's lists are the only authority on what runs. An order counts as carried out, or as
//! certain never to be carried out, only once lists that were read after it confirm this.

mod announcement;
mod calls;
mod doubts;
mod holds;
mod lives;
mod progress;
mod throttle;

pub use announcement::ExpectedWorker;
pub use throttle::{BestEffortThrottle, ThrottlePolicy};

use crate::effect::{Effect, LinkId};
use crate::ids::{HostName, PlannerEpoch, RunName, WorkerIncarnation};
use crate::message::{
    AgentMessage, AgentStamp, HostReport, PlannerMessage, RunAges, RunTraits, StartOrder,
};
use crate::worker::{
    CLOCK_SKEW_FACTOR, WorkerAnnouncement, WorkerFacts, WorkerLists, WorkerRefusal, WorkerReply,
    WorkerTag,
};
use announcement::SequenceWatch;
use hornbeamlead_core::clock::MonoTime;
use progress::ProgressWatch;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Interval between two reports while nothing changes. The planner regards a host as unreachable
/// after 1 s without a report.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);

/// Time after a link was opened in which reports tell the ages of the attempts, which a planner that has
/// just taken over does not know.
const AGES_TIME: Duration = Duration::from_secs(2);

/// Age beyond which an order is not carried out any more. A cancellation has to take effect within
/// 3 s, an evacuation within 5 s.
const MAX_ORDER_AGE: Duration = Duration::from_millis(1500);

/// Settings of a supervisor.
#[derive(Clone, Debug)]
pub struct SupervisorPolicy {
    /// Host of the supervisor and its worker.
    pub host: HostName,
    /// Address at which this process accepts links.
    pub address: SocketAddr,
    /// Time after the newest granted stamp for which leases may last.
    pub lease_span: Duration,
    /// Longest lease that the worker grants.
    pub hold_max: Duration,
    /// What is known of the worker beforehand.
    pub worker: ExpectedWorker,
    /// Limits of the throttling of best-effort tasks.
    pub throttle: ThrottlePolicy,
}

/// Reading of the worker's clock, which may run slow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct WorkerClock {
    ms: u64,
    read: MonoTime,
}

impl WorkerClock {
    /// Returns a time on the worker's clock that has certainly passed at `now`; `None` if the
    /// reading leaves no room for one.
    fn at(&self, now: MonoTime) -> Option<u64> {
        let elapsed = now.since(self.read).div_f64(CLOCK_SKEW_FACTOR);
        self.ms.checked_add(elapsed.as_millis() as u64)
    }
}

/// Stage of an attempt between an order and its confirmation by the worker's lists.
#[derive(Clone, Debug, PartialEq)]
enum RunStage {
    /// A start is in flight.
    Starting {
        order: StartOrder,
        tries: u32,
        /// Time at which the order expires.
        expires_at: MonoTime,
    },
    /// A stop is in flight, or due at `retry_at`.
    Stopping { retry_at: Option<MonoTime> },
    /// An order was answered; the lists of holds with a number above `after` show its effect.
    /// `stopped` is true if the order was a stop.
    Confirming { after: u64, stopped: bool },
    /// The worker listed the attempt as running.
    Listed,
    /// The life for which the start was meant has ended. A later one under the same id may have
    /// carried it out.
    Doubtful {
        /// Number of calls for the start, while the last one is in flight.
        call: Option<u32>,
        /// Time until which it is looked whether there is such a life.
        until: MonoTime,
    },
}

/// Life of a worker on the supervisor's host.
#[derive(Clone, Debug)]
struct SupervisedWorker {
    facts: WorkerFacts,
    address: SocketAddr,
    sequence: SequenceWatch,
    clock: Option<WorkerClock>,
    /// Number of the last hold.
    hold: u64,
    hold_in_flight: bool,
    hold_at: MonoTime,
    hold_epoch: PlannerEpoch,
    /// Number up to which ends are recorded in the plan.
    acknowledged: u64,
    /// Number up to which the worker has been told so, and that in the hold in flight.
    released: u64,
    hold_release: u64,
    /// Until when an acknowledgement without an answer may be carried out.
    late_release_until: Option<MonoTime>,
    /// Whether a start was sent since the last lists arrived.
    started: bool,
    lists: WorkerLists,
    /// Time by which the worker has to answer a hold.
    answer_due: MonoTime,
    /// Whether it has not. Its leases are not renewed then, so reports do not name it.
    silent: bool,
    /// Epoch under which the lists were read.
    listed: Option<PlannerEpoch>,
    /// Earliest time at which a draining worker shuts down.
    leaves_at: Option<MonoTime>,
    /// Whether the life has announced itself; if not, its facts are those of the life before.
    announced: bool,
    /// Whether its lists have shown that it exists.
    verified: bool,
    /// Whether its lists have arrived since the last call without an answer. If not, calls may reach
    /// another life, which must not get leases and acknowledgements of this one.
    confirmed: bool,
}

/// Event of a supervisor.
#[derive(Clone, Debug, PartialEq)]
pub enum SupervisorEvent {
    /// The worker announced itself.
    Announced(WorkerAnnouncement),
    /// The worker deregistered from the agent.
    Left {
        /// Id under which the worker announced itself.
        id: Box<str>,
    },
    /// The link to the planner is open.
    LinkUp(LinkId),
    /// The link to the planner has closed.
    LinkDown,
    /// A message from the planner arrived.
    Planner(PlannerMessage),
    /// A call to the worker ended.
    Replied {
        /// Identifier of the call.
        tag: WorkerTag,
        /// Incarnation for which the call was meant.
        incarnation: WorkerIncarnation,
        /// Outcome of the call.
        reply: WorkerReply,
    },
    /// Periodic event.
    Tick,
}

/// State machine of a supervisor.
#[derive(Debug)]
pub struct SupervisorMachine {
    policy: SupervisorPolicy,
    worker: Option<SupervisedWorker>,
    /// Life that was announced beside the known one and has not answered yet.
    candidate: Option<SupervisedWorker>,
    /// Life that has ended, while it is looked whether another one has its id.
    former: Option<SupervisedWorker>,
    dead: Option<WorkerIncarnation>,
    link: Option<LinkId>,
    /// Until when reports on the link tell the ages of the attempts.
    ages_until: MonoTime,
    epoch: PlannerEpoch,
    orders_seen: u64,
    /// Newest stamp for which the planner permitted leases.
    granted: Option<MonoTime>,
    /// Newest stamp that the planner had seen when it sent its last grant.
    newest_seen: MonoTime,
    runs: BTreeMap<RunName, RunStage>,
    /// Starts for ended lives that a later one under the same id may still carry out, each until when.
    doubts: BTreeMap<RunName, MonoTime>,
    /// Id of an ended life, and until when an acknowledgement for it may reach a later life.
    late_release: Option<(Box<str>, MonoTime)>,
    traits: BTreeMap<RunName, RunTraits>,
    throttle: BestEffortThrottle,
    progress: ProgressWatch,
    report_due: bool,
    reported: MonoTime,
    effects: Vec<Effect>,
}

impl SupervisorMachine {
    /// Creates a supervisor without a known worker or planner.
    #[must_use]
    pub fn new(policy: SupervisorPolicy) -> Self {
        Self {
            throttle: BestEffortThrottle::new(policy.throttle.clone()),
            policy,
            worker: None,
            candidate: None,
            former: None,
            dead: None,
            link: None,
            ages_until: MonoTime(0),
            epoch: PlannerEpoch(0),
            orders_seen: 0,
            granted: None,
            newest_seen: MonoTime(0),
            runs: BTreeMap::new(),
            doubts: BTreeMap::new(),
            late_release: None,
            traits: BTreeMap::new(),
            progress: ProgressWatch::default(),
            report_due: false,
            reported: MonoTime(0),
            effects: Vec::new(),
        }
    }

    /// Returns the highest planner epoch from which a grant has arrived.
    #[must_use]
    pub fn epoch(&self) -> PlannerEpoch {
        self.epoch
    }

    /// Handles an event and returns the effects to perform.
    pub fn handle(&mut self, now: MonoTime, event: SupervisorEvent) -> Vec<Effect> {
        match event {
            SupervisorEvent::Announced(announcement) => self.handle_announcement(now, announcement),
            SupervisorEvent::Left { id } => self.handle_leave(&id),
            SupervisorEvent::LinkUp(link) => self.open_link(now, link),
            SupervisorEvent::LinkDown => self.link = None,
            SupervisorEvent::Planner(message) => self.handle_message(now, message),
            SupervisorEvent::Replied {
                tag,
                incarnation,
                reply,
            } => self.handle_reply(now, tag, &incarnation, reply),
            SupervisorEvent::Tick => {}
        }
        self.advance_runs(now);
        self.poll_hold(now);
        self.poll_looks(now);
        self.expire_doubts(now);
        self.check_silence(now);
        self.poll_report(now);
        std::mem::take(&mut self.effects)
    }

    fn open_link(&mut self, now: MonoTime, link: LinkId) {
        self.link = Some(link);
        self.ages_until = now.plus(AGES_TIME);
        self.orders_seen = 0;
        self.report_due = true;
        self.send(AgentMessage::Hello {
            host: self.policy.host.clone(),
            address: self.policy.address,
            epoch: self.epoch,
        });
    }

    fn handle_message(&mut self, now: MonoTime, message: PlannerMessage) {
        match message {
            PlannerMessage::Grant { epoch, stamp, seen } => self.handle_grant(epoch, stamp, seen),
            PlannerMessage::Start { number, order } => {
                self.orders_seen = number;
                self.begin_start(now, order);
            }
            PlannerMessage::Stop {
                number,
                run,
                incarnation,
            } => {
                self.orders_seen = number;
                self.begin_stop(now, run, &incarnation);
            }
            PlannerMessage::Acknowledge {
                incarnation,
                through,
            } => match &mut self.worker {
                Some(worker) if worker.facts.incarnation == incarnation => {
                    worker.acknowledged = worker.acknowledged.max(through);
                }
                _ => {}
            },
            PlannerMessage::Traits(rows) => self.traits.extend(rows),
            PlannerMessage::NotPlanner => {}
        }
    }

    fn handle_grant(&mut self, epoch: PlannerEpoch, stamp: Option<AgentStamp>, seen: AgentStamp) {
        if epoch < self.epoch {
            self.log("grant_ignored", epoch, format!("obeyed={}", self.epoch));
            return;
        }
        self.epoch = epoch;
        self.newest_seen = self.newest_seen.max(MonoTime(seen.0));
        let stamp = stamp.filter(|stamp| *stamp != AgentStamp::NO_LEASES);
        let stamp = stamp.map(|stamp| MonoTime(stamp.0));
        self.granted = self.granted.max(stamp);
    }

    fn begin_start(&mut self, now: MonoTime, order: StartOrder) {
        let run = order.run;
        let age = now.since(self.newest_seen);
        let worker = self.worker.as_ref();
        let refusal = match worker {
            None => Some((Some(WorkerRefusal::OtherLife), "no_worker")),
            Some(worker) if worker.facts.incarnation != order.incarnation => {
                Some((Some(WorkerRefusal::OtherLife), "other_life"))
            }
            Some(worker) if worker.facts.draining => Some((None, "worker_draining")),
            Some(worker) if worker.silent => Some((None, "worker_silent")),
            Some(worker) if !worker.is_usable() => Some((None, "worker_not_announced")),
            Some(_) if age > MAX_ORDER_AGE => Some((None, "order_too_old")),
            Some(_) if self.runs.contains_key(&run) => return,
            Some(_) => None,
        };
        match refusal {
            Some((refusal, cause)) => {
                let detail = format!("cause={cause} age_ms={}", age.as_millis());
                self.log("start_dropped", run, detail);
                self.report_not_started(run, order.incarnation, refusal);
            }
            None => {
                self.traits.insert(run, order.traits.clone());
                let expires_at = self.newest_seen.plus(MAX_ORDER_AGE);
                let stage = RunStage::Starting {
                    order,
                    tries: 0,
                    expires_at,
                };
                self.runs.insert(run, stage);
                self.call_start(now, run);
            }
        }
    }

    fn begin_stop(&mut self, now: MonoTime, run: RunName, incarnation: &WorkerIncarnation) {
        match &self.worker {
            Some(worker) if worker.facts.incarnation == *incarnation => {
                let retry_at = Some(now);
                self.runs.insert(run, RunStage::Stopping { retry_at });
            }
            _ => self.log("stop_dropped", run, "cause=other_life".into()),
        }
    }

    fn report_not_started(
        &mut self,
        run: RunName,
        incarnation: WorkerIncarnation,
        refusal: Option<WorkerRefusal>,
    ) {
        self.traits.remove(&run);
        self.send(AgentMessage::NotStarted {
            run,
            incarnation,
            refusal,
        });
    }

    fn poll_report(&mut self, now: MonoTime) {
        let overdue = now.since(self.reported) >= REPORT_INTERVAL;
        if self.link.is_none() || !(self.report_due || overdue) {
            return;
        }
        self.report_due = false;
        self.reported = now;
        let report = self.report(now);
        self.send(AgentMessage::Report(Box::new(report)));
    }

    fn report(&self, now: MonoTime) -> HostReport {
        let unconfirmed =
            |(run, stage): (&RunName, &RunStage)| (*stage != RunStage::Listed).then_some(*run);
        let worker = self.worker.as_ref().filter(|worker| worker.is_usable());
        let lists = worker
            .map(|worker| worker.lists.clone())
            .unwrap_or_default();
        let facts = worker.map(|worker| WorkerFacts {
            leaves_in_ms: worker.leaves_at.map(|at| at.since(now).as_millis() as u32),
            ..worker.facts.clone()
        });
        HostReport {
            stamp: AgentStamp(now.0),
            orders_seen: self.orders_seen,
            worker: facts,
            dead: self.dead.clone(),
            listed: worker
                .is_some_and(|worker| worker.listed == Some(self.epoch) && lists.is_whole()),
            idle: self.progress.idle(&lists.running),
            ages: match now < self.ages_until {
                true => self.progress.ages(&lists.running),
                false => RunAges::default(),
            },
            running: lists.running,
            ended: lists.ended,
            in_flight: self.runs.iter().filter_map(unconfirmed).collect(),
        }
    }

    fn send(&mut self, message: AgentMessage) {
        if let Some(link) = self.link {
            self.effects.push(Effect::ToPlanner { link, message });
        }
    }

    fn log(&mut self, event: &'static str, id: impl ToString, detail: String) {
        self.effects.push(Effect::log(event, id, detail));
    }
}
