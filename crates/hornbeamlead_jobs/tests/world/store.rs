//! Store of the emulated platform: streams with conditions, long reads and outages.

use hornbeamlead_jobs::store::{
    AppendCondition, NewRecord, ReadRecord, StoreAsk, StoreOutcome, StreamName,
};
use std::collections::{BTreeMap, HashMap};

/// Appends whose repeat receives the first answer again.
const REMEMBERED_APPENDS: usize = 5;

#[derive(Default)]
struct StoredStream {
    records: Vec<ReadRecord>,
    epoch: u64,
    sequence: u64,
    answers: Vec<(u64, u64, u64)>,
}

/// Contents of the store.
#[derive(Default)]
pub(crate) struct WorldStore {
    streams: HashMap<StreamName, StoredStream>,
}

impl WorldStore {
    /// Appends, or says why not.
    pub(crate) fn append(
        &mut self,
        stream: StreamName,
        records: &[NewRecord],
        condition: AppendCondition,
    ) -> StoreOutcome {
        let stored = self.streams.entry(stream).or_default();
        let end = stored.records.len() as u64;
        let (epoch, sequence) = match condition {
            AppendCondition::Always => return stored.add(records),
            AppendCondition::Claim { epoch, .. } => (epoch, 0),
            AppendCondition::Epoch { epoch, sequence } => (epoch, sequence),
        };
        let remembered = stored
            .answers
            .iter()
            .find(|answer| (answer.0, answer.1) == (epoch, sequence));
        if let Some((_, _, offset)) = remembered {
            return StoreOutcome::Appended { offset: *offset };
        }
        match condition {
            AppendCondition::Claim { end: at, .. } if at != end => StoreOutcome::Moved { end },
            _ if epoch < stored.epoch => StoreOutcome::Fenced,
            _ if epoch == stored.epoch && sequence != stored.sequence + 1 => StoreOutcome::Fenced,
            _ => {
                stored.epoch = epoch;
                stored.sequence = sequence;
                stored.answers.push((epoch, sequence, end));
                if stored.answers.len() > REMEMBERED_APPENDS {
                    stored.answers.remove(0);
                }
                stored.add(records)
            }
        }
    }

    /// Answers a read if a record is available.
    pub(crate) fn read(&self, ask: &StoreAsk) -> Option<StoreOutcome> {
        match ask {
            StoreAsk::Read { stream, from, .. } => {
                let stored = self.streams.get(stream);
                let records = stored.map_or(&[][..], |stored| &stored.records[..]);
                let end = records.len() as u64;
                let rest = records.get(*from as usize..).unwrap_or_default();
                (!rest.is_empty()).then(|| StoreOutcome::Records {
                    end,
                    records: rest.to_vec(),
                })
            }
            StoreAsk::Newest { stream, .. } => Some(self.newest(*stream)),
            StoreAsk::Append { .. } => None,
        }
    }

    /// Answers a read whose wait is over.
    pub(crate) fn read_empty(&self, ask: &StoreAsk) -> StoreOutcome {
        let end = match ask {
            StoreAsk::Read { stream, .. } => {
                let stored = self.streams.get(stream);
                stored.map_or(0, |stored| stored.records.len() as u64)
            }
            _ => 0,
        };
        StoreOutcome::Records {
            end,
            records: Vec::new(),
        }
    }

    fn newest(&self, stream: StreamName) -> StoreOutcome {
        let stored = self.streams.get(&stream);
        let records = stored.map_or(&[][..], |stored| &stored.records[..]);
        let mut newest = BTreeMap::new();
        for record in records {
            match record.value {
                Some(_) => newest.insert(record.key.clone(), record.clone()),
                None => newest.remove(&record.key),
            };
        }
        StoreOutcome::Page {
            records: newest.into_values().collect(),
            more: false,
            end: records.len() as u64,
        }
    }
}

impl StoredStream {
    fn add(&mut self, records: &[NewRecord]) -> StoreOutcome {
        let offset = self.records.len() as u64;
        for record in records {
            self.records.push(ReadRecord {
                offset: self.records.len() as u64,
                key: record.key.clone().unwrap_or_default(),
                value: record.value.clone(),
            });
        }
        StoreOutcome::Appended { offset }
    }
}
