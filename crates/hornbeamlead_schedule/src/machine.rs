//! Batch side of an agent: keeper of its worker's tasks and, while elected, planner of its cell.

mod intake;

use crate::cell_log::CellState;
use crate::election::EpochElection;
use crate::keeper::TaskKeeper;
use crate::planner::{CellPlanner, PlannerInputs};
use crate::read_slot::ReadSlot;
use crate::stream::StreamReader;
use crate::turn::TurnContext;
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

/// Time between requests to a peer for notes.
const NOTES_ASK_INTERVAL: Duration = Duration::from_millis(300);

/// Time for which a status of the cell stands.
const STATUS_INTERVAL: Duration = Duration::from_millis(250);

/// Longest time without a wake-up.
const LONGEST_WAIT: Duration = Duration::from_millis(500);

/// Time until the next look at what is due but cannot be done before some event comes.
const OVERDUE_WAIT: Duration = Duration::from_millis(20);

/// Heartbeats without an answer after which the planner counts as silent.
const SILENT_HEARTBEATS: u32 = 3;

/// Batch side of an agent.
#[derive(Debug)]
pub struct ScheduleMachine {
    place: ProcessIdentity,
    policy: AgentPolicy,
    keeper: TaskKeeper,
    election: EpochElection,
    cell: StreamReader<CellState>,
    cell_read: ReadSlot,
    notes_read: ReadSlot,
    /// Offset to read the notes from while a gap has to be passed over.
    notes_cursor: LogOffset,
    notes_asked: MonoTime,
    /// When a forced claim was first read, and the epoch it began.
    forced: Option<(Epoch, MonoTime)>,
    planner: Option<Box<CellPlanner>>,
    /// Status of the cell, made again now and then while this agent plans.
    planning: Option<CellStatus>,
    next_status: MonoTime,
}

impl ScheduleMachine {
    /// Makes the batch side of a process that has just started.
    #[must_use]
    pub fn new(place: ProcessIdentity, policy: AgentPolicy) -> Self {
        Self {
            keeper: TaskKeeper::new(place.clone(), policy.clone()),
            election: EpochElection::new(place.clone(), policy.clone()),
            cell: StreamReader::default(),
            cell_read: ReadSlot::new(StreamName::Cell(policy.cell)),
            notes_read: ReadSlot::new(StreamName::Notes),
            notes_cursor: LogOffset(0),
            notes_asked: MonoTime(0),
            forced: None,
            planner: None,
            planning: None,
            next_status: MonoTime(0),
            place,
            policy,
        }
    }

    /// Takes one event; adds what the driver is to do, with one wake-up wish at the end.
    pub fn handle(
        &mut self,
        now: ClockReading,
        fleet: &FleetState,
        event: &AgentEvent,
        effects: &mut Vec<AgentEffect>,
    ) {
        let mut turn = TurnContext {
            now,
            fleet,
            effects,
        };
        self.take(event, &mut turn);
        self.tick(&mut turn);
        let due = self.due(turn.mono());
        turn.emit(AgentEffect::WakeAt(due));
    }

    /// Returns the host's lease and view.
    #[must_use]
    pub fn membership(&self) -> &HostMembership {
        self.keeper.membership()
    }

    /// Returns whether this process plans its cell.
    #[must_use]
    pub fn is_planner(&self) -> bool {
        self.planner.is_some()
    }

    /// Returns whether this process may exit: nothing runs that nobody else looks after.
    ///
    /// Running tasks go on under their lease at the worker, and the next process adopts them.
    #[must_use]
    pub fn idle(&self) -> bool {
        true
    }

    /// Returns the status for operators.
    #[must_use]
    pub fn status(&self) -> ScheduleStatus {
        ScheduleStatus {
            cell: self.policy.cell,
            planner: self.keeper.planner().map(|planner| planner.host.clone()),
            epoch: self.keeper.epoch(),
            lease_until: self.keeper.membership().lease_until,
            log_up: self.cell_read.is_up(),
            capacity: self.policy.batch_capacity,
            admitted: self.keeper.admitted(),
            tasks: self.keeper.statuses(),
            planning: self.planning.clone(),
        }
    }

    fn take(&mut self, event: &AgentEvent, turn: &mut TurnContext<'_>) {
        match event {
            AgentEvent::EndpointAnnounced(announce) => {
                self.keeper.find_worker(announce.worker_address);
            }
            AgentEvent::WorkerDone { call, result } => {
                self.keeper.take_answer(call, result, turn);
            }
            AgentEvent::Datagram { from, message } => self.take_datagram(*from, message, turn),
            AgentEvent::LogRead {
                stream,
                began,
                result,
            } => self.take_read(stream, *began, result, turn),
            AgentEvent::LogAppended { stream, id, result } => {
                let failed = result.is_err();
                self.take_append(stream, id, failed, turn.mono());
            }
            AgentEvent::StopRequested => self.keeper.leave(),
            _ => {}
        }
    }

    fn take_datagram(
        &mut self,
        from: SocketAddr,
        message: &ControlMessage,
        turn: &mut TurnContext<'_>,
    ) {
        match message {
            ControlMessage::Heartbeat(beat) => self.take_heartbeat(from, beat, turn),
            ControlMessage::HeartbeatReply(reply) if reply.cell == self.policy.cell => {
                self.take_reply(reply, turn);
            }
            ControlMessage::AnnounceReply(reply) => {
                self.ask_notes(reply.revision, reply.link_address, turn);
            }
            ControlMessage::PromiseRequest(ask) => {
                let known = self.cell.state().epoch();
                let grant = self.election.promise(ask, turn.mono());
                if let Some(grant) = grant.filter(|_| ask.epoch >= known) {
                    let message = ControlMessage::PromiseGrant(grant);
                    turn.emit(AgentEffect::SendDatagram { to: from, message });
                }
            }
            ControlMessage::PromiseGrant(grant) => {
                let settled = !self.election.is_claiming();
                if let Some(planner) = self.planner.as_mut().filter(|_| settled) {
                    planner.take_promise(grant, self.cell.state());
                }
            }
            ControlMessage::HeartbeatReply(_) | ControlMessage::Announce(_) => {}
        }
    }

    /// Answers a heartbeat as planner, or passes it on to the planner known here.
    fn take_heartbeat(
        &mut self,
        from: SocketAddr,
        beat: &HostHeartbeat,
        turn: &mut TurnContext<'_>,
    ) {
        if let Some(reply) = self.plan_reply(beat, turn) {
            turn.emit(AgentEffect::SendDatagram {
                to: beat.link_address,
                message: ControlMessage::HeartbeatReply(reply),
            });
            return;
        }
        let newer = self.keeper.epoch() > beat.epoch;
        let planner = self.keeper.planner().map(|planner| planner.address);
        match planner.filter(|to| newer && self.planner.is_none() && *to != from) {
            Some(to) if to != self.place.control_address => turn.emit(AgentEffect::SendDatagram {
                to,
                message: ControlMessage::Heartbeat(beat.clone()),
            }),
            Some(_) | None => {}
        }
    }

    fn plan_reply(
        &mut self,
        beat: &HostHeartbeat,
        turn: &mut TurnContext<'_>,
    ) -> Option<HeartbeatReply> {
        let notes_tail = self.notes_read.tail_began();
        let inputs = PlannerInputs {
            cell: self.cell.state(),
            notes_tail,
        };
        self.planner.as_mut()?.take_heartbeat(beat, inputs, turn)
    }

    fn take_reply(&mut self, reply: &HeartbeatReply, turn: &mut TurnContext<'_>) {
        let accepted = self.keeper.take_reply(reply, turn);
        let replaced = self.planner.as_ref();
        if replaced.is_some_and(|planner| accepted && planner.epoch() < reply.epoch) {
            self.lay_down(reply.epoch, &reply.planner, turn);
        }
        if accepted && reply.lease_until.is_some() {
            self.election.hear(turn.mono());
        }
        self.ask_notes(reply.revision, reply.link_address, turn);
    }

    fn ask_notes(&mut self, newer: Revision, from: SocketAddr, turn: &mut TurnContext<'_>) {
        let waited = turn.mono() >= self.notes_asked.plus(NOTES_ASK_INTERVAL);
        if newer <= turn.fleet.revision() || !waited || from == self.place.link_address {
            return;
        }
        self.notes_asked = turn.mono();
        turn.emit(AgentEffect::SendLink {
            to: from,
            message: LinkMessage::NotesRequest(Revision(turn.fleet.next().0)),
        });
    }

    fn tick(&mut self, turn: &mut TurnContext<'_>) {
        if let Some(beat) = self.keeper.tick(turn) {
            self.send_heartbeat(&beat, turn);
        }
        if self.keeper.is_ready() {
            self.election.begin(turn.mono());
        }
        self.read_streams(turn);
        self.plan(turn);
    }

    fn send_heartbeat(&mut self, beat: &HostHeartbeat, turn: &mut TurnContext<'_>) {
        if self.planner.is_some() {
            if let Some(reply) = self.plan_reply(beat, turn) {
                self.take_reply(&reply, turn);
            }
            self.ask_successor(beat, turn);
            return;
        }
        let planner = self.keeper.planner().map(|planner| planner.address);
        let silent = self.is_silent(turn.mono());
        let seeds = self.policy.seeds.iter().copied().filter(|_| silent);
        for to in planner.into_iter().chain(seeds) {
            turn.emit(AgentEffect::SendDatagram {
                to,
                message: ControlMessage::Heartbeat(beat.clone()),
            });
        }
    }

    /// Asks the successor for a lease, since it may plan by now, while this planner may not renew.
    fn ask_successor(&self, beat: &HostHeartbeat, turn: &mut TurnContext<'_>) {
        let planner = self.planner.as_ref();
        let powerless = planner.is_some_and(|planner| !planner.may_renew(turn.mono()));
        if let Some(successor) = self.cell.state().successor().filter(|_| powerless) {
            turn.emit(AgentEffect::SendDatagram {
                to: successor.control_address,
                message: ControlMessage::Heartbeat(beat.clone()),
            });
        }
    }

    fn is_silent(&self, now: MonoTime) -> bool {
        let heartbeat = self.policy.schedule.heartbeat;
        self.keeper.planner().is_none()
            || self.election.silence(now) > heartbeat * SILENT_HEARTBEATS
    }

    /// Returns whether this agent reads the log though it does not plan.
    fn is_searching(&self, now: MonoTime) -> bool {
        self.is_silent(now) || self.election.is_asked(now)
    }

    fn read_streams(&mut self, turn: &mut TurnContext<'_>) {
        if self.planner.is_some() || self.is_searching(turn.mono()) {
            self.cell_read.start(self.cell.cursor(), turn);
            let from = turn.fleet.next().max(self.notes_cursor);
            self.notes_read.start(from, turn);
        }
    }

    fn plan(&mut self, turn: &mut TurnContext<'_>) {
        let Some(planner) = &mut self.planner else {
            self.planning = None;
            return;
        };
        self.election.hear(turn.mono());
        let inputs = PlannerInputs {
            cell: self.cell.state(),
            notes_tail: self.notes_read.tail_began(),
        };
        planner.tick(inputs, turn);
        let wanted = planner.wanted_successor(inputs.cell, turn.mono());
        let fresh = planner.is_fresh(turn.mono());
        if let Some(successor) = wanted.filter(|_| fresh) {
            self.election
                .name_successor(inputs.cell, Some(successor), turn);
        }
        if self.election.is_claiming() {
            planner.tenure_mut().drop_promise();
        }
        if turn.mono() >= self.next_status {
            self.next_status = turn.mono().plus(STATUS_INTERVAL);
            self.planning = Some(planner.status(inputs.cell, turn.fleet, turn.mono()));
        }
    }

    fn due(&self, now: MonoTime) -> MonoTime {
        let reads = [self.cell_read.due(), self.notes_read.due()];
        let active = self.planner.is_some() || self.is_searching(now);
        let reads = reads.into_iter().flatten().filter(|_| active);
        let planner = self.planner.as_ref().map(|planner| planner.due());
        let dues = reads.chain(planner).chain([self.keeper.due()]);
        match dues.min() {
            Some(earliest) if earliest <= now => now.plus(OVERDUE_WAIT),
            Some(earliest) => earliest.min(now.plus(LONGEST_WAIT)),
            None => now.plus(LONGEST_WAIT),
        }
    }
}
