//! Lives of the worker: which announcements are its own, when a life has ended, and which starts may
//! have reached the next one.
//!
//! An announcement only names a life; that the life exists is shown by its lists. Calls name the id
//! of a worker, so they also reach a later life under the same id.

use super::announcement::SequenceWatch;
use super::calls::answer_due;
use super::doubts::MAX_DOUBT_TIME;
use super::{RunStage, SupervisedWorker, SupervisorMachine};
use crate::effect::Effect;
use crate::ids::WorkerIncarnation;
use crate::worker::{
    WorkerAnnouncement, WorkerAnswer, WorkerFacts, WorkerLists, WorkerRefusal, WorkerReply,
};
use hornbeamlead_core::clock::MonoTime;
use std::time::Duration;

/// How a life ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LifeEnd {
    /// Connections are refused.
    Gone,
    /// Another id answers, which refuses all calls for this one.
    OtherId,
    /// Another life answers under the same id.
    SameId,
}

impl SupervisedWorker {
    pub(super) fn new(now: MonoTime, announcement: WorkerAnnouncement) -> Self {
        let leaves_in = announcement.facts.leaves_in_ms;
        Self {
            leaves_at: leaves_in.map(|ms| now.plus(Duration::from_millis(ms.into()))),
            facts: announcement.facts,
            address: announcement.address,
            sequence: SequenceWatch::new(announcement.sequence),
            clock: None,
            hold: 0,
            hold_in_flight: false,
            hold_at: now,
            hold_epoch: Default::default(),
            acknowledged: 0,
            released: 0,
            hold_release: 0,
            late_release_until: None,
            started: false,
            lists: WorkerLists::default(),
            answer_due: answer_due(now),
            silent: false,
            listed: None,
            announced: true,
            verified: false,
            confirmed: false,
        }
    }

    /// Returns the next life under the same id, which has answered but not announced itself.
    fn reborn(&self, now: MonoTime, born: u64) -> Self {
        let facts = WorkerFacts {
            incarnation: WorkerIncarnation {
                born,
                ..self.facts.incarnation.clone()
            },
            draining: false,
            leaves_in_ms: None,
            ..self.facts.clone()
        };
        let announcement = WorkerAnnouncement {
            facts,
            address: self.address,
            sequence: 0,
        };
        Self {
            announced: false,
            verified: true,
            ..Self::new(now, announcement)
        }
    }

    /// Takes over an announcement of the same life before it has answered.
    fn renew(&mut self, now: MonoTime, announcement: WorkerAnnouncement) {
        let is_own = self.address == announcement.address;
        if is_own && self.sequence.take(now, announcement.sequence) {
            let leaves_in = announcement.facts.leaves_in_ms;
            self.leaves_at = leaves_in.map(|ms| now.plus(Duration::from_millis(ms.into())));
            self.facts = announcement.facts;
        }
    }

    /// Returns whether the worker can be used: it has announced itself and answers.
    pub(super) fn is_usable(&self) -> bool {
        self.announced && self.verified && !self.silent
    }
}

impl SupervisorMachine {
    pub(super) fn handle_announcement(&mut self, now: MonoTime, announcement: WorkerAnnouncement) {
        let incarnation = announcement.facts.incarnation.clone();
        let mismatch = self.policy.worker.mismatch(&announcement);
        let other_machine = self
            .is_other_machine(announcement.facts.machine.as_deref())
            .then_some("other_machine");
        if let Some(cause) = mismatch.or(other_machine) {
            return self.reject_foreign(&announcement, cause);
        }
        match &mut self.worker {
            Some(worker) if worker.facts.incarnation == incarnation => {
                self.renew_announcement(now, announcement);
            }
            // Nothing depends on a worker yet that has not answered.
            Some(worker)
                if !worker.verified && incarnation.born >= worker.facts.incarnation.born =>
            {
                self.accept_first(now, announcement);
            }
            None if self.former.is_none() => self.accept_first(now, announcement),
            _ => match &mut self.candidate {
                Some(candidate) if candidate.facts.incarnation == incarnation => {
                    candidate.renew(now, announcement);
                }
                _ => self.candidate = Some(SupervisedWorker::new(now, announcement)),
            },
        }
    }

    fn accept_first(&mut self, now: MonoTime, announcement: WorkerAnnouncement) {
        let detail = format!(
            "address={} service={} data_centre={} sequence={}",
            announcement.address,
            announcement.facts.service,
            announcement.facts.data_centre,
            announcement.sequence
        );
        self.log("worker_found", &announcement.facts.incarnation, detail);
        let announced = !self.awaits_release(now, &announcement.facts.incarnation);
        self.worker = Some(SupervisedWorker {
            announced,
            ..SupervisedWorker::new(now, announcement)
        });
    }

    fn reject_foreign(&mut self, announcement: &WorkerAnnouncement, cause: &str) {
        self.effects.push(Effect::Count("foreign_worker"));
        let detail = format!(
            "cause={cause} address={} service={}",
            announcement.address, announcement.facts.service
        );
        self.log(
            "announcement_ignored",
            &announcement.facts.incarnation,
            detail,
        );
    }

    /// Takes over what a life announces of itself once more, or what one that was found by its lists
    /// announces for the first time.
    fn renew_announcement(&mut self, now: MonoTime, announcement: WorkerAnnouncement) {
        let awaits_release = self.awaits_release(now, &announcement.facts.incarnation);
        let Some(worker) = &mut self.worker else {
            return;
        };
        if worker.address != announcement.address {
            return self.reject_foreign(&announcement, "address_changed");
        }
        if !worker.announced {
            worker.announced = !awaits_release;
            worker.sequence = SequenceWatch::new(announcement.sequence);
        } else if !worker.sequence.take(now, announcement.sequence) {
            let (id, sequence) = (&announcement.facts.incarnation, announcement.sequence);
            return self.log(
                "announcement_ignored",
                id,
                format!("cause=sequence sequence={sequence}"),
            );
        }
        let leaves_in = announcement.facts.leaves_in_ms;
        worker.leaves_at = leaves_in.map(|ms| now.plus(Duration::from_millis(ms.into())));
        // The time until a draining worker leaves changes with each announcement.
        let known = WorkerFacts {
            leaves_in_ms: leaves_in,
            ..worker.facts.clone()
        };
        self.report_due |= known != announcement.facts;
        worker.facts = announcement.facts;
    }

    /// Returns whether a machine is certainly not that of the known worker.
    fn is_other_machine(&self, announced: Option<&str>) -> bool {
        let worker = self.worker.as_ref();
        let known = worker.and_then(|worker| worker.facts.machine.as_deref());
        known.is_some() && announced.is_some() && known != announced
    }

    /// Notes that a worker deregisters. One that goes has announced before that it drains.
    pub(super) fn handle_leave(&mut self, id: &str) {
        match &self.worker {
            Some(worker) if &*worker.facts.incarnation.id == id && worker.facts.draining => {
                self.report_due = true;
            }
            _ => self.log("leave_ignored", id, String::new()),
        }
    }

    /// Handles the answer to the look at an announced life: only its own lists show that it exists.
    pub(super) fn on_candidate_answered(&mut self, now: MonoTime, reply: WorkerReply) {
        let Some(mut candidate) = self.candidate.take() else {
            return;
        };
        let incarnation = candidate.facts.incarnation.clone();
        let cause = match &reply.answer {
            WorkerAnswer::Lists(lists) if !names_other_life(lists, &incarnation) => None,
            WorkerAnswer::Lists(_) => Some("other_life_answers"),
            answer => Some(refutation(answer)),
        };
        // Two lives cannot take calls at one address, but at two they can.
        let is_elsewhere = |worker: &SupervisedWorker| {
            worker.address != candidate.address && worker.verified && !worker.silent
        };
        let elsewhere = self.worker.as_ref().is_some_and(is_elsewhere);
        let cause = cause.or(elsewhere.then_some("worker_answers_elsewhere"));
        if let Some(cause) = cause {
            self.effects.push(Effect::Count("foreign_worker"));
            let detail = format!("cause={cause} address={}", candidate.address);
            return self.log("announcement_refuted", &incarnation, detail);
        }
        candidate.verified = true;
        candidate.hold_in_flight = false;
        let awaits_release = self.awaits_release(now, &incarnation);
        match &mut self.worker {
            // Its lists were read before its first announcement.
            Some(worker) if worker.facts.incarnation == incarnation => {
                worker.announced = !awaits_release;
                worker.facts = candidate.facts;
                worker.leaves_at = candidate.leaves_at;
                worker.sequence = candidate.sequence;
                self.report_due = true;
            }
            worker => {
                let before = worker.take().or_else(|| self.former.take());
                let before = before.filter(|before| before.verified);
                if let Some(before) = before {
                    let end = match before.facts.incarnation.id == incarnation.id {
                        true => LifeEnd::SameId,
                        false => LifeEnd::OtherId,
                    };
                    self.end_life(now, before, end, "newer_life_answers");
                }
                let detail = format!(
                    "address={} service={}",
                    candidate.address, candidate.facts.service
                );
                self.log("worker_found", &incarnation, detail);
                let number = candidate.hold;
                candidate.announced = !self.awaits_release(now, &incarnation);
                self.worker = Some(candidate);
                self.stop_doubtful(now, &incarnation.id);
                self.on_hold_answered(now, number, reply);
            }
        }
    }

    /// Handles the answer to a look at the address of a life that has ended.
    pub(super) fn on_former_answered(&mut self, now: MonoTime, reply: WorkerReply) {
        let Some(mut former) = self.former.take() else {
            return;
        };
        former.hold_in_flight = false;
        let incarnation = former.facts.incarnation.clone();
        match &reply.answer {
            WorkerAnswer::Lists(lists) => match lists.born {
                Some(born) if born != incarnation.born => self.find_reborn(now, &former, born),
                _ => {
                    self.log("worker_revived", &incarnation, String::new());
                    let number = former.hold;
                    self.worker = Some(former);
                    self.stop_doubtful(now, &incarnation.id);
                    self.on_hold_answered(now, number, reply);
                }
            },
            WorkerAnswer::Refused(WorkerRefusal::OtherLife) => {
                self.runs.clear();
                self.report_due = true;
            }
            WorkerAnswer::Gone => {
                // Starts that were answered, or abandoned, before this call have not begun on it.
                self.settle_doubts(now, |stage| {
                    matches!(stage, RunStage::Doubtful { call: None, .. })
                });
                self.keep_former(now, former);
            }
            _ => self.keep_former(now, former),
        }
    }

    /// Handles lists of another life than the worker's.
    pub(super) fn on_other_life(&mut self, now: MonoTime, born: u64) {
        let Some(worker) = self.worker.take() else {
            return;
        };
        match worker.verified {
            false => self.log(
                "announcement_refuted",
                &worker.facts.incarnation,
                format!("cause=other_life_answers born={born}"),
            ),
            true => {
                self.end_life(now, worker.clone(), LifeEnd::SameId, "other_life_listed");
                self.find_reborn(now, &worker, born);
            }
        }
    }

    /// Goes on with the next life under the same id, so that starts which may have reached it are
    /// stopped. It is not used before it has announced itself: it may have another capacity.
    fn find_reborn(&mut self, now: MonoTime, before: &SupervisedWorker, born: u64) {
        let worker = before.reborn(now, born);
        let incarnation = worker.facts.incarnation.clone();
        self.log("worker_reborn", &incarnation, String::new());
        self.worker = Some(worker);
        self.stop_doubtful(now, &incarnation.id);
    }

    /// Ends a life. What its lists named has ended with it; starts in flight may reach the next life,
    /// if that has the same id.
    pub(super) fn end_life(
        &mut self,
        now: MonoTime,
        worker: SupervisedWorker,
        end: LifeEnd,
        cause: &str,
    ) {
        let incarnation = worker.facts.incarnation.clone();
        self.remember_release(now, &worker);
        self.log(
            "worker_lost",
            &incarnation,
            format!("cause={cause} runs={}", self.runs.len()),
        );
        self.dead = Some(incarnation);
        match end {
            LifeEnd::OtherId => {
                self.runs.clear();
                self.doubts.clear();
            }
            LifeEnd::Gone | LifeEnd::SameId => {
                self.runs.retain(|_, stage| *stage != RunStage::Listed);
                let until = now.plus(MAX_DOUBT_TIME);
                for stage in self.runs.values_mut() {
                    *stage = match stage {
                        RunStage::Starting { tries, .. } => RunStage::Doubtful {
                            call: Some(*tries),
                            until,
                        },
                        _ => RunStage::Doubtful { call: None, until },
                    };
                }
            }
        }
        self.traits.clear();
        self.throttle.clear();
        self.progress.clear();
        self.report_due = true;
        if end == LifeEnd::Gone {
            self.keep_former(now, worker);
        }
    }

    /// Keeps looking at the address of an ended life while it is not known what has reached the next.
    fn keep_former(&mut self, now: MonoTime, mut former: SupervisedWorker) {
        if !self.runs.is_empty() {
            former.hold_in_flight = false;
            former.hold_at = now.plus(super::calls::HOLD_PAUSE);
            self.former = Some(former);
        }
    }
}

/// Returns whether lists are those of another life than the given one.
pub(super) fn names_other_life(lists: &WorkerLists, incarnation: &WorkerIncarnation) -> bool {
    lists.born.is_some_and(|born| born != incarnation.born)
}

fn refutation(answer: &WorkerAnswer) -> &'static str {
    match answer {
        WorkerAnswer::Gone => "connection_refused",
        WorkerAnswer::Refused(WorkerRefusal::OtherLife) => "other_id_answers",
        WorkerAnswer::Refused(_) => "refused",
        _ => "no_answer",
    }
}
