//! Entry: stores callers' jobs and reports their state from the plan stream.
//!
//! A job is accepted once its record is appended to the jobs stream, from which the planner reads
//! it. Jobs are therefore accepted even while there is no planner. With agents, an entry only
//! exchanges notices of jobs that may be stored; it works without them.

mod absence;
pub mod admission;
mod append;
mod event;
mod large_jobs;
mod load_view;
mod notices;
mod queue_length;
mod rendezvous;
mod replies;
pub mod return_time;
mod store_watch;
mod uncertain;

use crate::config::CallerLimits;
use crate::effect::{CallerReply, Effect};
use crate::follow::{FollowOutcome, NewestReader, StreamFollower};
use crate::ids::{JobId, StreamOffset};
use crate::index::PhaseIndex;
use crate::job::JobPhase;
use crate::notice::LateJob;
use crate::operators::{OperatorFormat, OperatorReader};
use crate::record::{PlanRecord, decode_heartbeat};
use crate::snapshot::{SnapshotOutcome, SnapshotReader};
use crate::snapshot_retry::{SnapshotRetry, snapshot_reader};
use crate::store::{ReadRecord, StoreCaller, StoreOutcome, StreamName};
use absence::AbsenceChecks;
use append::PendingAppend;
pub use event::{CallerOperation, CallerRequest, EntryEvent};
use hornbeamlead_core::clock::{ClockReading, MonoTime};
use large_jobs::LargeJobs;
pub use large_jobs::MAX_LARGE_BYTES;
use load_view::LoadView;
use queue_length::PlacedView;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rendezvous::RendezvousLinks;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;
use store_watch::StoreWatch;
use uncertain::UncertainJobs;

/// Wait of a long poll of the plan; limits the delay of new records when the connection fails
/// silently.
const LONG_POLL_WAIT: Duration = Duration::from_millis(700);

/// Pause between two reads of the plan, so that one read returns several records. Well below the
/// interval at which callers poll.
const PLAN_READ_PAUSE: Duration = Duration::from_millis(100);

/// Age of the planner's last heartbeat beyond which the plan does not show what is stored.
const MAX_PLAN_AGE: Duration = Duration::from_millis(1500);

/// Prefix of the key of a cancellation; the job id follows.
pub const CANCEL_PREFIX: &str = "cancel/";

/// Prefix of the key of a job; the job id follows.
pub const JOB_PREFIX: &str = "job/";

/// Size of the part of a snapshot that is decoded at a time, in bytes.
const DECODED_BYTES: usize = 128 * 1024;

/// Stage of reading the plan: the newest snapshot first, then the records that follow it.
#[derive(Clone, Debug)]
enum ReadStage {
    Newest(NewestReader),
    Decoding(SnapshotReader),
    Follow,
}

/// Settings of an entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EntryPolicy {
    /// Whether jobs are rejected that cannot be of any worth to their callers, given the load.
    pub admission: bool,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// State machine of an entry.
#[derive(Debug)]
pub struct EntryMachine<F> {
    policy: EntryPolicy,
    random: SmallRng,
    operators: OperatorReader<F>,
    index: PhaseIndex,
    plan_stage: ReadStage,
    snapshot_retry: SnapshotRetry,
    plan_follower: StreamFollower,
    plan_caught_up: bool,
    /// Whether the last answered read returned all records of the plan.
    plan_current: bool,
    /// Time after which the planner's last heartbeat was stored. Heartbeats of which that is not
    /// known may be of any age.
    heartbeat_after: Option<MonoTime>,
    /// Offset up to which the planner has read the jobs, as of the records that were read.
    jobs_read: StreamOffset,
    /// Jobs accepted by this entry that the plan does not contain yet, with their queue.
    accepted: HashMap<JobId, Box<str>>,
    pending: BTreeMap<u64, PendingAppend>,
    absences: AbsenceChecks,
    store_watch: StoreWatch,
    uncertain: UncertainJobs,
    rendezvous: RendezvousLinks,
    /// Jobs of this entry of which others were not told yet.
    fresh_late: Vec<LateJob>,
    large: LargeJobs,
    load: LoadView,
    placed: PlacedView,
    effects: Vec<Effect>,
}

impl<F: OperatorFormat> EntryMachine<F> {
    /// Creates an entry with default settings that has not read any stream yet.
    pub fn new(format: F) -> Self {
        Self::with_policy(EntryPolicy::default(), format)
    }

    /// Creates an entry that has not read any stream yet.
    pub fn with_policy(policy: EntryPolicy, format: F) -> Self {
        let plan = StreamFollower::new(
            StreamName::Plan,
            StoreCaller::Plan,
            LONG_POLL_WAIT,
            PLAN_READ_PAUSE,
        );
        Self {
            policy,
            random: SmallRng::seed_from_u64(policy.seed),
            operators: OperatorReader::new(format, StoreCaller::Operators),
            index: PhaseIndex::default(),
            plan_stage: ReadStage::Newest(snapshot_reader(StoreCaller::Plan)),
            snapshot_retry: SnapshotRetry::new(StoreCaller::Plan),
            plan_follower: plan,
            plan_caught_up: false,
            plan_current: false,
            heartbeat_after: None,
            jobs_read: 0,
            accepted: HashMap::new(),
            pending: BTreeMap::new(),
            absences: AbsenceChecks::default(),
            store_watch: StoreWatch::default(),
            uncertain: UncertainJobs::default(),
            rendezvous: RendezvousLinks::default(),
            fresh_late: Vec::new(),
            large: LargeJobs::default(),
            load: LoadView::default(),
            placed: PlacedView::default(),
            effects: Vec::new(),
        }
    }

    /// Returns whether the entry has a configuration and the current plan, so that it can serve
    /// callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.operators.config().is_some() && self.plan_caught_up
    }

    /// Returns the version of the configuration in force; 0 before one is known.
    #[must_use]
    pub fn config_version(&self) -> u64 {
        self.operators.version()
    }

    /// Returns the limits on callers in force, once a configuration is known.
    #[must_use]
    pub fn caller_limits(&self) -> Option<CallerLimits> {
        self.operators.config().map(|config| config.limits)
    }

    /// Returns the number of requests that are waiting for the store.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.pending.len() + self.absences.len()
    }

    /// Returns the number of open links to agents, through which other entries are told of jobs that
    /// may be stored.
    #[must_use]
    pub fn notice_links(&self) -> usize {
        self.rendezvous.open_count()
    }

    /// Returns the longest wait in the newest load report, in milliseconds, and its age.
    #[must_use]
    pub fn reported_wait(&self, now: MonoTime) -> Option<(u32, Duration)> {
        let (report, age) = self.load.newest(now)?;
        Some((report.longest_wait_ms(), age))
    }

    /// Handles an event and returns the effects to perform.
    pub fn handle(&mut self, now: ClockReading, event: EntryEvent) -> Vec<Effect> {
        // Once a round, so that one message holds the notices of several events.
        let is_tick = event == EntryEvent::Tick;
        match event {
            EntryEvent::Request(request) => self.handle_request(now, request),
            EntryEvent::Stored { caller, outcome } => {
                self.handle_outcome(now.mono, caller, outcome)
            }
            EntryEvent::LinkOpened(link) => {
                self.rendezvous.opened(now.mono, link, &mut self.effects);
            }
            EntryEvent::LinkClosed(link) => {
                self.rendezvous.closed(now.mono, link, &mut self.effects);
            }
            EntryEvent::Notices { link, message } => self.take_notices(now.mono, link, &message),
            EntryEvent::Tick => {}
        }
        self.repeat_appends(now.mono);
        self.settle_absences(now.mono);
        if is_tick {
            self.exchange_notices(now.mono);
        }
        self.poll_readers(now.mono);
        std::mem::take(&mut self.effects)
    }

    fn poll_readers(&mut self, now: MonoTime) {
        if let ReadStage::Decoding(reader) = &mut self.plan_stage
            && let Some(outcome) = reader.advance(DECODED_BYTES)
        {
            self.load_snapshot(now, outcome);
        }
        let operators = self.operators.poll(now);
        let plan = match &mut self.plan_stage {
            ReadStage::Newest(reader) => reader.poll(now),
            ReadStage::Decoding(_) => None,
            ReadStage::Follow => self.plan_follower.poll(now),
        };
        self.effects
            .extend(operators.into_iter().chain(plan).map(Effect::Store));
    }

    fn handle_request(&mut self, now: ClockReading, request: CallerRequest) {
        let Some(config) = self.operators.config() else {
            return self.refuse(request.ticket, "no_configuration");
        };
        let Some((route, rest)) = config.route(&request.host, &request.path) else {
            return self.reply(request.ticket, CallerReply::NoQueue);
        };
        let terms = route.terms.clone();
        let job = rest.parse::<JobId>();
        match (request.operation, job) {
            (CallerOperation::Read, _) if rest.is_empty() => {
                self.read_queue(now.mono, request.ticket, &terms.queue);
            }
            (_, Err(_)) => self.reply(request.ticket, CallerReply::NoQueue),
            (CallerOperation::Read, Ok(job)) => {
                self.read_job(now.mono, request.ticket, job, request.deadline);
            }
            (CallerOperation::Submit(Err(cause)), Ok(_)) => {
                self.reply(request.ticket, CallerReply::Invalid(cause));
            }
            (CallerOperation::Submit(Ok(body)), Ok(job)) => {
                self.submit(now, request.ticket, job, terms, body, request.deadline);
            }
            (CallerOperation::Cancel, Ok(job)) => {
                self.cancel(now.mono, request.ticket, job, terms.queue, request.deadline);
            }
        }
    }

    fn phase(&self, job: JobId) -> Option<JobPhase> {
        let accepted = self.accepted.contains_key(&job).then_some(JobPhase::Queued);
        self.index.phase(job).or(accepted)
    }

    fn is_plan_fresh(&self, now: MonoTime) -> bool {
        let stored_after = self.heartbeat_after;
        self.plan_caught_up && stored_after.is_some_and(|at| now.since(at) <= MAX_PLAN_AGE)
    }

    fn handle_outcome(&mut self, now: MonoTime, caller: StoreCaller, outcome: StoreOutcome) {
        self.effects.extend(self.store_watch.take(now, &outcome));
        match caller {
            StoreCaller::Operators => self.effects.extend(self.operators.take(now, outcome)),
            StoreCaller::Plan => self.handle_plan_outcome(now, outcome),
            StoreCaller::Ticket(ticket) => self.handle_append_outcome(now, ticket, outcome),
            StoreCaller::JobsEnd => self.take_jobs_end(now, outcome),
            _ => {}
        }
    }

    fn handle_plan_outcome(&mut self, now: MonoTime, outcome: StoreOutcome) {
        match &mut self.plan_stage {
            ReadStage::Newest(reader) => {
                if let Some(newest) = reader.take(now, outcome) {
                    self.plan_stage = match newest.records.is_empty() {
                        true => ReadStage::Follow,
                        false => ReadStage::Decoding(SnapshotReader::new(&newest.records)),
                    };
                }
            }
            ReadStage::Decoding(_) => {}
            ReadStage::Follow => self.follow_plan(now, outcome),
        }
    }

    fn follow_plan(&mut self, now: MonoTime, outcome: StoreOutcome) {
        // Records that this read returns were stored after the last one was sent, if that returned
        // all that were stored then.
        let stored_after = self.plan_follower.last_read_at();
        let stored_after = stored_after.filter(|_| self.plan_current);
        match self.plan_follower.take(now, outcome) {
            FollowOutcome::Records { records, caught_up } => {
                self.snapshot_retry.reset();
                self.apply_plan(now, stored_after, &records);
                self.plan_caught_up |= caught_up;
                self.plan_current = caught_up;
                if caught_up && self.is_plan_fresh(now) {
                    self.uncertain.prune(now);
                }
            }
            FollowOutcome::Expired { first } => {
                let from = self.plan_follower.next();
                let (reader, line) = self.snapshot_retry.after_expiry(now, from, first);
                self.plan_current = false;
                self.plan_stage = ReadStage::Newest(reader);
                self.effects.extend(line);
            }
            FollowOutcome::Failed => {}
        }
    }

    fn load_snapshot(&mut self, now: MonoTime, outcome: SnapshotOutcome) {
        match outcome {
            Ok(Some((ledger, offset))) => {
                self.index = PhaseIndex::from(&ledger);
                self.jobs_read = ledger.jobs_read;
                // The records that told of them may have expired.
                let index = &self.index;
                self.accepted.retain(|job, _| index.phase(*job).is_none());
                for address in ledger.hosts.values() {
                    self.add_agent(*address);
                }
                self.plan_follower.seek(offset);
                self.plan_stage = ReadStage::Follow;
                let detail = format!("offset={offset} jobs={}", self.index.len());
                self.effects
                    .push(Effect::log("snapshot_read", "plan", detail));
            }
            Ok(None) => {
                self.plan_stage = ReadStage::Newest(self.snapshot_retry.after_pause(now));
            }
            Err(error) => {
                let detail = format!("cause={:?}", error.to_string());
                self.effects
                    .push(Effect::log("snapshot_unreadable", "plan", detail));
                self.plan_stage = ReadStage::Newest(self.snapshot_retry.after_pause(now));
            }
        }
    }

    fn add_agent(&mut self, address: SocketAddr) {
        self.effects.push(Effect::AddRelay(address));
        self.rendezvous.add(address);
    }

    fn apply_plan(
        &mut self,
        now: MonoTime,
        stored_after: Option<MonoTime>,
        records: &[ReadRecord],
    ) {
        for read in records {
            let bytes = read.value.as_deref().unwrap_or_default();
            match decode_heartbeat(bytes) {
                Ok((record, reports)) => {
                    match record {
                        PlanRecord::Tick { jobs_read } => {
                            self.heartbeat_after = stored_after.or(self.heartbeat_after);
                            self.jobs_read = self.jobs_read.max(jobs_read);
                            if self.placed.take(now, reports.placed) {
                                self.index.forget_placed();
                            }
                        }
                        PlanRecord::Claim(_) | PlanRecord::Takeover(_) => {
                            self.placed.expect_planner();
                        }
                        _ => {}
                    }
                    if let (Some(stored_after), Some(report)) = (stored_after, reports.load) {
                        let is_planned = |job| self.index.phase(job).is_some();
                        self.load.take(stored_after, report, is_planned);
                    }
                    if let PlanRecord::Host { address, .. } = &record {
                        self.add_agent(*address);
                    }
                    self.index.apply(&record);
                    if let PlanRecord::Accepted { job, .. } = &record {
                        self.load.count_planned(*job);
                        self.accepted.remove(job);
                    }
                }
                Err(error) => {
                    let detail = format!("offset={} cause={:?}", read.offset, error.to_string());
                    self.effects
                        .push(Effect::log("record_unreadable", "plan", detail));
                }
            }
        }
    }
}
