//! Agents known to an entry from their announcements.

use crate::entry::member::MemberRecord;
use crate::entry::ring::{RingOwner, ServiceRing};
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::ids::{CellId, HostId, Incarnation, ServiceName};
use hornbeamlead_core::message::control::{AgentAnnounce, CellView};
use hornbeamlead_core::policy::{EntryPolicy, ProcessIdentity};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Lower bound of the size of an announcement and its reply, headers included, in bytes.
const ANNOUNCE_BYTES: u64 = 400;

/// Additional bytes for each member of a view in an announcement.
const VIEW_MEMBER_BYTES: u64 = 40;

/// Lower bound of the suspicion timeout, in announcement intervals.
const SUSPECT_INTERVALS: u32 = 3;

/// Lower bound of the drop timeout, in announcement intervals.
const DROP_INTERVALS: u32 = 10;

/// Maximum number of tombstones of dropped agents.
const MAX_TOMBSTONES: usize = 20_000;

/// Position of an announcement in its agent's history; orders late and duplicate announcements.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct AnnounceVersion {
    incarnation: Incarnation,
    sequence: u64,
}

/// Effect of an announcement on the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnnounceVerdict {
    /// Ignored: it arrived late or is from an earlier incarnation.
    Stale,
    /// The agent's record was refreshed.
    Refreshed,
    /// The agent is new, or has a new incarnation.
    Joined,
}

/// Agents whose silence changed their state.
#[derive(Debug, Default)]
pub(crate) struct SilentAgents {
    /// Agents that became suspect.
    pub(crate) suspected: Vec<HostId>,
    /// Agents that were dropped.
    pub(crate) dropped: Vec<HostId>,
}

/// Known agents, the rings of their services and the views of their cells.
#[derive(Debug)]
pub(crate) struct AgentDirectory {
    owner: RingOwner,
    members: BTreeMap<HostId, MemberRecord>,
    rings: BTreeMap<ServiceName, ServiceRing>,
    /// One timer per member, due no later than its silence deadline.
    silence_timers: BTreeSet<(MonoTime, HostId)>,
    /// Total size of one announcement per member and its reply, in bytes.
    announce_bytes: u64,
    by_link: BTreeMap<SocketAddr, HostId>,
    tombstones: BTreeMap<HostId, AnnounceVersion>,
    views: BTreeMap<CellId, CellView>,
}

impl AgentDirectory {
    pub(crate) fn new(identity: &ProcessIdentity) -> Self {
        Self {
            owner: RingOwner {
                host: identity.host.clone(),
                data_centre: identity.data_centre.clone(),
            },
            members: BTreeMap::new(),
            rings: BTreeMap::new(),
            silence_timers: BTreeSet::new(),
            announce_bytes: 0,
            by_link: BTreeMap::new(),
            tombstones: BTreeMap::new(),
            views: BTreeMap::new(),
        }
    }

    pub(crate) fn members(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values()
    }

    pub(crate) fn get(&self, host: &HostId) -> Option<&MemberRecord> {
        self.members.get(host)
    }

    /// Returns the workers of a service in preference order; `None` for an unknown service.
    pub(crate) fn ring(&self, service: &ServiceName) -> Option<&ServiceRing> {
        self.rings.get(service)
    }

    pub(crate) fn get_mut(&mut self, host: &HostId) -> Option<&mut MemberRecord> {
        self.members.get_mut(host)
    }

    /// Returns the agent that owns a link address.
    pub(crate) fn by_link_mut(&mut self, address: SocketAddr) -> Option<&mut MemberRecord> {
        let host = self.by_link.get(&address)?;
        self.members.get_mut(host)
    }

    /// Returns the newest view of a cell.
    pub(crate) fn view(&self, cell: CellId) -> Option<&CellView> {
        self.views.get(&cell)
    }

    /// Applies an announcement.
    pub(crate) fn apply_announce(
        &mut self,
        now: MonoTime,
        from: SocketAddr,
        announce: AgentAnnounce,
    ) -> AnnounceVerdict {
        let version = AnnounceVersion {
            incarnation: announce.incarnation,
            sequence: announce.sequence,
        };
        match self.newest_version(&announce.host) {
            Some(newest) if version <= newest => return AnnounceVerdict::Stale,
            Some(_) | None => {}
        }
        self.tombstones.remove(&announce.host);
        self.store_view(&announce);
        let known = self.members.get(&announce.host);
        match known.is_some_and(|member| member.announce.incarnation == announce.incarnation) {
            true => {
                self.refresh(now, from, announce);
                AnnounceVerdict::Refreshed
            }
            false => {
                self.remove(&announce.host);
                self.insert(MemberRecord::new(announce, from, now));
                AnnounceVerdict::Joined
            }
        }
    }

    /// Restarts an agent's silence timeouts and returns the delay until its next announcement.
    pub(crate) fn renew_timeouts(
        &mut self,
        now: MonoTime,
        host: &HostId,
        policy: &EntryPolicy,
    ) -> Duration {
        let interval = self.interval(policy);
        if let Some(member) = self.members.get_mut(host) {
            let suspect_after = policy.suspect_after.max(interval * SUSPECT_INTERVALS);
            let drop_after = policy.drop_after.max(interval * DROP_INTERVALS);
            member.suspect_at = now.plus(suspect_after);
            member.drop_at = now.plus(drop_after);
            if member.silence_timer == MonoTime::MAX {
                self.schedule_silence_check(host);
            }
        }
        interval
    }

    /// Marks silent agents as suspect, drops suspects that stayed silent, and returns both.
    ///
    /// Dropped agents leave a tombstone, so that their late announcements are recognized as stale.
    pub(crate) fn check_silence(&mut self, now: MonoTime) -> SilentAgents {
        let mut silent = SilentAgents::default();
        while self
            .silence_timers
            .first()
            .is_some_and(|(due, _)| *due <= now)
        {
            let Some((due, host)) = self.silence_timers.pop_first() else {
                break;
            };
            let member = self.members.get_mut(&host);
            match member.filter(|member| member.silence_timer == due) {
                None => continue,
                Some(member) if member.suspect && now >= member.drop_at => {
                    silent.dropped.push(host.clone());
                    self.drop_member(&host);
                    continue;
                }
                Some(member) if !member.suspect && now >= member.suspect_at => {
                    member.suspect = true;
                    silent.suspected.push(host.clone());
                }
                Some(_) => {}
            }
            self.schedule_silence_check(&host);
        }
        silent
    }

    /// Returns the time of the next silence check.
    pub(crate) fn wake_at(&self) -> MonoTime {
        self.silence_timers
            .first()
            .map_or(MonoTime::MAX, |(due, _)| *due)
    }

    /// Returns the interval at which all announcements together stay within the byte rate.
    fn interval(&self, policy: &EntryPolicy) -> Duration {
        let rate = u64::from(policy.announce_bytes_per_second.max(1));
        let rate_limited =
            Duration::from_micros(self.announce_bytes.saturating_mul(1_000_000) / rate);
        rate_limited.max(policy.announce_interval)
    }

    fn schedule_silence_check(&mut self, host: &HostId) {
        if let Some(member) = self.members.get_mut(host) {
            member.silence_timer = member.silence_deadline();
            self.silence_timers
                .insert((member.silence_timer, host.clone()));
        }
    }

    /// Replaces the announcement of a known incarnation.
    fn refresh(&mut self, now: MonoTime, from: SocketAddr, announce: AgentAnnounce) {
        let Some(mut member) = self.detach(&announce.host) else {
            return;
        };
        mark_alive(&mut member, now);
        member.record_load(announce.load);
        member.control_address = from;
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

    fn detach(&mut self, host: &HostId) -> Option<MemberRecord> {
        let member = self.members.remove(host)?;
        self.announce_bytes -= announce_bytes(&member);
        self.by_link.remove(&member.announce.link_address);
        for service in &member.announce.services {
            self.remove_from_ring(service, host);
        }
        Some(member)
    }

    fn remove_from_ring(&mut self, service: &ServiceName, host: &HostId) {
        let Some(ring) = self.rings.get_mut(service) else {
            return;
        };
        ring.remove(&self.owner, host);
        if ring.is_empty() {
            self.rings.remove(service);
        }
    }

    fn newest_version(&self, host: &HostId) -> Option<AnnounceVersion> {
        let live = self.members.get(host).map(|member| AnnounceVersion {
            incarnation: member.announce.incarnation,
            sequence: member.announce.sequence,
        });
        live.max(self.tombstones.get(host).copied())
    }

    fn store_view(&mut self, announce: &AgentAnnounce) {
        let Some(view) = &announce.view else {
            return;
        };
        let known = self.views.get(&announce.cell).map(|known| known.number);
        if known.is_none_or(|number| number < view.number) {
            self.views.insert(announce.cell, view.clone());
        }
    }

    fn drop_member(&mut self, host: &HostId) {
        let Some(version) = self.newest_version(host) else {
            return;
        };
        self.remove(host);
        if self.tombstones.len() >= MAX_TOMBSTONES {
            self.tombstones.pop_first();
        }
        self.tombstones.insert(host.clone(), version);
    }

    fn remove(&mut self, host: &HostId) {
        if let Some(member) = self.detach(host) {
            self.silence_timers
                .remove(&(member.silence_timer, host.clone()));
        }
    }
}

/// Marks an agent as alive; one that was suspect goes through slow start again.
fn mark_alive(member: &mut MemberRecord, now: MonoTime) {
    if member.suspect {
        member.slow_start_from = now;
    }
    member.suspect = false;
}

fn announce_bytes(member: &MemberRecord) -> u64 {
    let view = member.announce.view.as_ref();
    let members = view.map_or(0, |view| view.members.len() as u64);
    ANNOUNCE_BYTES + members * VIEW_MEMBER_BYTES
}
