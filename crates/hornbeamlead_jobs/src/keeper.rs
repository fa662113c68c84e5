//! Keeper: beside each worker, carries out the planner's orders, holds leases and reports.
//!
//! Only the worker's own lists tell what runs. An order counts as carried out, or as never to be,
//! once lists read after it say so.

mod calls;
mod pace;

pub use pace::{FillerThrottle, ThrottlePolicy};

use crate::effect::{Effect, LinkId};
use crate::ids::{HostName, PlannerEpoch, RunName, WorkerIncarnation};
use crate::message::{AgentMessage, AgentStamp, HostReport, PlannerMessage, RunTraits, StartOrder};
use crate::worker::{
    WorkerAnnouncement, WorkerFacts, WorkerLists, WorkerRefusal, WorkerReply, WorkerTag,
};
use hornbeamlead_core::clock::MonoTime;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Span between two reports where nothing changes; a planner takes a host that is silent for
/// 1 s for unreachable.
const REPORT_SPAN: Duration = Duration::from_millis(300);

/// Age beyond which an order is not carried out any more. A cancellation has to be obeyed within
/// 3 s, an evacuation within 5 s.
const ORDER_AGE: Duration = Duration::from_millis(1500);

/// What a keeper is told by its settings.
#[derive(Clone, Debug)]
pub struct SupervisorPolicy {
    /// Own host.
    pub host: HostName,
    /// Own address for links.
    pub address: SocketAddr,
    /// Span after the newest granted stamp for which leases may run.
    pub lease_span: Duration,
    /// Longest lease that the worker gives.
    pub hold_max: Duration,
    /// How fillers are paced.
    pub pace: ThrottlePolicy,
}

/// Reading of the worker's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct WorkerClock {
    ms: u64,
    read: MonoTime,
}

impl WorkerClock {
    /// Returns a reading that the worker's clock has reached at `now`.
    fn at(&self, now: MonoTime) -> u64 {
        self.ms + now.since(self.read).as_millis() as u64
    }
}

/// Where an attempt stands between orders and lists.
#[derive(Clone, Debug, PartialEq)]
enum RunStage {
    /// A start is under way.
    Starting {
        order: StartOrder,
        tries: u32,
        /// When the order is not carried out any more.
        until: MonoTime,
    },
    /// A stop is under way, or due at `again`.
    Stopping { again: Option<MonoTime> },
    /// An order was answered; lists of holds after number `after` tell what became of it.
    Settling { after: u64, stopped: bool },
    /// The worker listed it as running.
    Listed,
}

/// Worker that runs beside the keeper.
#[derive(Debug)]
struct KeptWorker {
    facts: WorkerFacts,
    address: SocketAddr,
    sequence: u64,
    clock: Option<WorkerClock>,
    /// Number of the last hold.
    hold: u64,
    hold_busy: bool,
    hold_at: MonoTime,
    hold_epoch: PlannerEpoch,
    acknowledged: u64,
    lists: WorkerLists,
    /// Epoch under which the lists were read.
    listed: Option<PlannerEpoch>,
    /// When the worker will leave at the earliest, while it drains.
    leaves: Option<MonoTime>,
}

/// Event of a keeper.
#[derive(Clone, Debug, PartialEq)]
pub enum SupervisorEvent {
    /// The worker announced itself.
    Announced(WorkerAnnouncement),
    /// The worker has left.
    Left {
        /// Id under which it announced itself.
        id: Box<str>,
    },
    /// The link to the planner is open.
    LinkUp(LinkId),
    /// The link to the planner has ended.
    LinkDown,
    /// The planner says something.
    Planner(PlannerMessage),
    /// The worker replied.
    Replied {
        /// Call.
        tag: WorkerTag,
        /// Life that was meant.
        incarnation: WorkerIncarnation,
        /// Reply.
        reply: WorkerReply,
    },
    /// Time has passed.
    Tick,
}

/// Keeper's state machine.
#[derive(Debug)]
pub struct SupervisorMachine {
    policy: SupervisorPolicy,
    worker: Option<KeptWorker>,
    dead: Option<WorkerIncarnation>,
    link: Option<LinkId>,
    epoch: PlannerEpoch,
    orders_seen: u64,
    /// Newest own stamp that the planner granted.
    granted: Option<MonoTime>,
    /// Newest own stamp that the planner had seen when it last wrote.
    seen: MonoTime,
    runs: BTreeMap<RunName, RunStage>,
    traits: BTreeMap<RunName, RunTraits>,
    pace: FillerThrottle,
    report_due: bool,
    reported: MonoTime,
    effects: Vec<Effect>,
}

impl SupervisorMachine {
    /// Makes a keeper that knows nothing yet.
    #[must_use]
    pub fn new(policy: SupervisorPolicy) -> Self {
        Self {
            pace: FillerThrottle::new(policy.pace.clone()),
            policy,
            worker: None,
            dead: None,
            link: None,
            epoch: PlannerEpoch(0),
            orders_seen: 0,
            granted: None,
            seen: MonoTime(0),
            runs: BTreeMap::new(),
            traits: BTreeMap::new(),
            report_due: false,
            reported: MonoTime(0),
            effects: Vec::new(),
        }
    }

    /// Returns the highest epoch that the keeper obeys.
    #[must_use]
    pub fn epoch(&self) -> PlannerEpoch {
        self.epoch
    }

    /// Takes in an event and returns what is to be done.
    pub fn handle(&mut self, now: MonoTime, event: SupervisorEvent) -> Vec<Effect> {
        match event {
            SupervisorEvent::Announced(announcement) => self.take_announcement(now, announcement),
            SupervisorEvent::Left { id } => self.take_leave(&id),
            SupervisorEvent::LinkUp(link) => self.open_link(link),
            SupervisorEvent::LinkDown => self.link = None,
            SupervisorEvent::Planner(message) => self.take_message(now, message),
            SupervisorEvent::Replied {
                tag,
                incarnation,
                reply,
            } => self.take_reply(now, tag, &incarnation, reply),
            SupervisorEvent::Tick => {}
        }
        self.advance_runs(now);
        self.poll_hold(now);
        self.poll_report(now);
        std::mem::take(&mut self.effects)
    }

    fn take_announcement(&mut self, now: MonoTime, announcement: WorkerAnnouncement) {
        let incarnation = announcement.facts.incarnation.clone();
        if self.is_past(&incarnation) {
            self.log(
                "announcement_ignored",
                &incarnation,
                "cause=ended_life".into(),
            );
            return;
        }
        let leaves_in = announcement.facts.leaves_in_ms;
        let leaves = leaves_in.map(|left| now.plus(Duration::from_millis(left.into())));
        match &mut self.worker {
            Some(worker) if worker.facts.incarnation == incarnation => {
                if announcement.sequence > worker.sequence {
                    worker.sequence = announcement.sequence;
                    worker.leaves = leaves;
                    self.report_due |= worker.facts.draining != announcement.facts.draining;
                    worker.facts = announcement.facts;
                    worker.address = announcement.address;
                }
            }
            _ => {
                if let Some(old) = self.worker.take() {
                    self.end_life(old.facts.incarnation, "newer_life_announced");
                }
                self.log(
                    "worker_found",
                    &incarnation,
                    format!("address={}", announcement.address),
                );
                self.worker = Some(KeptWorker {
                    facts: announcement.facts,
                    address: announcement.address,
                    sequence: announcement.sequence,
                    clock: None,
                    hold: 0,
                    hold_busy: false,
                    hold_at: now,
                    hold_epoch: PlannerEpoch(0),
                    acknowledged: 0,
                    lists: WorkerLists::default(),
                    listed: None,
                    leaves,
                });
                self.report_due = true;
            }
        }
    }

    /// Returns whether a life is known to have ended, or is older than the present one.
    fn is_past(&self, incarnation: &WorkerIncarnation) -> bool {
        let before = |known: &WorkerIncarnation| incarnation.born < known.born;
        let dead = self
            .dead
            .as_ref()
            .is_some_and(|dead| dead == incarnation || before(dead));
        let current = self.worker.as_ref().map(|worker| &worker.facts.incarnation);
        dead || current.is_some_and(before)
    }

    fn take_leave(&mut self, id: &str) {
        if self
            .worker
            .as_ref()
            .is_some_and(|worker| &*worker.facts.incarnation.id == id)
            && let Some(worker) = self.worker.as_mut()
        {
            worker.facts.draining = true;
            self.report_due = true;
        }
    }

    fn end_life(&mut self, incarnation: WorkerIncarnation, cause: &str) {
        self.log(
            "worker_lost",
            &incarnation,
            format!("cause={cause} runs={}", self.runs.len()),
        );
        self.dead = Some(incarnation);
        self.worker = None;
        self.runs.clear();
        self.traits.clear();
        self.pace.clear();
        self.report_due = true;
    }

    fn open_link(&mut self, link: LinkId) {
        self.link = Some(link);
        self.orders_seen = 0;
        self.report_due = true;
        self.send(AgentMessage::Hello {
            host: self.policy.host.clone(),
            address: self.policy.address,
            epoch: self.epoch,
        });
    }

    fn take_message(&mut self, now: MonoTime, message: PlannerMessage) {
        match message {
            PlannerMessage::Grant { epoch, stamp, seen } => self.take_grant(epoch, stamp, seen),
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

    fn take_grant(&mut self, epoch: PlannerEpoch, stamp: Option<AgentStamp>, seen: AgentStamp) {
        if epoch < self.epoch {
            self.log("grant_ignored", epoch, format!("obeyed={}", self.epoch));
            return;
        }
        self.epoch = epoch;
        self.seen = self.seen.max(MonoTime(seen.0));
        let stamp = stamp.map(|stamp| MonoTime(stamp.0));
        self.granted = self.granted.max(stamp);
    }

    fn begin_start(&mut self, now: MonoTime, order: StartOrder) {
        let run = order.run;
        let age = now.since(self.seen);
        let worker = self.worker.as_ref();
        let refusal = match worker {
            None => Some((Some(WorkerRefusal::OtherLife), "no_worker")),
            Some(worker) if worker.facts.incarnation != order.incarnation => {
                Some((Some(WorkerRefusal::OtherLife), "other_life"))
            }
            Some(worker) if worker.facts.draining => Some((None, "worker_draining")),
            Some(_) if age > ORDER_AGE => Some((None, "order_too_old")),
            Some(_) if self.runs.contains_key(&run) => return,
            Some(_) => None,
        };
        match refusal {
            Some((refusal, cause)) => {
                let detail = format!("cause={cause} age_ms={}", age.as_millis());
                self.log("start_dropped", run, detail);
                self.not_started(run, order.incarnation, refusal);
            }
            None => {
                self.traits.insert(run, order.traits);
                let until = self.seen.plus(ORDER_AGE);
                let stage = RunStage::Starting {
                    order,
                    tries: 0,
                    until,
                };
                self.runs.insert(run, stage);
                self.call_start(now, run);
            }
        }
    }

    fn begin_stop(&mut self, now: MonoTime, run: RunName, incarnation: &WorkerIncarnation) {
        match &self.worker {
            Some(worker) if worker.facts.incarnation == *incarnation => {
                let again = Some(now);
                self.runs.insert(run, RunStage::Stopping { again });
            }
            _ => self.log("stop_dropped", run, "cause=other_life".into()),
        }
    }

    fn not_started(
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
        let overdue = now.since(self.reported) >= REPORT_SPAN;
        if self.link.is_none() || !(self.report_due || overdue) {
            return;
        }
        self.report_due = false;
        self.reported = now;
        let report = self.report(now);
        self.send(AgentMessage::Report(report));
    }

    fn report(&self, now: MonoTime) -> HostReport {
        let unsettled =
            |(run, stage): (&RunName, &RunStage)| (*stage != RunStage::Listed).then_some(*run);
        let worker = self.worker.as_ref();
        let lists = worker
            .map(|worker| worker.lists.clone())
            .unwrap_or_default();
        let facts = worker.map(|worker| WorkerFacts {
            leaves_in_ms: worker.leaves.map(|at| at.since(now).as_millis() as u32),
            ..worker.facts.clone()
        });
        HostReport {
            stamp: AgentStamp(now.0),
            orders_seen: self.orders_seen,
            worker: facts,
            dead: self.dead.clone(),
            listed: worker.is_some_and(|worker| worker.listed == Some(self.epoch)),
            running: lists.running,
            ended: lists.ended,
            in_flight: self.runs.iter().filter_map(unsettled).collect(),
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
