//! Slots of the endpoint and the bounded queue for them, shared fairly among services.

use crate::timer::TimerQueue;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::counter::RefusalReason;
use hornbeamlead_core::ids::{LinkId, RequestId, ServiceName};
use hornbeamlead_core::message::request::ForwardedRequest;
use std::collections::{BTreeMap, VecDeque};

/// Request that waits for a slot.
#[derive(Clone, Debug)]
pub(super) struct QueuedRequest {
    /// Link for the reply.
    pub(super) link: LinkId,
    pub(super) request: ForwardedRequest,
}

/// Request that was passed to the endpoint.
#[derive(Clone, Debug)]
pub(super) struct RunningRequest {
    /// Link for the reply.
    pub(super) link: LinkId,
    /// Service of the request.
    pub(super) service: ServiceName,
    /// Time at which it was passed to the endpoint.
    pub(super) started: MonoTime,
}

/// Result of queueing a request.
#[derive(Debug)]
pub(super) enum QueueVerdict {
    /// The request is queued.
    Queued,
    /// The request is queued in place of another service's newest one, which has to be refused.
    Displaced(QueuedRequest),
    /// The request has to be refused.
    Refused(RefusalReason),
}

/// Requests of one endpoint: running, and queued by service.
#[derive(Debug)]
pub(super) struct AdmissionQueue {
    capacity: usize,
    waiting: BTreeMap<ServiceName, VecDeque<QueuedRequest>>,
    running: BTreeMap<RequestId, RunningRequest>,
    running_by_service: BTreeMap<ServiceName, usize>,
    deadlines: TimerQueue<RequestId>,
    held_slots: VecDeque<MonoTime>,
}

impl AdmissionQueue {
    /// Creates a queue with room for `capacity` waiting requests.
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            running_by_service: BTreeMap::new(),
            deadlines: TimerQueue::default(),
            held_slots: VecDeque::new(),
        }
    }

    /// Returns whether no request is queued or running.
    pub(super) fn idle(&self) -> bool {
        self.running.is_empty() && self.queued() == 0
    }

    /// Returns the slots in use, including those held for broken exchanges.
    pub(super) fn running(&self) -> u16 {
        let taken = self.running.len() + self.held_slots.len();
        u16::try_from(taken).unwrap_or(u16::MAX)
    }

    pub(super) fn queued(&self) -> u16 {
        let queued: usize = self.waiting.values().map(VecDeque::len).sum();
        u16::try_from(queued).unwrap_or(u16::MAX)
    }

    /// Returns whether a request with this id is queued or running.
    pub(super) fn contains(&self, id: &RequestId) -> bool {
        let is_queued = || {
            self.waiting
                .values()
                .flatten()
                .any(|queued| queued.request.id == *id)
        };
        self.running.contains_key(id) || is_queued()
    }

    /// Returns when the next queued request expires or the next held slot is freed.
    pub(super) fn wake_at(&self) -> MonoTime {
        let freed = self.held_slots.iter().min().copied();
        self.deadlines
            .earliest()
            .unwrap_or(MonoTime::MAX)
            .min(freed.unwrap_or(MonoTime::MAX))
    }

    /// Queues a request if there is room within the fair share of its service.
    pub(super) fn push(&mut self, queued: QueuedRequest) -> QueueVerdict {
        let service = queued.request.request.service.clone();
        let total = usize::from(self.queued());
        if total < self.capacity {
            self.insert(service, queued);
            return QueueVerdict::Queued;
        }
        let own_length = self.waiting.get(&service).map_or(0, VecDeque::len);
        let longest = self.longest();
        match longest {
            Some((longest, length)) if longest != service && length > own_length + 1 => {
                let displaced = self.pop_newest(&longest);
                self.insert(service, queued);
                displaced.map_or(QueueVerdict::Queued, QueueVerdict::Displaced)
            }
            Some((longest, _)) if longest != service => {
                QueueVerdict::Refused(RefusalReason::FairShare)
            }
            Some(_) | None => QueueVerdict::Refused(RefusalReason::QueueFull),
        }
    }

    /// Dequeues the next request of the service that uses the fewest slots.
    pub(super) fn pop(&mut self) -> Option<QueuedRequest> {
        let least = self
            .waiting
            .iter()
            .filter(|(_, queue)| !queue.is_empty())
            .min_by_key(|(service, _)| self.running_of(service))
            .map(|(service, _)| service.clone())?;
        let queued = self.waiting.get_mut(&least)?.pop_front()?;
        self.cancel_timer(&queued);
        Some(queued)
    }

    /// Removes a queued request.
    pub(super) fn remove(&mut self, id: &RequestId) -> Option<QueuedRequest> {
        for queue in self.waiting.values_mut() {
            let Some(index) = queue.iter().position(|queued| queued.request.id == *id) else {
                continue;
            };
            let queued = queue.remove(index)?;
            self.cancel_timer(&queued);
            return Some(queued);
        }
        None
    }

    /// Removes one queued request whose deadline has passed.
    pub(super) fn pop_expired(&mut self, now: MonoTime) -> Option<QueuedRequest> {
        let id = self.deadlines.pop_due(now)?;
        self.remove(&id)
    }

    /// Removes all queued requests.
    pub(super) fn drain(&mut self) -> Vec<QueuedRequest> {
        self.deadlines = TimerQueue::default();
        std::mem::take(&mut self.waiting)
            .into_values()
            .flatten()
            .collect()
    }

    /// Records that a request was passed to the endpoint.
    pub(super) fn start(&mut self, id: RequestId, running: RunningRequest) {
        *self
            .running_by_service
            .entry(running.service.clone())
            .or_default() += 1;
        self.running.insert(id, running);
    }

    /// Records that the endpoint is done with a request; returns `None` for an unknown id.
    pub(super) fn finish(&mut self, id: &RequestId) -> Option<RunningRequest> {
        let running = self.running.remove(id)?;
        if let Some(count) = self.running_by_service.get_mut(&running.service) {
            *count = count.saturating_sub(1);
        }
        Some(running)
    }

    /// Holds a slot for a broken exchange, since the endpoint may still be running the request.
    pub(super) fn hold_slot(&mut self, until: MonoTime) {
        self.held_slots.push_back(until);
    }

    /// Frees the held slots whose time is over.
    pub(super) fn release_held_slots(&mut self, now: MonoTime) {
        self.held_slots.retain(|until| *until > now);
    }

    fn insert(&mut self, service: ServiceName, queued: QueuedRequest) {
        self.deadlines
            .add(queued.request.deadline, queued.request.id.clone());
        self.waiting.entry(service).or_default().push_back(queued);
    }

    fn pop_newest(&mut self, service: &ServiceName) -> Option<QueuedRequest> {
        let queued = self.waiting.get_mut(service)?.pop_back()?;
        self.cancel_timer(&queued);
        Some(queued)
    }

    fn cancel_timer(&mut self, queued: &QueuedRequest) {
        let id = queued.request.id.clone();
        self.deadlines.remove(queued.request.deadline, id);
    }

    fn longest(&self) -> Option<(ServiceName, usize)> {
        self.waiting
            .iter()
            .map(|(service, queue)| (service.clone(), queue.len()))
            .max_by_key(|(_, length)| *length)
    }

    fn running_of(&self, service: &ServiceName) -> usize {
        self.running_by_service
            .get(service)
            .copied()
            .unwrap_or_default()
    }
}
