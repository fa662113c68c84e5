//! Keys that ran at this agent, and keys fenced here for older views.

use crate::keys::KeyName;
use crate::timer::TimerQueue;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::counter::RefusalReason;
use hornbeamlead_core::ids::RequestId;
use hornbeamlead_core::message::request::{EndpointAnswer, KeyState};
use hornbeamlead_core::policy::GatePolicy;
use std::collections::BTreeMap;
use std::time::Duration;

/// What is kept of a key that was given to this agent to run.
#[derive(Clone, Debug)]
struct RunRecord {
    id: RequestId,
    key_state: KeyState,
    bytes: usize,
    expires_at: MonoTime,
}

/// Oldest view under which a key may still be acted on here.
#[derive(Clone, Copy, Debug)]
struct ViewFence {
    view: u64,
    expires_at: MonoTime,
}

/// Bounded table of keys run here and of fences.
#[derive(Debug)]
pub(crate) struct RunnerTable {
    runs: BTreeMap<KeyName, RunRecord>,
    by_id: BTreeMap<RequestId, KeyName>,
    fences: BTreeMap<KeyName, ViewFence>,
    expiry: TimerQueue<(ExpiringEntry, KeyName)>,
    bytes: usize,
    max_keys: usize,
    max_bytes: usize,
    lifetime: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ExpiringEntry {
    Run,
    Fence,
}

impl RunnerTable {
    /// Makes an empty table.
    pub(crate) fn new(policy: &GatePolicy) -> Self {
        Self {
            runs: BTreeMap::new(),
            by_id: BTreeMap::new(),
            fences: BTreeMap::new(),
            expiry: TimerQueue::default(),
            bytes: 0,
            max_keys: policy.max_keys,
            max_bytes: policy.max_key_bytes,
            lifetime: policy.key_lifetime,
        }
    }

    /// Returns the number of keys run here.
    pub(crate) fn len(&self) -> usize {
        self.runs.len()
    }

    /// Returns what is known of a key.
    pub(crate) fn key_state(&self, name: &KeyName) -> KeyState {
        self.runs
            .get(name)
            .map_or(KeyState::Absent, |run| run.key_state.clone())
    }

    /// Fences a key for older views; returns false if the table has no room.
    pub(crate) fn fence(&mut self, now: MonoTime, name: &KeyName, view: u64) -> bool {
        let known = self.fences.get(name);
        if known.is_none() && self.fences.len() >= self.max_keys {
            return false;
        }
        let expires_at = now.plus(self.lifetime);
        let fence = ViewFence {
            view: view.max(known.map_or(0, |fence| fence.view)),
            expires_at,
        };
        self.fences.insert(name.clone(), fence);
        self.expiry
            .add(expires_at, (ExpiringEntry::Fence, name.clone()));
        true
    }

    /// Returns the oldest view under which a key may still be acted on.
    pub(crate) fn fenced_below(&self, name: &KeyName) -> u64 {
        self.fences.get(name).map_or(0, |fence| fence.view)
    }

    /// Records a key before it runs.
    ///
    /// # Errors
    /// Returns why it may not run here.
    pub(crate) fn begin(
        &mut self,
        now: MonoTime,
        name: &KeyName,
        id: &RequestId,
        view: u64,
    ) -> Result<(), RefusalReason> {
        if view < self.fenced_below(name) || self.runs.contains_key(name) {
            return Err(RefusalReason::Fenced);
        }
        if self.runs.len() >= self.max_keys {
            return Err(RefusalReason::KeysFull);
        }
        let expires_at = now.plus(self.lifetime);
        let record = RunRecord {
            id: id.clone(),
            key_state: KeyState::Running,
            bytes: 0,
            expires_at,
        };
        self.runs.insert(name.clone(), record);
        self.by_id.insert(id.clone(), name.clone());
        self.expiry
            .add(expires_at, (ExpiringEntry::Run, name.clone()));
        Ok(())
    }

    /// Forgets a key whose request was proven not to have run.
    pub(crate) fn cancel(&mut self, id: &RequestId) {
        if let Some(name) = self.by_id.remove(id) {
            self.runs.remove(&name);
        }
    }

    /// Keeps the answer; without room for it, only that the key ran.
    pub(crate) fn answered(&mut self, id: &RequestId, answer: &EndpointAnswer) {
        let bytes = answer_bytes(answer);
        let fits = self.bytes + bytes <= self.max_bytes;
        let Some(run) = self.run_mut(id) else {
            return;
        };
        if !fits {
            run.key_state = KeyState::Unknown;
            return;
        }
        run.key_state = KeyState::Answered(answer.clone());
        run.bytes = bytes;
        self.bytes += bytes;
    }

    /// Keeps that the key may have run.
    pub(crate) fn broken(&mut self, id: &RequestId) {
        if let Some(run) = self.run_mut(id) {
            run.key_state = KeyState::Unknown;
        }
    }

    /// Forgets what is older than a key's lifetime.
    pub(crate) fn expire(&mut self, now: MonoTime) {
        while let Some((entry, name)) = self.expiry.pop_due(now) {
            match entry {
                ExpiringEntry::Fence => self.forget_fence(now, &name),
                ExpiringEntry::Run => self.forget_run(now, &name),
            }
        }
    }

    fn forget_fence(&mut self, now: MonoTime, name: &KeyName) {
        let fence = self.fences.get(name);
        if fence.is_some_and(|fence| fence.expires_at <= now) {
            self.fences.remove(name);
        }
    }

    fn forget_run(&mut self, now: MonoTime, name: &KeyName) {
        let run = self.runs.get(name);
        if run.is_none_or(|run| run.expires_at > now) {
            return;
        }
        if let Some(run) = self.runs.remove(name) {
            self.bytes -= run.bytes;
            self.by_id.remove(&run.id);
        }
    }

    fn run_mut(&mut self, id: &RequestId) -> Option<&mut RunRecord> {
        let name = self.by_id.get(id)?;
        self.runs.get_mut(name)
    }
}

/// Returns the memory that a kept answer takes, roughly.
pub(crate) fn answer_bytes(answer: &EndpointAnswer) -> usize {
    let headers: usize = answer
        .headers
        .iter()
        .map(|header| header.name.len() + header.value.len())
        .sum();
    headers + answer.body.len()
}
