//! Reads what operators ask for from the store, and keeps to the newest version.

use crate::config::{ConfigChange, FleetConfig, OperatorView};
use crate::effect::Effect;
use crate::follow::{FollowOutcome, NewestReader, StreamFollower};
use crate::store::{ReadRecord, StoreCall, StoreCaller, StoreOutcome, StreamName};
use hornbeamlead_core::clock::MonoTime;
use std::time::Duration;

/// Wait of a long read; bounds how long a silent connection hides a new configuration, which has
/// to be in force within 2 s.
const FOLLOW_WAIT: Duration = Duration::from_millis(700);

/// Decodes what operators write.
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
    view: OperatorView,
    stage: ReadStage,
    follower: StreamFollower,
}

impl<F: OperatorFormat> OperatorReader<F> {
    /// Makes a reader that knows nothing yet.
    pub fn new(format: F) -> Self {
        let (stream, caller) = (StreamName::Operators, StoreCaller::Operators);
        Self {
            format,
            view: OperatorView::default(),
            stage: newest(),
            follower: StreamFollower::new(stream, caller, FOLLOW_WAIT, Duration::ZERO),
        }
    }

    /// Returns the newest configuration, once one is known.
    pub fn config(&self) -> Option<&FleetConfig> {
        self.view.config.as_ref()
    }

    /// Returns the version of the newest configuration, 0 before one is known.
    pub fn version(&self) -> u64 {
        self.config().map_or(0, |config| config.version)
    }

    /// Returns whether nothing may start in a data centre.
    pub fn is_evacuated(&self, data_centre: &str) -> bool {
        self.view.evacuated.contains(data_centre)
    }

    /// Returns when the newest answered read was sent.
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

    /// Takes in the outcome of a call.
    pub fn take(&mut self, now: MonoTime, outcome: StoreOutcome) -> Vec<Effect> {
        match &mut self.stage {
            ReadStage::Newest(reader) => match reader.take(now, outcome) {
                Some(newest) => {
                    self.follower.seek(newest.end);
                    self.stage = ReadStage::Follow;
                    // What was withdrawn while the stream could not be followed is not among the
                    // newest records.
                    self.view.evacuated.clear();
                    self.apply(&newest.records)
                }
                None => Vec::new(),
            },
            ReadStage::Follow => match self.follower.take(now, outcome) {
                FollowOutcome::Records { records, .. } => self.apply(&records),
                FollowOutcome::Expired => {
                    self.stage = newest();
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
            if self.view.apply(change) {
                let detail = format!("version={} offset={}", self.version(), record.offset);
                effects.push(Effect::log("config_applied", &record.key, detail));
            }
        }
        effects
    }
}

fn newest() -> ReadStage {
    ReadStage::Newest(NewestReader::new(
        StreamName::Operators,
        StoreCaller::Operators,
    ))
}
