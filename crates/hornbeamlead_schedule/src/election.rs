//! Election of the cell's planner by epoch claims, and the successor's promises not to claim.

use crate::cell_log::CellState;
use crate::event_context::EventContext;
use crate::record_appender::RecordAppender;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::effect::AppendRecord;
use hornbeamlead_core::ids::{Epoch, RecordId};
use hornbeamlead_core::message::control::{PromiseGrant, PromiseRequest};
use hornbeamlead_core::policy::{AgentPolicy, ProcessIdentity};
use hornbeamlead_core::record::{CellEntry, CellRecord, EpochClaim, StreamName, SuccessorName};
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::Duration;

/// Maximum random delay before a claim for which several agents may compete.
const CLAIM_JITTER: Duration = Duration::from_millis(800);

/// Time without a promise request after which the next one starts a new sequence of requests.
const PROMISE_REQUEST_GAP: Duration = Duration::from_secs(2);

/// Basis on which an agent may replace the claim in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClaimRight {
    /// No agent has claimed an epoch yet.
    First,
    /// The agent's host held the claim before this process started.
    Restarted,
    /// The agent is the named successor.
    Successor,
    /// No successor is named.
    Open,
    /// Another agent is the named successor; planner and successor are both silent.
    Forced,
}

/// Participation of one agent in the election.
#[derive(Debug)]
pub(crate) struct EpochElection {
    identity: ProcessIdentity,
    policy: AgentPolicy,
    appender: RecordAppender,
    claim: Option<EpochClaim>,
    claims: u64,
    followed_since: Option<MonoTime>,
    promised_until: MonoTime,
    last_contact: MonoTime,
    /// Start of the newest read of the cell's tail.
    tail_read_at: MonoTime,
    /// Time of the planner's last promise request, and start of its current sequence of requests.
    promise_requested_at: Option<MonoTime>,
    promise_requested_since: MonoTime,
    jitter: Duration,
    random: SmallRng,
}

impl EpochElection {
    /// Creates the participation of a process that has just started.
    pub(crate) fn new(identity: ProcessIdentity, policy: AgentPolicy) -> Self {
        let appender = RecordAppender::new(StreamName::Cell(policy.cell));
        let mut random = SmallRng::seed_from_u64(identity.seed ^ identity.incarnation.0);
        let jitter = draw_jitter(&mut random);
        Self {
            identity,
            policy,
            appender,
            claim: None,
            claims: 0,
            followed_since: None,
            promised_until: MonoTime(0),
            last_contact: MonoTime(0),
            tail_read_at: MonoTime(0),
            promise_requested_at: None,
            promise_requested_since: MonoTime(0),
            jitter,
            random,
        }
    }

    /// Records that the planner answered, or that this agent is the planner.
    pub(crate) fn record_contact(&mut self, now: MonoTime) {
        self.last_contact = now;
    }

    pub(crate) fn time_since_contact(&self, now: MonoTime) -> Duration {
        now.since(self.last_contact)
    }

    /// Returns whether a claim of this agent may still take effect.
    pub(crate) fn is_claiming(&self) -> bool {
        !self.appender.is_idle()
    }

    /// Records when this process began to follow its cell; later calls have no effect.
    pub(crate) fn start(&mut self, now: MonoTime) {
        if self.followed_since.is_none() {
            self.followed_since = Some(now);
            self.last_contact = now;
        }
    }

    /// Answers the planner's promise request; `None` if this agent must not promise.
    ///
    /// A process that has just started does not know its earlier promises and claims, so it first
    /// waits for the longest time that a promise can last.
    pub(crate) fn promise(
        &mut self,
        request: &PromiseRequest,
        now: MonoTime,
    ) -> Option<PromiseGrant> {
        let span = self.policy.schedule.tail_validity;
        let own =
            request.cell == self.policy.cell && request.incarnation == self.identity.incarnation;
        if !own || !self.is_startup_wait_over(now) || self.is_claiming() {
            return None;
        }
        self.record_promise_request(now);
        if self.should_take_over(now) {
            return None;
        }
        let until = now.plus(span).plus(self.policy.schedule.margin);
        self.promised_until = self.promised_until.max(until);
        Some(PromiseGrant {
            cell: request.cell,
            successor: self.identity.host.clone(),
            incarnation: self.identity.incarnation,
            epoch: request.epoch,
            clock: request.clock,
            span,
        })
    }

    fn record_promise_request(&mut self, now: MonoTime) {
        let continued = self
            .promise_requested_at
            .is_some_and(|at| now < at.plus(PROMISE_REQUEST_GAP));
        if !continued {
            self.promise_requested_since = now;
        }
        self.promise_requested_at = Some(now);
    }

    /// Returns whether the planner recently requested a promise, because its reads of the log fail.
    pub(crate) fn has_promise_request(&self, now: MonoTime) -> bool {
        self.promise_requested_at
            .is_some_and(|at| now < at.plus(PROMISE_REQUEST_GAP))
    }

    /// Returns whether the planner has long been cut off from the log while this agent can read it.
    fn should_take_over(&self, now: MonoTime) -> bool {
        let schedule = &self.policy.schedule;
        let requested_long = now > self.promise_requested_since.plus(schedule.lease);
        requested_long && now < self.tail_read_at.plus(schedule.tail_validity)
    }

    fn is_startup_wait_over(&self, now: MonoTime) -> bool {
        let schedule = &self.policy.schedule;
        let startup_wait = schedule.tail_validity + schedule.margin;
        self.followed_since
            .is_some_and(|at| now > at.plus(startup_wait))
    }

    /// Drops a claim that can no longer take effect, and retries one that did not reach the log.
    pub(crate) fn refresh(
        &mut self,
        cell: &CellState,
        tail_read_at: MonoTime,
        context: &mut EventContext<'_>,
    ) {
        self.tail_read_at = tail_read_at;
        self.drop_stale_claim(cell);
        self.appender.retry_failed(tail_read_at, context);
    }

    /// Claims the next epoch if this agent is entitled to and the planner is silent.
    ///
    /// `tail_read_at` is the start of a read of the cell's stream that reached its tail.
    pub(crate) fn claim_if_due(
        &mut self,
        cell: &CellState,
        tail_read_at: MonoTime,
        context: &mut EventContext<'_>,
    ) {
        let right = self.right(cell);
        let claim_delay = self.claim_delay(right);
        let fresh = tail_read_at >= self.last_contact;
        let silent = self.time_since_contact(context.mono()) >= claim_delay;
        if self.is_claiming()
            || !fresh
            || !silent
            || !self.promises_allow_claim(right, context.mono())
        {
            return;
        }
        let claim = self.next_claim(cell, right == ClaimRight::Forced, None);
        self.append(claim, right, context);
    }

    /// Claims a new epoch as the current planner, to name another successor.
    pub(crate) fn name_successor(
        &mut self,
        cell: &CellState,
        successor: Option<SuccessorName>,
        context: &mut EventContext<'_>,
    ) {
        if self.is_claiming() {
            return;
        }
        let claim = self.next_claim(cell, false, successor);
        self.append(claim, ClaimRight::Restarted, context);
    }

    fn append(&mut self, claim: EpochClaim, right: ClaimRight, context: &mut EventContext<'_>) {
        self.claims += 1;
        self.jitter = draw_jitter(&mut self.random);
        let id = self.claim_id();
        let inputs = format!(
            "right={right:?} previous={} silent_ms={}",
            claim.previous,
            self.time_since_contact(context.mono()).as_millis()
        );
        context.log_decision("epoch_claim", format!("cell:{}", self.policy.cell), inputs);
        let entry = CellEntry::Claim(claim.clone());
        self.claim = Some(claim);
        let record = CellRecord {
            id: id.clone(),
            entry,
        };
        self.appender
            .append(id, AppendRecord::Cell(record), context);
    }

    fn next_claim(
        &self,
        cell: &CellState,
        forced: bool,
        successor: Option<SuccessorName>,
    ) -> EpochClaim {
        EpochClaim {
            host: self.identity.host.clone(),
            incarnation: self.identity.incarnation,
            control_address: self.identity.control_address,
            previous: cell.epoch(),
            successor,
            forced,
        }
    }

    fn claim_id(&self) -> RecordId {
        let text = format!("claim.{}.{}", self.identity.incarnation, self.claims);
        let prefix: String = self.identity.host.as_str().chars().take(24).collect();
        #[expect(
            clippy::unwrap_used,
            reason = "a shortened name, digits and dots are valid"
        )]
        RecordId::new(&format!("{text}.{prefix}")).unwrap()
    }

    /// Drops a claim that can no longer take effect because another came first.
    fn drop_stale_claim(&mut self, cell: &CellState) {
        let stale = self
            .claim
            .as_ref()
            .is_some_and(|claim| claim.previous != cell.epoch());
        if stale {
            self.claim = None;
            self.appender.abandon();
        }
    }

    fn right(&self, cell: &CellState) -> ClaimRight {
        let Some(claim) = cell.claim() else {
            return ClaimRight::First;
        };
        match &claim.successor {
            _ if claim.host == self.identity.host => ClaimRight::Restarted,
            Some(successor) if successor.host == self.identity.host => ClaimRight::Successor,
            Some(_) => ClaimRight::Forced,
            None => ClaimRight::Open,
        }
    }

    fn claim_delay(&self, right: ClaimRight) -> Duration {
        let schedule = &self.policy.schedule;
        match right {
            ClaimRight::First => self.jitter,
            ClaimRight::Restarted => Duration::ZERO,
            ClaimRight::Successor => schedule.lease / 2,
            ClaimRight::Open => schedule.lease + self.jitter,
            ClaimRight::Forced => schedule.lease * 2 + schedule.tail_validity + self.jitter * 4,
        }
    }

    fn promises_allow_claim(&self, right: ClaimRight, now: MonoTime) -> bool {
        match right {
            ClaimRight::First | ClaimRight::Restarted | ClaimRight::Open => true,
            ClaimRight::Successor | ClaimRight::Forced => {
                now > self.promised_until && self.is_startup_wait_over(now)
            }
        }
    }

    /// Records that an append failed.
    pub(crate) fn fail(&mut self, id: &RecordId, now: MonoTime) {
        self.appender.fail(id, now);
    }

    /// Records that an id was read back.
    pub(crate) fn acknowledge(&mut self, id: &RecordId) {
        if self.appender.acknowledge(id) {
            self.claim = None;
        }
    }

    /// Returns whether the epoch in force was claimed by this process.
    pub(crate) fn holds_epoch(&self, cell: &CellState) -> bool {
        let own = |claim: &EpochClaim| {
            claim.host == self.identity.host && claim.incarnation == self.identity.incarnation
        };
        cell.epoch() > Epoch(0) && cell.claim().is_some_and(own)
    }
}

fn draw_jitter(random: &mut SmallRng) -> Duration {
    let max_jitter_ms = u64::try_from(CLAIM_JITTER.as_millis()).unwrap_or(u64::MAX);
    Duration::from_millis(random.random_range(0..=max_jitter_ms))
}
