//! Links of an entry to the agents through which entries exchange notices. All entries rank the
//! agents alike, so that they use the same ones without an agreement.

use crate::effect::{Effect, LinkId};
use hornbeamlead_core::clock::MonoTime;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Number of agents to which an entry keeps links. Entries share one as long as no more than two of
/// them are lost to either.
const LINK_COUNT: usize = 3;

/// Maximum number of known agents, those that rank first.
const MAX_AGENTS: usize = 64;

/// Timeout of opening a link; hosts are at most a few milliseconds apart.
const DIAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval between two messages on a link, which show that it works.
const SEND_INTERVAL: Duration = Duration::from_secs(10);

/// Time within which an agent answers a message.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which another agent takes the place of one that could not be reached or did not answer.
const RETRY_PAUSE: Duration = Duration::from_secs(30);

/// Offset basis of 64-bit FNV-1a.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;

/// Prime of 64-bit FNV-1a.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkStage {
    Down {
        dial_at: MonoTime,
    },
    Dialing {
        link: LinkId,
        until: MonoTime,
    },
    Up {
        link: LinkId,
        send_at: MonoTime,
        answer_by: Option<MonoTime>,
    },
}

#[derive(Clone, Copy, Debug)]
struct RankedAgent {
    rank: u64,
    address: SocketAddr,
    stage: LinkStage,
}

impl RankedAgent {
    fn link(&self) -> Option<LinkId> {
        match self.stage {
            LinkStage::Dialing { link, .. } | LinkStage::Up { link, .. } => Some(link),
            LinkStage::Down { .. } => None,
        }
    }

    /// Leaves the agent to others for a while.
    fn give_up(&mut self, now: MonoTime, cause: &str, effects: &mut Vec<Effect>) {
        effects.push(match self.stage {
            LinkStage::Up { .. } => {
                let detail = format!("cause={cause}");
                Effect::log("notice_link_lost", self.address, detail)
            }
            _ => Effect::Count("notice_dial_failed"),
        });
        self.stage = LinkStage::Down {
            dial_at: now.plus(RETRY_PAUSE),
        };
    }
}

/// Agents by rank, and the links to those that rank first.
#[derive(Clone, Debug, Default)]
pub(super) struct RendezvousLinks {
    agents: Vec<RankedAgent>,
    last_link: u64,
}

impl RendezvousLinks {
    /// Adds an agent that listens at the address.
    pub(super) fn add(&mut self, address: SocketAddr) {
        let rank = rank(address);
        let order = |agent: &RankedAgent| (agent.rank, agent.address);
        let position = match self.agents.binary_search_by_key(&(rank, address), order) {
            Ok(_) => return,
            Err(position) if position >= MAX_AGENTS => return,
            Err(position) => position,
        };
        let is_idle = |agent: &RankedAgent| matches!(agent.stage, LinkStage::Down { .. });
        if self.agents.len() >= MAX_AGENTS && !self.agents.last().is_some_and(is_idle) {
            return;
        }
        let stage = LinkStage::Down {
            dial_at: MonoTime(0),
        };
        let agent = RankedAgent {
            rank,
            address,
            stage,
        };
        self.agents.insert(position, agent);
        self.agents.truncate(MAX_AGENTS);
    }

    /// Handles the opening of a link, on which a message is then due.
    pub(super) fn opened(&mut self, now: MonoTime, opened: LinkId, effects: &mut Vec<Effect>) {
        for agent in &mut self.agents {
            match agent.stage {
                LinkStage::Dialing { link, .. } if link == opened => {
                    effects.push(Effect::log("notice_link_open", agent.address, ""));
                    agent.stage = LinkStage::Up {
                        link,
                        send_at: now,
                        answer_by: None,
                    };
                }
                _ => {}
            }
        }
    }

    /// Handles the end of a link, or of the attempt to open it.
    pub(super) fn closed(&mut self, now: MonoTime, closed: LinkId, effects: &mut Vec<Effect>) {
        let agent = self.agents.iter_mut();
        for agent in agent.filter(|agent| agent.link() == Some(closed)) {
            agent.give_up(now, "closed", effects);
        }
    }

    /// Handles a message of an agent; returns whether the link is one of this entry's.
    pub(super) fn heard(&mut self, heard: LinkId) -> bool {
        for agent in &mut self.agents {
            match &mut agent.stage {
                LinkStage::Up {
                    link, answer_by, ..
                } if *link == heard => {
                    *answer_by = None;
                    return true;
                }
                _ => {}
            }
        }
        false
    }

    /// Returns the number of open links.
    pub(super) fn open_count(&self) -> usize {
        let is_up = |agent: &&RankedAgent| matches!(agent.stage, LinkStage::Up { .. });
        self.agents.iter().filter(is_up).count()
    }

    /// Returns the open links, and whether all notices are due on each rather than new ones only.
    pub(super) fn open_links(&self, now: MonoTime) -> Vec<(LinkId, bool)> {
        let open = |agent: &RankedAgent| match agent.stage {
            LinkStage::Up { link, send_at, .. } => Some((link, now >= send_at)),
            _ => None,
        };
        self.agents.iter().filter_map(open).collect()
    }

    /// Notes that a message was sent on a link, which the agent has to answer; `all` if it held all
    /// notices.
    pub(super) fn sent(&mut self, now: MonoTime, sent: LinkId, all: bool) {
        for agent in &mut self.agents {
            match &mut agent.stage {
                LinkStage::Up {
                    link,
                    send_at,
                    answer_by,
                } if *link == sent => {
                    answer_by.get_or_insert(now.plus(ANSWER_TIMEOUT));
                    if all {
                        *send_at = now.plus(SEND_INTERVAL);
                    }
                }
                _ => {}
            }
        }
    }

    /// Closes links on which no answer comes, and opens those that are wanted.
    pub(super) fn poll(&mut self, now: MonoTime, effects: &mut Vec<Effect>) {
        for agent in &mut self.agents {
            match agent.stage {
                LinkStage::Dialing { link, until }
                | LinkStage::Up {
                    link,
                    answer_by: Some(until),
                    ..
                } if now > until => {
                    effects.push(Effect::CloseLink { link });
                    agent.give_up(now, "silent", effects);
                }
                _ => {}
            }
        }
        let is_wanted = |agent: &&mut RankedAgent| match agent.stage {
            LinkStage::Down { dial_at } => now >= dial_at,
            _ => true,
        };
        let wanted = self.agents.iter_mut().filter(is_wanted).take(LINK_COUNT);
        for agent in wanted {
            if let LinkStage::Down { .. } = agent.stage {
                self.last_link += 1;
                let (link, deadline) = (LinkId(self.last_link), now.plus(DIAL_TIMEOUT));
                // The process reports the end of an attempt; one that it has lost ends here.
                let until = deadline.plus(DIAL_TIMEOUT);
                agent.stage = LinkStage::Dialing { link, until };
                effects.push(Effect::Dial {
                    link,
                    address: agent.address,
                    deadline,
                });
            }
        }
        self.close_surplus(now, effects);
    }

    /// Closes links to agents that rank after enough others with a link.
    fn close_surplus(&mut self, now: MonoTime, effects: &mut Vec<Effect>) {
        let is_up = |agent: &&mut RankedAgent| matches!(agent.stage, LinkStage::Up { .. });
        for agent in self.agents.iter_mut().filter(is_up).skip(LINK_COUNT) {
            if let LinkStage::Up { link, .. } = agent.stage {
                effects.push(Effect::CloseLink { link });
            }
            agent.stage = LinkStage::Down { dial_at: now };
        }
    }
}

/// Returns the rank of an agent, the same in each process and version.
fn rank(address: SocketAddr) -> u64 {
    let fold = |hash: u64, bytes: &[u8]| {
        bytes.iter().fold(hash, |hash, byte| {
            (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
        })
    };
    let hash = match address.ip() {
        IpAddr::V4(ip) => fold(FNV_OFFSET, &ip.octets()),
        IpAddr::V6(ip) => fold(FNV_OFFSET, &ip.octets()),
    };
    let hash = fold(hash, &address.port().to_be_bytes());
    // FNV-1a alone spreads the last bytes poorly into the high bits (finalizer of MurmurHash3).
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^ (hash >> 33)
}
