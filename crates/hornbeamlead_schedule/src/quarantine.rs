//! Quarantine of hosts that fail all they start, with probes.

use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::ids::{AttemptId, HostId};
use hornbeamlead_core::task::TaskPhase;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Failures in a row after which a host is closed.
const FAILURES_TO_CLOSE: u32 = 3;

/// Time for which a host is closed first; each failed probe doubles it.
const FIRST_CLOSURE: Duration = Duration::from_secs(10);

/// Doublings of the closure, at most.
const MAX_DOUBLINGS: u32 = 5;

/// Record of one host.
#[derive(Clone, Debug, Default)]
struct HostRecord {
    failures: u32,
    closures: u32,
    closed_until: Option<MonoTime>,
    judged: BTreeSet<AttemptId>,
}

/// Book of the hosts that failed attempts.
#[derive(Clone, Debug, Default)]
pub struct QuarantineBook {
    hosts: BTreeMap<HostId, HostRecord>,
}

impl QuarantineBook {
    /// Judges an ended attempt once; returns whether the host was closed by it.
    pub fn judge(
        &mut self,
        host: &HostId,
        attempt: &AttemptId,
        phase: TaskPhase,
        now: MonoTime,
    ) -> bool {
        let record = self.hosts.entry(host.clone()).or_default();
        let ended = matches!(phase, TaskPhase::Finished | TaskPhase::Failed);
        if !ended || !record.judged.insert(attempt.clone()) {
            return false;
        }
        if phase == TaskPhase::Finished {
            record.failures = 0;
            record.closures = 0;
            record.closed_until = None;
            return false;
        }
        record.failures += 1;
        let probe_failed = record.closures > 0;
        if record.failures < FAILURES_TO_CLOSE && !probe_failed {
            return false;
        }
        let doublings = record.closures.min(MAX_DOUBLINGS);
        record.closed_until = Some(now.plus(FIRST_CLOSURE * 2_u32.pow(doublings)));
        record.closures += 1;
        true
    }

    /// Forgets the judged attempts of a host that `keep` rejects.
    pub fn retain(&mut self, host: &HostId, keep: impl Fn(&AttemptId) -> bool) {
        if let Some(record) = self.hosts.get_mut(host) {
            record.judged.retain(|attempt| keep(attempt));
        }
    }

    /// Returns whether a host is to be given nothing.
    #[must_use]
    pub fn is_closed(&self, host: &HostId, now: MonoTime) -> bool {
        let until = self.hosts.get(host).and_then(|record| record.closed_until);
        until.is_some_and(|until| now < until)
    }

    /// Returns whether a host is to be given one task at a time, since it has not succeeded.
    #[must_use]
    pub fn is_probing(&self, host: &HostId) -> bool {
        self.hosts
            .get(host)
            .is_some_and(|record| record.closures > 0)
    }

    /// Returns whether a host's failures say more about the host than about the task.
    #[must_use]
    pub fn is_suspect(&self, host: &HostId) -> bool {
        let record = self.hosts.get(host);
        record.is_some_and(|record| record.failures > 1 || record.closures > 0)
    }

    /// Returns the hosts that failed all they were given of late.
    pub fn closed(&self) -> impl Iterator<Item = &HostId> {
        let closed = self.hosts.iter().filter(|(_, record)| record.closures > 0);
        closed.map(|(host, _)| host)
    }
}
