//! The planner's view of each host.

use super::host_runs::HostRuns;
use super::interference::{InterferenceModel, InterferenceSample, ServingGroup};
use super::placement::{ImageId, TaskDemand};
use crate::effect::LinkId;
use crate::ids::{HostName, WorkerIncarnation};
use crate::message::AgentStamp;
use crate::worker::WorkerFacts;
use hornbeamlead_core::clock::MonoTime;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Time without a report after which a host gets no orders. Hosts report every 300 ms.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Time after a takeover within which hosts that are up connect; they are asked to at once.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Logarithm of latency over target that is assumed for serving tasks without a reading: far below
/// any target.
pub(super) const UNMEASURED_LOG_LATENCY: f64 = -3.0;

/// Whether leases may be granted to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GrantState {
    /// Leases may be granted.
    Open,
    /// The plan bounds the host's leases. The planner recorded this at the given time, or an earlier
    /// planner did.
    Bounded { recorded_at: Option<MonoTime> },
    /// The host has reported or its leases have expired, but the plan still bounds them: the
    /// withdrawal of the bound is not stored yet.
    Withdrawing,
}

/// Stamps of a host's reports that name its worker. Only those are granted that arrived before an
/// append was sent that has succeeded: the planner had certainly not been replaced when they
/// arrived.
#[derive(Clone, Debug, Default)]
pub(super) struct ReportStamps {
    confirmed: Option<AgentStamp>,
    /// Later stamps, each the newest that arrived after the append of the given number was sent.
    unconfirmed: VecDeque<(u64, AgentStamp)>,
}

impl ReportStamps {
    /// Adds the stamp of a report that arrived after the append `last_sent` was sent.
    pub(super) fn add(&mut self, last_sent: u64, stamp: AgentStamp) {
        match self.unconfirmed.back_mut() {
            Some((sent, newest)) if *sent == last_sent => *newest = stamp,
            _ => self.unconfirmed.push_back((last_sent, stamp)),
        }
    }

    /// Returns the newest stamp that arrived before the append `succeeded` was sent.
    pub(super) fn confirm(&mut self, succeeded: u64) -> Option<AgentStamp> {
        while let Some(&(sent, stamp)) = self.unconfirmed.front()
            && sent < succeeded
        {
            self.confirmed = Some(stamp);
            self.unconfirmed.pop_front();
        }
        self.confirmed
    }
}

/// State of a host as last reported by its agent, with the attempts placed on it.
#[derive(Clone, Debug)]
pub struct HostView {
    /// Name of the host.
    pub host: HostName,
    /// Link to the agent, while it is open.
    pub link: Option<LinkId>,
    /// Worker, while one is known to be alive.
    pub worker: Option<WorkerFacts>,
    /// Latest worker incarnation that a report has named.
    pub(super) last_incarnation: Option<WorkerIncarnation>,
    /// Latest worker incarnation that is known to have ended.
    pub dead: Option<WorkerIncarnation>,
    /// When the latest report arrived. Before the first report: when the planner started, or when
    /// it recovered the attempts on the host.
    pub last_contact: MonoTime,
    /// When the latest report that names a worker arrived. Before the first: as `last_contact`.
    pub(super) worker_seen_at: MonoTime,
    /// Whether a report that names a worker has arrived in this epoch.
    pub(super) worker_seen: bool,
    /// Whether a report has arrived in this epoch.
    pub has_reported: bool,
    /// Upper bound for the end of all leases that any planner has granted to the host.
    pub leases_end: MonoTime,
    /// The same for incarnations before the one that was reported last, until it has passed.
    pub(super) earlier_leases_end: Option<MonoTime>,
    /// Whether the wait for these leases has been logged since the latest report with a worker.
    pub(super) lease_awaited: bool,
    /// Incarnation before the last one that was reported.
    pub(super) earlier_incarnation: Option<WorkerIncarnation>,
    /// Latest incarnation that was reported as draining, whose end is no crash.
    pub(super) drained: Option<WorkerIncarnation>,
    /// Latest incarnation whose end this planner has put down to a crash.
    pub(super) crashed: Option<WorkerIncarnation>,
    /// Number of crashes on the host that this planner has seen.
    pub(super) crashes: u32,
    /// Whether the lists in the latest report were read from the worker in this epoch.
    pub listed: bool,
    /// Stamp of the latest report.
    pub stamp: AgentStamp,
    /// Earliest time at which the host gets another task.
    pub not_before: MonoTime,
    /// Failed or stalled attempts since the last success.
    pub consecutive_failures: u32,
    /// Attempts that may be running on the host.
    pub runs: HostRuns,
    /// Mean logarithm of latency over target by serving image, as last reported.
    pub log_latencies: BTreeMap<ImageId, f64>,
    /// Logarithm of latency over target to expect by serving image, if the best-effort tasks placed
    /// on the host used all the CPU that they request.
    pub(super) expected_latencies: BTreeMap<ImageId, f64>,
    /// Digest of the interference coefficients that the agent has.
    pub(super) sent_coefficients: u64,
    /// CPU that best-effort tasks use, as a share of what they request; 1.0 without such tasks.
    pub best_effort_rate: f64,
    /// Latest interference sample, and when it was taken.
    pub(super) last_sample: (MonoTime, InterferenceSample),
    /// Whether the host is limited to one task at a time because of failures.
    pub probation: bool,
    /// Whether leases may be granted to the host.
    pub(super) grant_state: GrantState,
    /// Stamps of reports on the current link since the host last reported no worker.
    pub(super) stamps: ReportStamps,
    /// Whether the first report on the current link waits for an append before it is answered.
    pub(super) grant_deferred: bool,
    /// When the latest report on the current link was answered, unless as by a planner that cannot
    /// reach the store.
    pub(super) granted_at: Option<MonoTime>,
    /// Whether a report on the current link has been answered. The answer tells the agent the age of
    /// the orders that follow; it drops orders without.
    pub(super) answered: bool,
    /// Orders sent on the current link.
    orders_sent: u64,
}

impl HostView {
    pub(super) fn new(host: HostName, last_contact: MonoTime, leases_end: MonoTime) -> Self {
        Self {
            host,
            link: None,
            worker: None,
            last_incarnation: None,
            dead: None,
            last_contact,
            worker_seen_at: last_contact,
            worker_seen: false,
            has_reported: false,
            leases_end,
            earlier_leases_end: None,
            lease_awaited: false,
            earlier_incarnation: None,
            drained: None,
            crashed: None,
            crashes: 0,
            listed: false,
            stamp: AgentStamp(0),
            not_before: MonoTime(0),
            consecutive_failures: 0,
            runs: HostRuns::default(),
            log_latencies: BTreeMap::new(),
            expected_latencies: BTreeMap::new(),
            sent_coefficients: 0,
            best_effort_rate: 1.0,
            last_sample: (MonoTime(0), InterferenceSample::default()),
            probation: false,
            grant_state: GrantState::Open,
            stamps: ReportStamps::default(),
            grant_deferred: false,
            granted_at: None,
            answered: false,
            orders_sent: 0,
        }
    }

    /// Incarnation of the worker, while one is known to be alive.
    #[must_use]
    pub fn incarnation(&self) -> Option<&WorkerIncarnation> {
        self.worker.as_ref().map(|worker| &worker.incarnation)
    }

    /// Sets the worker as reported, and returns whether it is another incarnation than the one that
    /// was reported last; one that was only not reported for a while is not.
    pub(super) fn set_worker(&mut self, worker: Option<&WorkerFacts>) -> bool {
        self.worker = worker.cloned();
        if let Some(draining) = worker.filter(|worker| worker.draining) {
            self.drained = Some(draining.incarnation.clone());
        }
        let incarnation = worker.map(|worker| &worker.incarnation);
        let is_other = incarnation.is_some() && incarnation != self.last_incarnation.as_ref();
        if is_other {
            self.earlier_incarnation = self.last_incarnation.take();
            self.last_incarnation = incarnation.cloned();
            // The agent renews leases of one incarnation only.
            self.earlier_leases_end = self.earlier_leases_end.max(Some(self.leases_end));
        }
        is_other
    }

    /// Returns whether the worker has the capacity for all attempts on the host.
    pub(super) fn fits_runs(&self) -> bool {
        let worker = self.worker.as_ref();
        worker.is_some_and(|worker| self.runs.load().fits_within(worker))
    }

    /// Returns whether the worker is draining, that is, about to shut down.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.worker.as_ref().is_some_and(|worker| worker.draining)
    }

    /// Returns the serving tasks on the host, grouped by image.
    pub(super) fn serving(&self) -> BTreeMap<ImageId, ServingGroup> {
        let mut images = BTreeMap::new();
        for demand in self.runs.values().filter(|demand| demand.target_ms > 0) {
            let group = images.entry(demand.image).or_insert(ServingGroup {
                tasks: 0,
                log_latency: self.log_latency(demand.image),
            });
            group.tasks += 1;
        }
        images
    }

    /// Adds a best-effort task that is about to start to the expected latencies.
    pub(super) fn expect_interference(&mut self, model: &InterferenceModel, demand: &TaskDemand) {
        let capacity = self.worker.as_ref().map_or(1, |worker| worker.cpu.max(1));
        let share = f64::from(demand.cpu) / f64::from(capacity);
        if demand.best_effort {
            for (&image, log_latency) in &mut self.expected_latencies {
                *log_latency += model.coefficient(image, demand.image) * share;
            }
        }
    }

    /// Returns the logarithm of latency over target of an image, as measured or as expected,
    /// whichever is higher.
    fn log_latency(&self, image: ImageId) -> f64 {
        let measured = self.log_latencies.get(&image).copied();
        let expected = self.expected_latencies.get(&image).copied();
        let known = measured.into_iter().chain(expected);
        known
            .max_by(f64::total_cmp)
            .unwrap_or(UNMEASURED_LOG_LATENCY)
    }

    /// Returns the serving image with the highest latency relative to its target.
    pub(super) fn slowest_serving(&self) -> Option<(ImageId, f64)> {
        let log_latencies = self
            .log_latencies
            .iter()
            .map(|(&image, &log_latency)| (image, log_latency));
        log_latencies.max_by(|left, right| left.1.total_cmp(&right.1))
    }

    /// Returns whether orders can be sent to the host.
    #[must_use]
    pub fn is_reachable(&self, now: MonoTime) -> bool {
        self.link.is_some() && self.has_reported && !self.is_silent(now)
    }

    /// Returns whether a report is overdue.
    pub(super) fn is_silent(&self, now: MonoTime) -> bool {
        let connected = self.has_reported || self.link.is_some();
        let timeout = match connected {
            true => REPORT_TIMEOUT,
            false => CONNECT_TIMEOUT,
        };
        now.since(self.last_contact) > timeout
    }

    /// Returns whether a report that names a worker is overdue, so that leases on the host are not
    /// renewed: the host is silent, or its agent has restarted and not found the worker again.
    pub(super) fn is_worker_silent(&self, now: MonoTime) -> bool {
        now.since(self.worker_seen_at) > REPORT_TIMEOUT
    }

    /// Returns the number of the next order on the link, and counts it as sent.
    pub(super) fn next_order_number(&mut self) -> u64 {
        self.orders_sent += 1;
        self.orders_sent
    }

    /// Sets a new link, on which orders are numbered from 1, and returns the link it replaces.
    pub(super) fn replace_link(&mut self, link: LinkId) -> Option<LinkId> {
        self.orders_sent = 0;
        self.sent_coefficients = 0;
        self.granted_at = None;
        self.answered = false;
        self.stamps = ReportStamps::default();
        self.grant_deferred = false;
        self.link.replace(link).filter(|old| *old != link)
    }
}
