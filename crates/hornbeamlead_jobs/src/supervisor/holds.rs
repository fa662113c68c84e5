//! Holds: calls that read the worker's lists, renew its lease and acknowledge ends.

use super::calls::{HOLD_MARGIN, HOLD_PAUSE, HOLD_WAIT, UNACKNOWLEDGED_PAUSE, answer_due, runs_of};
use super::doubts::LATE_CALL_TIME;
use super::lives::names_other_life;
use super::{RunStage, SupervisedWorker, SupervisorMachine};
use crate::effect::Effect;
use crate::ids::PlannerEpoch;
use crate::worker::{WorkerAnswer, WorkerCall, WorkerOperation, WorkerReply, WorkerTag};
use hornbeamlead_core::clock::MonoTime;
use std::time::Duration;

impl SupervisedWorker {
    pub(super) fn call(
        &self,
        epoch: PlannerEpoch,
        tag: WorkerTag,
        operation: WorkerOperation,
        deadline: MonoTime,
    ) -> WorkerCall {
        WorkerCall {
            tag,
            address: self.address,
            incarnation: self.facts.incarnation.clone(),
            epoch,
            operation,
            deadline,
        }
    }

    fn hold(
        &mut self,
        now: MonoTime,
        epoch: PlannerEpoch,
        lease_until_ms: Option<u64>,
        acknowledged: u64,
        wait: Duration,
    ) -> WorkerCall {
        self.hold_in_flight = true;
        self.hold += 1;
        self.hold_release = acknowledged;
        let operation = WorkerOperation::Hold {
            lease_until_ms,
            acknowledged,
            wait_until: now.plus(wait),
        };
        let deadline = now.plus(wait + HOLD_MARGIN);
        self.call(epoch, WorkerTag::Hold(self.hold), operation, deadline)
    }

    /// Returns the number up to which the worker may drop ends, or 0 if it has been told before. A later
    /// life under the same id would drop ends that nobody has seen. These can only be ends of starts
    /// since the last lists, so new lists come first after a start.
    fn due_acknowledgement(&self) -> u64 {
        match self.has_acknowledgement() && !self.started {
            true => self.acknowledged,
            false => 0,
        }
    }

    /// Returns until when an acknowledgement may be carried out that has had no answer.
    pub(super) fn late_release(&self, now: MonoTime) -> Option<MonoTime> {
        let is_open = self.hold_in_flight && self.hold_release > 0;
        let in_flight = is_open.then(|| now.plus(LATE_CALL_TIME));
        self.late_release_until.max(in_flight)
    }

    fn has_acknowledgement(&self) -> bool {
        self.acknowledged > self.released
    }

    /// Returns a hold that changes nothing on the worker, whichever life it reaches.
    fn look(&mut self, now: MonoTime, epoch: PlannerEpoch) -> WorkerCall {
        self.hold(now, epoch, None, 0, Duration::ZERO)
    }
}

impl SupervisorMachine {
    pub(super) fn poll_hold(&mut self, now: MonoTime) {
        let hold_max = self.policy.hold_max;
        let lease_until_ms = self.lease_until(now, hold_max);
        let epoch = self.epoch;
        let follows_another = self.dead.is_some();
        let Some(worker) = &mut self.worker else {
            return;
        };
        if worker.hold_in_flight || now < worker.hold_at {
            return;
        }
        worker.hold_epoch = epoch;
        let call = match worker.confirmed {
            true => {
                let lease_until_ms = lease_until_ms.filter(|_| worker.is_usable());
                let acknowledged = worker.due_acknowledgement();
                worker.hold(now, epoch, lease_until_ms, acknowledged, HOLD_WAIT)
            }
            // A worker that crashes again and again is not used the moment it is back.
            false if !worker.verified && follows_another => {
                worker.hold(now, epoch, None, 0, HOLD_WAIT)
            }
            false => worker.look(now, epoch),
        };
        self.effects.push(Effect::Worker(call));
    }

    /// Looks at the address of an announced life and of one that has ended.
    pub(super) fn poll_looks(&mut self, now: MonoTime) {
        let epoch = self.epoch;
        let looks = self.candidate.iter_mut().chain(&mut self.former);
        let due = looks.filter(|worker| !worker.hold_in_flight && now >= worker.hold_at);
        let calls = due.map(|worker| Effect::Worker(worker.look(now, epoch)));
        self.effects.extend(calls);
    }

    /// Handles the answer to the worker's last hold. The time on the worker's clock counts only with
    /// lists, which show whose clock it is.
    pub(super) fn on_hold_answered(&mut self, now: MonoTime, number: u64, reply: WorkerReply) {
        self.note_unanswered(&reply.answer);
        let Some(worker) = &mut self.worker else {
            return;
        };
        worker.hold_in_flight = false;
        let WorkerAnswer::Lists(lists) = reply.answer else {
            worker.hold_at = now.plus(HOLD_PAUSE);
            if reply.answer == WorkerAnswer::Unanswered && worker.hold_release > 0 {
                worker.late_release_until = Some(now.plus(LATE_CALL_TIME));
            }
            return;
        };
        let known = worker.facts.incarnation.clone();
        if let Some(born) = lists.born.filter(|_| names_other_life(&lists, &known)) {
            self.effects.push(Effect::Count("other_life_listed"));
            return self.on_other_life(now, born);
        }
        self.note_clock(now, reply.clock_ms);
        let Some(worker) = &mut self.worker else {
            return;
        };
        let is_new = !std::mem::replace(&mut worker.verified, true);
        worker.confirmed = true;
        if worker.hold_release > worker.released {
            worker.released = worker.hold_release;
        }
        worker.started = false;
        // The worker answers at once while it lists ends.
        let mut ended = lists.ended.iter();
        let unacknowledged = !lists.is_whole() || ended.any(|end| end.number > worker.released);
        worker.hold_at = match unacknowledged && !worker.has_acknowledgement() {
            true => now.plus(UNACKNOWLEDGED_PAUSE),
            false => now,
        };
        // That an attempt has started can wait for the next regular report.
        let changed = !runs_of(&worker.lists).is_subset(&runs_of(&lists))
            || lists.ended.last().map(|end| end.number)
                != worker.lists.ended.last().map(|end| end.number);
        let unreadable = lists.unreadable;
        let whole_changed = lists.is_whole() != worker.lists.is_whole();
        let first = worker.listed != Some(worker.hold_epoch);
        worker.listed = Some(worker.hold_epoch);
        self.progress.note(now, &lists.running);
        worker.lists = lists;
        worker.answer_due = answer_due(worker.hold_at);
        let was_silent = std::mem::take(&mut worker.silent);
        let incarnation = worker.facts.incarnation.clone();
        if was_silent {
            self.log("worker_answers", &incarnation, String::new());
        }
        if whole_changed {
            self.log(
                "worker_lists",
                incarnation,
                format!("unreadable={unreadable}"),
            );
        }
        self.report_due |= changed || first || was_silent || is_new || whole_changed;
        if is_new {
            self.stop_doubtful(now, &known.id);
        }
        // A refused connection was no proof.
        self.dead.take_if(|dead| *dead == known);
        self.note_starts();
        self.confirm_orders(number);
        self.adjust_throttling(now);
    }

    /// Notes that the worker has not answered in time. It may be gone, although connections to it are
    /// not refused.
    pub(super) fn check_silence(&mut self, now: MonoTime) {
        let overdue = |worker: &&mut SupervisedWorker| !worker.silent && now > worker.answer_due;
        let Some(worker) = self.worker.as_mut().filter(overdue) else {
            return;
        };
        worker.silent = true;
        let incarnation = worker.facts.incarnation.clone();
        self.report_due = true;
        self.log("worker_silent", incarnation, String::new());
    }

    /// Notes which listed attempts this process has started; others may have been throttled by an
    /// earlier one.
    fn note_starts(&mut self) {
        let Some(worker) = &self.worker else {
            return;
        };
        for row in &worker.lists.running {
            if let Some(RunStage::Starting { .. } | RunStage::Confirming { stopped: false, .. }) =
                self.runs.get(&row.run)
            {
                self.throttle.note_started(row.run);
            }
        }
    }
}
