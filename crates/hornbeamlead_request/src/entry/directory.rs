//! Agents that an entry knows from their announcements.

use crate::entry::member::MemberRecord;
use crate::entry::ring::{RingOwner, ServiceRing};
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::ids::{CellId, HostId, Incarnation, ServiceName};
use hornbeamlead_core::message::control::{AgentAnnounce, CellView};
use hornbeamlead_core::policy::{EntryPolicy, ProcessIdentity};
use std::collections::{BTreeMap, BTreeSet};
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

/// Agents whose silence changed their state.
#[derive(Debug, Default)]
pub(crate) struct SilentAgents {
    /// Newly suspect.
    pub(crate) suspected: Vec<HostId>,
    /// Dropped.
    pub(crate) dropped: Vec<HostId>,
}

/// Agents known, with the views of their cells.
#[derive(Debug)]
pub(crate) struct AgentDirectory {
    owner: RingOwner,
    members: BTreeMap<HostId, MemberRecord>,
    rings: BTreeMap<ServiceName, ServiceRing>,
    /// One entry a member, at or before the next moment at which its silence matters.
    silences: BTreeSet<(MonoTime, HostId)>,
    /// Sum over all members of what one announcement and its answer take.
    announce_bytes: u64,
    by_link: BTreeMap<SocketAddr, HostId>,
    retired: BTreeMap<HostId, LifeMark>,
    views: BTreeMap<CellId, CellView>,
}

impl AgentDirectory {
    /// Makes the empty directory of an entry.
    pub(crate) fn new(place: &ProcessIdentity) -> Self {
        Self {
            owner: RingOwner {
                host: place.host.clone(),
                data_centre: place.data_centre.clone(),
            },
            members: BTreeMap::new(),
            rings: BTreeMap::new(),
            silences: BTreeSet::new(),
            announce_bytes: 0,
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

    /// Returns the workers of a service in the order of preference; none for an unknown service.
    pub(crate) fn ring(&self, service: &ServiceName) -> Option<&ServiceRing> {
        self.rings.get(service)
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
        let known = self.members.get(&announce.host);
        match known.is_some_and(|member| member.announce.incarnation == announce.incarnation) {
            true => {
                self.renew(now, from, announce);
                AnnounceVerdict::Known
            }
            false => {
                self.remove(&announce.host);
                self.insert(MemberRecord::new(announce, from, now));
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
            if member.silence_queued == MonoTime::MAX {
                self.queue_silence(host);
            }
        }
        interval
    }

    /// Marks agents that were silent as suspect, drops those that stayed silent, and returns both.
    ///
    /// The lives of the dropped ones are remembered.
    pub(crate) fn pass_silence(&mut self, now: MonoTime) -> SilentAgents {
        let mut silent = SilentAgents::default();
        while self.silences.first().is_some_and(|(due, _)| *due <= now) {
            let Some((due, host)) = self.silences.pop_first() else {
                break;
            };
            let member = self.members.get_mut(&host);
            match member.filter(|member| member.silence_queued == due) {
                None => continue,
                Some(member) if member.suspect && now >= member.drop_at => {
                    silent.dropped.push(host.clone());
                    self.retire(&host);
                    continue;
                }
                Some(member) if !member.suspect && now >= member.suspect_at => {
                    member.suspect = true;
                    silent.suspected.push(host.clone());
                }
                Some(_) => {}
            }
            self.queue_silence(&host);
        }
        silent
    }

    /// Returns the next moment at which silence may change an agent's state.
    pub(crate) fn wake_at(&self) -> MonoTime {
        self.silences.first().map_or(MonoTime::MAX, |(due, _)| *due)
    }

    /// Returns the interval at which all announcements together stay within the byte rate.
    fn interval(&self, policy: &EntryPolicy) -> Duration {
        let rate = u64::from(policy.announce_bytes_per_second.max(1));
        let paced = Duration::from_micros(self.announce_bytes.saturating_mul(1_000_000) / rate);
        paced.max(policy.announce_interval)
    }

    fn queue_silence(&mut self, host: &HostId) {
        if let Some(member) = self.members.get_mut(host) {
            member.silence_queued = member.silence_due();
            self.silences.insert((member.silence_queued, host.clone()));
        }
    }

    /// Replaces the announcement of a known life.
    fn renew(&mut self, now: MonoTime, from: SocketAddr, announce: AgentAnnounce) {
        let Some(mut member) = self.take(&announce.host) else {
            return;
        };
        revive(&mut member, now);
        member.note_load(announce.load);
        member.control = from;
        member.announce = announce;
        self.insert(member);
    }

    fn insert(&mut self, member: MemberRecord) {
        let host = &member.announce.host;
        self.announce_bytes += announce_bytes(&member);
        self.by_link
            .insert(member.announce.link_address, host.clone());
        for service in &member.announce.services {
            let ring = self.rings.entry(service.clone()).or_default();
            ring.insert(&self.owner, host, &member.announce.data_centre);
        }
        self.members.insert(host.clone(), member);
    }

    fn take(&mut self, host: &HostId) -> Option<MemberRecord> {
        let member = self.members.remove(host)?;
        self.announce_bytes -= announce_bytes(&member);
        self.by_link.remove(&member.announce.link_address);
        for service in &member.announce.services {
            self.leave_ring(service, host);
        }
        Some(member)
    }

    fn leave_ring(&mut self, service: &ServiceName, host: &HostId) {
        let Some(ring) = self.rings.get_mut(service) else {
            return;
        };
        ring.remove(&self.owner, host);
        if ring.is_empty() {
            self.rings.remove(service);
        }
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
        if let Some(member) = self.take(host) {
            self.silences.remove(&(member.silence_queued, host.clone()));
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
