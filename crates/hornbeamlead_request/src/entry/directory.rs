//! Agents that an entry knows from their announcements.

use crate::entry::member::MemberRecord;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::ids::{CellId, HostId, Incarnation};
use hornbeamlead_core::message::control::{AgentAnnounce, CellView};
use hornbeamlead_core::policy::EntryPolicy;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Bytes that one announcement and its answer are taken to need at least, headers included.
const ANNOUNCE_BYTES: u64 = 400;

/// Further bytes for each member of a view that an announcement carries.
const VIEW_MEMBER_BYTES: u64 = 40;

/// Announcement intervals without a word after which an agent is suspect, at least.
const SUSPECT_INTERVALS: u32 = 3;

/// Announcement intervals without a word after which an agent is dropped, at least.
const DROP_INTERVALS: u32 = 10;

/// Lives of dropped agents remembered at most.
const MAX_RETIRED: usize = 20_000;

/// Newest announcement of an agent, so that older ones are told apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LifeMark {
    incarnation: Incarnation,
    sequence: u64,
}

/// What an announcement changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnnounceVerdict {
    /// It came late, or from a life that is over.
    Stale,
    /// The agent is known already.
    Known,
    /// The agent is new, or in a new life.
    Fresh,
}

/// Agents known, with the views of their cells.
#[derive(Debug)]
pub(crate) struct AgentDirectory {
    members: BTreeMap<HostId, MemberRecord>,
    by_link: BTreeMap<SocketAddr, HostId>,
    retired: BTreeMap<HostId, LifeMark>,
    views: BTreeMap<CellId, CellView>,
}

impl AgentDirectory {
    /// Makes an empty directory.
    pub(crate) fn new() -> Self {
        Self {
            members: BTreeMap::new(),
            by_link: BTreeMap::new(),
            retired: BTreeMap::new(),
            views: BTreeMap::new(),
        }
    }

    /// Returns all agents.
    pub(crate) fn members(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values()
    }

    /// Returns an agent.
    pub(crate) fn get(&self, host: &HostId) -> Option<&MemberRecord> {
        self.members.get(host)
    }

    /// Returns an agent for changes.
    pub(crate) fn get_mut(&mut self, host: &HostId) -> Option<&mut MemberRecord> {
        self.members.get_mut(host)
    }

    /// Returns the agent behind a link's address for changes.
    pub(crate) fn by_link_mut(&mut self, address: SocketAddr) -> Option<&mut MemberRecord> {
        let host = self.by_link.get(&address)?;
        self.members.get_mut(host)
    }

    /// Returns the newest view of a cell.
    pub(crate) fn view(&self, cell: CellId) -> Option<&CellView> {
        self.views.get(&cell)
    }

    /// Takes an announcement.
    pub(crate) fn announce(
        &mut self,
        now: MonoTime,
        from: SocketAddr,
        announce: AgentAnnounce,
    ) -> AnnounceVerdict {
        let mark = LifeMark {
            incarnation: announce.incarnation,
            sequence: announce.sequence,
        };
        match self.newest_mark(&announce.host) {
            Some(newest) if mark <= newest => return AnnounceVerdict::Stale,
            Some(_) | None => {}
        }
        self.retired.remove(&announce.host);
        self.keep_view(&announce);
        let known = self
            .members
            .get_mut(&announce.host)
            .filter(|member| member.announce.incarnation == announce.incarnation);
        match known {
            Some(member) => {
                revive(member, now);
                self.by_link.remove(&member.announce.link_address);
                self.by_link
                    .insert(announce.link_address, announce.host.clone());
                member.note_load(announce.load);
                member.control = from;
                member.announce = announce;
                AnnounceVerdict::Known
            }
            None => {
                self.remove(&announce.host.clone());
                self.by_link
                    .insert(announce.link_address, announce.host.clone());
                let host = announce.host.clone();
                self.members
                    .insert(host, MemberRecord::new(announce, from, now));
                AnnounceVerdict::Fresh
            }
        }
    }

    /// Sets the deadlines of an agent's silence and returns when it is to announce itself again.
    pub(crate) fn pace(&mut self, now: MonoTime, host: &HostId, policy: &EntryPolicy) -> Duration {
        let interval = self.interval(policy);
        if let Some(member) = self.members.get_mut(host) {
            let suspect_after = policy.suspect_after.max(interval * SUSPECT_INTERVALS);
            let drop_after = policy.drop_after.max(interval * DROP_INTERVALS);
            member.suspect_at = now.plus(suspect_after);
            member.drop_at = now.plus(drop_after);
        }
        interval
    }

    /// Marks agents that were silent as suspect and returns those that are newly so.
    pub(crate) fn suspect_silent(&mut self, now: MonoTime) -> Vec<HostId> {
        let mut newly = Vec::new();
        for (host, member) in &mut self.members {
            if member.suspect || now < member.suspect_at {
                continue;
            }
            member.suspect = true;
            newly.push(host.clone());
        }
        newly
    }

    /// Drops agents that stayed silent and returns them; their lives are remembered.
    pub(crate) fn drop_silent(&mut self, now: MonoTime) -> Vec<HostId> {
        let silent: Vec<HostId> = self
            .members
            .iter()
            .filter(|(_, member)| now >= member.drop_at)
            .map(|(host, _)| host.clone())
            .collect();
        for host in &silent {
            self.retire(host);
        }
        silent
    }

    /// Returns the next moment at which silence changes an agent's state.
    pub(crate) fn wake_at(&self) -> MonoTime {
        let next = |member: &MemberRecord| match member.suspect {
            true => member.drop_at,
            false => member.suspect_at,
        };
        self.members
            .values()
            .map(next)
            .min()
            .unwrap_or(MonoTime::MAX)
    }

    /// Returns the interval at which all announcements together stay within the byte rate.
    fn interval(&self, policy: &EntryPolicy) -> Duration {
        let rate = u64::from(policy.announce_bytes_per_second.max(1));
        let bytes: u64 = self.members.values().map(announce_bytes).sum();
        let paced = Duration::from_micros(bytes.saturating_mul(1_000_000) / rate);
        paced.max(policy.announce_interval)
    }

    fn newest_mark(&self, host: &HostId) -> Option<LifeMark> {
        let live = self.members.get(host).map(|member| LifeMark {
            incarnation: member.announce.incarnation,
            sequence: member.announce.sequence,
        });
        live.max(self.retired.get(host).copied())
    }

    fn keep_view(&mut self, announce: &AgentAnnounce) {
        let Some(view) = &announce.view else {
            return;
        };
        let known = self.views.get(&announce.cell).map(|known| known.number);
        if known.is_none_or(|number| number < view.number) {
            self.views.insert(announce.cell, view.clone());
        }
    }

    fn retire(&mut self, host: &HostId) {
        let Some(mark) = self.newest_mark(host) else {
            return;
        };
        self.remove(host);
        if self.retired.len() >= MAX_RETIRED {
            self.retired.pop_first();
        }
        self.retired.insert(host.clone(), mark);
    }

    fn remove(&mut self, host: &HostId) {
        if let Some(member) = self.members.remove(host) {
            self.by_link.remove(&member.announce.link_address);
        }
    }
}

/// Takes note that an agent was heard of; one that was suspect starts slowly again.
fn revive(member: &mut MemberRecord, now: MonoTime) {
    if member.suspect {
        member.since = now;
    }
    member.suspect = false;
}

fn announce_bytes(member: &MemberRecord) -> u64 {
    let view = member.announce.view.as_ref();
    let members = view.map_or(0, |view| view.members.len() as u64);
    ANNOUNCE_BYTES + members * VIEW_MEMBER_BYTES
}
