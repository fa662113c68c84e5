//! Planner's right to renew leases: by a recent read of the log's tail or by its successor's promise.

use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::ids::Epoch;
use hornbeamlead_core::message::control::PromiseGrant;
use hornbeamlead_core::policy::SchedulePolicy;
use hornbeamlead_core::record::EpochClaim;
use std::time::Duration;

/// Planner's right to renew leases, and when it may count a silent host as lapsed.
#[derive(Clone, Debug)]
pub(crate) struct PlannerTenure {
    /// When this process first became planner without a break since.
    taken_over_at: MonoTime,
    /// Longest time that an earlier planner may go on renewing after that.
    earlier_right: Duration,
    /// Clock before the newest read of the cell's tail that showed no newer epoch.
    tail_began: MonoTime,
    /// End of the successor's promise in this clock.
    promise_until: MonoTime,
}

impl PlannerTenure {
    /// Begins the term that a claim read at `now` opened; `tail_began` is when that read began.
    pub(crate) fn new(
        claim: &EpochClaim,
        now: MonoTime,
        tail_began: MonoTime,
        schedule: &SchedulePolicy,
    ) -> Self {
        let earlier_right = match claim.previous {
            Epoch(0) => Duration::ZERO,
            _ => schedule.tail_validity,
        };
        Self {
            taken_over_at: now,
            earlier_right,
            tail_began,
            promise_until: MonoTime(0),
        }
    }

    /// Keeps a wait that an earlier forced claim began; a later claim does not shorten it.
    pub(crate) fn respect(&mut self, forced_at: MonoTime, schedule: &SchedulePolicy) {
        let right = schedule.outage_bound + schedule.tail_validity;
        let until = forced_at.plus(right);
        let own_until = self.taken_over_at.plus(self.earlier_right);
        if until > own_until {
            self.earlier_right = until.since(self.taken_over_at);
        }
    }

    /// Notes a read of the cell's tail that showed no newer epoch.
    pub(crate) fn read_tail(&mut self, began: MonoTime) {
        self.tail_began = self.tail_began.max(began);
    }

    /// Forgets the promise, when another successor is about to be named.
    pub(crate) fn drop_promise(&mut self) {
        self.promise_until = MonoTime(0);
    }

    /// Notes a promise of the named successor.
    pub(crate) fn take_promise(&mut self, grant: &PromiseGrant) {
        self.promise_until = self.promise_until.max(grant.clock.plus(grant.span));
    }

    /// Returns whether leases may be renewed at this moment.
    pub(crate) fn may_renew(&self, now: MonoTime, schedule: &SchedulePolicy) -> bool {
        let by_tail = now < self.tail_began.plus(schedule.tail_validity);
        let by_promise = now < self.promise_until;
        let in_outage_bound = now < self.tail_began.plus(schedule.outage_bound);
        by_tail || (by_promise && in_outage_bound)
    }

    /// Returns whether the log was read so recently that work may be started and moved.
    pub(crate) fn is_fresh(&self, now: MonoTime, schedule: &SchedulePolicy) -> bool {
        now < self.tail_began.plus(schedule.tail_validity)
    }

    /// Returns whether the log seems slow or down, so that a promise is wanted.
    pub(crate) fn wants_promise(&self, now: MonoTime, schedule: &SchedulePolicy) -> bool {
        now > self.tail_began.plus(schedule.tail_validity / 3)
    }

    /// Returns whether no planner came before this one.
    pub(crate) fn is_first(&self) -> bool {
        self.earlier_right.is_zero()
    }

    /// Returns the moment until which an earlier planner may have renewed leases.
    pub(crate) fn earlier_until(&self) -> MonoTime {
        self.taken_over_at.plus(self.earlier_right)
    }

    /// Returns whether a host that was last renewed at `renewed` can hold no lease any more.
    pub(crate) fn has_lapsed(
        &self,
        renewed: Option<MonoTime>,
        now: MonoTime,
        schedule: &SchedulePolicy,
    ) -> bool {
        let last = renewed.unwrap_or_default().max(self.earlier_until());
        now > last.plus(schedule.lease).plus(schedule.margin)
    }
}
