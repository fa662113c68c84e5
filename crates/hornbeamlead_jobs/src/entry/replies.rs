//! Replies to callers, and the time after which refused ones may return.

use super::EntryMachine;
use super::admission::{JobFacts, RejectionFacts, decide};
use super::return_time::{ReturnFacts, return_after_s};
use crate::effect::{CallerReply, Effect};
use crate::ids::JobId;
use crate::job::QueueTerms;
use crate::operators::OperatorFormat;
use hornbeamlead_core::clock::MonoTime;
use rand::Rng;
use std::time::Duration;

/// Seconds after which a caller may repeat a read or a cancellation; another entry may be able to
/// reach the store.
const RETRY_AFTER_S: u32 = 1;

/// Seconds after which a caller may repeat a large job; the open ones have to end first.
const LARGE_RETRY_AFTER_S: u32 = 5;

/// Why the store does not take a job.
#[derive(Clone, Debug)]
pub(super) enum JobRefusal {
    /// The last call failed a moment ago.
    StoreAway,
    /// The store refused the append.
    AppendRefused(Box<str>),
}

impl<F: OperatorFormat> EntryMachine<F> {
    pub(super) fn reply(&mut self, ticket: u64, reply: CallerReply) {
        self.effects.push(Effect::Count(counter_name(&reply)));
        self.effects.push(Effect::Reply { ticket, reply });
    }

    /// Refuses a request that does not submit a job.
    pub(super) fn refuse(&mut self, ticket: u64, reason: &'static str) {
        self.refuse_until(ticket, reason, RETRY_AFTER_S);
    }

    /// Refuses a job because the store does not take it, and logs why.
    pub(super) fn refuse_job(
        &mut self,
        now: MonoTime,
        ticket: u64,
        job: JobId,
        priority: u8,
        refusal: JobRefusal,
    ) {
        let facts = ReturnFacts {
            outage: self.store_watch.outage(now),
            wait: Duration::ZERO,
            priority,
            random: self.random.random(),
        };
        let retry_after_s = return_after_s(facts);
        let figures = format!(
            "outage_ms={} priority={priority} random={:.3} retry_after_s={retry_after_s}",
            facts.outage.as_millis(),
            facts.random
        );
        let (event, reason, detail) = match refusal {
            JobRefusal::StoreAway => (
                "submit_refused",
                "store_away",
                format!("reason=store_away {figures}"),
            ),
            JobRefusal::AppendRefused(cause) => (
                "append_refused",
                "store_refused",
                format!("cause={cause:?} {figures}"),
            ),
        };
        self.log(event, job, detail);
        self.refuse_until(ticket, reason, retry_after_s);
    }

    /// Refuses a large job because too many of them are open. That it never runs is said only if no
    /// other entry may have stored it.
    pub(super) fn refuse_large(&mut self, now: MonoTime, ticket: u64, job: JobId) {
        let is_absent = self.is_plan_fresh(now) && self.store_watch.is_calm(now);
        self.log(
            "submit_refused",
            job,
            format!("reason=large_jobs_full absent={is_absent}"),
        );
        match is_absent {
            true => self.refuse_until(ticket, "large_jobs_full", LARGE_RETRY_AFTER_S),
            false => self.reply(ticket, CallerReply::Unknown),
        }
    }

    fn refuse_until(&mut self, ticket: u64, reason: &'static str, retry_after_s: u32) {
        self.effects.push(Effect::Count(reason));
        let reply = CallerReply::Refused {
            reason,
            retry_after_s,
        };
        self.reply(ticket, reply);
    }

    /// Returns why a job is not worth accepting, if admission is on and the load is known. A job
    /// that another entry may have stored is not rejected: the plan has to be current, and the store
    /// calm for as long as a caller may take to come here.
    pub(super) fn rejection(
        &mut self,
        now: MonoTime,
        terms: &QueueTerms,
        facts: JobFacts,
    ) -> Option<RejectionFacts> {
        if !self.policy.admission || !self.is_plan_fresh(now) || !self.store_watch.is_calm(now) {
            return None;
        }
        if !facts.has_objective {
            return None;
        }
        let random = self.random.random();
        let decision = decide(self.load.facts(now, terms), terms, facts, random);
        let share = decision.share;
        self.load.count_decision(&terms.queue, facts.work, share);
        decision.rejection
    }

    pub(super) fn reject_job(
        &mut self,
        ticket: u64,
        job: JobId,
        terms: &QueueTerms,
        facts: JobFacts,
        rejection: RejectionFacts,
    ) {
        let retry_after_s = return_after_s(ReturnFacts {
            outage: Duration::ZERO,
            wait: rejection.excess(facts.path),
            priority: terms.priority,
            random: self.random.random(),
        });
        let detail = format!(
            "reason=overloaded queue={} priority={} work={} path_ms={} wait_ms={} limit_ms={} \
             share={:.3} random={:.3} report_age_ms={} retry_after_s={retry_after_s}",
            terms.queue,
            terms.priority,
            facts.work.total(),
            facts.path.as_millis(),
            rejection.wait.as_millis(),
            rejection.limit.as_millis(),
            rejection.share,
            rejection.random,
            rejection.age.as_millis()
        );
        self.log("submit_refused", job, detail);
        self.effects.push(Effect::Count("overloaded"));
        self.reply(ticket, CallerReply::Overloaded { retry_after_s });
    }

    pub(super) fn log(&mut self, event: &'static str, job: JobId, detail: String) {
        self.effects.push(Effect::log_job(event, job, detail));
    }
}

fn counter_name(reply: &CallerReply) -> &'static str {
    match reply {
        CallerReply::Accepted => "reply_accepted",
        CallerReply::Phase(_) => "reply_phase",
        CallerReply::Cancelled => "reply_cancelled",
        CallerReply::Waiting(_) => "reply_waiting",
        CallerReply::NoQueue => "reply_no_queue",
        CallerReply::NoJob => "reply_no_job",
        CallerReply::Invalid(_) => "reply_invalid",
        CallerReply::Refused { .. } => "reply_refused",
        CallerReply::Overloaded { .. } => "reply_overloaded",
        CallerReply::Unknown => "reply_unknown",
    }
}
