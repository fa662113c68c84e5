//! Reads the planner's address from the store.

use super::{ElectionStage, PLANNER_KEY, PlannerAddress, PlannerLocator};
use crate::effect::Effect;
use crate::follow::{FollowOutcome, NewestReader, StreamFollower};
use crate::ids::ReaderNumber;
use crate::record::decode;
use crate::store::{ReadRecord, StoreCaller, StoreOutcome, StreamName};
use hornbeamlead_core::clock::MonoTime;
use std::time::Duration;

/// Wait of a long poll for the planner's address.
const ADDRESS_WAIT: Duration = Duration::from_secs(5);

/// Stage of reading the planner's address.
#[derive(Clone, Debug)]
pub(super) enum AddressStage {
    Newest(NewestReader),
    Follow,
}

impl PlannerLocator {
    pub(super) fn poll_address(&mut self, now: MonoTime) {
        let call = match &mut self.address_stage {
            AddressStage::Newest(reader) => reader.poll(now),
            AddressStage::Follow => self.follower.poll(now),
        };
        self.effects.extend(call.map(Effect::Store));
    }

    pub(super) fn handle_address_outcome(&mut self, now: MonoTime, outcome: StoreOutcome) {
        match &mut self.address_stage {
            AddressStage::Newest(reader) => {
                if let Some(newest) = reader.take(now, outcome) {
                    self.follower.seek(newest.end);
                    self.address_stage = AddressStage::Follow;
                    self.apply_address_records(now, &newest.records);
                    if self.planner.is_none() {
                        self.election_timeout = Duration::ZERO;
                        self.election = ElectionStage::Starting;
                    }
                }
            }
            AddressStage::Follow => match self.follower.take(now, outcome) {
                FollowOutcome::Records { records, .. } => self.apply_address_records(now, &records),
                FollowOutcome::Expired { .. } => self.address_stage = newest(self.reader),
                FollowOutcome::Failed => {}
            },
        }
    }

    fn apply_address_records(&mut self, now: MonoTime, records: &[ReadRecord]) {
        for record in records.iter().filter(|record| &*record.key == PLANNER_KEY) {
            let value = record.value.as_deref().unwrap_or_default();
            match decode::<PlannerAddress>(value) {
                Ok(planner) => self.learn_planner(now, planner),
                Err(error) => {
                    let detail = format!("cause={:?}", error.to_string());
                    self.effects
                        .push(Effect::log("seat_unreadable", "planner", detail));
                }
            }
        }
    }
}

pub(super) fn newest(reader: ReaderNumber) -> AddressStage {
    let caller = StoreCaller::Locator(reader);
    AddressStage::Newest(NewestReader::new(StreamName::Planner, caller))
}

pub(super) fn follower(reader: ReaderNumber) -> StreamFollower {
    let caller = StoreCaller::Locator(reader);
    StreamFollower::new(StreamName::Planner, caller, ADDRESS_WAIT, Duration::ZERO)
}
