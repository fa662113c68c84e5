//! Calls to the worker, and the handling of their outcomes.

use super::lives::LifeEnd;
use super::{RunStage, SupervisedWorker, SupervisorMachine, WorkerClock};
use crate::effect::Effect;
use crate::ids::{RunName, WorkerIncarnation};
use crate::worker::{
    WorkerAnswer, WorkerLists, WorkerOperation, WorkerRefusal, WorkerReply, WorkerTag,
};
use hornbeamlead_core::clock::MonoTime;
use std::collections::BTreeSet;
use std::time::Duration;

/// Timeout of an order, after which it may be repeated. Workers answer within milliseconds.
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of calls for one start before the attempt is stopped.
const MAX_START_TRIES: u32 = 2;

/// Longest lease in a start, from the current reading of the worker's clock. The worker refuses a
/// start that reaches it after the end of the lease.
const START_LEASE: Duration = Duration::from_millis(1200);

/// Pause before a stop is repeated.
const STOP_PAUSE: Duration = Duration::from_millis(200);

/// Time for which a hold waits for an attempt to end.
pub(super) const HOLD_WAIT: Duration = Duration::from_millis(300);

/// Time that a hold may take beyond its wait.
pub(super) const HOLD_MARGIN: Duration = Duration::from_millis(500);

/// Time after the wait of a hold within which the worker has to answer it. The tasks of a worker that
/// is gone have to run elsewhere 10 s later, most of which is the wait for its leases.
const MAX_ANSWER_DELAY: Duration = Duration::from_millis(200);

/// Pause after a hold that was refused or not answered.
pub(super) const HOLD_PAUSE: Duration = Duration::from_millis(150);

/// Pause between holds while the list has ends that the planner has not acknowledged; such holds
/// are answered without a wait.
pub(super) const UNACKNOWLEDGED_PAUSE: Duration = Duration::from_millis(60);

/// Length at which the worker truncates its list of ended attempts.
const MAX_LISTED_ENDS: usize = 500;

impl SupervisorMachine {
    pub(super) fn call_start(&mut self, now: MonoTime, run: RunName) {
        let lease_until_ms = self.lease_until(now, START_LEASE);
        let Some(RunStage::Starting { order, tries, .. }) = self.runs.get_mut(&run) else {
            return;
        };
        *tries += 1;
        let operation = WorkerOperation::Start {
            run,
            spec: order.spec.clone(),
            saved: order.saved.clone(),
            lease_until_ms: lease_until_ms.unwrap_or_default(),
        };
        match lease_until_ms {
            Some(_) => {
                self.worker
                    .iter_mut()
                    .for_each(|worker| worker.started = true);
                self.call(now, WorkerTag::Start(run), operation, ORDER_TIMEOUT);
            }
            None => {
                // A lease needs a reading of the worker's clock and a grant that permits it.
                let Some(RunStage::Starting { order, .. }) = self.runs.remove(&run) else {
                    return;
                };
                self.log("start_dropped", run, "cause=no_lease".into());
                self.report_not_started(run, order.incarnation, None);
            }
        }
    }

    /// Returns the end of a lease of at most `span`, on the worker's clock.
    pub(super) fn lease_until(&self, now: MonoTime, span: Duration) -> Option<u64> {
        let clock = self.worker.as_ref()?.clock?;
        let permitted = self.granted?.plus(self.policy.lease_span).since(now);
        let span = span.min(permitted);
        let begin = clock.at(now).filter(|_| span > Duration::ZERO)?;
        begin.checked_add(span.as_millis() as u64)
    }

    fn call(
        &mut self,
        now: MonoTime,
        tag: WorkerTag,
        operation: WorkerOperation,
        timeout: Duration,
    ) {
        let Some(worker) = &self.worker else {
            return;
        };
        let call = worker.call(self.epoch, tag, operation, now.plus(timeout));
        self.effects.push(Effect::Worker(call));
    }

    pub(super) fn advance_runs(&mut self, now: MonoTime) {
        let due = |(run, stage): (&RunName, &mut RunStage)| match stage {
            RunStage::Stopping { retry_at } if retry_at.is_some_and(|at| now >= at) => {
                *retry_at = None;
                Some(*run)
            }
            _ => None,
        };
        let due: Vec<_> = self.runs.iter_mut().filter_map(due).collect();
        for run in due {
            let operation = WorkerOperation::Stop { run };
            self.call(now, WorkerTag::Stop(run), operation, ORDER_TIMEOUT);
        }
    }

    pub(super) fn handle_reply(
        &mut self,
        now: MonoTime,
        tag: WorkerTag,
        incarnation: &WorkerIncarnation,
        reply: WorkerReply,
    ) {
        let is_meant = |worker: &Option<SupervisedWorker>| {
            worker.as_ref().is_some_and(|worker| {
                let number = WorkerTag::Hold(worker.hold);
                worker.facts.incarnation == *incarnation
                    && (tag == number || !matches!(tag, WorkerTag::Hold(_)))
            })
        };
        match tag {
            _ if is_meant(&self.worker) => self.on_worker_reply(now, tag, reply),
            WorkerTag::Hold(_) if is_meant(&self.candidate) => {
                self.on_candidate_answered(now, reply);
            }
            WorkerTag::Hold(_) if is_meant(&self.former) => self.on_former_answered(now, reply),
            WorkerTag::Start(run) => {
                self.doubt_unanswered(now, tag, &reply.answer);
                self.on_late_start(run, incarnation, &reply.answer);
            }
            _ => {}
        }
    }

    fn on_worker_reply(&mut self, now: MonoTime, tag: WorkerTag, reply: WorkerReply) {
        self.drop_unsent_start(tag, &reply.answer);
        let end = match reply.answer {
            WorkerAnswer::Gone => Some((LifeEnd::Gone, "connection_refused")),
            WorkerAnswer::Refused(WorkerRefusal::OtherLife) => {
                Some((LifeEnd::OtherId, "other_life_answers"))
            }
            _ => None,
        };
        match (end, tag) {
            (Some((end, cause)), tag) => {
                self.settle_call(tag);
                self.lose_worker(now, end, cause);
            }
            (None, WorkerTag::Hold(number)) => self.on_hold_answered(now, number, reply),
            (None, tag) => {
                self.note_unanswered(&reply.answer);
                self.doubt_unanswered(now, tag, &reply.answer);
                match tag {
                    WorkerTag::Start(run) => self.on_start_answered(now, run, reply.answer),
                    WorkerTag::Stop(run) => self.on_stop_answered(now, run, &reply.answer),
                    WorkerTag::Throttle(run) => self.on_throttle_answered(run, &reply.answer),
                    WorkerTag::Hold(_) => {}
                }
            }
        }
    }

    /// Notes that the call of a start was answered by the end of the worker.
    fn settle_call(&mut self, tag: WorkerTag) {
        if let WorkerTag::Start(run) = tag
            && let Some(stage @ RunStage::Starting { .. }) = self.runs.get_mut(&run)
        {
            *stage = RunStage::Stopping { retry_at: None };
        }
    }

    fn lose_worker(&mut self, now: MonoTime, end: LifeEnd, cause: &str) {
        match self.worker.take() {
            Some(worker) if worker.verified => self.end_life(now, worker, end, cause),
            // It may never have existed.
            Some(worker) => self.log(
                "announcement_refuted",
                &worker.facts.incarnation,
                format!("cause={cause}"),
            ),
            None => {}
        }
    }

    /// Notes that a call had no answer, so that the worker may have ended and started again since.
    pub(super) fn note_unanswered(&mut self, answer: &WorkerAnswer) {
        let unanswered = *answer == WorkerAnswer::Unanswered;
        if let Some(worker) = self.worker.as_mut().filter(|_| unanswered) {
            worker.confirmed = false;
        }
    }

    pub(super) fn note_clock(&mut self, now: MonoTime, clock_ms: Option<u64>) {
        let (Some(worker), Some(ms)) = (&mut self.worker, clock_ms) else {
            return;
        };
        let clock = WorkerClock { ms, read: now };
        let is_newer = |known: &WorkerClock| known.at(now).is_none_or(|at| clock.ms >= at);
        if worker.clock.as_ref().is_none_or(is_newer) {
            worker.clock = Some(clock);
        }
    }

    /// Reports an attempt whose only call found that the worker was gone: it has not started, so it
    /// cannot be the cause.
    fn drop_unsent_start(&mut self, tag: WorkerTag, answer: &WorkerAnswer) {
        let WorkerTag::Start(run) = tag else {
            return;
        };
        let unsent = |stage: &RunStage| matches!(stage, RunStage::Starting { tries: 1, .. });
        if *answer == WorkerAnswer::Gone
            && self.runs.get(&run).is_some_and(unsent)
            && let Some(RunStage::Starting { order, .. }) = self.runs.remove(&run)
        {
            let refusal = Some(WorkerRefusal::OtherLife);
            self.report_not_started(run, order.incarnation, refusal);
        }
    }

    fn on_start_answered(&mut self, now: MonoTime, run: RunName, answer: WorkerAnswer) {
        let Some(RunStage::Starting {
            order,
            tries,
            expires_at,
        }) = self.runs.get(&run)
        else {
            return;
        };
        let (incarnation, tries, expires_at) = (order.incarnation.clone(), *tries, *expires_at);
        let after = self.worker.as_ref().map_or(0, |worker| worker.hold);
        match answer {
            WorkerAnswer::Done => {
                self.log("task_started", run, format!("tries={tries}"));
                let stopped = false;
                self.runs
                    .insert(run, RunStage::Confirming { after, stopped });
            }
            WorkerAnswer::Refused(refusal) if tries == 1 => {
                self.log("start_refused", run, format!("cause={refusal:?}"));
                self.runs.remove(&run);
                self.report_not_started(run, incarnation, Some(refusal));
            }
            // The order may have expired while this process was frozen.
            WorkerAnswer::Unanswered if tries < MAX_START_TRIES && now <= expires_at => {
                self.call_start(now, run);
            }
            _ => {
                self.log("start_uncertain", run, format!("tries={tries}"));
                let retry_at = Some(now);
                self.runs.insert(run, RunStage::Stopping { retry_at });
            }
        }
    }

    fn on_stop_answered(&mut self, now: MonoTime, run: RunName, answer: &WorkerAnswer) {
        let after = self.worker.as_ref().map_or(0, |worker| worker.hold);
        let Some(stage @ RunStage::Stopping { .. }) = self.runs.get_mut(&run) else {
            return;
        };
        let performed = matches!(
            answer,
            WorkerAnswer::Done | WorkerAnswer::Refused(WorkerRefusal::Superseded)
        );
        *stage = match performed {
            true => RunStage::Confirming {
                after,
                stopped: true,
            },
            false => RunStage::Stopping {
                retry_at: Some(now.plus(STOP_PAUSE)),
            },
        };
        self.log("task_stopped", run, format!("answer={answer:?}"));
    }

    /// Updates the stages of attempts whose orders were answered before the lists were read.
    pub(super) fn confirm_orders(&mut self, number: u64) {
        // Before a life has announced itself, reports do not name what it has ended.
        let Some(worker) = self.worker.as_ref().filter(|worker| worker.announced) else {
            return;
        };
        let incarnation = worker.facts.incarnation.clone();
        let running = runs_of(&worker.lists);
        let ended: BTreeSet<_> = worker.lists.ended.iter().map(|end| end.run).collect();
        let complete = worker.lists.is_whole() && worker.lists.ended.len() < MAX_LISTED_ENDS;
        let mut absent = Vec::new();
        self.runs.retain(|run, stage| {
            let is_running = running.contains(run);
            match stage {
                _ if ended.contains(run) => false,
                RunStage::Confirming { after, stopped } if number > *after => {
                    if !is_running && complete {
                        absent.push(*run);
                    } else if is_running && !*stopped {
                        *stage = RunStage::Listed;
                    }
                    is_running || !complete
                }
                RunStage::Listed => is_running || !complete,
                _ => true,
            }
        });
        for run in running {
            self.runs.entry(run).or_insert(RunStage::Listed);
        }
        for run in absent {
            self.log("task_absent", run, format!("hold={number}"));
            self.report_not_started(run, incarnation.clone(), None);
        }
        if !self.effects.is_empty() {
            self.report_due = true;
        }
    }

    pub(super) fn adjust_throttling(&mut self, now: MonoTime) {
        let Some(worker) = &self.worker else {
            return;
        };
        let traits = &self.traits;
        self.throttle.set_capacity(worker.facts.cpu);
        let changes = self.throttle.adjust(now, &worker.lists.running, traits);
        if let Some(detail) = self.throttle.take_log_detail() {
            self.log("serving_latency", self.policy.host.clone(), detail);
        }
        for (run, percent) in changes {
            self.log("task_paced", run, format!("percent={percent}"));
            let operation = WorkerOperation::Throttle { run, percent };
            self.call(now, WorkerTag::Throttle(run), operation, ORDER_TIMEOUT);
        }
    }

    fn on_throttle_answered(&mut self, run: RunName, answer: &WorkerAnswer) {
        if *answer != WorkerAnswer::Done {
            self.throttle.forget(run);
            self.log("pace_failed", run, format!("answer={answer:?}"));
        }
    }
}

/// Returns the time by which a hold that is sent at `hold_at` has to be answered.
pub(super) fn answer_due(hold_at: MonoTime) -> MonoTime {
    hold_at.plus(HOLD_WAIT + MAX_ANSWER_DELAY)
}

pub(super) fn runs_of(lists: &WorkerLists) -> BTreeSet<RunName> {
    lists.running.iter().map(|row| row.run).collect()
}
