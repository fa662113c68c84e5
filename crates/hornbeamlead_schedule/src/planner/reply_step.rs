//! Replies to heartbeats with leases, view and commands; requests promises from the successor.

use crate::cell_log::CellState;
use crate::event_context::EventContext;
use crate::planner::hosts::{HostEntry, HostTable};
use crate::planner::orders;
use crate::planner::reconcile;
use crate::planner::{CellPlanner, PlannerInputs};
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::effect::AgentEffect;
use hornbeamlead_core::ids::HostId;
use hornbeamlead_core::message::control::{
    CellView, ControlMessage, HeartbeatReply, PromiseRequest, TaskCommand,
};
use hornbeamlead_core::record::SuccessorName;
use hornbeamlead_core::task::TaskStatus;

/// Maximum number of commands in one reply, so that it fits into a datagram.
const COMMANDS_PER_REPLY: usize = 32;

impl CellPlanner {
    /// Returns the reply to the newest heartbeat of a host, and renews its lease if allowed.
    pub(super) fn reply(
        &mut self,
        host: &HostId,
        inputs: PlannerInputs<'_>,
        context: &mut EventContext<'_>,
    ) -> Option<HeartbeatReply> {
        let may_renew = self
            .planner_lease
            .may_renew(context.mono(), &self.policy.schedule);
        let lease = self.policy.schedule.lease;
        if let Some(entry) = self.hosts.get_mut(host).filter(|_| may_renew) {
            entry.renewed = Some(entry.received);
        }
        let commands = self.commands(host, inputs, context);
        let entry = self.hosts.get(host)?;
        let known = entry.table.is_some() && entry.table_at == entry.received;
        Some(HeartbeatReply {
            cell: self.cell_id(),
            planner: self.identity.host.clone(),
            epoch: self.epoch,
            sequence: entry.sequence,
            lease_until: may_renew.then(|| entry.clock.plus(lease)),
            revision: context.fleet.revision(),
            link_address: self.identity.link_address,
            view: self.newer_view(entry.view),
            acknowledged: if known { entry.digest } else { 0 },
            want_whole: !known,
            commands,
        })
    }

    fn newer_view(&self, known: u64) -> Option<CellView> {
        let view = self.view.view()?;
        (view.number > known).then(|| view.clone())
    }

    fn commands(
        &mut self,
        host: &HostId,
        inputs: PlannerInputs<'_>,
        context: &mut EventContext<'_>,
    ) -> Vec<TaskCommand> {
        let Some(entry) = self.hosts.get(host) else {
            return Vec::new();
        };
        let mut commands: Vec<TaskCommand> = entry
            .statuses()
            .filter_map(|status| self.command(status, host, inputs.cell, context))
            .collect();
        let starts = self.start_commands(host, inputs, context);
        commands.splice(0..0, starts);
        commands.truncate(COMMANDS_PER_REPLY);
        commands
    }

    fn command(
        &self,
        status: &TaskStatus,
        host: &HostId,
        cell: &CellState,
        context: &EventContext<'_>,
    ) -> Option<TaskCommand> {
        let by_log = reconcile::table_command(status, host, cell);
        if by_log.is_some() {
            return by_log;
        }
        let attempt = status.attempt.clone();
        if self
            .stop_reason(status, context.fleet, context.mono())
            .is_some()
        {
            return Some(TaskCommand::Stop { attempt });
        }
        let speed_percent = self.target_speed(status);
        let differs = status.phase == hornbeamlead_core::task::TaskPhase::Running
            && status.speed_percent != speed_percent;
        differs.then_some(TaskCommand::Throttle {
            attempt,
            speed_percent,
        })
    }

    fn start_commands(
        &mut self,
        host: &HostId,
        inputs: PlannerInputs<'_>,
        context: &EventContext<'_>,
    ) -> Vec<TaskCommand> {
        let fresh = self.planner_lease.is_fresh(context.mono(), self.schedule());
        let in_service = self.in_service(context.fleet);
        let (Some(notes_tail), true, true) = (inputs.notes_tail, fresh, in_service) else {
            return Vec::new();
        };
        let schedule = &self.policy.schedule;
        let Some(entry) = self.hosts.get(host) else {
            return Vec::new();
        };
        let start_by = orders::start_by(entry, notes_tail, schedule);
        let recorded = |attempt: &_| reconcile::runs_here(attempt, host, inputs.cell);
        self.orders
            .commands(host, entry, start_by, context.mono(), recorded)
    }

    /// Sends start commands whose records were read back, without waiting for the next heartbeat.
    pub(super) fn send_pending_starts(
        &mut self,
        inputs: PlannerInputs<'_>,
        context: &mut EventContext<'_>,
    ) {
        let hosts: Vec<HostId> = self
            .orders
            .unsent()
            .filter(|(attempt, host)| reconcile::runs_here(attempt, host, inputs.cell))
            .map(|(_, host)| host.clone())
            .collect();
        for host in hosts {
            self.send_starts(&host, inputs, context);
        }
    }

    fn send_starts(
        &mut self,
        host: &HostId,
        inputs: PlannerInputs<'_>,
        context: &mut EventContext<'_>,
    ) {
        let unsent = self.orders.unsent().any(|(_, other)| other == host);
        if !unsent {
            return;
        }
        let Some(reply) = self.reply(host, inputs, context) else {
            return;
        };
        let starts = |command: &TaskCommand| matches!(command, TaskCommand::Start { .. });
        if !reply.commands.iter().any(starts) {
            return;
        }
        if let Some(entry) = self.hosts.get(host) {
            context.emit(AgentEffect::SendDatagram {
                to: entry.address,
                message: ControlMessage::HeartbeatReply(reply),
            });
        }
    }

    /// Requests a promise from the named successor while the log is slow or unavailable.
    pub(super) fn request_promise(&mut self, cell: &CellState, context: &mut EventContext<'_>) {
        let now = context.mono();
        if now < self.next_promise_request
            || !self.planner_lease.needs_promise(now, self.schedule())
        {
            return;
        }
        self.next_promise_request = now.plus(self.schedule().heartbeat);
        let Some(successor) = cell.successor() else {
            return;
        };
        let Some(entry) = self.hosts.get(&successor.host) else {
            return;
        };
        context.emit(AgentEffect::SendDatagram {
            to: successor.control_address,
            message: ControlMessage::PromiseRequest(PromiseRequest {
                cell: self.cell_id(),
                planner: self.identity.host.clone(),
                epoch: self.epoch,
                clock: now,
                incarnation: entry.incarnation,
            }),
        });
    }

    /// Returns the successor to name; `None` if the current one is suitable or no host is.
    pub(crate) fn successor_candidate(
        &self,
        cell: &CellState,
        now: MonoTime,
    ) -> Option<SuccessorName> {
        let is_suitable = |host: &HostId, entry: &HostEntry| {
            let live = entry.renewed.is_some() && !self.is_lapsed(host, now);
            *host != self.identity.host && live && !entry.leaving
        };
        let current = cell.successor().and_then(|name| {
            let entry = self.hosts.get(&name.host)?;
            is_suitable(&name.host, entry).then_some(())
        });
        if current.is_some() {
            return None;
        }
        let candidates = self
            .hosts
            .hosts()
            .iter()
            .filter(|(host, entry)| is_suitable(host, entry));
        candidates
            .min_by_key(|(host, entry)| (entry.rack == self.identity.rack, (*host).clone()))
            .map(|(host, entry)| SuccessorName {
                host: host.clone(),
                control_address: entry.address,
            })
    }

    /// Sets the view to the hosts with a valid lease, once all leases of previous planners have
    /// expired.
    pub(super) fn update_view(&mut self, now: MonoTime) {
        let schedule = &self.policy.schedule;
        let earlier = self.planner_lease.predecessor_until();
        let first = self.planner_lease.is_first_planner();
        if !first && now <= earlier.plus(schedule.lease).plus(schedule.margin) {
            return;
        }
        let live = self
            .hosts
            .hosts()
            .iter()
            .filter(|(host, entry)| entry.renewed.is_some() && !self.is_lapsed(host, now));
        let members = live
            .map(|(host, entry)| HostTable::member(host, entry))
            .collect();
        self.view.update(self.epoch, members);
    }
}
