//! Finds the planner, maintains the link to it, and starts an election when the planner fails.
//!
//! Safety does not depend on the timeouts here: a claim ends the previous epoch at the store, so
//! two planners can never both record attempts. The timeouts only prevent the replacement of a
//! planner that is alive. It does depend on the time at which the end of the plan was first seen,
//! from which the next planner counts the leases that its predecessors granted.

mod claim;

use crate::effect::{Effect, LinkId};
use crate::follow::{FollowOutcome, NewestReader, StreamFollower};
use crate::ids::{CallNumber, HostName, PlannerEpoch, ReaderNumber, StreamOffset};
use crate::record::decode;
use crate::store::{ReadRecord, StoreCall, StoreCaller, StoreOperation, StoreOutcome, StreamName};
use hornbeamlead_core::clock::MonoTime;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Time without a message after which a link counts as failed; the planner answers the reports
/// that are sent every 300 ms.
const LINK_TIMEOUT: Duration = Duration::from_millis(1200);

/// Time without a message after which a process observes the plan for an election. Leases of the
/// planner's host are counted from there if it is lost.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of opening a link; hosts are at most a few milliseconds apart.
const DIAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause between two attempts to open a link.
const DIAL_PAUSE: Duration = Duration::from_millis(150);

/// Time for which the plan must not grow before a claim, if the planner's address refuses
/// connections or the planner cannot reach the store. Longer than the heartbeat interval of a
/// planner.
const REFUSED_ELECTION_TIMEOUT: Duration = Duration::from_millis(320);

/// Time for which the plan must not grow before a claim, if the planner's host does not answer.
const SILENT_ELECTION_TIMEOUT: Duration = Duration::from_millis(750);

/// Timeout of a call to the store during an election.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(700);

/// Wait of a long poll for the planner's address.
const ADDRESS_WAIT: Duration = Duration::from_secs(5);

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

/// End of the plan, as read from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PlanEnd {
    offset: StreamOffset,
    /// When the answer of the first read that showed this end arrived.
    seen_at: MonoTime,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkStage {
    Down {
        dial_at: MonoTime,
    },
    Dialing {
        link: LinkId,
    },
    Up {
        link: LinkId,
        last_message_at: MonoTime,
    },
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

#[derive(Clone, Debug)]
enum AddressStage {
    Newest(NewestReader),
    Follow,
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
    /// Last call of an election, the only one whose outcome counts.
    last_call: CallNumber,
    election_timeout: Duration,
    degraded: bool,
    plan_end: StreamOffset,
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
            calls_failing_since: None,
            claims_not_before: MonoTime(0),
            events: Vec::new(),
            effects: Vec::new(),
        }
    }

    /// Returns the link to the planner while it is open.
    #[must_use]
    pub fn link(&self) -> Option<LinkId> {
        match self.link {
            LinkStage::Up { link, .. } => Some(link),
            _ => None,
        }
    }

    /// Takes the effects to perform and the events to report.
    pub fn drain(&mut self) -> (Vec<Effect>, Vec<LocatorEvent>) {
        (
            std::mem::take(&mut self.effects),
            std::mem::take(&mut self.events),
        )
    }

    /// Handles the opening of a link that this process dialed.
    pub fn link_opened(&mut self, now: MonoTime, link: LinkId) {
        if self.link == (LinkStage::Dialing { link }) {
            self.link = LinkStage::Up {
                link,
                last_message_at: now,
            };
            self.events.push(LocatorEvent::LinkUp(link));
        }
    }

    /// Handles the end of a link, or of the attempt to open it; `refused` if the connection was
    /// refused.
    pub fn link_closed(&mut self, now: MonoTime, link: LinkId, refused: bool) {
        match self.link {
            LinkStage::Dialing { link: own } if own == link => {
                self.election_timeout = if refused {
                    REFUSED_ELECTION_TIMEOUT
                } else {
                    SILENT_ELECTION_TIMEOUT
                };
                self.link_down(now, "dial_failed");
            }
            LinkStage::Up { link: own, .. } if own == link => {
                self.election_timeout = REFUSED_ELECTION_TIMEOUT;
                self.events.push(LocatorEvent::LinkDown);
                self.link_down(now, "closed");
            }
            _ => {}
        }
    }

    fn link_down(&mut self, now: MonoTime, cause: &str) {
        let was_up = self.link().is_some();
        self.link = LinkStage::Down {
            dial_at: now.plus(DIAL_PAUSE),
        };
        if was_up || self.election == ElectionStage::Idle {
            let id = self
                .planner
                .as_ref()
                .map_or_else(String::new, |planner| planner.address.to_string());
            self.effects
                .push(Effect::log("planner_lost", id, format!("cause={cause}")));
        }
        if self.election == ElectionStage::Idle {
            self.election = ElectionStage::Starting;
        }
    }

    /// Handles a message from the planner; `degraded` if the planner cannot reach the store.
    pub fn on_planner_message(&mut self, now: MonoTime, degraded: bool) {
        if let LinkStage::Up {
            last_message_at, ..
        } = &mut self.link
        {
            *last_message_at = now;
        }
        if self.degraded != degraded {
            let event = if degraded {
                "planner_troubled"
            } else {
                "planner_sound"
            };
            self.effects.push(Effect::log(event, "planner", ""));
        }
        self.degraded = degraded;
        match (degraded, self.election) {
            (false, ElectionStage::Idle | ElectionStage::Claiming { .. }) => {}
            (false, _) => self.end_election(),
            (true, ElectionStage::Idle) => {
                self.election_timeout = REFUSED_ELECTION_TIMEOUT;
                self.election = ElectionStage::Starting;
            }
            (true, _) => {}
        }
    }

    /// Closes the link to a process that has answered that it is not the planner.
    pub fn not_planner(&mut self, now: MonoTime, link: LinkId) {
        if self.link() == Some(link) {
            self.effects.push(Effect::CloseLink { link });
            self.events.push(LocatorEvent::LinkDown);
            self.election_timeout = REFUSED_ELECTION_TIMEOUT;
            self.link_down(now, "no_planner_there");
        }
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
        self.planner = Some(planner);
        self.end_election();
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
    }

    fn poll_address(&mut self, now: MonoTime) {
        let call = match &mut self.address_stage {
            AddressStage::Newest(reader) => reader.poll(now),
            AddressStage::Follow => self.follower.poll(now),
        };
        self.effects.extend(call.map(Effect::Store));
    }

    fn poll_link(&mut self, now: MonoTime) {
        match self.link {
            LinkStage::Down { dial_at } if now >= dial_at => self.dial(now),
            LinkStage::Up {
                link,
                last_message_at,
            } if now.since(last_message_at) > LINK_TIMEOUT => {
                self.effects.push(Effect::CloseLink { link });
                self.events.push(LocatorEvent::LinkDown);
                self.election_timeout = SILENT_ELECTION_TIMEOUT;
                self.link_down(now, "silent");
            }
            LinkStage::Up {
                last_message_at, ..
            } if now.since(last_message_at) > SUSPICION_TIMEOUT
                && self.election == ElectionStage::Idle =>
            {
                self.election_timeout = SILENT_ELECTION_TIMEOUT;
                self.election = ElectionStage::Starting;
            }
            _ => {}
        }
    }

    fn dial(&mut self, now: MonoTime) {
        let Some(planner) = &self.planner else {
            return;
        };
        self.last_link += 1;
        let link = LinkId(self.last_link);
        self.link = LinkStage::Dialing { link };
        self.effects.push(Effect::Dial {
            link,
            address: planner.address,
            deadline: now.plus(DIAL_TIMEOUT),
        });
    }

    fn poll_election(&mut self, now: MonoTime) {
        match self.election {
            ElectionStage::Waiting { seen, until } if now >= until => {
                self.election = ElectionStage::Reading { seen: Some(seen) };
                self.read_end(now);
            }
            ElectionStage::Pausing { until } if now >= until => {
                self.election = ElectionStage::Reading { seen: None };
                self.read_end(now);
            }
            ElectionStage::Starting => {
                self.election = ElectionStage::Reading { seen: None };
                self.read_end(now);
            }
            _ => {}
        }
    }

    fn read_end(&mut self, now: MonoTime) {
        let caller = self.next_claim_caller();
        self.effects.push(Effect::Store(StoreCall {
            caller,
            operation: StoreOperation::Read {
                stream: StreamName::Plan,
                from: self.plan_end,
                wait_until: now,
                end_only: true,
            },
            deadline: now.plus(CLAIM_TIMEOUT),
        }));
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
            _ => {}
        }
    }

    fn handle_address_outcome(&mut self, now: MonoTime, outcome: StoreOutcome) {
        match &mut self.address_stage {
            AddressStage::Newest(reader) => {
                if let Some(newest) = reader.take(now, outcome) {
                    self.follower.seek(newest.end);
                    self.address_stage = AddressStage::Follow;
                    self.apply_address_records(now, &newest.records);
                    if self.planner.is_none() {
                        self.election_timeout = Duration::ZERO;
                        self.election = ElectionStage::Starting;
                    }
                }
            }
            AddressStage::Follow => match self.follower.take(now, outcome) {
                FollowOutcome::Records { records, .. } => self.apply_address_records(now, &records),
                FollowOutcome::Expired { .. } => self.address_stage = newest(self.reader),
                FollowOutcome::Failed => {}
            },
        }
    }

    fn apply_address_records(&mut self, now: MonoTime, records: &[ReadRecord]) {
        for record in records.iter().filter(|record| &*record.key == PLANNER_KEY) {
            let value = record.value.as_deref().unwrap_or_default();
            match decode::<PlannerAddress>(value) {
                Ok(planner) => self.learn_planner(now, planner),
                Err(error) => {
                    let detail = format!("cause={:?}", error.to_string());
                    self.effects
                        .push(Effect::log("seat_unreadable", "planner", detail));
                }
            }
        }
    }
}

fn newest(reader: ReaderNumber) -> AddressStage {
    let caller = StoreCaller::Locator(reader);
    AddressStage::Newest(NewestReader::new(StreamName::Planner, caller))
}

fn follower(reader: ReaderNumber) -> StreamFollower {
    let caller = StoreCaller::Locator(reader);
    StreamFollower::new(StreamName::Planner, caller, ADDRESS_WAIT, Duration::ZERO)
}
