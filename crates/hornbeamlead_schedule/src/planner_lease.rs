//! Leader lease of the planner: valid by a recent read of the log's tail or by its successor's
//! promise.

use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::ids::Epoch;
use hornbeamlead_core::message::control::PromiseGrant;
use hornbeamlead_core::policy::SchedulePolicy;
use hornbeamlead_core::record::EpochClaim;
use std::time::Duration;

/// Leader lease of a planner: when it may renew host leases and when a silent host has lapsed.
#[derive(Clone, Debug)]
pub(crate) struct PlannerLease {
    /// When the current unbroken term of this process began.
    term_began: MonoTime,
    /// Time after the start of the term during which a previous planner may still renew leases.
    predecessor_window: Duration,
    /// Start of the newest read of the cell's tail that showed no newer epoch.
    tail_read_at: MonoTime,
    /// End of the successor's promise, by this process's clock.
    promise_until: MonoTime,
}

impl PlannerLease {
    /// Starts the term of a claim that was read at `now`; `tail_read_at` is the start of that read.
    pub(crate) fn new(
        claim: &EpochClaim,
        now: MonoTime,
        tail_read_at: MonoTime,
        schedule: &SchedulePolicy,
    ) -> Self {
        let predecessor_window = match claim.previous {
            Epoch(0) => Duration::ZERO,
            _ => schedule.tail_validity,
        };
        Self {
            term_began: now,
            predecessor_window,
            tail_read_at,
            promise_until: MonoTime(0),
        }
    }

    /// Extends the window of previous planners to that of an earlier forced claim.
    ///
    /// A later claim must not shorten that wait: a planner that was replaced by force may still
    /// renew leases by its successor's promise.
    pub(crate) fn extend_predecessor_window(
        &mut self,
        forced_at: MonoTime,
        schedule: &SchedulePolicy,
    ) {
        let renewal_window = schedule.outage_bound + schedule.tail_validity;
        let until = forced_at.plus(renewal_window);
        let own_until = self.term_began.plus(self.predecessor_window);
        if until > own_until {
            self.predecessor_window = until.since(self.term_began);
        }
    }

    /// Records a read of the cell's tail that showed no newer epoch.
    pub(crate) fn record_tail_read(&mut self, began: MonoTime) {
        self.tail_read_at = self.tail_read_at.max(began);
    }

    /// Discards the promise when another successor is about to be named.
    pub(crate) fn clear_promise(&mut self) {
        self.promise_until = MonoTime(0);
    }

    /// Extends the lease by a promise of the named successor.
    pub(crate) fn accept_promise(&mut self, grant: &PromiseGrant) {
        self.promise_until = self.promise_until.max(grant.clock.plus(grant.span));
    }

    /// Returns whether the planner may renew host leases now.
    pub(crate) fn may_renew(&self, now: MonoTime, schedule: &SchedulePolicy) -> bool {
        let by_tail = now < self.tail_read_at.plus(schedule.tail_validity);
        let by_promise = now < self.promise_until;
        let in_outage_bound = now < self.tail_read_at.plus(schedule.outage_bound);
        by_tail || (by_promise && in_outage_bound)
    }

    /// Returns whether the last tail read is recent enough to start and move tasks.
    pub(crate) fn is_fresh(&self, now: MonoTime, schedule: &SchedulePolicy) -> bool {
        now < self.tail_read_at.plus(schedule.tail_validity)
    }

    /// Returns whether the log seems slow or unavailable, so that a promise should be requested.
    pub(crate) fn needs_promise(&self, now: MonoTime, schedule: &SchedulePolicy) -> bool {
        now > self.tail_read_at.plus(schedule.tail_validity / 3)
    }

    /// Returns whether the cell had no planner before this one.
    pub(crate) fn is_first_planner(&self) -> bool {
        self.predecessor_window.is_zero()
    }

    /// Returns the time until which a previous planner may have renewed leases.
    pub(crate) fn predecessor_until(&self) -> MonoTime {
        self.term_began.plus(self.predecessor_window)
    }

    /// Returns whether the lease of a host that was last renewed at `renewed` has certainly expired.
    pub(crate) fn has_lapsed(
        &self,
        renewed: Option<MonoTime>,
        now: MonoTime,
        schedule: &SchedulePolicy,
    ) -> bool {
        let last = renewed.unwrap_or_default().max(self.predecessor_until());
        now > last.plus(schedule.lease).plus(schedule.margin)
    }
}
