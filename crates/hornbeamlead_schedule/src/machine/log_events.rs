//! Handles events from the log: stream reads and results of appends.

use super::ScheduleMachine;
use crate::cell_log::CellState;
use crate::event_context::EventContext;
use crate::planner::CellPlanner;
use crate::planner_lease::PlannerLease;
use crate::stream::StreamState;
use crate::supervisor::KnownPlanner;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::counter::RetryReason;
use hornbeamlead_core::event::StreamBatch;
use hornbeamlead_core::ids::{Epoch, HostId, LogOffset, RecordId};
use hornbeamlead_core::record::{CellRecord, LogBatch, LogError, StreamName};
use std::time::Duration;

/// Time between reads of the cell's stream by an agent that is searching for its planner.
const SEARCH_INTERVAL: Duration = Duration::from_millis(500);

/// Time between reads of the notes by an agent whose planner is silent.
const LOST_PLANNER_NOTES_INTERVAL: Duration = Duration::from_millis(1000);

impl ScheduleMachine {
    pub(super) fn handle_read(
        &mut self,
        stream: &StreamName,
        began: MonoTime,
        result: &Result<StreamBatch, LogError>,
        context: &mut EventContext<'_>,
    ) {
        match (stream, result) {
            (StreamName::Notes, result) => self.handle_notes(began, result, context),
            (StreamName::Jobs, Ok(StreamBatch::Jobs(batch))) => {
                if let Some(planner) = &mut self.planner {
                    planner.handle_jobs_read(began, Ok(batch), context);
                }
            }
            (StreamName::Jobs, Err(error)) => {
                if let Some(planner) = &mut self.planner {
                    planner.handle_jobs_read(began, Err(*error), context);
                }
            }
            (StreamName::Cell(cell), Ok(StreamBatch::Cell(batch))) if *cell == self.policy.cell => {
                self.handle_cell_batch(began, batch, context);
            }
            (StreamName::Cell(cell), Err(error)) if *cell == self.policy.cell => {
                self.handle_cell_error(began, *error, context);
            }
            (StreamName::Jobs | StreamName::Cell(_), _) => {}
        }
    }

    fn handle_notes(
        &mut self,
        began: MonoTime,
        result: &Result<StreamBatch, LogError>,
        context: &mut EventContext<'_>,
    ) {
        let interval = self.notes_interval();
        match result {
            Ok(StreamBatch::Notes(batch)) => {
                let read_to = batch
                    .records
                    .last()
                    .map(|log_record| log_record.offset.0 + 1);
                let read_to = LogOffset(read_to.unwrap_or(0)).max(self.notes_cursor);
                let applied = context.fleet.next() >= batch.next;
                let lags = context.fleet.next() < batch.oldest;
                self.notes_cursor = if lags { read_to } else { LogOffset(0) };
                self.notes_poller
                    .finish(began, applied, context.mono(), interval);
            }
            Err(LogError::Truncated { oldest }) => {
                self.notes_cursor = *oldest;
                self.notes_poller
                    .finish(began, false, context.mono(), interval);
            }
            Ok(_) | Err(LogError::Unavailable) => {
                self.notes_poller.fail(context.mono(), interval);
                context.count_retry(RetryReason::LogRead);
            }
        }
    }

    fn handle_cell_batch(
        &mut self,
        began: MonoTime,
        batch: &LogBatch<CellRecord>,
        context: &mut EventContext<'_>,
    ) {
        let at_tail = self.cell.take(batch);
        for log_record in &batch.records {
            self.election.acknowledge(CellState::id(&log_record.record));
        }
        let interval = self.cell_interval();
        self.cell_poller
            .finish(began, at_tail, context.mono(), interval);
        if self.cell.has_gap() {
            return;
        }
        self.record_forced_claim(context.mono());
        self.follow_claim(began, at_tail, context);
        let tail = at_tail.then_some(began);
        if let Some(planner) = &mut self.planner {
            let ids = batch
                .records
                .iter()
                .map(|log_record| CellState::id(&log_record.record));
            planner.acknowledge_cell_records(ids, tail, context);
        }
        if let Some(tail_read_at) = tail {
            self.evaluate_claim(tail_read_at, context);
        }
    }

    fn evaluate_claim(&mut self, tail_read_at: MonoTime, context: &mut EventContext<'_>) {
        let cell = self.cell.state();
        self.election.refresh(cell, tail_read_at, context);
        if self.planner.is_none() && self.supervisor.is_ready() {
            self.election.claim_if_due(cell, tail_read_at, context);
        }
    }

    fn handle_cell_error(
        &mut self,
        began: MonoTime,
        error: LogError,
        context: &mut EventContext<'_>,
    ) {
        let interval = self.cell_interval();
        match error {
            LogError::Truncated { oldest } => {
                self.cell.skip_truncated(oldest);
                self.cell_poller
                    .finish(began, false, context.mono(), interval);
            }
            LogError::Unavailable => {
                self.cell_poller.fail(context.mono(), interval);
                context.count_retry(RetryReason::LogRead);
            }
        }
    }

    fn record_forced_claim(&mut self, now: MonoTime) {
        let epoch = self.cell.state().forced();
        let known = self.forced.map_or(Epoch(0), |(epoch, _)| epoch);
        if epoch > known {
            self.forced = Some((epoch, now));
        }
    }

    /// Starts, continues or ends planning according to the claim in force on the log.
    fn follow_claim(&mut self, began: MonoTime, at_tail: bool, context: &mut EventContext<'_>) {
        let state = self.cell.state();
        let Some(claim) = state.claim() else {
            return;
        };
        let known = KnownPlanner {
            host: claim.host.clone(),
            address: claim.control_address,
        };
        let epoch = state.epoch();
        if epoch > self.supervisor.epoch() {
            self.election.record_contact(context.mono());
        }
        self.supervisor.follow_planner(epoch, known);
        match (&mut self.planner, self.election.holds_epoch(state)) {
            (Some(planner), true) => planner.continue_with_epoch(epoch),
            (None, true) if at_tail && epoch >= self.supervisor.epoch() => {
                let schedule = &self.policy.schedule;
                let mut planner_lease = PlannerLease::new(claim, context.mono(), began, schedule);
                if let Some((_, at)) = self.forced {
                    planner_lease.extend_predecessor_window(at, schedule);
                }
                let planner = CellPlanner::new(
                    self.identity.clone(),
                    self.policy.clone(),
                    planner_lease,
                    epoch,
                );
                self.planner = Some(Box::new(planner));
            }
            (Some(_), false) => {
                let host = claim.host.clone();
                self.step_down(epoch, &host, context);
            }
            (None, true | false) => {}
        }
    }

    /// Stops planning because another host holds a newer epoch.
    pub(super) fn step_down(
        &mut self,
        epoch: Epoch,
        host: &HostId,
        context: &mut EventContext<'_>,
    ) {
        let subject = format!("cell:{}", self.policy.cell);
        context.log_decision(
            "planner_replaced",
            subject,
            format!("epoch={epoch} host={host}"),
        );
        self.planner = None;
    }

    pub(super) fn handle_append(
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
            planner.handle_append(stream, id, failed, now);
        }
        if *stream == StreamName::Cell(self.policy.cell) && !failed {
            self.cell_poller.poll_now();
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
            None => LOST_PLANNER_NOTES_INTERVAL,
        }
    }
}
