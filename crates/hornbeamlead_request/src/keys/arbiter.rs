//! Table of the keys that this agent arbitrates.

use crate::keys::KeyName;
use crate::timer::TimerQueue;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::ids::{HostId, Incarnation, LinkId, RequestId};
use hornbeamlead_core::message::request::{CallerRequest, EndpointAnswer};
use hornbeamlead_core::policy::GatePolicy;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of pending queries; an evicted one is sent again and its late answer dropped.
const MAX_PENDING_QUERIES: usize = 10_000;

/// Copy of a keyed request that waits for the outcome of its key.
#[derive(Clone, Debug)]
pub(crate) struct KeyWaiter {
    /// Link for the reply.
    pub(crate) link: LinkId,
    /// Id of the copy.
    pub(crate) id: RequestId,
    /// Latest time for the reply.
    pub(crate) deadline: MonoTime,
}

/// State of a key under arbitration.
#[derive(Clone, Debug)]
pub(crate) enum KeyPhase {
    /// Hosts that may know the key are being queried.
    Resolving {
        /// Hosts that have not answered.
        pending: BTreeSet<HostId>,
    },
    /// The key was granted to a runner whose reply is pending.
    Granted {
        /// Counter of the grant's id.
        counter: u64,
        runner: HostId,
        /// Address of the link to the runner.
        to: SocketAddr,
    },
    /// The key runs at a host that is polled for the outcome.
    Polled {
        runner: HostId,
        /// Whether this arbiter granted it there; that grant may still be in transit.
        granted_here: bool,
    },
    /// The key ran, with this answer.
    Answered(EndpointAnswer),
    /// The key may have run.
    Unknown,
}

/// Key with the copies that wait for its outcome.
#[derive(Clone, Debug)]
pub(crate) struct KeyRecord {
    pub(crate) phase: KeyPhase,
    /// Request to run, from the first copy.
    pub(crate) request: CallerRequest,
    /// Waiting copies.
    pub(crate) waiters: Vec<KeyWaiter>,
    /// Runners that refused it.
    pub(crate) tried: BTreeSet<HostId>,
    /// Hosts that have answered that they do not know it.
    pub(crate) absent_at: BTreeSet<HostId>,
    /// Size of the stored answer in bytes.
    pub(crate) bytes: usize,
    expires_at: MonoTime,
}

impl KeyRecord {
    /// Returns the latest deadline of the waiting copies.
    pub(crate) fn deadline(&self) -> Option<MonoTime> {
        self.waiters.iter().map(|waiter| waiter.deadline).max()
    }
}

/// Query about a key that has no answer yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingQuery {
    /// Key that the query is about.
    pub(crate) name: KeyName,
    /// Queried host.
    pub(crate) host: HostId,
    /// Incarnation of that host in the view.
    pub(crate) incarnation: Incarnation,
    /// Number of that view.
    pub(crate) view: u64,
}

/// Bounded table of keys under arbitration.
#[derive(Debug)]
pub(crate) struct ArbiterTable {
    records: BTreeMap<KeyName, KeyRecord>,
    grants: BTreeMap<u64, KeyName>,
    queries: BTreeMap<u64, PendingQuery>,
    waiting: BTreeSet<RequestId>,
    checks: TimerQueue<KeyName>,
    expiry: TimerQueue<KeyName>,
    next_number: u64,
    bytes: usize,
    max_keys: usize,
    max_bytes: usize,
    lifetime: Duration,
}

impl ArbiterTable {
    /// Creates an empty table with the limits of a policy.
    pub(crate) fn new(policy: &GatePolicy) -> Self {
        Self {
            records: BTreeMap::new(),
            grants: BTreeMap::new(),
            queries: BTreeMap::new(),
            waiting: BTreeSet::new(),
            checks: TimerQueue::default(),
            expiry: TimerQueue::default(),
            next_number: 1,
            bytes: 0,
            max_keys: policy.max_keys,
            max_bytes: policy.max_key_bytes,
            lifetime: policy.key_lifetime,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no copy waits.
    pub(crate) fn idle(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns whether a copy with this id waits.
    pub(crate) fn is_waiting(&self, id: &RequestId) -> bool {
        self.waiting.contains(id)
    }

    /// Returns whether another key fits.
    pub(crate) fn has_room(&self) -> bool {
        self.records.len() < self.max_keys
    }

    pub(crate) fn get(&self, name: &KeyName) -> Option<&KeyRecord> {
        self.records.get(name)
    }

    pub(crate) fn get_mut(&mut self, name: &KeyName) -> Option<&mut KeyRecord> {
        self.records.get_mut(name)
    }

    /// Adds a key whose record expires after the key lifetime.
    pub(crate) fn add(
        &mut self,
        now: MonoTime,
        name: &KeyName,
        request: &CallerRequest,
        phase: KeyPhase,
    ) {
        let expires_at = now.plus(self.lifetime);
        let record = KeyRecord {
            phase,
            request: request.clone(),
            waiters: Vec::new(),
            tried: BTreeSet::new(),
            absent_at: BTreeSet::new(),
            bytes: 0,
            expires_at,
        };
        self.records.insert(name.clone(), record);
        self.expiry.add(expires_at, name.clone());
    }

    /// Adds a waiting copy and starts a timer for its deadline.
    pub(crate) fn add_waiter(&mut self, name: &KeyName, waiter: KeyWaiter) {
        let Some(record) = self.records.get_mut(name) else {
            return;
        };
        self.waiting.insert(waiter.id.clone());
        self.checks.add(waiter.deadline, name.clone());
        record.waiters.push(waiter);
    }

    /// Removes the copies of a key whose deadline is at or before `until`, and returns them.
    pub(crate) fn take_waiters(&mut self, name: &KeyName, until: MonoTime) -> Vec<KeyWaiter> {
        let Some(record) = self.records.get_mut(name) else {
            return Vec::new();
        };
        let (due, left): (Vec<_>, Vec<_>) = std::mem::take(&mut record.waiters)
            .into_iter()
            .partition(|waiter| waiter.deadline <= until);
        record.waiters = left;
        for waiter in &due {
            self.waiting.remove(&waiter.id);
        }
        due
    }

    /// Removes the waiting copy with this id.
    pub(crate) fn take_waiter(&mut self, id: &RequestId) -> Option<KeyWaiter> {
        if !self.waiting.remove(id) {
            return None;
        }
        self.records.values_mut().find_map(|record| {
            let index = record.waiters.iter().position(|waiter| waiter.id == *id)?;
            Some(record.waiters.remove(index))
        })
    }

    /// Removes a key that is proven not to have run.
    pub(crate) fn remove(&mut self, name: &KeyName) {
        if let Some(record) = self.records.remove(name) {
            self.bytes -= record.bytes;
        }
    }

    /// Stores an answer; without room for it, only the fact that the key ran.
    pub(crate) fn keep_answer(&mut self, name: &KeyName, answer: &EndpointAnswer) {
        let bytes = crate::keys::runner::answer_bytes(answer);
        let fits = self.bytes + bytes <= self.max_bytes;
        let Some(record) = self.records.get_mut(name) else {
            return;
        };
        if !fits {
            record.phase = KeyPhase::Unknown;
            return;
        }
        record.phase = KeyPhase::Answered(answer.clone());
        record.bytes = bytes;
        self.bytes += bytes;
    }

    /// Adds a grant of a key and returns its counter.
    pub(crate) fn add_grant(&mut self, name: &KeyName) -> u64 {
        let counter = self.allocate_number();
        self.grants.insert(counter, name.clone());
        counter
    }

    /// Returns the key of a grant.
    pub(crate) fn granted(&self, counter: u64) -> Option<&KeyName> {
        self.grants.get(&counter)
    }

    pub(crate) fn remove_grant(&mut self, counter: u64) {
        self.grants.remove(&counter);
    }

    /// Returns the keys being resolved.
    pub(crate) fn resolving(&self) -> Vec<KeyName> {
        let resolving = |record: &KeyRecord| matches!(record.phase, KeyPhase::Resolving { .. });
        self.records
            .iter()
            .filter(|(_, record)| resolving(record))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Adds a pending query and returns its number.
    pub(crate) fn add_query(&mut self, query: PendingQuery) -> u64 {
        let number = self.allocate_number();
        self.queries.insert(number, query);
        if self.queries.len() > MAX_PENDING_QUERIES {
            self.queries.pop_first();
        }
        number
    }

    /// Removes a pending query and returns it.
    pub(crate) fn remove_query(&mut self, number: u64) -> Option<PendingQuery> {
        self.queries.remove(&number)
    }

    /// Returns the keys granted over a link that have no reply.
    pub(crate) fn granted_over(&self, link: SocketAddr) -> Vec<KeyName> {
        let over = |record: &KeyRecord| match &record.phase {
            KeyPhase::Granted { to, .. } => *to == link,
            _ => false,
        };
        self.records
            .iter()
            .filter(|(_, record)| over(record))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Schedules a check of a key.
    pub(crate) fn schedule_check(&mut self, name: &KeyName, at: MonoTime) {
        self.checks.add(at, name.clone());
    }

    /// Removes one due check and returns its key.
    pub(crate) fn pop_check(&mut self, now: MonoTime) -> Option<KeyName> {
        self.checks.pop_due(now)
    }

    /// Returns the time of the next check.
    pub(crate) fn wake_at(&self) -> MonoTime {
        self.checks.earliest().unwrap_or(MonoTime::MAX)
    }

    /// Removes keys whose lifetime is over, unless copies still wait for the outcome.
    pub(crate) fn expire(&mut self, now: MonoTime) {
        while let Some(name) = self.expiry.pop_due(now) {
            let Some(record) = self.records.get_mut(&name) else {
                continue;
            };
            let over = record.expires_at <= now;
            match record.waiters.is_empty() {
                true if over => self.remove(&name),
                true => {}
                false => {
                    record.expires_at = now.plus(self.lifetime);
                    self.expiry.add(record.expires_at, name);
                }
            }
        }
    }

    fn allocate_number(&mut self) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        number
    }
}
