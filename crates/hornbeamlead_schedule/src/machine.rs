//! Batch side of an agent: supervises its worker's tasks and, while elected, plans its cell.

mod log_events;

use crate::cell_log::CellState;
use crate::election::EpochElection;
use crate::event_context::EventContext;
use crate::planner::{CellPlanner, PlannerInputs};
use crate::stream::StreamReader;
use crate::stream_poller::StreamPoller;
use crate::supervisor::TaskSupervisor;
use hornbeamlead_core::clock::{ClockReading, MonoTime};
use hornbeamlead_core::effect::AgentEffect;
use hornbeamlead_core::event::AgentEvent;
use hornbeamlead_core::fleet::FleetState;
use hornbeamlead_core::ids::{Epoch, LogOffset, Revision};
use hornbeamlead_core::message::control::{ControlMessage, HeartbeatReply, HostHeartbeat};
use hornbeamlead_core::message::request::LinkMessage;
use hornbeamlead_core::policy::{AgentPolicy, ProcessIdentity};
use hornbeamlead_core::record::StreamName;
use hornbeamlead_core::status::{CellStatus, HostMembership, ScheduleStatus};
use std::net::SocketAddr;
use std::time::Duration;

/// Minimum time between requests to a peer for notes.
const NOTES_REQUEST_INTERVAL: Duration = Duration::from_millis(300);

/// Time between updates of the cell's status.
const STATUS_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum time between wake-ups.
const MAX_WAKE_INTERVAL: Duration = Duration::from_millis(500);

/// Time until overdue work that has to wait for an event is checked again.
const OVERDUE_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Heartbeats without an answer after which the planner is considered silent.
const MAX_UNANSWERED_HEARTBEATS: u32 = 3;

/// Batch side of an agent.
#[derive(Debug)]
pub struct ScheduleMachine {
    identity: ProcessIdentity,
    policy: AgentPolicy,
    supervisor: TaskSupervisor,
    election: EpochElection,
    cell: StreamReader<CellState>,
    cell_poller: StreamPoller,
    notes_poller: StreamPoller,
    /// Offset to read the notes from while a gap is being skipped; 0 otherwise.
    notes_cursor: LogOffset,
    notes_requested_at: MonoTime,
    /// Epoch of the newest forced claim, and when it was first read.
    forced: Option<(Epoch, MonoTime)>,
    planner: Option<Box<CellPlanner>>,
    /// Status of the cell, updated periodically while this agent plans it.
    planning: Option<CellStatus>,
    next_status: MonoTime,
}

impl ScheduleMachine {
    /// Creates the batch side of a process that has just started.
    #[must_use]
    pub fn new(identity: ProcessIdentity, policy: AgentPolicy) -> Self {
        Self {
            supervisor: TaskSupervisor::new(identity.clone(), policy.clone()),
            election: EpochElection::new(identity.clone(), policy.clone()),
            cell: StreamReader::default(),
            cell_poller: StreamPoller::new(StreamName::Cell(policy.cell)),
            notes_poller: StreamPoller::new(StreamName::Notes),
            notes_cursor: LogOffset(0),
            notes_requested_at: MonoTime(0),
            forced: None,
            planner: None,
            planning: None,
            next_status: MonoTime(0),
            identity,
            policy,
        }
    }

    /// Handles one event and appends the resulting effects, the last of which is a wake-up request.
    pub fn handle(
        &mut self,
        now: ClockReading,
        fleet: &FleetState,
        event: &AgentEvent,
        effects: &mut Vec<AgentEffect>,
    ) {
        let mut context = EventContext {
            now,
            fleet,
            effects,
        };
        self.dispatch(event, &mut context);
        self.tick(&mut context);
        let due = self.due(context.mono());
        context.emit(AgentEffect::WakeAt(due));
    }

    /// Returns the host's lease and its view of the cell.
    #[must_use]
    pub fn membership(&self) -> &HostMembership {
        self.supervisor.membership()
    }

    /// Returns whether this process plans its cell.
    #[must_use]
    pub fn is_planner(&self) -> bool {
        self.planner.is_some()
    }

    /// Returns whether this process may exit; the batch side never delays the exit.
    ///
    /// Running tasks continue under their lease at the worker, and the next process adopts them.
    #[must_use]
    pub fn idle(&self) -> bool {
        true
    }

    /// Returns the status shown to operators.
    #[must_use]
    pub fn status(&self) -> ScheduleStatus {
        ScheduleStatus {
            cell: self.policy.cell,
            planner: self
                .supervisor
                .planner()
                .map(|planner| planner.host.clone()),
            epoch: self.supervisor.epoch(),
            lease_until: self.supervisor.membership().lease_until,
            log_up: self.cell_poller.is_available(),
            capacity: self.policy.batch_capacity,
            admitted: self.supervisor.admitted(),
            tasks: self.supervisor.statuses(),
            planning: self.planning.clone(),
        }
    }

    fn dispatch(&mut self, event: &AgentEvent, context: &mut EventContext<'_>) {
        match event {
            AgentEvent::EndpointAnnounced(announce) => {
                self.supervisor.set_worker(announce.worker_address);
            }
            AgentEvent::WorkerDone { call, result } => {
                self.supervisor.handle_worker_answer(call, result, context);
            }
            AgentEvent::Datagram { from, message } => self.handle_datagram(*from, message, context),
            AgentEvent::LogRead {
                stream,
                began,
                result,
            } => self.handle_read(stream, *began, result, context),
            AgentEvent::LogAppended { stream, id, result } => {
                let failed = result.is_err();
                self.handle_append(stream, id, failed, context.mono());
            }
            AgentEvent::StopRequested => self.supervisor.begin_shutdown(),
            _ => {}
        }
    }

    fn handle_datagram(
        &mut self,
        from: SocketAddr,
        message: &ControlMessage,
        context: &mut EventContext<'_>,
    ) {
        match message {
            ControlMessage::Heartbeat(heartbeat) => self.handle_heartbeat(from, heartbeat, context),
            ControlMessage::HeartbeatReply(reply) if reply.cell == self.policy.cell => {
                self.handle_reply(reply, context);
            }
            ControlMessage::AnnounceReply(reply) => {
                self.request_notes(reply.revision, reply.link_address, context);
            }
            ControlMessage::PromiseRequest(request) => {
                let known = self.cell.state().epoch();
                let grant = self.election.promise(request, context.mono());
                if let Some(grant) = grant.filter(|_| request.epoch >= known) {
                    let message = ControlMessage::PromiseGrant(grant);
                    context.emit(AgentEffect::SendDatagram { to: from, message });
                }
            }
            ControlMessage::PromiseGrant(grant) => {
                let not_claiming = !self.election.is_claiming();
                if let Some(planner) = self.planner.as_mut().filter(|_| not_claiming) {
                    planner.accept_promise(grant, self.cell.state());
                }
            }
            ControlMessage::HeartbeatReply(_) | ControlMessage::Announce(_) => {}
        }
    }

    /// Answers a heartbeat as planner, or forwards it to the known planner.
    fn handle_heartbeat(
        &mut self,
        from: SocketAddr,
        heartbeat: &HostHeartbeat,
        context: &mut EventContext<'_>,
    ) {
        if let Some(reply) = self.reply_as_planner(heartbeat, context) {
            context.emit(AgentEffect::SendDatagram {
                to: heartbeat.link_address,
                message: ControlMessage::HeartbeatReply(reply),
            });
            return;
        }
        let newer = self.supervisor.epoch() > heartbeat.epoch;
        let planner = self.supervisor.planner().map(|planner| planner.address);
        match planner.filter(|to| newer && self.planner.is_none() && *to != from) {
            Some(to) if to != self.identity.control_address => {
                context.emit(AgentEffect::SendDatagram {
                    to,
                    message: ControlMessage::Heartbeat(heartbeat.clone()),
                })
            }
            Some(_) | None => {}
        }
    }

    fn reply_as_planner(
        &mut self,
        heartbeat: &HostHeartbeat,
        context: &mut EventContext<'_>,
    ) -> Option<HeartbeatReply> {
        let notes_tail = self.notes_poller.tail_read_at();
        let inputs = PlannerInputs {
            cell: self.cell.state(),
            notes_tail,
        };
        self.planner
            .as_mut()?
            .handle_heartbeat(heartbeat, inputs, context)
    }

    fn handle_reply(&mut self, reply: &HeartbeatReply, context: &mut EventContext<'_>) {
        let accepted = self.supervisor.handle_reply(reply, context);
        let replaced = self.planner.as_ref();
        if replaced.is_some_and(|planner| accepted && planner.epoch() < reply.epoch) {
            self.step_down(reply.epoch, &reply.planner, context);
        }
        if accepted && reply.lease_until.is_some() {
            self.election.record_contact(context.mono());
        }
        self.request_notes(reply.revision, reply.link_address, context);
    }

    fn request_notes(&mut self, newer: Revision, from: SocketAddr, context: &mut EventContext<'_>) {
        let waited = context.mono() >= self.notes_requested_at.plus(NOTES_REQUEST_INTERVAL);
        if newer <= context.fleet.revision() || !waited || from == self.identity.link_address {
            return;
        }
        self.notes_requested_at = context.mono();
        context.emit(AgentEffect::SendLink {
            to: from,
            message: LinkMessage::NotesRequest(Revision(context.fleet.next().0)),
        });
    }

    fn tick(&mut self, context: &mut EventContext<'_>) {
        if let Some(heartbeat) = self.supervisor.tick(context) {
            self.send_heartbeat(&heartbeat, context);
        }
        if self.supervisor.is_ready() {
            self.election.start(context.mono());
        }
        self.read_streams(context);
        self.plan(context);
    }

    fn send_heartbeat(&mut self, heartbeat: &HostHeartbeat, context: &mut EventContext<'_>) {
        if self.planner.is_some() {
            if let Some(reply) = self.reply_as_planner(heartbeat, context) {
                self.handle_reply(&reply, context);
            }
            self.request_successor_lease(heartbeat, context);
            return;
        }
        let planner = self.supervisor.planner().map(|planner| planner.address);
        let silent = self.is_planner_silent(context.mono());
        let seeds = self.policy.seeds.iter().copied().filter(|_| silent);
        for to in planner.into_iter().chain(seeds) {
            context.emit(AgentEffect::SendDatagram {
                to,
                message: ControlMessage::Heartbeat(heartbeat.clone()),
            });
        }
    }

    /// Requests a lease from the successor, which may have taken over, while this planner may not
    /// renew leases.
    fn request_successor_lease(&self, heartbeat: &HostHeartbeat, context: &mut EventContext<'_>) {
        let planner = self.planner.as_ref();
        let cannot_renew = planner.is_some_and(|planner| !planner.may_renew(context.mono()));
        if let Some(successor) = self.cell.state().successor().filter(|_| cannot_renew) {
            context.emit(AgentEffect::SendDatagram {
                to: successor.control_address,
                message: ControlMessage::Heartbeat(heartbeat.clone()),
            });
        }
    }

    fn is_planner_silent(&self, now: MonoTime) -> bool {
        let heartbeat = self.policy.schedule.heartbeat;
        self.supervisor.planner().is_none()
            || self.election.time_since_contact(now) > heartbeat * MAX_UNANSWERED_HEARTBEATS
    }

    /// Returns whether this agent has to read the log although it does not plan.
    fn is_following_log(&self, now: MonoTime) -> bool {
        self.is_planner_silent(now) || self.election.has_promise_request(now)
    }

    fn read_streams(&mut self, context: &mut EventContext<'_>) {
        if self.planner.is_some() || self.is_following_log(context.mono()) {
            self.cell_poller.start(self.cell.cursor(), context);
            let from = context.fleet.next().max(self.notes_cursor);
            self.notes_poller.start(from, context);
        }
    }

    fn plan(&mut self, context: &mut EventContext<'_>) {
        let Some(planner) = &mut self.planner else {
            self.planning = None;
            return;
        };
        self.election.record_contact(context.mono());
        let inputs = PlannerInputs {
            cell: self.cell.state(),
            notes_tail: self.notes_poller.tail_read_at(),
        };
        planner.tick(inputs, context);
        // A heartbeat later the first view may have been replaced already.
        if planner.epoch() >= self.supervisor.epoch() {
            self.supervisor.apply_view(planner.view());
        }
        let candidate = planner.successor_candidate(inputs.cell, context.mono());
        let fresh = planner.is_fresh(context.mono());
        if let Some(successor) = candidate.filter(|_| fresh) {
            self.election
                .name_successor(inputs.cell, Some(successor), context);
        }
        if self.election.is_claiming() {
            planner.planner_lease_mut().clear_promise();
        }
        if context.mono() >= self.next_status {
            self.next_status = context.mono().plus(STATUS_INTERVAL);
            self.planning = Some(planner.status(inputs.cell, context.fleet, context.mono()));
        }
    }

    fn due(&self, now: MonoTime) -> MonoTime {
        let reads = [self.cell_poller.due(), self.notes_poller.due()];
        let active = self.planner.is_some() || self.is_following_log(now);
        let reads = reads.into_iter().filter(|_| active);
        let planner = self.planner.as_ref().map(|planner| planner.due());
        let due_times = reads.chain(planner).chain([self.supervisor.due()]);
        match due_times.min() {
            Some(earliest) if earliest <= now => now.plus(OVERDUE_RETRY_INTERVAL),
            Some(earliest) => earliest.min(now.plus(MAX_WAKE_INTERVAL)),
            None => now.plus(MAX_WAKE_INTERVAL),
        }
    }
}
