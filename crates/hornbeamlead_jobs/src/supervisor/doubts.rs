//! Calls that a later life of the worker may carry out, as they name the id only.

use super::{RunStage, SupervisedWorker, SupervisorMachine};
use crate::ids::{RunName, WorkerIncarnation};
use crate::worker::{WorkerAnswer, WorkerRefusal, WorkerTag};
use hornbeamlead_core::clock::MonoTime;
use std::time::Duration;

/// Time after the end of a life within which it has to become clear whether a start was carried out.
pub(super) const MAX_DOUBT_TIME: Duration = Duration::from_millis(2000);

/// Time after which no call without an answer is carried out any more.
pub(super) const LATE_CALL_TIME: Duration = Duration::from_secs(15);

impl SupervisorMachine {
    /// Stops all starts that may have reached a life with the given id.
    pub(super) fn stop_doubtful(&mut self, now: MonoTime, id: &str) {
        if self.dead.as_ref().is_none_or(|dead| &*dead.id != id) {
            return;
        }
        let retry_at = Some(now);
        let stop = RunStage::Stopping { retry_at };
        for stage in self.runs.values_mut() {
            *stage = stop.clone();
        }
        for run in self.doubts.keys() {
            self.runs.entry(*run).or_insert_with(|| stop.clone());
        }
    }

    /// Remembers that an acknowledgement for a life that has ended may be carried out late. The next life
    /// under the id would drop ends by it that nobody has seen, so it must not get any work before.
    pub(super) fn remember_release(&mut self, now: MonoTime, ended: &SupervisedWorker) {
        let id = &ended.facts.incarnation.id;
        let known = self.late_release.take().filter(|(late, _)| late == id);
        let until = ended.late_release(now).max(known.map(|(_, until)| until));
        self.late_release = until.map(|until| (id.clone(), until));
    }

    /// Returns whether an acknowledgement of an earlier life may still reach a life.
    pub(super) fn awaits_release(&self, now: MonoTime, life: &WorkerIncarnation) -> bool {
        let late = self.late_release.as_ref();
        late.is_some_and(|(id, until)| *id == life.id && now < *until)
    }

    /// Remembers a start without an answer: it may be carried out seconds later, also by a life that
    /// knows nothing of a stop.
    pub(super) fn doubt_unanswered(
        &mut self,
        now: MonoTime,
        tag: WorkerTag,
        answer: &WorkerAnswer,
    ) {
        match tag {
            WorkerTag::Start(run) if *answer == WorkerAnswer::Unanswered => {
                self.doubts.insert(run, now.plus(LATE_CALL_TIME));
            }
            _ => {}
        }
    }

    /// Notes the outcome of a start that was in flight when the life ended.
    pub(super) fn on_late_start(
        &mut self,
        run: RunName,
        incarnation: &WorkerIncarnation,
        answer: &WorkerAnswer,
    ) {
        let Some(RunStage::Doubtful { call, .. }) = self.runs.get_mut(&run) else {
            return;
        };
        let tries = call.take();
        if tries == Some(1) && matches!(answer, WorkerAnswer::Gone | WorkerAnswer::Refused(_)) {
            self.runs.remove(&run);
            let refusal = Some(WorkerRefusal::OtherLife);
            self.report_not_started(run, incarnation.clone(), refusal);
        }
    }

    /// Gives up waiting for a later life that may have carried starts out. Should it come, they are
    /// stopped there.
    pub(super) fn expire_doubts(&mut self, now: MonoTime) {
        self.settle_doubts(
            now,
            |stage| matches!(stage, RunStage::Doubtful { until, .. } if now >= *until),
        );
        if self.runs.is_empty() {
            self.former = None;
        }
        self.doubts.retain(|_, until| now < *until);
    }

    pub(super) fn settle_doubts(&mut self, now: MonoTime, is_settled: impl Fn(&RunStage) -> bool) {
        let settled = self.runs.extract_if(.., |_, stage| is_settled(stage));
        let settled: Vec<_> = settled.map(|(run, _)| run).collect();
        self.report_due |= !settled.is_empty();
        let until = now.plus(LATE_CALL_TIME);
        self.doubts
            .extend(settled.into_iter().map(|run| (run, until)));
    }
}
