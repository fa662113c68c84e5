//! Batch side of an agent: keeper of its worker's tasks and, while elected, planner of its cell.

use crate::cell_log::CellState;
use crate::election::EpochElection;
use crate::keeper::{KnownPlanner, TaskKeeper};
use crate::note_snapshots::NoteSnapshots;
use crate::planner::{CellPlanner, PlannerInputs};
use crate::read_slot::ReadSlot;
use crate::stream::{StreamReader, StreamState};
use crate::tenure::PlannerTenure;
use crate::turn::TurnContext;
use hornbeamlead_core::clock::{ClockReading, MonoTime};
use hornbeamlead_core::counter::RetryReason;
use hornbeamlead_core::effect::AgentEffect;
use hornbeamlead_core::event::{AgentEvent, StreamBatch};
use hornbeamlead_core::fleet::FleetState;
use hornbeamlead_core::ids::{Epoch, HostId, LogOffset, Revision};
use hornbeamlead_core::message::control::{ControlMessage, HeartbeatReply, HostHeartbeat};
use hornbeamlead_core::message::request::LinkMessage;
use hornbeamlead_core::policy::{AgentPolicy, ProcessPlace};
use hornbeamlead_core::record::{CellRecord, LogBatch, LogFault, StreamName};
use hornbeamlead_core::status::{CellStatus, HostStanding, ScheduleStatus};
use std::net::SocketAddr;
use std::time::Duration;

/// Time between reads of the cell's stream by an agent that looks for its planner.
const SEARCH_INTERVAL: Duration = Duration::from_millis(500);

/// Time between reads of the notes by an agent while its planner is silent.
const LONE_NOTES_INTERVAL: Duration = Duration::from_millis(1000);

/// Time between requests to a peer for notes.
const NOTES_ASK_INTERVAL: Duration = Duration::from_millis(300);

/// Time for which a status of the cell stands.
const STATUS_INTERVAL: Duration = Duration::from_millis(250);

/// Longest time without a wake-up.
const LONGEST_WAIT: Duration = Duration::from_millis(500);

/// Heartbeats without an answer after which the planner counts as silent.
const SILENT_HEARTBEATS: u32 = 3;

/// Batch side of an agent.
#[derive(Debug)]
pub struct ScheduleMachine {
    place: ProcessPlace,
    policy: AgentPolicy,
    keeper: TaskKeeper,
    election: EpochElection,
    cell: StreamReader<CellState>,
    cell_read: ReadSlot,
    notes_read: ReadSlot,
    /// Offset to read the notes from while a gap has to be passed over.
    notes_cursor: LogOffset,
    notes_asked: MonoTime,
    note_snapshots: NoteSnapshots,
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
    pub fn new(place: ProcessPlace, policy: AgentPolicy) -> Self {
        Self {
            keeper: TaskKeeper::new(place.clone(), policy.clone()),
            election: EpochElection::new(place.clone(), policy.clone()),
            cell: StreamReader::default(),
            cell_read: ReadSlot::new(StreamName::Cell(policy.cell)),
            notes_read: ReadSlot::new(StreamName::Notes),
            notes_cursor: LogOffset(0),
            notes_asked: MonoTime(0),
            note_snapshots: NoteSnapshots::new(policy.cell, policy.schedule.snapshot_records),
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
    pub fn standing(&self) -> &HostStanding {
        self.keeper.standing()
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
            lease_until: self.keeper.standing().lease_until,
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
            AgentEvent::StopAsked => self.keeper.leave(),
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
            ControlMessage::PromiseAsk(ask) => {
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
            message: LinkMessage::NotesAsk(Revision(turn.fleet.next().0)),
        });
    }

    fn take_read(
        &mut self,
        stream: &StreamName,
        began: MonoTime,
        result: &Result<StreamBatch, LogFault>,
        turn: &mut TurnContext<'_>,
    ) {
        match (stream, result) {
            (StreamName::Notes, result) => self.take_notes(began, result, turn),
            (StreamName::Jobs, Ok(StreamBatch::Jobs(batch))) => {
                if let Some(planner) = &mut self.planner {
                    planner.take_jobs(began, Ok(batch), turn);
                }
            }
            (StreamName::Jobs, Err(fault)) => {
                if let Some(planner) = &mut self.planner {
                    planner.take_jobs(began, Err(*fault), turn);
                }
            }
            (StreamName::Cell(cell), Ok(StreamBatch::Cell(batch))) if *cell == self.policy.cell => {
                self.take_cell(began, batch, turn);
            }
            (StreamName::Cell(cell), Err(fault)) if *cell == self.policy.cell => {
                self.lose_cell(began, *fault, turn);
            }
            (StreamName::Jobs | StreamName::Cell(_), _) => {}
        }
    }

    fn take_notes(
        &mut self,
        began: MonoTime,
        result: &Result<StreamBatch, LogFault>,
        turn: &mut TurnContext<'_>,
    ) {
        let interval = self.notes_interval();
        match result {
            Ok(StreamBatch::Notes(batch)) => {
                self.note_snapshots.take(batch, turn.mono());
                let read_to = batch.records.last().map(|placed| placed.offset.0 + 1);
                let read_to = LogOffset(read_to.unwrap_or(0)).max(self.notes_cursor);
                let applied = turn.fleet.next() >= batch.next;
                let lags = turn.fleet.next() < batch.oldest;
                self.notes_cursor = if lags { read_to } else { LogOffset(0) };
                self.notes_read
                    .finish(began, applied, turn.mono(), interval);
            }
            Err(LogFault::Gone { oldest }) => {
                self.notes_cursor = *oldest;
                self.notes_read.finish(began, false, turn.mono(), interval);
            }
            Ok(_) | Err(LogFault::Unavailable) => {
                self.notes_read.fail(turn.mono(), interval);
                turn.retry(RetryReason::LogRead);
            }
        }
    }

    fn take_cell(
        &mut self,
        began: MonoTime,
        batch: &LogBatch<CellRecord>,
        turn: &mut TurnContext<'_>,
    ) {
        let at_tail = self.cell.take(batch);
        for placed in &batch.records {
            self.election.settle(CellState::id(&placed.record));
        }
        let interval = self.cell_interval();
        self.cell_read.finish(began, at_tail, turn.mono(), interval);
        if self.cell.has_gap() {
            return;
        }
        self.note_forced(turn.mono());
        self.follow_claim(began, at_tail, turn);
        let tail = at_tail.then_some(began);
        if let Some(planner) = &mut self.planner {
            let ids = batch
                .records
                .iter()
                .map(|placed| CellState::id(&placed.record));
            planner.take_cell_ids(ids, tail, turn);
        }
        if let Some(tail_began) = tail {
            self.consider_claim(tail_began, turn);
        }
    }

    fn consider_claim(&mut self, tail_began: MonoTime, turn: &mut TurnContext<'_>) {
        let cell = self.cell.state();
        self.election.refresh(cell, tail_began, turn);
        if self.planner.is_none() && self.keeper.is_ready() {
            self.election.consider(cell, tail_began, turn);
        }
    }

    fn lose_cell(&mut self, began: MonoTime, fault: LogFault, turn: &mut TurnContext<'_>) {
        let interval = self.cell_interval();
        match fault {
            LogFault::Gone { oldest } => {
                self.cell.lose(oldest);
                self.cell_read.finish(began, false, turn.mono(), interval);
            }
            LogFault::Unavailable => {
                self.cell_read.fail(turn.mono(), interval);
                turn.retry(RetryReason::LogRead);
            }
        }
    }

    fn note_forced(&mut self, now: MonoTime) {
        let epoch = self.cell.state().forced();
        let known = self.forced.map_or(Epoch(0), |(epoch, _)| epoch);
        if epoch > known {
            self.forced = Some((epoch, now));
        }
    }

    /// Takes the planner's duty up, goes on with it, or lays it down, as the log has it.
    fn follow_claim(&mut self, began: MonoTime, at_tail: bool, turn: &mut TurnContext<'_>) {
        let state = self.cell.state();
        let Some(claim) = state.claim() else {
            return;
        };
        let known = KnownPlanner {
            host: claim.host.clone(),
            address: claim.control_address,
        };
        let epoch = state.epoch();
        if epoch > self.keeper.epoch() {
            self.election.hear(turn.mono());
        }
        self.keeper.follow(epoch, known);
        match (&mut self.planner, self.election.holds(state)) {
            (Some(planner), true) => planner.continue_as(epoch),
            (None, true) if at_tail && epoch >= self.keeper.epoch() => {
                let schedule = &self.policy.schedule;
                let mut tenure = PlannerTenure::new(claim, turn.mono(), began, schedule);
                if let Some((_, at)) = self.forced {
                    tenure.respect(at, schedule);
                }
                let planner =
                    CellPlanner::new(self.place.clone(), self.policy.clone(), tenure, epoch);
                self.planner = Some(Box::new(planner));
            }
            (Some(_), false) => {
                let host = claim.host.clone();
                self.lay_down(epoch, &host, turn);
            }
            (None, true | false) => {}
        }
    }

    /// Lays the planner's duty down, since a newer epoch is another's.
    fn lay_down(&mut self, epoch: Epoch, host: &HostId, turn: &mut TurnContext<'_>) {
        let subject = format!("cell:{}", self.policy.cell);
        turn.decide(
            "planner_replaced",
            subject,
            format!("epoch={epoch} host={host}"),
        );
        self.planner = None;
    }

    fn take_append(
        &mut self,
        stream: &StreamName,
        id: &hornbeamlead_core::ids::RecordId,
        failed: bool,
        now: MonoTime,
    ) {
        if failed {
            self.election.fail(id, now);
        }
        if let Some(planner) = &mut self.planner {
            planner.take_append(stream, id, failed, now);
        }
        if *stream == StreamName::Cell(self.policy.cell) && !failed {
            self.cell_read.hurry();
        }
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
        if planner.is_fresh(turn.mono()) {
            self.note_snapshots.write_if_due(turn);
        }
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

    fn cell_interval(&self) -> Duration {
        match self.planner {
            Some(_) => self.policy.schedule.read_interval,
            None => SEARCH_INTERVAL,
        }
    }

    fn notes_interval(&self) -> Duration {
        match self.planner {
            Some(_) => self.policy.schedule.read_interval,
            None => LONE_NOTES_INTERVAL,
        }
    }

    fn due(&self, now: MonoTime) -> MonoTime {
        let reads = [self.cell_read.due(), self.notes_read.due()];
        let active = self.planner.is_some() || self.is_searching(now);
        let reads = reads.into_iter().flatten().filter(|_| active);
        let planner = self.planner.as_ref().map(|planner| planner.due());
        let dues = reads.chain(planner).chain([self.keeper.due()]);
        let earliest = dues.min().unwrap_or(MonoTime::MAX);
        let soonest = now.plus(Duration::from_millis(1));
        earliest.min(now.plus(LONGEST_WAIT)).max(soonest)
    }
}
