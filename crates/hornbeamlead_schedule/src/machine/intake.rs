//! What the batch side takes from the log: streams as read, and answers to appends.

use super::ScheduleMachine;
use crate::cell_log::CellState;
use crate::keeper::KnownPlanner;
use crate::planner::CellPlanner;
use crate::stream::StreamState;
use crate::tenure::PlannerTenure;
use crate::turn::TurnContext;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::counter::RetryReason;
use hornbeamlead_core::event::StreamBatch;
use hornbeamlead_core::ids::{Epoch, HostId, LogOffset, RecordId};
use hornbeamlead_core::record::{CellRecord, LogBatch, LogError, StreamName};
use std::time::Duration;

/// Time between reads of the cell's stream by an agent that looks for its planner.
const SEARCH_INTERVAL: Duration = Duration::from_millis(500);

/// Time between reads of the notes by an agent while its planner is silent.
const LONE_NOTES_INTERVAL: Duration = Duration::from_millis(1000);

impl ScheduleMachine {
    pub(super) fn take_read(
        &mut self,
        stream: &StreamName,
        began: MonoTime,
        result: &Result<StreamBatch, LogError>,
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
        result: &Result<StreamBatch, LogError>,
        turn: &mut TurnContext<'_>,
    ) {
        let interval = self.notes_interval();
        match result {
            Ok(StreamBatch::Notes(batch)) => {
                let read_to = batch.records.last().map(|placed| placed.offset.0 + 1);
                let read_to = LogOffset(read_to.unwrap_or(0)).max(self.notes_cursor);
                let applied = turn.fleet.next() >= batch.next;
                let lags = turn.fleet.next() < batch.oldest;
                self.notes_cursor = if lags { read_to } else { LogOffset(0) };
                self.notes_read
                    .finish(began, applied, turn.mono(), interval);
            }
            Err(LogError::Truncated { oldest }) => {
                self.notes_cursor = *oldest;
                self.notes_read.finish(began, false, turn.mono(), interval);
            }
            Ok(_) | Err(LogError::Unavailable) => {
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

    fn lose_cell(&mut self, began: MonoTime, fault: LogError, turn: &mut TurnContext<'_>) {
        let interval = self.cell_interval();
        match fault {
            LogError::Truncated { oldest } => {
                self.cell.skip_truncated(oldest);
                self.cell_read.finish(began, false, turn.mono(), interval);
            }
            LogError::Unavailable => {
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
    pub(super) fn lay_down(&mut self, epoch: Epoch, host: &HostId, turn: &mut TurnContext<'_>) {
        let subject = format!("cell:{}", self.policy.cell);
        turn.decide(
            "planner_replaced",
            subject,
            format!("epoch={epoch} host={host}"),
        );
        self.planner = None;
    }

    pub(super) fn take_append(
        &mut self,
        stream: &StreamName,
        id: &RecordId,
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
}
