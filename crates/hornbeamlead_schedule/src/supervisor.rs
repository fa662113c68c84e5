//! Supervisor of the tasks on one worker: sole authority over its capacity, under the host's lease.

mod commands;

use crate::attempt_table::AttemptTable;
use crate::event_context::EventContext;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::counter::{RefusalReason, RetryReason};
use hornbeamlead_core::effect::AgentEffect;
use hornbeamlead_core::ids::{AttemptId, Epoch, HostId};
use hornbeamlead_core::message::control::{CellView, HeartbeatReply, HostHeartbeat};
use hornbeamlead_core::policy::{AgentPolicy, ProcessIdentity};
use hornbeamlead_core::resource::ResourceSize;
use hornbeamlead_core::status::HostMembership;
use hornbeamlead_core::task::{TaskStatus, WorkerAnswer, WorkerCall, WorkerError, WorkerReport};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time before the expiry of the host's lease at which running tasks are checkpointed and stopped.
const STOP_LEAD_TIME: Duration = Duration::from_millis(1000);

/// Time after which an unanswered stop request is retried.
const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(1500);

/// Time after which a report counts as lost: the timeouts of the call and the longest wait for the
/// decision thread, with a margin.
const REPORT_TIMEOUT: Duration = Duration::from_secs(8);

/// One in this many heartbeats carries the full table even if its digest is acknowledged, since
/// usage readings do not change the digest.
const FULL_TABLE_EVERY: u64 = 8;

/// Low bits of a heartbeat's sequence that count within one incarnation of the agent.
const SEQUENCE_BITS: u32 = 20;

/// Planner that the agent follows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct KnownPlanner {
    /// Host, as given by its reply or by its claim on the log.
    pub(crate) host: HostId,
    /// Address of its control datagrams.
    pub(crate) address: SocketAddr,
}

/// Latest request for the worker's report, until it is answered or counts as lost.
#[derive(Clone, Copy, Debug)]
struct ReportRequest {
    number: u64,
    requested_at: MonoTime,
    lost_at: MonoTime,
}

/// Supervisor of the tasks on one worker.
#[derive(Debug)]
pub(crate) struct TaskSupervisor {
    identity: ProcessIdentity,
    policy: AgentPolicy,
    worker: Option<SocketAddr>,
    table: AttemptTable,
    /// Recently forgotten attempts whose start command may still arrive, and until when it may.
    fenced: BTreeMap<AttemptId, MonoTime>,
    membership: HostMembership,
    epoch: Epoch,
    planner: Option<KnownPlanner>,
    first_sequence: u64,
    sequence: u64,
    next_heartbeat: MonoTime,
    acknowledged: u64,
    /// Number of the latest request for a report.
    last_report: u64,
    report_request: Option<ReportRequest>,
    report_received: bool,
    service_p99_us: Option<u64>,
    /// Latest expiry of any lease that may have been passed to the worker.
    worker_lease_until: MonoTime,
    leaving: bool,
}

impl TaskSupervisor {
    /// Creates the supervisor of a process that has just started.
    pub(crate) fn new(identity: ProcessIdentity, policy: AgentPolicy) -> Self {
        let first_sequence = identity.incarnation.0.wrapping_shl(SEQUENCE_BITS);
        Self {
            identity,
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
            last_report: 0,
            report_request: None,
            report_received: false,
            service_p99_us: None,
            worker_lease_until: MonoTime(0),
            leaving: false,
        }
    }

    /// Returns the host's lease and its view of the cell.
    pub(crate) fn membership(&self) -> &HostMembership {
        &self.membership
    }

    /// Returns the newest known epoch.
    pub(crate) fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the planner that the agent follows.
    pub(crate) fn planner(&self) -> Option<&KnownPlanner> {
        self.planner.as_ref()
    }

    /// Returns whether the worker's list is known, so that heartbeats may be sent.
    pub(crate) fn is_ready(&self) -> bool {
        self.report_received
    }

    /// Returns the sum of the reservations of the admitted attempts.
    pub(crate) fn admitted(&self) -> ResourceSize {
        self.table.admitted()
    }

    pub(crate) fn statuses(&self) -> Vec<TaskStatus> {
        self.table.statuses()
    }

    /// Marks the process as stopping; no further start is accepted.
    pub(crate) fn begin_shutdown(&mut self) {
        self.leaving = true;
    }

    /// Sets the worker's address; a new worker is queried for its list again.
    pub(crate) fn set_worker(&mut self, address: SocketAddr) {
        if self.worker == Some(address) {
            return;
        }
        self.worker = Some(address);
        self.report_received = false;
        self.report_request = None;
    }

    /// Follows a planner learned from the log or from a reply, if its epoch is newer.
    pub(crate) fn follow_planner(&mut self, epoch: Epoch, planner: KnownPlanner) {
        if epoch <= self.epoch {
            return;
        }
        self.epoch = epoch;
        self.acknowledged = 0;
        self.planner = Some(planner);
        self.next_heartbeat = MonoTime(0);
    }

    /// Returns when the next heartbeat is due.
    pub(crate) fn due(&self) -> MonoTime {
        self.next_heartbeat
    }

    /// Enforces the lease, requests the worker's list, and returns a heartbeat if one is due.
    pub(crate) fn tick(&mut self, context: &mut EventContext<'_>) -> Option<HostHeartbeat> {
        self.enforce_lease(context);
        if context.mono() < self.next_heartbeat {
            return None;
        }
        self.next_heartbeat = context.mono().plus(self.policy.schedule.heartbeat);
        let now = context.mono();
        self.fenced.retain(|_, until| *until > now);
        self.request_report(context);
        self.report_received.then(|| self.heartbeat(context))
    }

    fn request_report(&mut self, context: &mut EventContext<'_>) {
        let now = context.mono();
        let pending = self.report_request.filter(|request| now < request.lost_at);
        if pending.is_some() || self.worker.is_none() {
            return;
        }
        self.last_report += 1;
        let number = self.last_report;
        self.report_request = Some(ReportRequest {
            number,
            requested_at: now,
            lost_at: now.plus(REPORT_TIMEOUT),
        });
        self.call(WorkerCall::Report { number }, context);
    }

    fn heartbeat(&mut self, context: &EventContext<'_>) -> HostHeartbeat {
        self.sequence += 1;
        let digest = self.table.digest();
        let whole = digest != self.acknowledged || self.sequence.is_multiple_of(FULL_TABLE_EVERY);
        HostHeartbeat {
            host: self.identity.host.clone(),
            incarnation: self.identity.incarnation,
            sequence: self.sequence,
            clock: context.mono(),
            epoch: self.epoch,
            data_centre: self.identity.data_centre.clone(),
            rack: self.identity.rack.clone(),
            link_address: self.identity.link_address,
            capacity: self.policy.batch_capacity,
            admitted: self.table.admitted(),
            revision: context.fleet.revision(),
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

    /// Checkpoints and stops running tasks shortly before the lease expires, and marks those whose
    /// lease at the worker has expired as lapsed.
    fn enforce_lease(&mut self, context: &mut EventContext<'_>) {
        let now = context.mono();
        if now > self.worker_lease_until.plus(self.policy.schedule.margin)
            && self.worker_lease_until.0 > 0
        {
            self.table.mark_lapsed();
        }
        let Some(lease_until) = self.membership.lease_until else {
            return;
        };
        if now < lease_until.minus(STOP_LEAD_TIME) {
            return;
        }
        let attempts: Vec<AttemptId> = self.running_attempts();
        for attempt in attempts {
            self.stop("lease_ends", &attempt, context);
        }
    }

    fn running_attempts(&self) -> Vec<AttemptId> {
        self.table
            .running()
            .map(|status| status.attempt.clone())
            .collect()
    }

    fn stop(&mut self, rule: &'static str, attempt: &AttemptId, context: &mut EventContext<'_>) {
        let now = context.mono();
        if !self
            .table
            .request_stop(attempt, now, now.minus(STOP_RETRY_INTERVAL))
        {
            return;
        }
        context.log_decision(
            rule,
            format!("task:{attempt}"),
            format!("epoch={}", self.epoch),
        );
        let call = WorkerCall::Stop {
            attempt: attempt.clone(),
            checkpoint: true,
        };
        self.call(call, context);
    }

    fn call(&self, call: WorkerCall, context: &mut EventContext<'_>) {
        if let Some(address) = self.worker {
            context.emit(AgentEffect::CallWorker { address, call });
        }
    }

    /// Applies the lease, view and commands of a planner's reply; returns false if it was rejected.
    pub(crate) fn handle_reply(
        &mut self,
        reply: &HeartbeatReply,
        context: &mut EventContext<'_>,
    ) -> bool {
        if reply.epoch < self.epoch {
            context.count_refusal(RefusalReason::StaleEpoch);
            return false;
        }
        if reply.sequence <= self.first_sequence || reply.sequence > self.sequence {
            context.count_refusal(RefusalReason::StrayAnswer);
            return false;
        }
        self.follow_planner(
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
        self.apply_view(reply.view.as_ref());
        self.apply_lease(reply.lease_until, context);
        for command in &reply.commands {
            self.execute(command, context);
        }
        true
    }

    /// Applies a view of the cell unless it is older than the known one.
    pub(crate) fn apply_view(&mut self, view: Option<&CellView>) {
        let known = self.membership.view.as_ref().map_or(0, |view| view.number);
        match view {
            Some(view) if view.number > known => self.membership.view = Some(view.clone()),
            Some(_) | None => {}
        }
    }

    fn apply_lease(&mut self, until: Option<MonoTime>, context: &mut EventContext<'_>) {
        let Some(until) = until.filter(|until| Some(*until) > self.membership.lease_until) else {
            return;
        };
        self.membership.lease_until = Some(until);
        let attempts = self.running_attempts();
        if until <= context.mono() || attempts.is_empty() {
            return;
        }
        self.worker_lease_until = self.worker_lease_until.max(until);
        let call = WorkerCall::Renew {
            attempts,
            lease_until: until,
        };
        self.call(call, context);
    }

    /// Handles the result of a worker call.
    pub(crate) fn handle_worker_answer(
        &mut self,
        call: &WorkerCall,
        result: &Result<WorkerAnswer, WorkerError>,
        context: &mut EventContext<'_>,
    ) {
        if matches!(result, Err(WorkerError::NoAnswer)) {
            context.count_retry(RetryReason::WorkerCall);
        }
        match (call, result) {
            (WorkerCall::Report { number }, result) => {
                let answered = |request: &mut ReportRequest| request.number == *number;
                let request = self.report_request.take_if(answered);
                if let (Some(request), Ok(WorkerAnswer::Report(report))) = (request, result) {
                    self.apply_report(report, request.requested_at);
                }
            }
            (WorkerCall::Start { order, .. }, Ok(_)) => {
                self.table.mark_confirmed(&order.attempt, context.mono());
                self.next_heartbeat = context.mono();
            }
            (WorkerCall::Start { order, .. }, Err(WorkerError::Refused { reason })) => {
                let subject = format!("task:{}", order.attempt);
                context.log_decision("worker_refused", subject, format!("reason=\"{reason}\""));
                self.table.mark_refused(&order.attempt);
            }
            (WorkerCall::Start { order, .. }, Err(WorkerError::NoAnswer)) => {
                self.table.mark_unconfirmed(&order.attempt, context.mono());
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

    fn apply_report(&mut self, report: &WorkerReport, requested_at: MonoTime) {
        let before = self.table.digest();
        self.table.apply_report(&report.tasks, requested_at);
        self.service_p99_us = report.service_p99_us;
        let first = !self.report_received;
        self.report_received = true;
        if first || before != self.table.digest() {
            self.next_heartbeat = MonoTime(0);
        }
    }
}
