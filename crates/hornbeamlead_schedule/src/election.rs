//! Election of the cell's planner by epoch claims, and the successor's promises not to claim.

use crate::appender::AppendSlot;
use crate::cell_log::CellState;
use crate::turn::TurnContext;
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

/// Longest random wait before a claim that several agents may make.
const CLAIM_JITTER: Duration = Duration::from_millis(800);

/// Time without a request for a promise after which the next one begins a new run of them.
const ASKS_GAP: Duration = Duration::from_secs(2);

/// How an agent stands to the claim in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClaimRight {
    /// Nobody has claimed yet.
    First,
    /// The agent's host held the claim before this process started.
    Restarted,
    /// The agent is the named successor.
    Successor,
    /// No successor is named.
    Open,
    /// Planner and successor are both silent.
    Forced,
}

/// Agent's part in the election.
#[derive(Debug)]
pub(crate) struct EpochElection {
    place: ProcessIdentity,
    policy: AgentPolicy,
    slot: AppendSlot,
    claim: Option<EpochClaim>,
    claims: u64,
    started_at: Option<MonoTime>,
    promised_until: MonoTime,
    silent_since: MonoTime,
    /// Clock before the newest read of the cell's tail.
    tail_began: MonoTime,
    /// When the planner last asked for a promise, and since when it has without a break.
    asked_at: Option<MonoTime>,
    asked_since: MonoTime,
    jitter: Duration,
    random: SmallRng,
}

impl EpochElection {
    /// Makes the part of a process that has just started.
    pub(crate) fn new(place: ProcessIdentity, policy: AgentPolicy) -> Self {
        let slot = AppendSlot::new(StreamName::Cell(policy.cell));
        let mut random = SmallRng::seed_from_u64(place.seed ^ place.incarnation.0);
        let jitter = draw_jitter(&mut random);
        Self {
            place,
            policy,
            slot,
            claim: None,
            claims: 0,
            started_at: None,
            promised_until: MonoTime(0),
            silent_since: MonoTime(0),
            tail_began: MonoTime(0),
            asked_at: None,
            asked_since: MonoTime(0),
            jitter,
            random,
        }
    }

    /// Notes that the planner answered, or that this agent plans itself.
    pub(crate) fn hear(&mut self, now: MonoTime) {
        self.silent_since = now;
    }

    /// Returns how long the planner has been silent.
    pub(crate) fn silence(&self, now: MonoTime) -> Duration {
        now.since(self.silent_since)
    }

    /// Returns whether a claim of this agent may still take effect.
    pub(crate) fn is_claiming(&self) -> bool {
        !self.slot.is_free()
    }

    /// Notes when this process began to follow its cell.
    pub(crate) fn begin(&mut self, now: MonoTime) {
        if self.started_at.is_none() {
            self.started_at = Some(now);
            self.silent_since = now;
        }
    }

    /// Answers the planner's request for a promise; silent where it may not promise.
    ///
    /// A process that has just started has forgotten what it promised and claimed, so it waits.
    pub(crate) fn promise(&mut self, ask: &PromiseRequest, now: MonoTime) -> Option<PromiseGrant> {
        let span = self.policy.schedule.tail_validity;
        let own = ask.cell == self.policy.cell && ask.incarnation == self.place.incarnation;
        if !own || !self.remembers(now) || self.is_claiming() {
            return None;
        }
        self.note_ask(now);
        if self.would_do_better(now) {
            return None;
        }
        let until = now.plus(span).plus(self.policy.schedule.margin);
        self.promised_until = self.promised_until.max(until);
        Some(PromiseGrant {
            cell: ask.cell,
            successor: self.place.host.clone(),
            incarnation: self.place.incarnation,
            epoch: ask.epoch,
            clock: ask.clock,
            span,
        })
    }

    fn note_ask(&mut self, now: MonoTime) {
        let went_on = self.asked_at.is_some_and(|at| now < at.plus(ASKS_GAP));
        if !went_on {
            self.asked_since = now;
        }
        self.asked_at = Some(now);
    }

    /// Returns whether the planner asked for a promise of late, as its reads of the log fail.
    pub(crate) fn is_asked(&self, now: MonoTime) -> bool {
        self.asked_at.is_some_and(|at| now < at.plus(ASKS_GAP))
    }

    /// Returns whether only the planner is cut off from the log, while this agent reads it.
    fn would_do_better(&self, now: MonoTime) -> bool {
        let schedule = &self.policy.schedule;
        let asked_long = now > self.asked_since.plus(schedule.lease);
        asked_long && now < self.tail_began.plus(schedule.tail_validity)
    }

    fn remembers(&self, now: MonoTime) -> bool {
        let schedule = &self.policy.schedule;
        let wait = schedule.tail_validity + schedule.margin;
        self.started_at.is_some_and(|at| now > at.plus(wait))
    }

    /// Drops a claim that came too late, and repeats one that did not reach the log.
    pub(crate) fn refresh(
        &mut self,
        cell: &CellState,
        tail_began: MonoTime,
        turn: &mut TurnContext<'_>,
    ) {
        self.tail_began = tail_began;
        self.drop_void_claim(cell);
        self.slot.repeat(tail_began, turn);
    }

    /// Claims the next epoch if this agent has the right to and the planner is silent.
    ///
    /// `tail_began` is the clock before a read of the cell's stream that reached its tail.
    pub(crate) fn consider(
        &mut self,
        cell: &CellState,
        tail_began: MonoTime,
        turn: &mut TurnContext<'_>,
    ) {
        let right = self.right(cell);
        let wait = self.wait(right);
        let fresh = tail_began >= self.silent_since;
        let silent = self.silence(turn.mono()) >= wait;
        if self.is_claiming() || !fresh || !silent || !self.may_break_silence(right, turn.mono()) {
            return;
        }
        let claim = self.next_claim(cell, right == ClaimRight::Forced, None);
        self.append(claim, right, turn);
    }

    /// Claims a new epoch as the present planner, to name another successor.
    pub(crate) fn name_successor(
        &mut self,
        cell: &CellState,
        successor: Option<SuccessorName>,
        turn: &mut TurnContext<'_>,
    ) {
        if self.is_claiming() {
            return;
        }
        let claim = self.next_claim(cell, false, successor);
        self.append(claim, ClaimRight::Restarted, turn);
    }

    fn append(&mut self, claim: EpochClaim, right: ClaimRight, turn: &mut TurnContext<'_>) {
        self.claims += 1;
        self.jitter = draw_jitter(&mut self.random);
        let id = self.claim_id();
        let inputs = format!(
            "right={right:?} previous={} silent_ms={}",
            claim.previous,
            self.silence(turn.mono()).as_millis()
        );
        turn.decide("epoch_claim", format!("cell:{}", self.policy.cell), inputs);
        let entry = CellEntry::Claim(claim.clone());
        self.claim = Some(claim);
        let record = CellRecord {
            id: id.clone(),
            entry,
        };
        self.slot.append(id, AppendRecord::Cell(record), turn);
    }

    fn next_claim(
        &self,
        cell: &CellState,
        forced: bool,
        successor: Option<SuccessorName>,
    ) -> EpochClaim {
        EpochClaim {
            host: self.place.host.clone(),
            incarnation: self.place.incarnation,
            control_address: self.place.control_address,
            previous: cell.epoch(),
            successor,
            forced,
        }
    }

    fn claim_id(&self) -> RecordId {
        let text = format!("claim.{}.{}", self.place.incarnation, self.claims);
        let prefix: String = self.place.host.as_str().chars().take(24).collect();
        #[expect(
            clippy::unwrap_used,
            reason = "a shortened name, digits and dots are valid"
        )]
        RecordId::new(&format!("{text}.{prefix}")).unwrap()
    }

    /// Gives a claim up that can no longer be valid, because another came first.
    fn drop_void_claim(&mut self, cell: &CellState) {
        let void = self
            .claim
            .as_ref()
            .is_some_and(|claim| claim.previous != cell.epoch());
        if void {
            self.claim = None;
            self.slot.abandon();
        }
    }

    fn right(&self, cell: &CellState) -> ClaimRight {
        let Some(claim) = cell.claim() else {
            return ClaimRight::First;
        };
        match &claim.successor {
            _ if claim.host == self.place.host => ClaimRight::Restarted,
            Some(successor) if successor.host == self.place.host => ClaimRight::Successor,
            Some(_) => ClaimRight::Forced,
            None => ClaimRight::Open,
        }
    }

    fn wait(&self, right: ClaimRight) -> Duration {
        let schedule = &self.policy.schedule;
        match right {
            ClaimRight::First => self.jitter,
            ClaimRight::Restarted => Duration::ZERO,
            ClaimRight::Successor => schedule.lease / 2,
            ClaimRight::Open => schedule.lease + self.jitter,
            ClaimRight::Forced => schedule.lease * 2 + schedule.tail_validity + self.jitter * 4,
        }
    }

    fn may_break_silence(&self, right: ClaimRight, now: MonoTime) -> bool {
        match right {
            ClaimRight::First | ClaimRight::Restarted | ClaimRight::Open => true,
            ClaimRight::Successor | ClaimRight::Forced => {
                now > self.promised_until && self.remembers(now)
            }
        }
    }

    /// Notes that an append was answered without a position.
    pub(crate) fn fail(&mut self, id: &RecordId, now: MonoTime) {
        self.slot.fail(id, now);
    }

    /// Notes an id that was read back.
    pub(crate) fn settle(&mut self, id: &RecordId) {
        if self.slot.settle(id) {
            self.claim = None;
        }
    }

    /// Returns whether the epoch in force was claimed by this process.
    pub(crate) fn holds(&self, cell: &CellState) -> bool {
        let own = |claim: &EpochClaim| {
            claim.host == self.place.host && claim.incarnation == self.place.incarnation
        };
        cell.epoch() > Epoch(0) && cell.claim().is_some_and(own)
    }
}

fn draw_jitter(random: &mut SmallRng) -> Duration {
    let most = u64::try_from(CLAIM_JITTER.as_millis()).unwrap_or(u64::MAX);
    Duration::from_millis(random.random_range(0..=most))
}
