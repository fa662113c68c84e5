//! Open requests of an entry, their attempts and timers.

use crate::timer::TimerQueue;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::counter::RefusalReason;
use hornbeamlead_core::ids::{CallerTicket, HostId, RequestId};
use hornbeamlead_core::message::request::{CallerRequest, RequestSafety};
use hornbeamlead_core::policy::ProcessIdentity;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Attempt that was sent and has no reply yet.
#[derive(Clone, Debug)]
pub(crate) struct AttemptRecord {
    /// Ticket of the caller's request.
    pub(crate) ticket: CallerTicket,
    /// Host that received it.
    pub(crate) host: HostId,
    /// Address of the link to that host.
    pub(crate) to: SocketAddr,
    /// Time of sending.
    pub(crate) sent_at: MonoTime,
    /// Whether the host executes the request; an arbiter only assigns its key to a runner.
    pub(crate) executes: bool,
}

/// Request that has no final answer yet.
#[derive(Clone, Debug)]
pub(crate) struct OpenRequest {
    /// Request as the caller sent it.
    pub(crate) request: CallerRequest,
    /// Time at which the entry gives the request up.
    pub(crate) give_up_at: MonoTime,
    /// Time of the next check: hedging, or a change of the arbiter.
    pub(crate) next_check: MonoTime,
    /// Whether a hedged attempt was sent.
    pub(crate) hedged: bool,
    /// Counters of the attempts in progress.
    pub(crate) attempts: BTreeSet<u64>,
    /// Hosts that received an attempt.
    pub(crate) tried: Vec<HostId>,
    /// Whether a finished attempt may have run.
    pub(crate) may_have_run: bool,
    /// Last refusal, reported in the final answer.
    pub(crate) refusal: Option<LastRefusal>,
}

/// Refusal of an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LastRefusal {
    /// Cause of the refusal.
    pub(crate) reason: RefusalReason,
    /// Delay after which a retry is worthwhile.
    pub(crate) retry_after: Duration,
}

impl OpenRequest {
    /// Returns whether the request runs at most once under its key, however often it is sent.
    pub(crate) fn keyed(&self) -> bool {
        self.request.safety == RequestSafety::NonIdempotent && self.request.key.is_some()
    }

    /// Returns whether the request can safely be sent again although it may have run.
    pub(crate) fn retryable(&self) -> bool {
        self.request.safety == RequestSafety::Idempotent || self.keyed()
    }

    fn timer(&self) -> MonoTime {
        self.next_check.min(self.give_up_at)
    }
}

/// Table of open requests with their attempts and timers.
#[derive(Debug)]
pub(crate) struct RequestTable {
    open: BTreeMap<CallerTicket, OpenRequest>,
    attempts: BTreeMap<u64, AttemptRecord>,
    timers: TimerQueue<CallerTicket>,
    next_counter: u64,
}

impl RequestTable {
    pub(crate) fn new() -> Self {
        Self {
            open: BTreeMap::new(),
            attempts: BTreeMap::new(),
            timers: TimerQueue::default(),
            next_counter: 1,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.open.len()
    }

    pub(crate) fn get(&self, ticket: CallerTicket) -> Option<&OpenRequest> {
        self.open.get(&ticket)
    }

    /// Returns an open request for changes; only [`Self::schedule_check`] may change its timer.
    pub(crate) fn get_mut(&mut self, ticket: CallerTicket) -> Option<&mut OpenRequest> {
        self.open.get_mut(&ticket)
    }

    /// Adds a request and starts its timer.
    pub(crate) fn open(&mut self, ticket: CallerTicket, request: OpenRequest) {
        self.timers.add(request.timer(), ticket);
        self.open.insert(ticket, request);
    }

    /// Sets the time of the request's next check.
    pub(crate) fn schedule_check(&mut self, ticket: CallerTicket, at: MonoTime) {
        if let Some(request) = self.open.get_mut(&ticket) {
            self.timers.remove(request.timer(), ticket);
            request.next_check = at;
            self.timers.add(request.timer(), ticket);
        }
    }

    /// Removes a request; later replies to its attempts are not delivered to the caller.
    pub(crate) fn close(&mut self, ticket: CallerTicket) -> Option<OpenRequest> {
        let request = self.open.remove(&ticket)?;
        self.timers.remove(request.timer(), ticket);
        Some(request)
    }

    /// Adds an attempt and returns its counter.
    pub(crate) fn add_attempt(&mut self, attempt: AttemptRecord) -> u64 {
        let counter = self.next_counter;
        self.next_counter += 1;
        if let Some(request) = self.open.get_mut(&attempt.ticket) {
            request.attempts.insert(counter);
            request.tried.push(attempt.host.clone());
        }
        self.attempts.insert(counter, attempt);
        counter
    }

    pub(crate) fn attempt(&self, counter: u64) -> Option<&AttemptRecord> {
        self.attempts.get(&counter)
    }

    /// Removes an attempt and returns it.
    pub(crate) fn end_attempt(&mut self, counter: u64) -> Option<AttemptRecord> {
        let attempt = self.attempts.remove(&counter)?;
        if let Some(request) = self.open.get_mut(&attempt.ticket) {
            request.attempts.remove(&counter);
        }
        Some(attempt)
    }

    /// Returns the attempts in progress over a link.
    pub(crate) fn attempts_over(&self, link: SocketAddr) -> Vec<u64> {
        self.attempts
            .iter()
            .filter(|(_, attempt)| attempt.to == link)
            .map(|(counter, _)| *counter)
            .collect()
    }

    /// Removes one due timer and returns its request.
    pub(crate) fn pop_due(&mut self, now: MonoTime) -> Option<CallerTicket> {
        self.timers.pop_due(now)
    }

    /// Returns the earliest timer.
    pub(crate) fn wake_at(&self) -> MonoTime {
        self.timers.earliest().unwrap_or(MonoTime::MAX)
    }
}

/// Returns the id under which an attempt is sent.
pub(crate) fn attempt_id(identity: &ProcessIdentity, counter: u64) -> RequestId {
    RequestId {
        entry: identity.host.clone(),
        incarnation: identity.incarnation,
        counter,
    }
}

/// Returns the counter of an id that was issued by this incarnation of the entry.
pub(crate) fn issued_counter(identity: &ProcessIdentity, id: &RequestId) -> Option<u64> {
    let own = id.entry == identity.host && id.incarnation == identity.incarnation;
    own.then_some(id.counter)
}
