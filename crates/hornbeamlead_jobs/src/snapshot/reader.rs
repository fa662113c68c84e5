//! Decodes snapshots.

use super::stored::{
    LEDGER_VERSION, ListedJob, StoredAges, StoredCrashes, StoredFailures, StoredHistory, StoredJob,
    StoredLeases, StoredOrigin, StoredPlaced, StoredRest, decode_optional,
};
use super::{SnapshotOutcome, SnapshotPart, complete_snapshots};
use crate::ids::{JobId, StreamOffset};
use crate::ledger::{JobLedger, JobState};
use crate::record::{DecodeError, decode_after, decode_first, take_value};
use crate::store::ReadRecord;
use imbl::OrdMap;
use serde::de::DeserializeOwned;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Decodes the newest complete snapshot job by job, so that the decoding of a large one can be spread
/// over time.
#[derive(Clone, Debug)]
pub struct SnapshotReader {
    /// Complete snapshots that have not been tried, the newest first.
    complete: VecDeque<Vec<SnapshotPart>>,
    current: Option<LedgerDecoder>,
    unreadable: Option<DecodeError>,
}

impl SnapshotReader {
    /// Creates a reader of the newest records of the snapshots stream.
    #[must_use]
    pub fn new(records: &[ReadRecord]) -> Self {
        let (complete, unreadable) = complete_snapshots(records);
        Self {
            complete: complete.into_iter().map(|(_, parts)| parts).collect(),
            current: None,
            unreadable,
        }
    }

    /// Decodes more jobs, until they take so many bytes, and returns what [`super::read_snapshot`] does once that
    /// is known.
    pub fn advance(&mut self, bytes: usize) -> Option<SnapshotOutcome> {
        let decoder = match &mut self.current {
            Some(decoder) => decoder,
            None => match self.complete.pop_front() {
                Some(parts) => self.current.insert(LedgerDecoder::new(parts)),
                None => return Some(self.unreadable.take().map_or(Ok(None), Err)),
            },
        };
        match decoder.advance(bytes) {
            Ok(true) => {
                let decoder = self.current.take()?;
                let offset = decoder.plan_offset;
                match decoder.finish() {
                    Ok(ledger) => return Some(Ok(Some((ledger, offset)))),
                    Err(error) => self.unreadable = Some(error),
                }
            }
            Ok(false) => {}
            Err(error) => {
                self.unreadable = Some(error);
                self.current = None;
            }
        }
        None
    }
}

/// Decodes the ledger of a complete snapshot.
#[derive(Clone, Debug)]
struct LedgerDecoder {
    plan_offset: StreamOffset,
    content: Vec<u8>,
    /// Length of what is decoded.
    position: usize,
    /// Whether the snapshot is of an earlier version, which lists all tasks.
    is_listed: bool,
    /// Number of jobs that are not decoded yet, once it is known.
    jobs_left: Option<u64>,
    jobs: OrdMap<JobId, Arc<JobState>>,
}

impl LedgerDecoder {
    fn new(parts: Vec<SnapshotPart>) -> Self {
        let plan_offset = parts.first().map_or(0, |part| part.header.plan_offset);
        let contents: Vec<_> = parts.into_iter().map(|part| part.content).collect();
        let content = contents.concat();
        Self {
            plan_offset,
            is_listed: content.first() != Some(&LEDGER_VERSION),
            content,
            position: 0,
            jobs_left: None,
            jobs: OrdMap::new(),
        }
    }

    /// Decodes more jobs, until they take so many bytes. Returns whether all are decoded.
    fn advance(&mut self, bytes: usize) -> Result<bool, DecodeError> {
        let mut left = match self.jobs_left {
            Some(left) => left,
            None => self.take_count()?,
        };
        let most = self.position.saturating_add(bytes);
        while left > 0 && self.position < most {
            let (job, state) = match self.is_listed {
                true => self
                    .take::<(JobId, ListedJob)>()
                    .map(|(job, it)| (job, it.into()))?,
                false => self
                    .take::<(JobId, StoredJob)>()
                    .map(|(job, it)| (job, it.into()))?,
            };
            self.jobs.insert(job, Arc::new(state));
            left -= 1;
        }
        self.jobs_left = Some(left);
        Ok(left == 0)
    }

    /// Decodes the number of jobs, after the version.
    fn take_count(&mut self) -> Result<u64, DecodeError> {
        let (count, rest) = match self.is_listed {
            true => decode_first::<u64>(&self.content)?,
            false => decode_after::<u64>(LEDGER_VERSION, &self.content)?,
        };
        self.position = self.content.len() - rest.len();
        Ok(count)
    }

    fn take<T: DeserializeOwned>(&mut self) -> Result<T, DecodeError> {
        let bytes = self.content.get(self.position..).unwrap_or_default();
        let (value, rest) = take_value(bytes)?;
        self.position = self.content.len() - rest.len();
        Ok(value)
    }

    /// Decodes what follows the jobs.
    fn finish(mut self) -> Result<JobLedger, DecodeError> {
        let base = self.take::<StoredRest>()?;
        let rest = self.content.get(self.position..).unwrap_or_default();
        let (leases, rest) = decode_optional::<StoredLeases>(rest)?;
        let (origin, rest) = decode_optional::<StoredOrigin>(rest)?;
        let (failures, rest) = decode_optional::<StoredFailures>(rest)?;
        let (placed, rest) = decode_optional::<StoredPlaced>(rest)?;
        let (crashes, rest) = decode_optional::<StoredCrashes>(rest)?;
        let (moments, rest) = decode_optional::<StoredHistory>(rest)?;
        let (stored_ages, _) = decode_optional::<StoredAges>(rest)?;
        let bounds = leases.lease_bounds.into_iter();
        Ok(JobLedger {
            jobs: self.jobs,
            confirmed_grants: leases.confirmed_grants,
            lease_bounds: bounds
                .map(|(host, ms)| (host, Duration::from_millis(ms.into())))
                .collect(),
            journaled: origin.journaled,
            worker_failures: failures.workers,
            failed_hosts: failures.tasks,
            placed: placed.report,
            crashes: crashes.tasks,
            crash_history: moments.history,
            ages: stored_ages.ages.restored(),
            ..base.into()
        })
    }
}
