//! Maintains the link to the planner and observes whether the planner is heard on it.

use super::{
    ElectionStage, LocatorEvent, PlannerLocator, REFUSED_ELECTION_TIMEOUT, SILENT_ELECTION_TIMEOUT,
};
use crate::effect::{Effect, LinkId};
use hornbeamlead_core::clock::MonoTime;
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
pub(super) const DIAL_PAUSE: Duration = Duration::from_millis(150);

/// State of the link to the planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkStage {
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

impl PlannerLocator {
    /// Returns the link to the planner while it is open.
    #[must_use]
    pub fn link(&self) -> Option<LinkId> {
        match self.link {
            LinkStage::Up { link, .. } => Some(link),
            _ => None,
        }
    }

    /// Returns whether the planner has sent a message so recently that it is not suspected.
    pub(super) fn hears_planner(&self, now: MonoTime) -> bool {
        matches!(self.link, LinkStage::Up { last_message_at, .. }
            if now.since(last_message_at) <= SUSPICION_TIMEOUT)
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

    pub(super) fn poll_link(&mut self, now: MonoTime) {
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
}
