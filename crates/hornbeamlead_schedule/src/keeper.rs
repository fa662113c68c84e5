//! Keeper of the tasks on one worker: sole authority over its capacity, under the host's lease.

mod commands;

use crate::keeper_table::AttemptTable;
use crate::turn::TurnContext;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::counter::{RefusalReason, RetryReason};
use hornbeamlead_core::effect::AgentEffect;
use hornbeamlead_core::ids::{AttemptId, Epoch, HostId};
use hornbeamlead_core::message::control::{HeartbeatReply, HostHeartbeat};
use hornbeamlead_core::policy::{AgentPolicy, ProcessIdentity};
use hornbeamlead_core::resource::ResourceSize;
use hornbeamlead_core::status::HostMembership;
use hornbeamlead_core::task::{TaskStatus, WorkerAnswer, WorkerCall, WorkerError, WorkerReport};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time before the end of the host's lease at which running tasks are checkpointed and stopped.
const STOP_AHEAD: Duration = Duration::from_millis(1000);

/// Time after which an unanswered stop is asked again.
const STOP_AGAIN: Duration = Duration::from_millis(1500);

/// Heartbeats after which the whole table goes out again, for its usage readings.
const WHOLE_EVERY: u64 = 8;

/// Bits of a heartbeat's sequence that count within one life of the agent.
const SEQUENCE_BITS: u32 = 20;

/// Planner that the agent obeys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct KnownPlanner {
    /// Its host, once it has answered or was read on the log.
    pub(crate) host: HostId,
    /// Address of its control datagrams.
    pub(crate) address: SocketAddr,
}

/// Keeper of the tasks on one worker.
#[derive(Debug)]
pub(crate) struct TaskKeeper {
    place: ProcessIdentity,
    policy: AgentPolicy,
    worker: Option<SocketAddr>,
    table: AttemptTable,
    /// Attempts dropped of late, whose start may still arrive, and until when.
    fenced: BTreeMap<AttemptId, MonoTime>,
    membership: HostMembership,
    epoch: Epoch,
    planner: Option<KnownPlanner>,
    first_sequence: u64,
    sequence: u64,
    next_heartbeat: MonoTime,
    acknowledged: u64,
    report_asked: Option<MonoTime>,
    reported: bool,
    service_p99_us: Option<u64>,
    /// Latest end of a lease that the worker may have been given.
    worker_lease: MonoTime,
    leaving: bool,
}

impl TaskKeeper {
    /// Makes the keeper of a process that has just started.
    pub(crate) fn new(place: ProcessIdentity, policy: AgentPolicy) -> Self {
        let first_sequence = place.incarnation.0.wrapping_shl(SEQUENCE_BITS);
        Self {
            place,
            policy,
            worker: None,
            table: AttemptTable::default(),
            fenced: BTreeMap::new(),
            membership: HostMembership::default(),
            epoch: Epoch(0),
            planner: None,
            first_sequence,
            sequence: first_sequence,
            next_heartbeat: MonoTime(0),
            acknowledged: 0,
            report_asked: None,
            reported: false,
            service_p99_us: None,
            worker_lease: MonoTime(0),
            leaving: false,
        }
    }

    /// Returns the host's lease and view.
    pub(crate) fn membership(&self) -> &HostMembership {
        &self.membership
    }

    /// Returns the newest epoch seen.
    pub(crate) fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the planner obeyed.
    pub(crate) fn planner(&self) -> Option<&KnownPlanner> {
        self.planner.as_ref()
    }

    /// Returns whether the worker's list is known, so that heartbeats may go out.
    pub(crate) fn is_ready(&self) -> bool {
        self.reported
    }

    /// Returns what is admitted.
    pub(crate) fn admitted(&self) -> ResourceSize {
        self.table.admitted()
    }

    /// Returns all attempts.
    pub(crate) fn statuses(&self) -> Vec<TaskStatus> {
        self.table.statuses()
    }

    /// Notes that the process is stopping.
    pub(crate) fn leave(&mut self) {
        self.leaving = true;
    }

    /// Notes where the worker is.
    pub(crate) fn find_worker(&mut self, address: SocketAddr) {
        if self.worker == Some(address) {
            return;
        }
        self.worker = Some(address);
        self.reported = false;
        self.report_asked = None;
    }

    /// Follows a planner that was read on the log or heard of, if its epoch is newer.
    pub(crate) fn follow(&mut self, epoch: Epoch, planner: KnownPlanner) {
        if epoch <= self.epoch {
            return;
        }
        self.epoch = epoch;
        self.acknowledged = 0;
        self.planner = Some(planner);
        self.next_heartbeat = MonoTime(0);
    }

    /// Returns when something is due next.
    pub(crate) fn due(&self) -> MonoTime {
        self.next_heartbeat
    }

    /// Asks the worker for its list, guards the lease, and returns a heartbeat if one is due.
    pub(crate) fn tick(&mut self, turn: &mut TurnContext<'_>) -> Option<HostHeartbeat> {
        self.guard_lease(turn);
        if turn.mono() < self.next_heartbeat {
            return None;
        }
        self.next_heartbeat = turn.mono().plus(self.policy.schedule.heartbeat);
        let now = turn.mono();
        self.fenced.retain(|_, until| *until > now);
        self.ask_report(turn);
        self.reported.then(|| self.heartbeat(turn))
    }

    fn ask_report(&mut self, turn: &mut TurnContext<'_>) {
        if self.report_asked.is_some() || self.worker.is_none() {
            return;
        }
        self.report_asked = Some(turn.mono());
        self.call(WorkerCall::Report, turn);
    }

    fn heartbeat(&mut self, turn: &TurnContext<'_>) -> HostHeartbeat {
        self.sequence += 1;
        let digest = self.table.digest();
        let whole = digest != self.acknowledged || self.sequence.is_multiple_of(WHOLE_EVERY);
        HostHeartbeat {
            host: self.place.host.clone(),
            incarnation: self.place.incarnation,
            sequence: self.sequence,
            clock: turn.mono(),
            epoch: self.epoch,
            data_centre: self.place.data_centre.clone(),
            rack: self.place.rack.clone(),
            link_address: self.place.link_address,
            capacity: self.policy.batch_capacity,
            admitted: self.table.admitted(),
            revision: turn.fleet.revision(),
            view: self.membership.view.as_ref().map_or(0, |view| view.number),
            table_digest: digest,
            tasks: if whole {
                self.table.statuses()
            } else {
                Vec::new()
            },
            whole,
            service_p99_us: self.service_p99_us,
            leaving: self.leaving,
        }
    }

    /// Checkpoints and stops what runs shortly before the lease ends, and notes what lapsed.
    fn guard_lease(&mut self, turn: &mut TurnContext<'_>) {
        let now = turn.mono();
        if now > self.worker_lease.plus(self.policy.schedule.margin) && self.worker_lease.0 > 0 {
            self.table.lapse();
        }
        let Some(lease_until) = self.membership.lease_until else {
            return;
        };
        if now < lease_until.minus(STOP_AHEAD) {
            return;
        }
        let attempts: Vec<AttemptId> = self.running_attempts();
        for attempt in attempts {
            self.stop("lease_ends", &attempt, turn);
        }
    }

    fn running_attempts(&self) -> Vec<AttemptId> {
        self.table
            .running()
            .map(|status| status.attempt.clone())
            .collect()
    }

    fn stop(&mut self, rule: &'static str, attempt: &AttemptId, turn: &mut TurnContext<'_>) {
        let now = turn.mono();
        if !self.table.ask_stop(attempt, now, now.minus(STOP_AGAIN)) {
            return;
        }
        turn.decide(
            rule,
            format!("task:{attempt}"),
            format!("epoch={}", self.epoch),
        );
        let call = WorkerCall::Stop {
            attempt: attempt.clone(),
            checkpoint: true,
        };
        self.call(call, turn);
    }

    fn call(&self, call: WorkerCall, turn: &mut TurnContext<'_>) {
        if let Some(address) = self.worker {
            turn.emit(AgentEffect::CallWorker { address, call });
        }
    }

    /// Takes the planner's answer: lease, view and commands; returns false for one to be dropped.
    pub(crate) fn take_reply(
        &mut self,
        reply: &HeartbeatReply,
        turn: &mut TurnContext<'_>,
    ) -> bool {
        if reply.epoch < self.epoch {
            turn.refuse(RefusalReason::StaleEpoch);
            return false;
        }
        if reply.sequence <= self.first_sequence || reply.sequence > self.sequence {
            turn.refuse(RefusalReason::StrayAnswer);
            return false;
        }
        self.follow(
            reply.epoch,
            KnownPlanner {
                host: reply.planner.clone(),
                address: reply.link_address,
            },
        );
        self.acknowledged = if reply.want_whole {
            0
        } else {
            reply.acknowledged
        };
        self.take_view(reply);
        self.take_lease(reply.lease_until, turn);
        for command in &reply.commands {
            self.obey(command, turn);
        }
        true
    }

    fn take_view(&mut self, reply: &HeartbeatReply) {
        let known = self.membership.view.as_ref().map_or(0, |view| view.number);
        match &reply.view {
            Some(view) if view.number > known => self.membership.view = Some(view.clone()),
            Some(_) | None => {}
        }
    }

    fn take_lease(&mut self, until: Option<MonoTime>, turn: &mut TurnContext<'_>) {
        let Some(until) = until.filter(|until| Some(*until) > self.membership.lease_until) else {
            return;
        };
        self.membership.lease_until = Some(until);
        let attempts = self.running_attempts();
        if until <= turn.mono() || attempts.is_empty() {
            return;
        }
        self.worker_lease = self.worker_lease.max(until);
        let call = WorkerCall::Renew {
            attempts,
            lease_until: until,
        };
        self.call(call, turn);
    }

    /// Takes a worker's answer.
    pub(crate) fn take_answer(
        &mut self,
        call: &WorkerCall,
        result: &Result<WorkerAnswer, WorkerError>,
        turn: &mut TurnContext<'_>,
    ) {
        if matches!(result, Err(WorkerError::NoAnswer)) {
            turn.retry(RetryReason::WorkerCall);
        }
        match (call, result) {
            (WorkerCall::Report, Ok(WorkerAnswer::Report(report))) => self.take_report(report),
            (WorkerCall::Report, _) => self.report_asked = None,
            (WorkerCall::Start { order, .. }, Ok(_)) => {
                self.table.confirm(&order.attempt, turn.mono());
                self.next_heartbeat = turn.mono();
            }
            (WorkerCall::Start { order, .. }, Err(WorkerError::Refused { reason })) => {
                let subject = format!("task:{}", order.attempt);
                turn.decide("worker_refused", subject, format!("reason=\"{reason}\""));
                self.table.refuse(&order.attempt);
            }
            (WorkerCall::Start { order, .. }, Err(WorkerError::NoAnswer)) => {
                self.table.doubt(&order.attempt, turn.mono());
            }
            (WorkerCall::Forget { attempt }, Ok(_)) => self.table.forget(attempt),
            (
                WorkerCall::Forget { .. }
                | WorkerCall::Renew { .. }
                | WorkerCall::Checkpoint { .. }
                | WorkerCall::Throttle { .. }
                | WorkerCall::Stop { .. },
                _,
            ) => {}
        }
    }

    fn take_report(&mut self, report: &WorkerReport) {
        let Some(asked_at) = self.report_asked.take() else {
            return;
        };
        let before = self.table.digest();
        self.table.take_report(&report.tasks, asked_at);
        self.service_p99_us = report.service_p99_us;
        let first = !self.reported;
        self.reported = true;
        if first || before != self.table.digest() {
            self.next_heartbeat = MonoTime(0);
        }
    }
}
