//! Finds the planner, maintains the link to it, and starts an election when the planner fails.
//!
//! Safety does not depend on the timeouts here: a claim ends the previous epoch at the store, so
//! two planners can never both record attempts. The timeouts only prevent the replacement of a
//! planner that is alive. It does depend on the time at which the end of the plan was first seen,
//! from which the next planner counts the leases that its predecessors granted.

mod address;
mod claim;
mod link;
mod plan_end;

use crate::effect::{Effect, LinkId};
use crate::follow::StreamFollower;
use crate::ids::{CallNumber, HostName, PlannerEpoch, ReaderNumber, StreamOffset};
use crate::store::{StoreCaller, StoreOutcome};
use address::{AddressStage, follower, newest};
use hornbeamlead_core::clock::MonoTime;
use link::LinkStage;
use plan_end::{EndSightings, PlanEnd};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Time for which the plan must not grow before a claim, if the planner's address refuses
/// connections or the planner cannot reach the store. Longer than the heartbeat interval of a
/// planner.
const REFUSED_ELECTION_TIMEOUT: Duration = Duration::from_millis(320);

/// Time for which the plan must not grow before a claim, if the planner's host does not answer.
const SILENT_ELECTION_TIMEOUT: Duration = Duration::from_millis(750);

/// Timeout of a call to the store during an election.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(700);

/// Key of the planner's address.
pub const PLANNER_KEY: &str = "planner";

/// Address of a planner, as stored and as sent to agents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannerAddress {
    /// Epoch of the planner.
    pub epoch: PlannerEpoch,
    /// Address at which the planner accepts links.
    pub address: SocketAddr,
}

/// Settings of a locator.
#[derive(Clone, Debug)]
pub struct LocatorPolicy {
    /// Host of this process.
    pub host: HostName,
    /// Incarnation of this process.
    pub incarnation: u64,
    /// Address at which this process accepts links.
    pub address: SocketAddr,
    /// Seed of the random delays.
    pub seed: u64,
}

/// Event that the locator reports to its process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LocatorEvent {
    /// The link to the planner is open.
    LinkUp(LinkId),
    /// The link to the planner has closed.
    LinkDown,
    /// This process has been elected planner.
    Elected(PlannerElection),
}

/// Outcome of an election that this process has won.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannerElection {
    /// Epoch of the new planner.
    pub epoch: PlannerEpoch,
    /// Offset of the claim in the plan stream.
    pub claim: StreamOffset,
    /// Time after which no earlier planner has sent an append that succeeded.
    pub plan_ended_at: MonoTime,
}

/// Stage of the election of a new planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ElectionStage {
    Idle,
    /// Is about to read the end of the plan.
    Starting,
    /// Reads the end of the plan. `seen` is the end at the start of the election timeout, if one
    /// has started.
    Reading {
        seen: Option<PlanEnd>,
    },
    Waiting {
        seen: PlanEnd,
        until: MonoTime,
    },
    Claiming {
        end: PlanEnd,
        tries: u32,
    },
    Pausing {
        until: MonoTime,
    },
}

/// State machine of a locator.
#[derive(Debug)]
pub struct PlannerLocator {
    policy: LocatorPolicy,
    random: SmallRng,
    planner: Option<PlannerAddress>,
    /// Number of the reader of the address, which consists of the next two fields.
    reader: ReaderNumber,
    address_stage: AddressStage,
    follower: StreamFollower,
    link: LinkStage,
    last_link: u64,
    election: ElectionStage,
    /// Last call of an election, the only one whose outcome advances it.
    last_call: CallNumber,
    election_timeout: Duration,
    degraded: bool,
    plan_end: StreamOffset,
    sightings: EndSightings,
    /// Time of the first failed call of an election since the last successful read.
    calls_failing_since: Option<MonoTime>,
    /// Time before which this process claims nothing.
    claims_not_before: MonoTime,
    events: Vec<LocatorEvent>,
    effects: Vec<Effect>,
}

impl PlannerLocator {
    /// Creates a locator that does not know the planner yet.
    #[must_use]
    pub fn new(policy: LocatorPolicy) -> Self {
        let reader = ReaderNumber::default();
        Self {
            random: SmallRng::seed_from_u64(policy.seed),
            policy,
            planner: None,
            reader,
            address_stage: newest(reader),
            follower: follower(reader),
            link: LinkStage::Down {
                dial_at: MonoTime(0),
            },
            last_link: 0,
            election: ElectionStage::Idle,
            last_call: CallNumber::default(),
            election_timeout: SILENT_ELECTION_TIMEOUT,
            degraded: false,
            plan_end: 0,
            sightings: EndSightings::default(),
            calls_failing_since: None,
            claims_not_before: MonoTime(0),
            events: Vec::new(),
            effects: Vec::new(),
        }
    }

    /// Takes the effects to perform and the events to report.
    pub fn drain(&mut self) -> (Vec<Effect>, Vec<LocatorEvent>) {
        (
            std::mem::take(&mut self.effects),
            std::mem::take(&mut self.events),
        )
    }

    /// Connects to a planner, unless one of the same or a later epoch is known.
    pub fn learn_planner(&mut self, now: MonoTime, planner: PlannerAddress) {
        if self
            .planner
            .as_ref()
            .is_some_and(|known| known.epoch >= planner.epoch)
        {
            return;
        }
        let detail = format!("epoch={}", planner.epoch);
        self.effects
            .push(Effect::log("planner_found", planner.address, detail));
        // A claim that is stored ends the planner that it replaces, so it must not be abandoned for that one.
        let is_replaced = matches!(self.election, ElectionStage::Claiming { end, .. }
            if planner.epoch < self.epoch_at(end.offset));
        self.planner = Some(planner);
        if !is_replaced {
            self.end_election();
        }
        self.degraded = false;
        match self.link {
            LinkStage::Up { link, .. } => {
                self.effects.push(Effect::CloseLink { link });
                self.events.push(LocatorEvent::LinkDown);
            }
            LinkStage::Dialing { link } => self.effects.push(Effect::CloseLink { link }),
            LinkStage::Down { .. } => {}
        }
        self.link = LinkStage::Down { dial_at: now };
    }

    fn end_election(&mut self) {
        self.election = ElectionStage::Idle;
        self.calls_failing_since = None;
    }

    /// Discards the planner's address, which may be that of this process, because this process has
    /// ceased to be the planner.
    pub fn step_down(&mut self, now: MonoTime) {
        self.planner = None;
        self.reader = ReaderNumber(self.reader.0 + 1);
        self.address_stage = newest(self.reader);
        self.follower = follower(self.reader);
        self.end_election();
        if let LinkStage::Up { link, .. } | LinkStage::Dialing { link } = self.link {
            self.effects.push(Effect::CloseLink { link });
            self.events.push(LocatorEvent::LinkDown);
        }
        self.link = LinkStage::Down { dial_at: now };
    }

    /// Performs the actions that are due: reads, dialing and steps of an election.
    pub fn tick(&mut self, now: MonoTime) {
        self.poll_address(now);
        self.poll_link(now);
        self.poll_election(now);
        self.repeat_read(now);
    }

    /// Handles the outcome of a call to the store.
    pub fn stored(&mut self, now: MonoTime, caller: StoreCaller, outcome: StoreOutcome) {
        match caller {
            StoreCaller::Locator(reader) if reader == self.reader => {
                self.handle_address_outcome(now, outcome)
            }
            StoreCaller::Claim(call) if call == self.last_call => {
                self.handle_claim_outcome(now, outcome)
            }
            StoreCaller::PlanEnd => self.handle_repeated_read(now, outcome),
            _ => {}
        }
    }
}
