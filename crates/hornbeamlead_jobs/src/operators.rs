//! Reader of the configuration and evacuations that operators write to the store.

use crate::config::{ConfigChange, FleetConfig, OperatorState};
use crate::effect::Effect;
use crate::follow::{FollowOutcome, NewestReader, StreamFollower};
use crate::store::{ReadRecord, StoreCall, StoreCaller, StoreOutcome, StreamName};
use hornbeamlead_core::clock::MonoTime;
use std::time::Duration;

/// Wait of a long poll; limits the delay of a new configuration when the connection fails
/// silently. A configuration has to be in force within 2 s.
const LONG_POLL_WAIT: Duration = Duration::from_millis(700);

/// Decoder of the operators' records.
pub trait OperatorFormat {
    /// Decodes one record of the operators' stream.
    fn decode(&self, key: &str, value: Option<&[u8]>) -> ConfigChange;
}

#[derive(Clone, Debug)]
enum ReadStage {
    Newest(NewestReader),
    Follow,
}

/// Reader of the operators' stream.
#[derive(Debug)]
pub struct OperatorReader<F> {
    format: F,
    state: OperatorState,
    caller: StoreCaller,
    stage: ReadStage,
    follower: StreamFollower,
}

impl<F: OperatorFormat> OperatorReader<F> {
    /// Creates a reader that has not read the stream yet.
    pub fn new(format: F, caller: StoreCaller) -> Self {
        let stream = StreamName::Operators;
        Self {
            format,
            state: OperatorState::default(),
            caller,
            stage: newest(caller),
            follower: StreamFollower::new(stream, caller, LONG_POLL_WAIT, Duration::ZERO),
        }
    }

    /// Returns the configuration in force, once one is known.
    pub fn config(&self) -> Option<&FleetConfig> {
        self.state.config.as_ref()
    }

    /// Returns the version of the configuration in force; 0 before one is known.
    pub fn version(&self) -> u64 {
        self.config().map_or(0, |config| config.version)
    }

    /// Returns whether a data centre is evacuated, so that no task may start in it.
    pub fn is_evacuated(&self, data_centre: &str) -> bool {
        self.state.evacuated.contains(data_centre)
    }

    /// Returns the time at which the last answered read was sent.
    pub fn last_read_at(&self) -> Option<MonoTime> {
        self.follower.last_read_at()
    }

    /// Returns the call to make now, if one is due.
    pub fn poll(&mut self, now: MonoTime) -> Option<StoreCall> {
        match &mut self.stage {
            ReadStage::Newest(reader) => reader.poll(now),
            ReadStage::Follow => self.follower.poll(now),
        }
    }

    /// Handles the outcome of a call.
    pub fn take(&mut self, now: MonoTime, outcome: StoreOutcome) -> Vec<Effect> {
        match &mut self.stage {
            ReadStage::Newest(reader) => match reader.take(now, outcome) {
                Some(newest) => {
                    self.follower.continue_after(&newest);
                    self.stage = ReadStage::Follow;
                    // Keys that were removed while the stream could not be followed are not among
                    // the newest records.
                    self.state.evacuated.clear();
                    self.apply(&newest.records)
                }
                None => Vec::new(),
            },
            ReadStage::Follow => match self.follower.take(now, outcome) {
                FollowOutcome::Records { records, .. } => self.apply(&records),
                FollowOutcome::Expired { .. } => {
                    self.stage = newest(self.caller);
                    Vec::new()
                }
                FollowOutcome::Failed => Vec::new(),
            },
        }
    }

    fn apply(&mut self, records: &[ReadRecord]) -> Vec<Effect> {
        let mut effects = Vec::new();
        for record in records {
            let change = self.format.decode(&record.key, record.value.as_deref());
            if let ConfigChange::Unreadable { key, cause } = &change {
                let detail = format!("offset={} cause={cause:?}", record.offset);
                effects.push(Effect::log("config_unreadable", key, detail));
            }
            if self.state.apply(change) {
                let detail = format!("version={} offset={}", self.version(), record.offset);
                effects.push(Effect::log("config_applied", &record.key, detail));
            }
        }
        effects
    }
}

fn newest(caller: StoreCaller) -> ReadStage {
    ReadStage::Newest(NewestReader::new(StreamName::Operators, caller))
}
