//! Appends records in order, one batch at a time, and releases what waits for them.

use super::{GRANT_SPAN, PlannerMachine, RunView};
use crate::effect::Effect;
use crate::ids::{HostName, JobId, PlannerEpoch, RunName, StreamOffset, WorkerIncarnation};
use crate::job::RunEnd;
use crate::ledger::JobLedger;
use crate::message::{PlannerMessage, StartOrder};
use crate::operators::OperatorFormat;
use crate::record::{PlanRecord, encode};
use crate::store::{
    AppendCondition, NewRecord, StoreCall, StoreCaller, StoreOperation, StoreOutcome, StreamName,
};
use hornbeamlead_core::clock::MonoTime;
use std::time::Duration;

/// Time for which records are gathered before they are appended.
const GATHER_SPAN: Duration = Duration::from_millis(4);

/// Longest time between two appends: what is in the stream shows that the planner lives.
const TICK_SPAN: Duration = Duration::from_millis(250);

/// Time after which an append is given up and repeated.
const APPEND_TIMEOUT: Duration = Duration::from_millis(800);

/// Pause before a failed append is repeated.
const APPEND_PAUSE: Duration = Duration::from_millis(40);

/// Time for which the store may refuse or not answer before another process is let try; it may
/// refuse single hosts.
const REFUSED_SPAN: Duration = Duration::from_millis(900);

/// Most records of a batch; far below the store's limit of 2 MiB a call.
const MAX_BATCH: usize = 4000;

/// What may only happen once a batch is stored.
#[derive(Clone, Debug)]
pub(super) enum HeldStep {
    /// Order an attempt.
    Start {
        /// Host.
        host: HostName,
        /// Order.
        order: StartOrder,
    },
    /// Stop an attempt.
    Stop(RunName),
    /// Let the worker forget ends.
    Acknowledge {
        /// Host.
        host: HostName,
        /// Life of the worker.
        incarnation: WorkerIncarnation,
        /// Highest number.
        through: u64,
    },
}

/// Batch that the store has not answered yet.
#[derive(Debug)]
struct FlyingBatch {
    records: Vec<NewRecord>,
    held: Vec<HeldStep>,
    sequence: u64,
    sent: MonoTime,
    repeat_at: Option<MonoTime>,
    /// Ledger with this batch, and the jobs that had ended by then, where a snapshot is due.
    snapshot: Option<(JobLedger, Vec<JobId>)>,
}

/// Records on their way to the store.
#[derive(Debug)]
pub(super) struct RecordBatch {
    epoch: PlannerEpoch,
    sequence: u64,
    end: StreamOffset,
    records: Vec<PlanRecord>,
    held: Vec<HeldStep>,
    since: MonoTime,
    flying: Option<FlyingBatch>,
    /// When the last append was sent that succeeded.
    stored: MonoTime,
    /// Since when the store has refused all appends.
    refused_since: Option<MonoTime>,
    last_tick: MonoTime,
}

impl RecordBatch {
    pub(super) fn new(epoch: PlannerEpoch, claim: StreamOffset, now: MonoTime) -> Self {
        Self {
            epoch,
            sequence: 0,
            end: claim + 1,
            records: Vec::new(),
            held: Vec::new(),
            since: now,
            flying: None,
            stored: now,
            refused_since: None,
            last_tick: MonoTime(0),
        }
    }

    pub(super) fn add(&mut self, now: MonoTime, record: PlanRecord) {
        if self.records.is_empty() {
            self.since = now;
        }
        self.records.push(record);
    }

    pub(super) fn hold(&mut self, step: HeldStep) {
        self.held.push(step);
    }

    /// Returns whether an append succeeded lately: the planner still holds its duty.
    pub(super) fn is_sound(&self, now: MonoTime) -> bool {
        let refused = self
            .refused_since
            .is_some_and(|since| now.since(since) >= REFUSED_SPAN);
        now.since(self.stored) <= GRANT_SPAN && !refused
    }

    fn is_due(&self, now: MonoTime) -> bool {
        let gathered = !self.records.is_empty() && now.since(self.since) >= GATHER_SPAN;
        let held = !self.held.is_empty();
        gathered || held || now.since(self.last_tick) >= TICK_SPAN
    }
}

impl<F: OperatorFormat> PlannerMachine<F> {
    /// Sends the next batch if it is due and none is on its way, or repeats a failed one.
    pub(super) fn flush(&mut self, now: MonoTime) {
        let due = self.batch.is_due(now);
        match &mut self.batch.flying {
            Some(flying) if flying.repeat_at.is_some_and(|at| now >= at) => {
                flying.repeat_at = None;
                flying.sent = now;
                self.send_batch(now);
            }
            None if due => self.fly(now),
            _ => {}
        }
    }

    fn fly(&mut self, now: MonoTime) {
        let jobs_read = self.jobs_follower.next();
        let follows = self.jobs_follower.last_read_at();
        // A planner that cannot see new jobs gives no sign of life that vouches for them.
        let current = follows.is_some_and(|at| now.since(at) <= GRANT_SPAN);
        if now.since(self.batch.last_tick) >= TICK_SPAN && current {
            self.batch.last_tick = now;
            self.record(now, PlanRecord::Tick { jobs_read });
        }
        let count = self.batch.records.len().min(MAX_BATCH);
        let records: Vec<_> = self.batch.records.drain(..count).collect();
        let record = |record: &PlanRecord| NewRecord {
            key: None,
            value: Some(encode(record)),
        };
        let whole = self.batch.records.is_empty();
        if records.is_empty() {
            // What waits depends on records that are stored already.
            for step in std::mem::take(&mut self.batch.held) {
                self.release(now, step);
            }
            return;
        }
        self.batch.sequence += 1;
        let due = whole && self.upkeep.is_snapshot_due(now);
        let snapshot = due.then(|| {
            let ledger = JobLedger {
                learned: self.impact.learned(),
                ..self.ledger.clone()
            };
            (ledger, self.upkeep.take_ended())
        });
        self.batch.flying = Some(FlyingBatch {
            records: records.iter().map(record).collect(),
            held: if whole {
                std::mem::take(&mut self.batch.held)
            } else {
                Vec::new()
            },
            sequence: self.batch.sequence,
            sent: now,
            repeat_at: None,
            snapshot,
        });
        self.send_batch(now);
    }

    fn send_batch(&mut self, now: MonoTime) {
        let Some(flying) = &self.batch.flying else {
            return;
        };
        self.effects.push(Effect::Store(StoreCall {
            caller: StoreCaller::Records,
            operation: StoreOperation::Append {
                stream: StreamName::Plan,
                records: flying.records.clone(),
                condition: AppendCondition::Epoch {
                    epoch: self.batch.epoch.0,
                    sequence: flying.sequence,
                },
            },
            deadline: now.plus(APPEND_TIMEOUT),
        }));
    }

    pub(super) fn take_appended(&mut self, now: MonoTime, outcome: StoreOutcome) {
        match outcome {
            StoreOutcome::Appended { offset } => self.land(now, offset),
            StoreOutcome::Fenced | StoreOutcome::Moved { .. } => self.depose("fenced"),
            StoreOutcome::Refused { cause } | StoreOutcome::Unanswered { cause } => {
                self.batch.refused_since.get_or_insert(now);
                self.log("append_failed", "plan", format!("cause={cause:?}"));
                if let Some(flying) = &mut self.batch.flying {
                    flying.repeat_at = Some(now.plus(APPEND_PAUSE));
                }
            }
            _ => {}
        }
    }

    fn land(&mut self, now: MonoTime, offset: StreamOffset) {
        let Some(flying) = self.batch.flying.take() else {
            return;
        };
        self.batch.end = offset + flying.records.len() as u64;
        self.batch.stored = flying.sent;
        self.batch.refused_since = None;
        if let Some((ledger, ended)) = flying.snapshot {
            self.save_snapshot(now, &ledger, ended, self.batch.end);
        }
        for step in flying.held {
            self.release(now, step);
        }
    }

    fn release(&mut self, now: MonoTime, step: HeldStep) {
        match step {
            HeldStep::Start { host, order } => self.release_start(now, &host, order),
            HeldStep::Stop(run) => self.order_stop(run),
            HeldStep::Acknowledge {
                host,
                incarnation,
                through,
            } => {
                let link = self.hosts.get(&host).and_then(|view| view.link);
                if let Some(link) = link {
                    let message = PlannerMessage::Acknowledge {
                        incarnation,
                        through,
                    };
                    self.effects.push(Effect::ToAgent { link, message });
                }
            }
        }
    }

    /// Orders an attempt, unless something has changed since the decision. An attempt that was
    /// never ordered has certainly not begun.
    fn release_start(&mut self, now: MonoTime, host: &HostName, order: StartOrder) {
        let run = order.run;
        let job = self.ledger.jobs.get(&run.task.step.job);
        let ended = job.is_none_or(|job| job.phase.is_final());
        let current = self.is_current(now);
        let view = self.hosts.get_mut(host);
        let sound = view.as_ref().is_some_and(|view| {
            view.is_open(now)
                && view.incarnation() == Some(&order.incarnation)
                && !view.is_draining()
        });
        let evacuated = view.as_ref().is_some_and(|view| {
            let zone = view.worker.as_ref().map(|worker| &worker.data_centre);
            zone.is_some_and(|zone| self.operators.is_evacuated(zone))
        });
        let link = view.as_ref().and_then(|view| view.link);
        match (view, link) {
            (Some(view), Some(link)) if sound && current && !evacuated && !ended => {
                let number = view.next_order();
                let known = self.runs.entry(run).or_insert_with(|| RunView::new(now));
                known.ordered = Some(number);
                let message = PlannerMessage::Start { number, order };
                self.effects.push(Effect::ToAgent { link, message });
            }
            _ => {
                let detail =
                    format!("host={host} ended={ended} evacuated={evacuated} current={current}");
                self.log("start_withdrawn", run, detail);
                self.end_run(now, run, RunEnd::NotStarted, None);
            }
        }
    }

    /// Orders that an attempt stop, if its host can be reached; its reports bring it up again.
    pub(super) fn order_stop(&mut self, run: RunName) {
        let Some(placement) = self.ledger.placement(run) else {
            return;
        };
        let incarnation = placement.incarnation.clone();
        let Some(view) = self.hosts.get_mut(&placement.host) else {
            return;
        };
        let Some(link) = view.link else {
            return;
        };
        let number = view.next_order();
        if let Some(known) = self.runs.get_mut(&run) {
            known.stopped = Some(number);
            known.ordered.get_or_insert(number);
        }
        let message = PlannerMessage::Stop {
            number,
            run,
            incarnation,
        };
        self.effects.push(Effect::ToAgent { link, message });
    }
}
