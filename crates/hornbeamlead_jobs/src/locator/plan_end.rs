//! Dates the end of the plan, from which the next planner counts the leases that its predecessors
//! granted.

use super::{CLAIM_TIMEOUT, ElectionStage, PlannerLocator};
use crate::effect::Effect;
use crate::ids::StreamOffset;
use crate::store::{StoreCall, StoreCaller, StoreOperation, StoreOutcome, StreamName};
use hornbeamlead_core::clock::MonoTime;
use std::time::Duration;

/// Time without an answer after which the end of the plan is read again. As long as the longest pause
/// after a read that the store refuses.
const REPEAT_INTERVAL: Duration = Duration::from_millis(400);

/// End of the plan, as read from the store.
///
/// If a claim at `offset` succeeds, no earlier planner has sent an append after `seen_at` that
/// succeeded. The store served the read before `seen_at`, and offsets never decrease, so the plan
/// ended at `offset` from then until the claim, which takes effect at no other end. An append that
/// succeeded in between would have moved the end, and one that comes after the claim is fenced. This
/// holds for any answer, whichever read or election it belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PlanEnd {
    pub(super) offset: StreamOffset,
    /// When the first answer that showed this end arrived.
    pub(super) seen_at: MonoTime,
}

/// Highest end of the plan that was read, and when to read it again.
#[derive(Debug, Default)]
pub(super) struct EndSightings {
    first: Option<PlanEnd>,
    /// First offset that is still stored, as far as repeated reads have shown.
    stored_from: StreamOffset,
    /// `None` once a repeated read was answered.
    repeat_at: Option<MonoTime>,
}

impl EndSightings {
    /// Returns the end at `offset`, which an answer shows now, dated by the first answer that did.
    pub(super) fn see(&mut self, now: MonoTime, offset: StreamOffset) -> PlanEnd {
        let seen = PlanEnd {
            offset,
            seen_at: now,
        };
        match self.first {
            Some(first) if first.offset == offset => first,
            // Answers may overtake one another.
            Some(first) if first.offset > offset => seen,
            _ => *self.first.insert(seen),
        }
    }

    /// Handles that the election reads the end.
    pub(super) fn expect_answer(&mut self, now: MonoTime) {
        self.repeat_at = Some(now.plus(REPEAT_INTERVAL));
    }
}

impl PlannerLocator {
    /// Reads the end again while the election waits for an answer or pauses after a failed read.
    ///
    /// Answers only date the end. The election keeps its pace, so that no claim is made earlier during
    /// an outage that the planner survives. Nor is the store called more often while the planner is
    /// heard: only the leases of a planner's lost host depend on the date.
    pub(super) fn repeat_read(&mut self, now: MonoTime) {
        let is_due = self.sightings.repeat_at.is_some_and(|at| now >= at);
        match self.election {
            ElectionStage::Reading { .. } | ElectionStage::Pausing { .. }
                if is_due && !self.hears_planner(now) =>
            {
                self.sightings.expect_answer(now);
                self.effects.push(Effect::Store(StoreCall {
                    caller: StoreCaller::PlanEnd,
                    operation: StoreOperation::Read {
                        stream: StreamName::Plan,
                        from: self.plan_end.max(self.sightings.stored_from),
                        wait_until: now,
                        end_only: true,
                    },
                    deadline: now.plus(CLAIM_TIMEOUT),
                }));
            }
            _ => {}
        }
    }

    /// Handles the outcome of a repeated read.
    pub(super) fn handle_repeated_read(&mut self, now: MonoTime, outcome: StoreOutcome) {
        match outcome {
            StoreOutcome::Records { end, .. } => {
                self.sightings.see(now, end);
                self.sightings.repeat_at = None;
            }
            StoreOutcome::Expired { first } => {
                self.sightings.stored_from = first;
                self.sightings.repeat_at = Some(now);
            }
            _ => {}
        }
    }
}
