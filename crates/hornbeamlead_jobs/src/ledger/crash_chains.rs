//! Crashes in a row under a task, as evidence that the task causes them however long it runs before.
//!
//! Each crash after the first is weighed by the chance that a worker which crashes by itself would have
//! done so just then: while the attempt was as old as those under which workers had crashed before, and
//! on one of the hosts that crashed at that moment. Workers that crash together have one cause, so a
//! moment at which all of them crash says nothing about any task.

use super::JobLedger;
use super::crash_facts::{CrashAge, CrashMoment, CrashRate, CrashRecurrence, CrashedAttempt};
use crate::ids::{HostName, JobId, RunName, TaskSlot};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Crashes in a row from which on a task may be given up for them.
pub const MIN_CHAIN: usize = 5;

/// Crashes at similar ages among them.
const MIN_SIMILAR: usize = 4;

/// Crashes in a row under a task of a job that has failed from which on they count as its own.
const MIN_CAUSE: usize = 3;

/// Most crashes in a row that are kept of a task.
const MAX_CHAIN: usize = 12;

/// Most tasks of which crashes in a row are kept.
const MAX_CHAINS: usize = 4000;

/// Chance below which crashes in a row are put down to their task, over all tasks under which workers
/// crashed meanwhile.
const MAX_CHANCE: f64 = 0.02;

/// Groups of tasks with a common fate that are lost at a moment at which workers crash: they start again on
/// so many hosts.
const GROUPS_PER_MOMENT: usize = 2;

/// Chance of the crashes so far below which a task starts apart from other suspects.
const MAX_SUSPECT_CHANCE: f64 = 0.4;

/// Share of the hosts above which crashes at one moment say nothing about any task.
const MAX_MOMENT_SHARE: f64 = 0.5;

/// Hosts that crash at one moment from which on chains that say nothing are dropped.
const MIN_CROWD: u16 = 3;

/// Chance of a crash above which it says nothing about its task: workers crash all the time then.
const MAX_LINK_CHANCE: f64 = 0.4;

/// Factor and addition to the ages at crashes after which an attempt has outlived them.
const OUTLIVED_FACTOR: f64 = 1.25;
const OUTLIVED_MARGIN: Duration = Duration::from_secs(1);

/// Time of running after which an attempt has outlived all crashes: chains must not stay for as long as
/// tasks run.
const MAX_OUTLIVED: Duration = Duration::from_secs(600);

/// Crash of a worker in a chain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ChainLink {
    moment: CrashMoment,
    host: HostName,
    /// Number of hosts whose workers crashed at the moment.
    hosts: u16,
    peers: u16,
    age: CrashAge,
    rate: CrashRate,
    recurrence: CrashRecurrence,
}

impl ChainLink {
    /// Returns the chance that the worker crashes by itself while the attempt is between two ages, and at a
    /// moment at which so many do.
    fn chance(&self, (least_ms, most_ms): (u32, u32)) -> f64 {
        let window = Duration::from_millis(most_ms.saturating_sub(least_ms).into());
        let share = f64::from(self.hosts) / f64::from(self.peers.max(1));
        let at_moment = match self.is_crowded() {
            // They have one cause, whenever they come.
            true => 1.0,
            false => share * self.recurrence.share(),
        };
        1.0 - (1.0 - self.rate.chance_within(window)) * (1.0 - at_moment)
    }

    /// Returns whether so many workers crashed at the moment that it says nothing about any task.
    fn is_crowded(&self) -> bool {
        f64::from(self.hosts) / f64::from(self.peers.max(1)) > MAX_MOMENT_SHARE
    }

    fn most_ms(&self) -> Option<u32> {
        self.age.most_ms
    }
}

/// Crashes of a chain at similar ages, as evidence against a task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChainEvidence {
    /// Number of these crashes.
    pub crashes: usize,
    /// Chance that all but the first of them happened by themselves.
    pub chance: f64,
}

/// Crashes of workers under a task since an attempt has outlived the ages at which they crashed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashChain {
    links: VecDeque<ChainLink>,
    /// Attempt of the last crash, which counts once.
    last_run: Option<RunName>,
}

impl CrashChain {
    /// Returns the number of crashes, also of those that say nothing.
    #[must_use]
    pub fn len(&self) -> usize {
        self.links.len()
    }

    /// Returns whether no crash is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }

    /// Returns the time of running after which an attempt has outlived the ages at the crashes.
    #[must_use]
    pub fn outlived_after(&self) -> Duration {
        let most_ms = self.links.iter().filter_map(ChainLink::most_ms).max();
        let most = Duration::from_millis(most_ms.unwrap_or(0).into());
        (most.mul_f64(OUTLIVED_FACTOR) + OUTLIVED_MARGIN).min(MAX_OUTLIVED)
    }

    /// Returns the strongest evidence: the crashes from some age on. Earlier ones tell nothing, as a worker
    /// may crash by itself before the task does harm.
    #[must_use]
    pub fn evidence(&self) -> ChainEvidence {
        let none = ChainEvidence {
            crashes: 0,
            chance: 1.0,
        };
        let Some(most_ms) = self.links.iter().filter_map(ChainLink::most_ms).max() else {
            return none;
        };
        let least = self.links.iter().map(|link| link.age.least_ms);
        let evidence = least.map(|least_ms| self.evidence_between(least_ms, most_ms));
        let strongest = evidence.min_by(|one, two| one.chance.total_cmp(&two.chance));
        strongest.unwrap_or(none)
    }

    /// Returns the evidence of the crashes at ages between two bounds in milliseconds.
    fn evidence_between(&self, least_ms: u32, most_ms: u32) -> ChainEvidence {
        let is_similar =
            |link: &&ChainLink| link.age.least_ms >= least_ms && link.age.most_ms.is_some();
        let similar = self.links.iter().filter(is_similar);
        let chances = similar.map(|link| link.chance((least_ms, most_ms)));
        // Any task has a first crash.
        let telling = chances.skip(1).filter(|chance| *chance <= MAX_LINK_CHANCE);
        let first = ChainEvidence {
            crashes: 1,
            chance: 1.0,
        };
        telling.fold(first, |evidence, chance| ChainEvidence {
            crashes: evidence.crashes + 1,
            chance: evidence.chance * chance,
        })
    }

    /// Returns whether the crashes are put down to the task: that they happened by themselves is
    /// unlikely even for one of all the tasks under which workers crashed meanwhile.
    #[must_use]
    pub fn is_conclusive(&self) -> bool {
        let number = |link: Option<&ChainLink>| link.map_or(0, |link| link.moment.0);
        let span = number(self.links.back()).saturating_sub(number(self.links.front()));
        let elsewhere = (span as usize + 1).saturating_sub(self.len());
        let evidence = self.evidence();
        let mut hosts = self.links.iter().map(|link| &link.host);
        let first = hosts.next();
        self.len() >= MIN_CHAIN
            // One worker that crashes again and again says nothing about what runs there.
            && hosts.any(|host| Some(host) != first)
            && evidence.crashes >= MIN_SIMILAR
            && evidence.chance * (1 + elsewhere * GROUPS_PER_MOMENT) as f64 <= MAX_CHANCE
    }

    /// Returns the weight of the task as a suspect, which starts apart from others so that the next crash
    /// tells them apart: the number of similar crashes, or 0.
    #[must_use]
    pub fn suspect_weight(&self) -> usize {
        let evidence = self.evidence();
        match evidence.chance <= MAX_SUSPECT_CHANCE {
            true => evidence.crashes,
            false => 0,
        }
    }

    /// Returns whether a worker has crashed under the task on a host.
    #[must_use]
    pub fn is_known_host(&self, host: &HostName) -> bool {
        self.links.iter().any(|link| link.host == *host)
    }

    /// Returns whether the only crash says nothing. Many tasks have such a chain when a data centre has lost
    /// its power.
    fn is_void(&self) -> bool {
        self.links.len() == 1 && self.links.iter().all(ChainLink::is_crowded)
    }

    fn add(
        &mut self,
        attempt: &CrashedAttempt,
        (moment, host): (CrashMoment, &HostName),
        hosts: u16,
    ) {
        if self.last_run.replace(attempt.run) == Some(attempt.run) {
            return;
        }
        let seen = Duration::from_millis(attempt.age.least_ms.into());
        if seen > self.outlived_after() {
            self.links.clear();
        }
        if self.links.len() == MAX_CHAIN {
            self.links.pop_front();
        }
        self.links.push_back(ChainLink {
            moment,
            host: host.clone(),
            hosts,
            peers: attempt.peers,
            age: attempt.age,
            rate: attempt.rate,
            recurrence: attempt.recurrence,
        });
    }
}

/// Crashes of workers, and the chains of tasks under which they crashed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashHistory {
    /// Latest moment at which workers crashed.
    pub moment: CrashMoment,
    /// Hosts of these workers.
    hosts: BTreeSet<HostName>,
    /// Chains by task.
    pub chains: BTreeMap<TaskSlot, CrashChain>,
}

impl CrashHistory {
    /// Returns whether no crash is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Notes that the worker of a host has crashed at a moment.
    fn note_host(&mut self, moment: CrashMoment, host: &HostName) {
        if moment > self.moment {
            self.moment = moment;
            self.hosts.clear();
        }
        if moment < self.moment || !self.hosts.insert(host.clone()) {
            return;
        }
        let hosts = u16::try_from(self.hosts.len()).unwrap_or(u16::MAX);
        let last_links = self
            .chains
            .values_mut()
            .filter_map(|it| it.links.back_mut());
        for link in last_links.filter(|link| link.moment == moment) {
            link.hosts = hosts;
        }
        if hosts >= MIN_CROWD {
            self.chains.retain(|_, chain| !chain.is_void());
        }
    }

    fn note_attempt(&mut self, (moment, host): (CrashMoment, &HostName), attempt: &CrashedAttempt) {
        let hosts = u16::try_from(self.hosts.len()).unwrap_or(u16::MAX);
        let chain = self.chains.entry(attempt.run.task.into()).or_default();
        chain.add(attempt, (moment, host), hosts);
        if chain.is_void() {
            self.chains.remove(&attempt.run.task.into());
        }
    }
}

impl JobLedger {
    /// Returns the crashes in a row under a task; `None` if there are none.
    #[must_use]
    pub fn crash_chain(&self, slot: TaskSlot) -> Option<&CrashChain> {
        self.crash_history.chains.get(&slot)
    }

    /// Returns the chains of the tasks of a job.
    pub fn chains_of(&self, job: JobId) -> impl Iterator<Item = (TaskSlot, &CrashChain)> {
        let chains = self
            .crash_history
            .chains
            .range(super::crashes::slots_of(job));
        chains.map(|(slot, chain)| (*slot, chain))
    }

    /// Counts the crash of a worker under the attempts on it that are still placed.
    pub(super) fn note_worker_crash(
        &mut self,
        moment: CrashMoment,
        host: &HostName,
        attempts: &[CrashedAttempt],
    ) {
        self.crash_history.note_host(moment, host);
        for attempt in attempts {
            let known = self.crash_history.chains.len() < MAX_CHAINS
                || self.crash_chain(attempt.run.task.into()).is_some();
            if known && self.placement(attempt.run).is_some() {
                self.crash_history.note_attempt((moment, host), attempt);
            }
        }
    }

    /// Takes the crashes that a job which has failed accounts for out of the chains of other tasks.
    pub(super) fn explain_crashes(&mut self, job: JobId) {
        let chains = self.chains_of(job).map(|(_, chain)| chain);
        let causes = chains.filter(|chain| chain.len() >= MIN_CAUSE);
        let explained: BTreeSet<_> = causes
            .flat_map(|chain| chain.links.iter().map(|link| link.moment))
            .collect();
        for chain in self.crash_history.chains.values_mut() {
            chain.links.retain(|link| !explained.contains(&link.moment));
        }
    }

    /// Forgets the crashes in a row under a task, as one of its attempts has outlived them.
    pub(super) fn note_outlived(&mut self, run: RunName) {
        self.crash_history.chains.remove(&run.task.into());
    }
}
