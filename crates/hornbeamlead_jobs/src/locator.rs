//! Finds the planner, keeps the link to it, and stands for the duty when it is gone.
//!
//! Safety does not rest on the timing here: a claim ends the epoch before it at the store, so two
//! planners can never both record attempts. The timing only keeps a live planner in its seat.

mod claim;

use crate::effect::{Effect, LinkId};
use crate::follow::{FollowOutcome, NewestReader, StreamFollower};
use crate::ids::{HostName, PlannerEpoch, StreamOffset};
use crate::record::decode;
use crate::store::{ReadRecord, StoreCall, StoreCaller, StoreOperation, StoreOutcome, StreamName};
use hornbeamlead_core::clock::MonoTime;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Time after which a link without a message counts as silent; reports go out every 300 ms.
const SILENT_LINK: Duration = Duration::from_millis(1200);

/// Time that opening a link may take; hosts are at most a few milliseconds apart.
const DIAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause between two tries to open a link.
const DIAL_PAUSE: Duration = Duration::from_millis(150);

/// Time for which the plan has to stand still before a claim, where nobody listens at the
/// planner's address, or it cannot reach the store. Longer than the tick of a live planner.
const REFUSED_WINDOW: Duration = Duration::from_millis(320);

/// The same where the planner's host does not answer at all.
const SILENT_WINDOW: Duration = Duration::from_millis(750);

/// Time after which a call of a claim is given up and repeated.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(700);

/// Wait of a long read for the planner's address.
const SEAT_WAIT: Duration = Duration::from_secs(5);

/// Key of the planner's address.
pub const PLANNER_KEY: &str = "planner";

/// Where the planner is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannerAddress {
    /// Epoch.
    pub epoch: PlannerEpoch,
    /// Address.
    pub address: SocketAddr,
}

/// Who stands for the duty.
#[derive(Clone, Debug)]
pub struct LocatorPolicy {
    /// Own host.
    pub host: HostName,
    /// Life of the process.
    pub incarnation: u64,
    /// Own address for links.
    pub address: SocketAddr,
    /// Seed of the random delays.
    pub seed: u64,
}

/// What the locator has found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LocatorEvent {
    /// The link to the planner is open.
    LinkUp(LinkId),
    /// The link to the planner has ended.
    LinkDown,
    /// This process has claimed the duty.
    Elected {
        /// Epoch.
        epoch: PlannerEpoch,
        /// Offset of the claim.
        claim: StreamOffset,
    },
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
        on_planner_message: MonoTime,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Suspicion {
    None,
    /// Reads the end of the plan; `seen` is the end that the window began with.
    Reading {
        seen: Option<StreamOffset>,
    },
    Waiting {
        seen: StreamOffset,
        until: MonoTime,
    },
    Claiming {
        end: StreamOffset,
        tries: u32,
    },
    Pausing {
        until: MonoTime,
    },
}

#[derive(Clone, Debug)]
enum SeatStage {
    Newest(NewestReader),
    Follow,
}

/// Locator's state machine.
#[derive(Debug)]
pub struct PlannerLocator {
    policy: LocatorPolicy,
    random: SmallRng,
    seat: Option<PlannerAddress>,
    seat_stage: SeatStage,
    follower: StreamFollower,
    link: LinkStage,
    last_link: u64,
    suspicion: Suspicion,
    window: Duration,
    troubled: bool,
    plan_end: StreamOffset,
    news: Vec<LocatorEvent>,
    effects: Vec<Effect>,
}

impl PlannerLocator {
    /// Makes a locator that knows nothing yet.
    #[must_use]
    pub fn new(policy: LocatorPolicy) -> Self {
        let caller = StoreCaller::Locator;
        Self {
            random: SmallRng::seed_from_u64(policy.seed),
            policy,
            seat: None,
            seat_stage: SeatStage::Newest(NewestReader::new(StreamName::Planner, caller)),
            follower: StreamFollower::new(StreamName::Planner, caller, SEAT_WAIT, Duration::ZERO),
            link: LinkStage::Down {
                dial_at: MonoTime(0),
            },
            last_link: 0,
            suspicion: Suspicion::None,
            window: SILENT_WINDOW,
            troubled: false,
            plan_end: 0,
            news: Vec::new(),
            effects: Vec::new(),
        }
    }

    /// Returns the link to the planner while it is up.
    #[must_use]
    pub fn link(&self) -> Option<LinkId> {
        match self.link {
            LinkStage::Up { link, .. } => Some(link),
            _ => None,
        }
    }

    /// Returns what there is to do, and what was found.
    pub fn drain(&mut self) -> (Vec<Effect>, Vec<LocatorEvent>) {
        (
            std::mem::take(&mut self.effects),
            std::mem::take(&mut self.news),
        )
    }

    /// Notes that a link which this process opened is open.
    pub fn link_opened(&mut self, now: MonoTime, link: LinkId) {
        if self.link == (LinkStage::Dialing { link }) {
            self.link = LinkStage::Up {
                link,
                on_planner_message: now,
            };
            self.news.push(LocatorEvent::LinkUp(link));
        }
    }

    /// Notes that a link has ended; `refused` if nobody listens there.
    pub fn link_closed(&mut self, now: MonoTime, link: LinkId, refused: bool) {
        match self.link {
            LinkStage::Dialing { link: own } if own == link => {
                self.window = if refused {
                    REFUSED_WINDOW
                } else {
                    SILENT_WINDOW
                };
                self.link_down(now, "dial_failed");
            }
            LinkStage::Up { link: own, .. } if own == link => {
                self.window = REFUSED_WINDOW;
                self.news.push(LocatorEvent::LinkDown);
                self.link_down(now, "closed");
            }
            _ => {}
        }
    }

    fn link_down(&mut self, now: MonoTime, cause: &str) {
        self.link = LinkStage::Down {
            dial_at: now.plus(DIAL_PAUSE),
        };
        if self.suspicion == Suspicion::None {
            let id = self
                .seat
                .as_ref()
                .map_or_else(String::new, |seat| seat.address.to_string());
            self.effects
                .push(Effect::log("planner_lost", id, format!("cause={cause}")));
            self.suspicion = Suspicion::Reading { seen: None };
        }
    }

    /// Notes a message of the planner; `troubled` if it cannot reach the store.
    pub fn on_planner_message(&mut self, now: MonoTime, troubled: bool) {
        if let LinkStage::Up {
            on_planner_message, ..
        } = &mut self.link
        {
            *on_planner_message = now;
        }
        if self.troubled != troubled {
            let event = if troubled {
                "planner_troubled"
            } else {
                "planner_sound"
            };
            self.effects.push(Effect::log(event, "planner", ""));
        }
        self.troubled = troubled;
        match (troubled, self.suspicion) {
            (false, Suspicion::None | Suspicion::Claiming { .. }) => {}
            (false, _) => self.suspicion = Suspicion::None,
            (true, Suspicion::None) => {
                self.window = REFUSED_WINDOW;
                self.suspicion = Suspicion::Reading { seen: None };
            }
            (true, _) => {}
        }
    }

    /// Notes that the process at the seat's address is no planner.
    pub fn not_planner(&mut self, now: MonoTime, link: LinkId) {
        if self.link() == Some(link) {
            self.effects.push(Effect::CloseLink { link });
            self.news.push(LocatorEvent::LinkDown);
            self.window = REFUSED_WINDOW;
            self.link_down(now, "no_planner_there");
        }
    }

    /// Takes in where the planner is.
    pub fn learn_planner(&mut self, now: MonoTime, seat: PlannerAddress) {
        if self
            .seat
            .as_ref()
            .is_some_and(|known| known.epoch >= seat.epoch)
        {
            return;
        }
        let detail = format!("epoch={}", seat.epoch);
        self.effects
            .push(Effect::log("planner_found", seat.address, detail));
        self.seat = Some(seat);
        self.suspicion = Suspicion::None;
        self.troubled = false;
        match self.link {
            LinkStage::Up { link, .. } => {
                self.effects.push(Effect::CloseLink { link });
                self.news.push(LocatorEvent::LinkDown);
            }
            LinkStage::Dialing { link } => self.effects.push(Effect::CloseLink { link }),
            LinkStage::Down { .. } => {}
        }
        self.link = LinkStage::Down { dial_at: now };
    }

    /// Notes that this process is planner no more: the seat it knew may have been its own.
    pub fn step_down(&mut self, now: MonoTime) {
        self.seat = None;
        self.seat_stage =
            SeatStage::Newest(NewestReader::new(StreamName::Planner, StoreCaller::Locator));
        self.suspicion = Suspicion::None;
        if let LinkStage::Up { link, .. } | LinkStage::Dialing { link } = self.link {
            self.effects.push(Effect::CloseLink { link });
            self.news.push(LocatorEvent::LinkDown);
        }
        self.link = LinkStage::Down { dial_at: now };
    }

    /// Moves on with time.
    pub fn tick(&mut self, now: MonoTime) {
        self.poll_seat(now);
        self.poll_link(now);
        self.poll_suspicion(now);
    }

    fn poll_seat(&mut self, now: MonoTime) {
        let call = match &mut self.seat_stage {
            SeatStage::Newest(reader) => reader.poll(now),
            SeatStage::Follow => self.follower.poll(now),
        };
        self.effects.extend(call.map(Effect::Store));
    }

    fn poll_link(&mut self, now: MonoTime) {
        match self.link {
            LinkStage::Down { dial_at } if now >= dial_at => self.dial(now),
            LinkStage::Up {
                link,
                on_planner_message,
            } if now.since(on_planner_message) > SILENT_LINK => {
                self.effects.push(Effect::CloseLink { link });
                self.news.push(LocatorEvent::LinkDown);
                self.window = SILENT_WINDOW;
                self.link_down(now, "silent");
            }
            _ => {}
        }
    }

    fn dial(&mut self, now: MonoTime) {
        let Some(seat) = &self.seat else {
            return;
        };
        self.last_link += 1;
        let link = LinkId(self.last_link);
        self.link = LinkStage::Dialing { link };
        self.effects.push(Effect::Dial {
            link,
            address: seat.address,
            deadline: now.plus(DIAL_TIMEOUT),
        });
    }

    fn poll_suspicion(&mut self, now: MonoTime) {
        match self.suspicion {
            Suspicion::Waiting { seen, until } if now >= until => {
                self.suspicion = Suspicion::Reading { seen: Some(seen) };
                self.read_end(now);
            }
            Suspicion::Pausing { until } if now >= until => {
                self.suspicion = Suspicion::Reading { seen: None };
                self.read_end(now);
            }
            // The read of a window that has just begun.
            Suspicion::Reading { seen: None } => {
                self.suspicion = Suspicion::Reading {
                    seen: Some(u64::MAX),
                };
                self.read_end(now);
            }
            _ => {}
        }
    }

    fn read_end(&mut self, now: MonoTime) {
        self.effects.push(Effect::Store(StoreCall {
            caller: StoreCaller::Claim,
            operation: StoreOperation::Read {
                stream: StreamName::Plan,
                from: self.plan_end,
                wait_until: now,
                end_only: true,
            },
            deadline: now.plus(CLAIM_TIMEOUT),
        }));
    }

    /// Takes in the outcome of a call to the store.
    pub fn stored(&mut self, now: MonoTime, caller: StoreCaller, outcome: StoreOutcome) {
        match caller {
            StoreCaller::Locator => self.take_seat(now, outcome),
            StoreCaller::Claim => self.take_claim(now, outcome),
            _ => {}
        }
    }

    fn take_seat(&mut self, now: MonoTime, outcome: StoreOutcome) {
        match &mut self.seat_stage {
            SeatStage::Newest(reader) => {
                if let Some(newest) = reader.take(now, outcome) {
                    self.follower.seek(newest.end);
                    self.seat_stage = SeatStage::Follow;
                    self.learn_records(now, &newest.records);
                    if self.seat.is_none() {
                        self.window = Duration::ZERO;
                        self.suspicion = Suspicion::Reading { seen: None };
                    }
                }
            }
            SeatStage::Follow => match self.follower.take(now, outcome) {
                FollowOutcome::Records { records, .. } => self.learn_records(now, &records),
                FollowOutcome::Expired => {
                    let reader = NewestReader::new(StreamName::Planner, StoreCaller::Locator);
                    self.seat_stage = SeatStage::Newest(reader);
                }
                FollowOutcome::Failed => {}
            },
        }
    }

    fn learn_records(&mut self, now: MonoTime, records: &[ReadRecord]) {
        for record in records.iter().filter(|record| &*record.key == PLANNER_KEY) {
            let value = record.value.as_deref().unwrap_or_default();
            match decode::<PlannerAddress>(value) {
                Ok(seat) => self.learn_planner(now, seat),
                Err(error) => {
                    let detail = format!("cause={:?}", error.to_string());
                    self.effects
                        .push(Effect::log("seat_unreadable", "planner", detail));
                }
            }
        }
    }
}
