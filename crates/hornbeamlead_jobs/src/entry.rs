//! Entry: makes callers' jobs durable and tells their state from the plan stream.
//!
//! An entry talks to the store alone. A job counts as accepted once its record is appended; the
//! planner finds it there. So no planner has to be up for a job to be accepted.

mod append;

use crate::effect::{CallerReply, Effect};
use crate::follow::{FollowOutcome, NewestReader, StreamFollower};
use crate::ids::JobId;
use crate::index::PhaseIndex;
use crate::job::{JobBody, JobPhase};
use crate::operators::{OperatorFormat, OperatorReader};
use crate::record::{PlanRecord, decode};
use crate::snapshot::read_snapshot;
use crate::store::{ReadRecord, StoreCaller, StoreOutcome, StreamName};
use append::PendingAppend;
use hornbeamlead_core::clock::{ClockReading, MonoTime};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Wait of a long read of the plan; bounds how long a silent connection hides what was planned.
const FOLLOW_WAIT: Duration = Duration::from_millis(700);

/// Rest between two reads of the plan: joins records into one read, well below callers' polls.
const PLAN_REST: Duration = Duration::from_millis(60);

/// Age of the planner's last sign beyond which "no such job" cannot be told; callers may expect
/// an accepted job to be known after 3 s.
const MAX_PLAN_AGE: Duration = Duration::from_millis(1500);

/// Age of the planner's last sign beyond which a queue's length is not told; it may be 2 s old.
const MAX_COUNT_AGE: Duration = Duration::from_secs(4);

/// Seconds after which a refused caller may come back: other entries may reach the store at once.
const RETRY_AFTER_S: u32 = 1;

/// Time for which the store counts as away after a call without an answer.
const AWAY_SPAN: Duration = Duration::from_millis(400);

/// First part of the key of a cancellation; the job's id follows.
pub const CANCEL_PREFIX: &str = "cancel/";

/// First part of the key of a job; its id follows.
pub const JOB_PREFIX: &str = "job/";

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerOperation {
    /// Hand in a job.
    Submit(Result<JobBody, &'static str>),
    /// Read the state of a job, or of the queue where no job is named.
    Read,
    /// Cancel a job.
    Cancel,
}

/// Request of a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerRequest {
    /// Names the request in this process.
    pub ticket: u64,
    /// Host that the caller named.
    pub host: Box<str>,
    /// Path.
    pub path: Box<str>,
    /// What it asks for.
    pub operation: CallerOperation,
    /// When the caller stops waiting.
    pub deadline: MonoTime,
}

/// Event of an entry.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryEvent {
    /// A caller asks.
    Request(CallerRequest),
    /// The store answered a call.
    Stored {
        /// Who asked.
        caller: StoreCaller,
        /// Outcome.
        outcome: StoreOutcome,
    },
    /// Time has passed.
    Tick,
}

/// Reader of a stream whose state begins with the newest record of each key.
#[derive(Clone, Debug)]
enum ReadStage {
    Newest(NewestReader),
    Follow,
}

/// Entry's state machine.
#[derive(Debug)]
pub struct EntryMachine<F> {
    operators: OperatorReader<F>,
    index: PhaseIndex,
    plan_stage: ReadStage,
    plan_follower: StreamFollower,
    plan_caught_up: bool,
    /// When the planner's last sign was read.
    planner_seen: Option<MonoTime>,
    /// Jobs accepted here that the plan does not show yet, with their queue.
    accepted: HashMap<JobId, Box<str>>,
    pending: BTreeMap<u64, PendingAppend>,
    away_until: Option<MonoTime>,
    effects: Vec<Effect>,
}

impl<F: OperatorFormat> EntryMachine<F> {
    /// Makes an entry that knows nothing yet.
    pub fn new(format: F) -> Self {
        let plan = StreamFollower::new(StreamName::Plan, StoreCaller::Plan, FOLLOW_WAIT, PLAN_REST);
        Self {
            operators: OperatorReader::new(format),
            index: PhaseIndex::default(),
            plan_stage: newest(StreamName::Snapshots, StoreCaller::Plan),
            plan_follower: plan,
            plan_caught_up: false,
            planner_seen: None,
            accepted: HashMap::new(),
            pending: BTreeMap::new(),
            away_until: None,
            effects: Vec::new(),
        }
    }

    /// Returns whether callers can be served.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.operators.config().is_some() && self.plan_caught_up
    }

    /// Returns the version of the configuration in force.
    #[must_use]
    pub fn config_version(&self) -> u64 {
        self.operators.version()
    }

    /// Returns the number of requests that wait for the store.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.pending.len()
    }

    /// Takes in an event and returns what is to be done.
    pub fn handle(&mut self, now: ClockReading, event: EntryEvent) -> Vec<Effect> {
        match event {
            EntryEvent::Request(request) => self.take_request(now, request),
            EntryEvent::Stored { caller, outcome } => self.take_outcome(now.mono, caller, outcome),
            EntryEvent::Tick => {}
        }
        self.repeat_appends(now.mono);
        self.poll_readers(now.mono);
        std::mem::take(&mut self.effects)
    }

    fn poll_readers(&mut self, now: MonoTime) {
        let operators = self.operators.poll(now);
        let plan = match &mut self.plan_stage {
            ReadStage::Newest(reader) => reader.poll(now),
            ReadStage::Follow => self.plan_follower.poll(now),
        };
        self.effects
            .extend(operators.into_iter().chain(plan).map(Effect::Store));
    }

    fn take_request(&mut self, now: ClockReading, request: CallerRequest) {
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
            (CallerOperation::Read, Ok(job)) => self.read_job(now.mono, request.ticket, job),
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

    fn read_queue(&mut self, now: MonoTime, ticket: u64, queue: &str) {
        let age = self.planner_seen.map(|seen| now.since(seen));
        match age {
            Some(age) if age <= MAX_COUNT_AGE => {
                let own = self
                    .accepted
                    .values()
                    .filter(|known| &***known == queue)
                    .count();
                let waiting = self.index.waiting(queue) + own;
                self.reply(ticket, CallerReply::Waiting(waiting));
            }
            _ => self.refuse(ticket, "plan_too_old"),
        }
    }

    fn read_job(&mut self, now: MonoTime, ticket: u64, job: JobId) {
        match self.phase(job) {
            Some(phase) => self.reply(ticket, CallerReply::Phase(phase)),
            None if self.is_plan_fresh(now) => self.reply(ticket, CallerReply::NoJob),
            None => self.refuse(ticket, "plan_too_old"),
        }
    }

    fn phase(&self, job: JobId) -> Option<JobPhase> {
        let accepted = self.accepted.contains_key(&job).then_some(JobPhase::Queued);
        self.index.phase(job).or(accepted)
    }

    fn is_plan_fresh(&self, now: MonoTime) -> bool {
        let seen = self.planner_seen;
        self.plan_caught_up && seen.is_some_and(|seen| now.since(seen) <= MAX_PLAN_AGE)
    }

    fn take_outcome(&mut self, now: MonoTime, caller: StoreCaller, outcome: StoreOutcome) {
        self.note_store(now, &outcome);
        match caller {
            StoreCaller::Operators => self.effects.extend(self.operators.take(now, outcome)),
            StoreCaller::Plan => self.take_plan(now, outcome),
            StoreCaller::Ticket(ticket) => self.take_append(now, ticket, outcome),
            _ => {}
        }
    }

    fn note_store(&mut self, now: MonoTime, outcome: &StoreOutcome) {
        let away = match outcome {
            StoreOutcome::Refused { cause } | StoreOutcome::Unanswered { cause } => Some(cause),
            _ => None,
        };
        match away {
            Some(cause) if self.away_until.is_none() => {
                self.effects.push(Effect::log(
                    "store_lost",
                    "store",
                    format!("cause={cause:?}"),
                ));
            }
            None if self.away_until.is_some() => {
                self.effects
                    .push(Effect::log("store_regained", "store", ""));
            }
            _ => {}
        }
        self.away_until = away.map(|_| now.plus(AWAY_SPAN));
    }

    /// Returns whether the last call to the store failed a moment ago.
    fn is_store_away(&self, now: MonoTime) -> bool {
        self.away_until.is_some_and(|until| now < until)
    }

    fn take_plan(&mut self, now: MonoTime, outcome: StoreOutcome) {
        match &mut self.plan_stage {
            ReadStage::Newest(reader) => {
                if let Some(newest) = reader.take(now, outcome) {
                    self.load_snapshot(&newest.records);
                }
            }
            ReadStage::Follow => match self.plan_follower.take(now, outcome) {
                FollowOutcome::Records { records, caught_up } => {
                    self.apply_plan(now, &records);
                    self.plan_caught_up |= caught_up;
                }
                FollowOutcome::Expired => {
                    self.plan_stage = newest(StreamName::Snapshots, StoreCaller::Plan);
                }
                FollowOutcome::Failed => {}
            },
        }
    }

    fn load_snapshot(&mut self, records: &[ReadRecord]) {
        match read_snapshot(records) {
            Ok(Some((ledger, offset))) => {
                self.index = PhaseIndex::from(&ledger);
                let relays = ledger.hosts.values().copied();
                self.effects.extend(relays.map(Effect::AddRelay));
                self.plan_follower.seek(offset);
                self.plan_stage = ReadStage::Follow;
                let detail = format!("offset={offset} jobs={}", self.index.len());
                self.effects
                    .push(Effect::log("snapshot_read", "plan", detail));
            }
            Ok(None) if records.is_empty() => self.plan_stage = ReadStage::Follow,
            Ok(None) => self.plan_stage = newest(StreamName::Snapshots, StoreCaller::Plan),
            Err(error) => {
                let detail = format!("cause={:?}", error.to_string());
                self.effects
                    .push(Effect::log("snapshot_unreadable", "plan", detail));
                self.plan_stage = newest(StreamName::Snapshots, StoreCaller::Plan);
            }
        }
    }

    fn apply_plan(&mut self, now: MonoTime, records: &[ReadRecord]) {
        for read in records {
            let bytes = read.value.as_deref().unwrap_or_default();
            match decode::<PlanRecord>(bytes) {
                Ok(record) => {
                    if let PlanRecord::Tick { .. } = record {
                        self.planner_seen = Some(now);
                    }
                    if let PlanRecord::Host { address, .. } = &record {
                        self.effects.push(Effect::AddRelay(*address));
                    }
                    self.index.apply(&record);
                    if let PlanRecord::Accepted { job, .. } = &record {
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

    fn reply(&mut self, ticket: u64, reply: CallerReply) {
        self.effects.push(Effect::Count(count_name(&reply)));
        self.effects.push(Effect::Reply { ticket, reply });
    }

    fn refuse(&mut self, ticket: u64, reason: &'static str) {
        self.effects.push(Effect::Count(reason));
        let retry_after_s = RETRY_AFTER_S;
        self.reply(
            ticket,
            CallerReply::Refused {
                reason,
                retry_after_s,
            },
        );
    }

    fn log(&mut self, event: &'static str, job: JobId, detail: String) {
        self.effects.push(Effect::log_job(event, job, detail));
    }
}

fn newest(stream: StreamName, caller: StoreCaller) -> ReadStage {
    ReadStage::Newest(NewestReader::new(stream, caller))
}

fn count_name(reply: &CallerReply) -> &'static str {
    match reply {
        CallerReply::Accepted => "reply_accepted",
        CallerReply::Phase(_) => "reply_phase",
        CallerReply::Cancelled => "reply_cancelled",
        CallerReply::Waiting(_) => "reply_waiting",
        CallerReply::NoQueue => "reply_no_queue",
        CallerReply::NoJob => "reply_no_job",
        CallerReply::Invalid(_) => "reply_invalid",
        CallerReply::Refused { .. } => "reply_refused",
        CallerReply::Unknown => "reply_unknown",
    }
}
