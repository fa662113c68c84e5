//! Slots of the endpoint and the bounded queue before them, shared fairly among services.

use crate::timer::TimerQueue;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::counter::RefusalReason;
use hornbeamlead_core::ids::{LinkId, RequestId, ServiceName};
use hornbeamlead_core::message::request::ForwardedRequest;
use std::collections::{BTreeMap, VecDeque};

/// Request that waits for a slot.
#[derive(Clone, Debug)]
pub(super) struct QueuedRequest {
    /// Link to answer on.
    pub(super) link: LinkId,
    /// The request.
    pub(super) request: ForwardedRequest,
}

/// Request that the endpoint has.
#[derive(Clone, Debug)]
pub(super) struct RunningRequest {
    /// Link to answer on.
    pub(super) link: LinkId,
    /// Service called.
    pub(super) service: ServiceName,
    /// When the endpoint was given it.
    pub(super) started: MonoTime,
}

/// What became of a request that wanted to wait.
#[derive(Debug)]
pub(super) enum QueueVerdict {
    /// It waits.
    Waits,
    /// It waits; another service's request had to make room.
    Displaced(QueuedRequest),
    /// It is refused.
    Refused(RefusalReason),
}

/// Requests of one endpoint: running, and waiting by service.
#[derive(Debug)]
pub(super) struct AdmissionQueue {
    capacity: usize,
    waiting: BTreeMap<ServiceName, VecDeque<QueuedRequest>>,
    running: BTreeMap<RequestId, RunningRequest>,
    running_by_service: BTreeMap<ServiceName, usize>,
    deadlines: TimerQueue<RequestId>,
    lingering: VecDeque<MonoTime>,
}

impl AdmissionQueue {
    /// Makes an empty queue.
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            running_by_service: BTreeMap::new(),
            deadlines: TimerQueue::default(),
            lingering: VecDeque::new(),
        }
    }

    /// Returns whether nothing waits or runs.
    pub(super) fn idle(&self) -> bool {
        self.running.is_empty() && self.queued() == 0
    }

    /// Returns the slots taken, those of broken exchanges that may still run included.
    pub(super) fn running(&self) -> u16 {
        let taken = self.running.len() + self.lingering.len();
        u16::try_from(taken).unwrap_or(u16::MAX)
    }

    /// Returns the number of waiting requests.
    pub(super) fn queued(&self) -> u16 {
        let queued: usize = self.waiting.values().map(VecDeque::len).sum();
        u16::try_from(queued).unwrap_or(u16::MAX)
    }

    /// Returns whether an id waits or runs.
    pub(super) fn holds(&self, id: &RequestId) -> bool {
        let waits = || {
            self.waiting
                .values()
                .flatten()
                .any(|queued| queued.request.id == *id)
        };
        self.running.contains_key(id) || waits()
    }

    /// Returns when the next waiting request runs out of time, or a broken one frees its slot.
    pub(super) fn wake_at(&self) -> MonoTime {
        let freed = self.lingering.iter().min().copied();
        self.deadlines
            .earliest()
            .unwrap_or(MonoTime::MAX)
            .min(freed.unwrap_or(MonoTime::MAX))
    }

    /// Lets a request wait if there is room within its service's fair share.
    pub(super) fn push(&mut self, queued: QueuedRequest) -> QueueVerdict {
        let service = queued.request.request.service.clone();
        let total = usize::from(self.queued());
        if total < self.capacity {
            self.insert(service, queued);
            return QueueVerdict::Waits;
        }
        let own = self.waiting.get(&service).map_or(0, VecDeque::len);
        let longest = self.longest();
        match longest {
            Some((longest, length)) if longest != service && length > own + 1 => {
                let displaced = self.take_newest(&longest);
                self.insert(service, queued);
                displaced.map_or(QueueVerdict::Waits, QueueVerdict::Displaced)
            }
            Some((longest, _)) if longest != service => {
                QueueVerdict::Refused(RefusalReason::FairShare)
            }
            Some(_) | None => QueueVerdict::Refused(RefusalReason::QueueFull),
        }
    }

    /// Takes the next request of the service that holds the fewest slots.
    pub(super) fn pop(&mut self) -> Option<QueuedRequest> {
        let least = self
            .waiting
            .iter()
            .filter(|(_, queue)| !queue.is_empty())
            .min_by_key(|(service, _)| self.running_of(service))
            .map(|(service, _)| service.clone())?;
        let queued = self.waiting.get_mut(&least)?.pop_front()?;
        self.drop_timer(&queued);
        Some(queued)
    }

    /// Takes a waiting request out.
    pub(super) fn remove(&mut self, id: &RequestId) -> Option<QueuedRequest> {
        for queue in self.waiting.values_mut() {
            let Some(index) = queue.iter().position(|queued| queued.request.id == *id) else {
                continue;
            };
            let queued = queue.remove(index)?;
            self.drop_timer(&queued);
            return Some(queued);
        }
        None
    }

    /// Takes out one waiting request whose deadline is over.
    pub(super) fn pop_expired(&mut self, now: MonoTime) -> Option<QueuedRequest> {
        let id = self.deadlines.pop_due(now)?;
        self.remove(&id)
    }

    /// Takes out all waiting requests.
    pub(super) fn drain(&mut self) -> Vec<QueuedRequest> {
        self.deadlines = TimerQueue::default();
        std::mem::take(&mut self.waiting)
            .into_values()
            .flatten()
            .collect()
    }

    /// Takes note that the endpoint was given a request.
    pub(super) fn start(&mut self, id: RequestId, running: RunningRequest) {
        *self
            .running_by_service
            .entry(running.service.clone())
            .or_default() += 1;
        self.running.insert(id, running);
    }

    /// Takes note that the endpoint is done with a request.
    pub(super) fn finish(&mut self, id: &RequestId) -> Option<RunningRequest> {
        let running = self.running.remove(id)?;
        if let Some(count) = self.running_by_service.get_mut(&running.service) {
            *count = count.saturating_sub(1);
        }
        Some(running)
    }

    /// Keeps a slot taken for a broken exchange that may still run at the endpoint.
    pub(super) fn linger(&mut self, until: MonoTime) {
        self.lingering.push_back(until);
    }

    /// Frees the slots of broken exchanges whose time is over.
    pub(super) fn free_lingering(&mut self, now: MonoTime) {
        self.lingering.retain(|until| *until > now);
    }

    fn insert(&mut self, service: ServiceName, queued: QueuedRequest) {
        self.deadlines
            .add(queued.request.deadline, queued.request.id.clone());
        self.waiting.entry(service).or_default().push_back(queued);
    }

    fn take_newest(&mut self, service: &ServiceName) -> Option<QueuedRequest> {
        let queued = self.waiting.get_mut(service)?.pop_back()?;
        self.drop_timer(&queued);
        Some(queued)
    }

    fn drop_timer(&mut self, queued: &QueuedRequest) {
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
