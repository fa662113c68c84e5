//! Claims the planner's duty once the plan has stood still.

use super::{
    CLAIM_TIMEOUT, DIAL_PAUSE, LocatorEvent, PlannerAddress, PlannerLocator, REFUSED_WINDOW,
    Suspicion,
};
use crate::effect::Effect;
use crate::ids::{PlannerEpoch, StreamOffset};
use crate::record::{PlanRecord, PlannerClaim, encode};
use crate::store::{
    AppendCondition, NewRecord, StoreCall, StoreCaller, StoreOperation, StoreOutcome, StreamName,
};
use hornbeamlead_core::clock::MonoTime;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Widest random delay of a claim, which keeps candidates apart.
const CLAIM_SPREAD: Duration = Duration::from_millis(250);

/// Tries of one claim whose outcome is unknown.
const CLAIM_TRIES: u32 = 4;

/// Bits of an epoch that tell candidates apart; the others hold the offset of the claim.
const CANDIDATE_BITS: u32 = 24;

impl PlannerLocator {
    pub(super) fn take_claim(&mut self, now: MonoTime, outcome: StoreOutcome) {
        match (self.suspicion, outcome) {
            (Suspicion::Reading { seen }, StoreOutcome::Records { end, .. }) => {
                self.judge_end(now, seen, end);
            }
            (Suspicion::Reading { .. }, StoreOutcome::Expired { first }) => {
                self.plan_end = first;
                self.read_end(now);
            }
            (Suspicion::Claiming { end, .. }, StoreOutcome::Appended { offset }) => {
                self.suspicion = Suspicion::None;
                let epoch = self.epoch_at(end);
                let detail = format!("epoch={epoch} offset={offset}");
                self.effects
                    .push(Effect::log("planner_claimed", &self.policy.host, detail));
                self.news.push(LocatorEvent::Elected {
                    epoch,
                    claim: offset,
                });
                let address = self.policy.address;
                self.learn_planner(now, PlannerAddress { epoch, address });
            }
            (Suspicion::Claiming { .. }, StoreOutcome::Moved { end }) => {
                self.plan_end = end;
                self.wait_window(now, end);
            }
            (Suspicion::Claiming { end, tries }, StoreOutcome::Unanswered { .. })
                if tries < CLAIM_TRIES =>
            {
                let tries = tries + 1;
                self.suspicion = Suspicion::Claiming { end, tries };
                self.claim(now, end);
            }
            (Suspicion::Reading { .. } | Suspicion::Claiming { .. }, _) => {
                let pause = DIAL_PAUSE + self.spread();
                self.suspicion = Suspicion::Pausing {
                    until: now.plus(pause),
                };
            }
            _ => {}
        }
    }

    fn judge_end(&mut self, now: MonoTime, seen: Option<StreamOffset>, end: StreamOffset) {
        self.plan_end = end;
        match seen {
            Some(seen) if seen == end => {
                self.suspicion = Suspicion::Claiming { end, tries: 0 };
                self.claim(now, end);
            }
            _ => self.wait_window(now, end),
        }
    }

    /// Has the plan watched for a window that begins now.
    fn wait_window(&mut self, now: MonoTime, seen: StreamOffset) {
        let span = self.window + self.spread();
        // Only the first planner ever is claimed without a window.
        self.window = self.window.max(REFUSED_WINDOW);
        self.suspicion = Suspicion::Waiting {
            seen,
            until: now.plus(span),
        };
    }

    fn spread(&mut self) -> Duration {
        CLAIM_SPREAD.mul_f64(self.random.random::<f64>())
    }

    fn epoch_at(&self, end: StreamOffset) -> PlannerEpoch {
        let incarnation = self.policy.seed.rotate_left(32) ^ self.policy.incarnation;
        let mut random = SmallRng::seed_from_u64(incarnation);
        let candidate = random.random::<u64>() & ((1 << CANDIDATE_BITS) - 1);
        PlannerEpoch(((end + 1) << CANDIDATE_BITS) | candidate)
    }

    fn claim(&mut self, now: MonoTime, end: StreamOffset) {
        let record = PlanRecord::Claim(PlannerClaim {
            host: self.policy.host.clone(),
            incarnation: self.policy.incarnation,
            address: self.policy.address,
        });
        let epoch = self.epoch_at(end).0;
        self.effects.push(Effect::Store(StoreCall {
            caller: StoreCaller::Claim,
            operation: StoreOperation::Append {
                stream: StreamName::Plan,
                records: vec![NewRecord {
                    key: None,
                    value: Some(encode(&record)),
                }],
                condition: AppendCondition::Claim { end, epoch },
            },
            deadline: now.plus(CLAIM_TIMEOUT),
        }));
    }
}
