//! Keys that this agent arbitrates.

use crate::keys::KeyName;
use crate::timer::TimerQueue;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::ids::{HostId, Incarnation, LinkId, RequestId};
use hornbeamlead_core::message::request::{CallerRequest, EndpointAnswer};
use hornbeamlead_core::policy::GatePolicy;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Questions kept at most; the answer to a forgotten one is dropped, and it is asked again.
const MAX_QUESTIONS: usize = 10_000;

/// Copy of a keyed request that waits for the key's outcome.
#[derive(Clone, Debug)]
pub(crate) struct KeyWaiter {
    /// Link to answer on.
    pub(crate) link: LinkId,
    /// Id of the copy.
    pub(crate) id: RequestId,
    /// When it has to be answered.
    pub(crate) deadline: MonoTime,
}

/// How far a key has come.
#[derive(Clone, Debug)]
pub(crate) enum KeyPhase {
    /// Hosts that may know it are asked.
    Settling {
        /// Hosts that have not answered.
        pending: BTreeSet<HostId>,
    },
    /// It was handed to a runner, whose reply is awaited.
    Handed {
        /// Counter of the grant's id.
        counter: u64,
        /// The runner.
        runner: HostId,
        /// Address of the runner's link.
        to: SocketAddr,
    },
    /// It runs at a host that is asked for the outcome.
    Followed {
        /// The host.
        runner: HostId,
        /// Whether this arbiter handed it over there; the grant may then still be under way.
        handed: bool,
    },
    /// It ran, with this answer.
    Answered(EndpointAnswer),
    /// It may have run.
    Unknown,
}

/// Key with the copies that wait for its outcome.
#[derive(Clone, Debug)]
pub(crate) struct KeyRecord {
    /// How far it has come.
    pub(crate) phase: KeyPhase,
    /// What is asked, from the first copy.
    pub(crate) request: CallerRequest,
    /// Copies that wait.
    pub(crate) waiters: Vec<KeyWaiter>,
    /// Runners that refused it.
    pub(crate) tried: BTreeSet<HostId>,
    /// Hosts that have answered that they do not know it.
    pub(crate) asked: BTreeSet<HostId>,
    /// Memory that a kept answer takes.
    pub(crate) bytes: usize,
    expires_at: MonoTime,
}

impl KeyRecord {
    /// Returns the latest deadline of the copies that wait.
    pub(crate) fn deadline(&self) -> Option<MonoTime> {
        self.waiters.iter().map(|waiter| waiter.deadline).max()
    }
}

/// Question about a key that a host was asked.
#[derive(Clone, Debug)]
pub(crate) struct AskedQuestion {
    /// The key.
    pub(crate) name: KeyName,
    /// Host that was asked.
    pub(crate) host: HostId,
    /// Life of that host in the view.
    pub(crate) incarnation: Incarnation,
    /// Number of that view.
    pub(crate) view: u64,
}

/// Bounded table of keys under arbitration.
#[derive(Debug)]
pub(crate) struct ArbiterTable {
    records: BTreeMap<KeyName, KeyRecord>,
    grants: BTreeMap<u64, KeyName>,
    questions: BTreeMap<u64, AskedQuestion>,
    waiting: BTreeSet<RequestId>,
    looks: TimerQueue<KeyName>,
    expiry: TimerQueue<KeyName>,
    next_number: u64,
    bytes: usize,
    max_keys: usize,
    max_bytes: usize,
    lifetime: Duration,
}

impl ArbiterTable {
    /// Makes an empty table.
    pub(crate) fn new(policy: &GatePolicy) -> Self {
        Self {
            records: BTreeMap::new(),
            grants: BTreeMap::new(),
            questions: BTreeMap::new(),
            waiting: BTreeSet::new(),
            looks: TimerQueue::default(),
            expiry: TimerQueue::default(),
            next_number: 1,
            bytes: 0,
            max_keys: policy.max_keys,
            max_bytes: policy.max_key_bytes,
            lifetime: policy.key_lifetime,
        }
    }

    /// Returns the number of keys.
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no copy waits.
    pub(crate) fn idle(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns whether a copy waits under this id.
    pub(crate) fn waits(&self, id: &RequestId) -> bool {
        self.waiting.contains(id)
    }

    /// Returns whether another key fits.
    pub(crate) fn has_room(&self) -> bool {
        self.records.len() < self.max_keys
    }

    /// Returns a key.
    pub(crate) fn get(&self, name: &KeyName) -> Option<&KeyRecord> {
        self.records.get(name)
    }

    /// Returns a key for changes.
    pub(crate) fn get_mut(&mut self, name: &KeyName) -> Option<&mut KeyRecord> {
        self.records.get_mut(name)
    }

    /// Adds a key.
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
            asked: BTreeSet::new(),
            bytes: 0,
            expires_at,
        };
        self.records.insert(name.clone(), record);
        self.expiry.add(expires_at, name.clone());
    }

    /// Lets a copy wait.
    pub(crate) fn add_waiter(&mut self, name: &KeyName, waiter: KeyWaiter) {
        let Some(record) = self.records.get_mut(name) else {
            return;
        };
        self.waiting.insert(waiter.id.clone());
        self.looks.add(waiter.deadline, name.clone());
        record.waiters.push(waiter);
    }

    /// Takes out the copies of a key that wait, or those whose deadline is over.
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

    /// Takes out the copy with this id.
    pub(crate) fn take_waiter(&mut self, id: &RequestId) -> Option<KeyWaiter> {
        if !self.waiting.remove(id) {
            return None;
        }
        self.records.values_mut().find_map(|record| {
            let index = record.waiters.iter().position(|waiter| waiter.id == *id)?;
            Some(record.waiters.remove(index))
        })
    }

    /// Forgets a key that was proven not to have run.
    pub(crate) fn remove(&mut self, name: &KeyName) {
        if let Some(record) = self.records.remove(name) {
            self.bytes -= record.bytes;
        }
    }

    /// Keeps an answer; without room for it, only that the key ran.
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

    /// Returns a number for a grant of a key.
    pub(crate) fn new_grant(&mut self, name: &KeyName) -> u64 {
        let counter = self.number();
        self.grants.insert(counter, name.clone());
        counter
    }

    /// Returns the key of a grant.
    pub(crate) fn granted(&self, counter: u64) -> Option<&KeyName> {
        self.grants.get(&counter)
    }

    /// Ends a grant.
    pub(crate) fn end_grant(&mut self, counter: u64) {
        self.grants.remove(&counter);
    }

    /// Returns the keys about which hosts are being asked.
    pub(crate) fn settling(&self) -> Vec<KeyName> {
        let settling = |record: &KeyRecord| matches!(record.phase, KeyPhase::Settling { .. });
        self.records
            .iter()
            .filter(|(_, record)| settling(record))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Returns a number for a question about a key.
    pub(crate) fn new_question(&mut self, question: AskedQuestion) -> u64 {
        let number = self.number();
        self.questions.insert(number, question);
        if self.questions.len() > MAX_QUESTIONS {
            self.questions.pop_first();
        }
        number
    }

    /// Ends a question and returns it.
    pub(crate) fn end_question(&mut self, number: u64) -> Option<AskedQuestion> {
        self.questions.remove(&number)
    }

    /// Returns the keys that were handed over a link and not answered.
    pub(crate) fn handed_over(&self, link: SocketAddr) -> Vec<KeyName> {
        let over = |record: &KeyRecord| match &record.phase {
            KeyPhase::Handed { to, .. } => *to == link,
            _ => false,
        };
        self.records
            .iter()
            .filter(|(_, record)| over(record))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Sets a moment at which a key is looked at again.
    pub(crate) fn look_at(&mut self, name: &KeyName, at: MonoTime) {
        self.looks.add(at, name.clone());
    }

    /// Takes out one key that is to be looked at.
    pub(crate) fn pop_look(&mut self, now: MonoTime) -> Option<KeyName> {
        self.looks.pop_due(now)
    }

    /// Returns when a key is to be looked at next.
    pub(crate) fn wake_at(&self) -> MonoTime {
        self.looks.earliest().unwrap_or(MonoTime::MAX)
    }

    /// Forgets keys whose lifetime is over and whose outcome nobody awaits.
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

    fn number(&mut self) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        number
    }
}
