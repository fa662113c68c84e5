//! Open requests of an entry and their attempts.

use crate::timer::TimerQueue;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::counter::RefusalReason;
use hornbeamlead_core::ids::{CallerTicket, HostId, RequestId};
use hornbeamlead_core::message::request::{CallerRequest, RequestSafety};
use hornbeamlead_core::policy::ProcessIdentity;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Attempt that was sent and not answered yet.
#[derive(Clone, Debug)]
pub(crate) struct AttemptRecord {
    /// Caller's request that it belongs to.
    pub(crate) ticket: CallerTicket,
    /// Host it was sent to.
    pub(crate) host: HostId,
    /// Address of the link.
    pub(crate) to: SocketAddr,
    /// When it was sent.
    pub(crate) sent_at: MonoTime,
    /// Whether the host is to run it itself, rather than arbitrate its key.
    pub(crate) runs_there: bool,
}

/// Request that has no final answer yet.
#[derive(Clone, Debug)]
pub(crate) struct OpenRequest {
    /// What is asked.
    pub(crate) request: CallerRequest,
    /// When the entry gives up.
    pub(crate) give_up_at: MonoTime,
    /// When a second copy, or another look at the arbiter, is due.
    pub(crate) next_look: MonoTime,
    /// Whether a second copy was sent.
    pub(crate) hedged: bool,
    /// Attempts in progress.
    pub(crate) attempts: BTreeSet<u64>,
    /// Hosts it was sent to.
    pub(crate) tried: Vec<HostId>,
    /// Whether an attempt that is over may have run.
    pub(crate) may_have_run: bool,
    /// Last refusal, for the final answer.
    pub(crate) refusal: Option<LastRefusal>,
}

/// Why an attempt was refused last.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LastRefusal {
    /// Reason.
    pub(crate) reason: RefusalReason,
    /// When it makes sense to come back.
    pub(crate) retry_after: Duration,
}

impl OpenRequest {
    /// Returns whether the request runs at most once under its key, however often it is sent.
    pub(crate) fn keyed(&self) -> bool {
        self.request.safety == RequestSafety::NonIdempotent && self.request.key.is_some()
    }

    /// Returns whether sending it again does no harm although it may have run.
    pub(crate) fn repeatable(&self) -> bool {
        self.request.safety == RequestSafety::Idempotent || self.keyed()
    }

    fn timer(&self) -> MonoTime {
        self.next_look.min(self.give_up_at)
    }
}

/// All open requests, their attempts and timers.
#[derive(Debug)]
pub(crate) struct RequestDesk {
    open: BTreeMap<CallerTicket, OpenRequest>,
    attempts: BTreeMap<u64, AttemptRecord>,
    timers: TimerQueue<CallerTicket>,
    next_counter: u64,
}

impl RequestDesk {
    /// Makes an empty desk.
    pub(crate) fn new() -> Self {
        Self {
            open: BTreeMap::new(),
            attempts: BTreeMap::new(),
            timers: TimerQueue::default(),
            next_counter: 1,
        }
    }

    /// Returns the number of open requests.
    pub(crate) fn len(&self) -> usize {
        self.open.len()
    }

    /// Returns an open request.
    pub(crate) fn get(&self, ticket: CallerTicket) -> Option<&OpenRequest> {
        self.open.get(&ticket)
    }

    /// Returns an open request for changes; its timer is set by [`Self::look_again`] only.
    pub(crate) fn get_mut(&mut self, ticket: CallerTicket) -> Option<&mut OpenRequest> {
        self.open.get_mut(&ticket)
    }

    /// Opens a request.
    pub(crate) fn open(&mut self, ticket: CallerTicket, request: OpenRequest) {
        self.timers.add(request.timer(), ticket);
        self.open.insert(ticket, request);
    }

    /// Sets the moment at which the request is looked at again.
    pub(crate) fn look_again(&mut self, ticket: CallerTicket, at: MonoTime) {
        if let Some(request) = self.open.get_mut(&ticket) {
            self.timers.remove(request.timer(), ticket);
            request.next_look = at;
            self.timers.add(request.timer(), ticket);
        }
    }

    /// Closes a request and returns it; its attempts are answered to nobody from now on.
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

    /// Returns an attempt in progress.
    pub(crate) fn attempt(&self, counter: u64) -> Option<&AttemptRecord> {
        self.attempts.get(&counter)
    }

    /// Ends an attempt and returns it.
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

    /// Takes out one request whose timer is due.
    pub(crate) fn pop_due(&mut self, now: MonoTime) -> Option<CallerTicket> {
        self.timers.pop_due(now)
    }

    /// Returns the earliest timer.
    pub(crate) fn wake_at(&self) -> MonoTime {
        self.timers.earliest().unwrap_or(MonoTime::MAX)
    }
}

/// Returns the id of an attempt.
pub(crate) fn attempt_id(place: &ProcessIdentity, counter: u64) -> RequestId {
    RequestId {
        entry: place.host.clone(),
        incarnation: place.incarnation,
        counter,
    }
}

/// Returns the counter of an id that this life of the entry made.
pub(crate) fn own_counter(place: &ProcessIdentity, id: &RequestId) -> Option<u64> {
    let own = id.entry == place.host && id.incarnation == place.incarnation;
    own.then_some(id.counter)
}
