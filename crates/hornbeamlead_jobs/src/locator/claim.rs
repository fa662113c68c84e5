//! Claims the planner role once the plan has not grown for the election timeout.

use super::link::DIAL_PAUSE;
use super::plan_end::PlanEnd;
use super::{
    CLAIM_TIMEOUT, ElectionStage, LocatorEvent, PlannerAddress, PlannerElection, PlannerLocator,
    REFUSED_ELECTION_TIMEOUT,
};
use crate::effect::Effect;
use crate::ids::{CallNumber, PlannerEpoch, StreamOffset};
use crate::record::{PlanRecord, PlannerClaim, encode};
use crate::store::{
    AppendCondition, NewRecord, StoreCall, StoreCaller, StoreOperation, StoreOutcome, StreamName,
};
use hornbeamlead_core::clock::MonoTime;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Maximum random delay of a claim, which makes concurrent claims less likely.
const MAX_CLAIM_DELAY: Duration = Duration::from_millis(250);

/// Number of times a claim with an unknown outcome is repeated.
const MAX_CLAIM_REPEATS: u32 = 4;

/// Time for which calls have to fail to count as a long outage, after which plan records may expire
/// that the newest snapshot does not include. Only a planner that has lived through the outage
/// knows them.
const LONG_OUTAGE: Duration = Duration::from_secs(12);

/// Time without claims after a long outage. A planner that is alive appends again within a second.
const INCUMBENT_TIME: Duration = Duration::from_millis(2500);

/// Bits of an epoch that distinguish candidates; the others contain the offset of the claim.
const CANDIDATE_BITS: u32 = 24;

impl PlannerLocator {
    pub(super) fn poll_election(&mut self, now: MonoTime) {
        match self.election {
            ElectionStage::Waiting { seen, until } if now >= until => {
                self.election = ElectionStage::Reading { seen: Some(seen) };
                self.read_end(now);
            }
            ElectionStage::Pausing { until } if now >= until => {
                self.election = ElectionStage::Reading { seen: None };
                self.read_end(now);
            }
            ElectionStage::Starting => {
                self.election = ElectionStage::Reading { seen: None };
                self.read_end(now);
            }
            _ => {}
        }
    }

    fn read_end(&mut self, now: MonoTime) {
        self.sightings.expect_answer(now);
        let caller = self.next_claim_caller();
        self.effects.push(Effect::Store(StoreCall {
            caller,
            operation: StoreOperation::Read {
                stream: StreamName::Plan,
                from: self.plan_end,
                wait_until: now,
                end_only: true,
            },
            deadline: now.plus(CLAIM_TIMEOUT),
        }));
    }

    pub(super) fn handle_claim_outcome(&mut self, now: MonoTime, outcome: StoreOutcome) {
        match (self.election, outcome) {
            (ElectionStage::Reading { seen }, StoreOutcome::Records { end, .. }) => {
                self.spare_incumbent(now);
                self.check_plan_end(now, seen, end);
            }
            (ElectionStage::Reading { .. }, StoreOutcome::Expired { first }) => {
                self.plan_end = first;
                self.read_end(now);
            }
            (ElectionStage::Claiming { end, .. }, StoreOutcome::Appended { offset }) => {
                self.election = ElectionStage::Idle;
                let epoch = self.epoch_at(end.offset);
                let detail = format!("epoch={epoch} offset={offset}");
                self.effects
                    .push(Effect::log("planner_claimed", &self.policy.host, detail));
                self.events.push(LocatorEvent::Elected(PlannerElection {
                    epoch,
                    claim: offset,
                    plan_ended_at: end.seen_at,
                }));
                let address = self.policy.address;
                self.learn_planner(now, PlannerAddress { epoch, address });
            }
            (ElectionStage::Claiming { .. }, StoreOutcome::Moved { end }) => {
                self.plan_end = end;
                self.wait_election_timeout(now, end);
            }
            (ElectionStage::Claiming { end, tries }, StoreOutcome::Unanswered { .. })
                if tries < MAX_CLAIM_REPEATS =>
            {
                let tries = tries + 1;
                self.election = ElectionStage::Claiming { end, tries };
                self.claim(now, end.offset);
            }
            (ElectionStage::Reading { .. } | ElectionStage::Claiming { .. }, _) => {
                self.calls_failing_since.get_or_insert(now);
                let pause = DIAL_PAUSE + self.random_delay();
                self.election = ElectionStage::Pausing {
                    until: now.plus(pause),
                };
            }
            _ => {}
        }
    }

    /// Delays claims if the store was away for long.
    fn spare_incumbent(&mut self, now: MonoTime) {
        let failing_since = self.calls_failing_since.take();
        if failing_since.is_some_and(|since| now.since(since) >= LONG_OUTAGE) {
            self.claims_not_before = now.plus(INCUMBENT_TIME);
        }
    }

    fn check_plan_end(&mut self, now: MonoTime, seen: Option<PlanEnd>, end: StreamOffset) {
        self.plan_end = end;
        match seen {
            Some(seen) if seen.offset == end => {
                self.election = ElectionStage::Claiming {
                    end: seen,
                    tries: 0,
                };
                self.claim(now, end);
            }
            _ => self.wait_election_timeout(now, end),
        }
    }

    /// Starts an election timeout, after which the end of the plan is read again.
    fn wait_election_timeout(&mut self, now: MonoTime, offset: StreamOffset) {
        let span = self.election_timeout + self.random_delay();
        // Only the first planner of a platform is elected without a timeout.
        self.election_timeout = self.election_timeout.max(REFUSED_ELECTION_TIMEOUT);
        let seen = self.sightings.see(now, offset);
        self.election = ElectionStage::Waiting {
            seen,
            until: now.plus(span).max(self.claims_not_before),
        };
    }

    fn random_delay(&mut self) -> Duration {
        MAX_CLAIM_DELAY.mul_f64(self.random.random::<f64>())
    }

    pub(super) fn epoch_at(&self, end: StreamOffset) -> PlannerEpoch {
        let seed = self.policy.seed.rotate_left(32) ^ self.policy.incarnation;
        let mut random = SmallRng::seed_from_u64(seed);
        let candidate = random.random::<u64>() & ((1 << CANDIDATE_BITS) - 1);
        PlannerEpoch((end.saturating_add(1) << CANDIDATE_BITS) | candidate)
    }

    fn next_claim_caller(&mut self) -> StoreCaller {
        self.last_call = CallNumber(self.last_call.0 + 1);
        StoreCaller::Claim(self.last_call)
    }

    fn claim(&mut self, now: MonoTime, end: StreamOffset) {
        let record = PlanRecord::Takeover(PlannerClaim {
            host: self.policy.host.clone(),
            incarnation: self.policy.incarnation,
            address: self.policy.address,
        });
        let epoch = self.epoch_at(end).0;
        let caller = self.next_claim_caller();
        self.effects.push(Effect::Store(StoreCall {
            caller,
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
