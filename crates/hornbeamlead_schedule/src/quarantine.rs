//! Quarantine of hosts on which attempts keep failing, with probes.

use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::ids::{AttemptId, HostId};
use hornbeamlead_core::task::TaskPhase;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Consecutive failures after which a host is quarantined.
const QUARANTINE_FAILURES: u32 = 3;

/// Duration of a host's first quarantine; each failed probe doubles it.
const FIRST_QUARANTINE: Duration = Duration::from_secs(10);

/// Maximum number of doublings of the quarantine.
const MAX_DOUBLINGS: u32 = 5;

/// Failure record of one host.
#[derive(Clone, Debug, Default)]
struct HostRecord {
    failures: u32,
    quarantines: u32,
    quarantined_until: Option<MonoTime>,
    counted: BTreeSet<AttemptId>,
}

/// Failure records of hosts.
#[derive(Clone, Debug, Default)]
pub struct HostQuarantine {
    hosts: BTreeMap<HostId, HostRecord>,
}

impl HostQuarantine {
    /// Counts an ended attempt once; returns whether it put the host into quarantine.
    pub fn record_end(
        &mut self,
        host: &HostId,
        attempt: &AttemptId,
        phase: TaskPhase,
        now: MonoTime,
    ) -> bool {
        let record = self.hosts.entry(host.clone()).or_default();
        let ended = matches!(phase, TaskPhase::Finished | TaskPhase::Failed);
        if !ended || !record.counted.insert(attempt.clone()) {
            return false;
        }
        if phase == TaskPhase::Finished {
            record.failures = 0;
            record.quarantines = 0;
            record.quarantined_until = None;
            return false;
        }
        record.failures += 1;
        let probe_failed = record.quarantines > 0;
        if record.failures < QUARANTINE_FAILURES && !probe_failed {
            return false;
        }
        let doublings = record.quarantines.min(MAX_DOUBLINGS);
        record.quarantined_until = Some(now.plus(FIRST_QUARANTINE * 2_u32.pow(doublings)));
        record.quarantines += 1;
        true
    }

    /// Forgets the counted attempts of a host that `keep` rejects.
    pub fn retain(&mut self, host: &HostId, keep: impl Fn(&AttemptId) -> bool) {
        if let Some(record) = self.hosts.get_mut(host) {
            record.counted.retain(|attempt| keep(attempt));
        }
    }

    /// Returns whether a host must not receive any task.
    #[must_use]
    pub fn is_quarantined(&self, host: &HostId, now: MonoTime) -> bool {
        let until = self
            .hosts
            .get(host)
            .and_then(|record| record.quarantined_until);
        until.is_some_and(|until| now < until)
    }

    /// Returns whether a host receives one task at a time, since no task has succeeded since its
    /// quarantine.
    #[must_use]
    pub fn is_probing(&self, host: &HostId) -> bool {
        self.hosts
            .get(host)
            .is_some_and(|record| record.quarantines > 0)
    }

    /// Returns whether failures on a host are likely the host's fault and not the task's.
    #[must_use]
    pub fn is_suspect(&self, host: &HostId) -> bool {
        let record = self.hosts.get(host);
        record.is_some_and(|record| record.failures > 1 || record.quarantines > 0)
    }

    /// Returns the hosts on which no task has succeeded since they were quarantined.
    pub fn quarantined(&self) -> impl Iterator<Item = &HostId> {
        let quarantined = self
            .hosts
            .iter()
            .filter(|(_, record)| record.quarantines > 0);
        quarantined.map(|(host, _)| host)
    }
}
