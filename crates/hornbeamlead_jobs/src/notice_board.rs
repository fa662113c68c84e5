//! Notice board of an agent: holds the notices of entries for a while and passes them on to all
//! entries that have a link to the agent.

use crate::effect::{Effect, LinkId};
use crate::ids::JobId;
use crate::notice::{LateJob, NoticeMessage};
use hornbeamlead_core::clock::MonoTime;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time for which a notice is held after it was last received. Entries repeat theirs every 10 s; the
/// rest is for entries that start after the sender was lost.
const HOLD_TIME: Duration = Duration::from_secs(60);

/// Maximum number of held notices.
const MAX_HELD: usize = 8192;

/// Maximum number of entries that have a link; further ones use another agent.
const MAX_READERS: usize = 1024;

/// Time after the last message of an entry at which its link is given up; three of its intervals.
const READER_TIMEOUT: Duration = Duration::from_secs(30);

/// Minimum time between two messages of new notices, so that one message holds several.
const PASS_INTERVAL: Duration = Duration::from_millis(200);

/// Difference by which a repeated notice has to last longer to be passed on again.
const EXTENSION: Duration = Duration::from_secs(1);

/// Event of a notice board.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NoticeEvent {
    /// A message of an entry arrived.
    Message {
        /// Link on which it arrived.
        link: LinkId,
        /// Message of the entry.
        message: NoticeMessage,
    },
    /// A link has closed.
    Closed(LinkId),
    /// Periodic event.
    Tick,
}

#[derive(Clone, Copy, Debug)]
struct HeldNotice {
    until: MonoTime,
    held_until: MonoTime,
}

/// State machine of a notice board.
#[derive(Clone, Debug, Default)]
pub struct NoticeBoard {
    held: BTreeMap<JobId, HeldNotice>,
    /// Links of entries, with the time of their last message.
    readers: BTreeMap<LinkId, MonoTime>,
    /// Jobs that were not passed on yet.
    fresh: BTreeSet<JobId>,
    pass_at: MonoTime,
    /// Time at which something is to be removed, at the earliest.
    expire_at: MonoTime,
    effects: Vec<Effect>,
}

impl NoticeBoard {
    /// Handles an event and returns the effects to perform.
    pub fn handle(&mut self, now: MonoTime, event: NoticeEvent) -> Vec<Effect> {
        match event {
            NoticeEvent::Message { link, message } => self.take(now, link, &message),
            NoticeEvent::Closed(link) => drop(self.readers.remove(&link)),
            NoticeEvent::Tick => {}
        }
        if now >= self.expire_at {
            self.expire(now);
        }
        if now >= self.pass_at && !self.fresh.is_empty() {
            self.pass_on(now);
        }
        std::mem::take(&mut self.effects)
    }

    fn take(&mut self, now: MonoTime, link: LinkId, message: &NoticeMessage) {
        let is_known = self.readers.contains_key(&link);
        if !is_known && self.readers.len() >= MAX_READERS {
            self.effects.push(Effect::Count("notice_links_full"));
            return self.effects.push(Effect::CloseLink { link });
        }
        self.readers.insert(link, now);
        for late in message.late_jobs(now) {
            self.hold(now, late);
        }
        let answer = match is_known {
            true => Vec::new(),
            false => self.late_jobs(self.held.keys()),
        };
        self.send(link, NoticeMessage::split(now, &answer));
    }

    fn hold(&mut self, now: MonoTime, late: LateJob) {
        let held_until = now.plus(HOLD_TIME);
        let is_full = self.held.len() >= MAX_HELD;
        match self.held.get_mut(&late.job) {
            Some(held) => {
                held.held_until = held_until;
                // A time that has passed is repeated for entries that start later only.
                if late.until > now && late.until.since(held.until) > EXTENSION {
                    held.until = late.until;
                    self.fresh.insert(late.job);
                }
            }
            None if is_full => self.effects.push(Effect::Count("notices_full")),
            None => {
                let until = late.until;
                self.held.insert(late.job, HeldNotice { until, held_until });
                self.fresh.insert(late.job);
            }
        }
    }

    fn late_jobs<'a>(&self, jobs: impl Iterator<Item = &'a JobId>) -> Vec<LateJob> {
        let late = |job: &JobId| {
            let until = self.held.get(job)?.until;
            Some(LateJob { job: *job, until })
        };
        jobs.filter_map(late).collect()
    }

    fn send(&mut self, link: LinkId, messages: Vec<NoticeMessage>) {
        let effects = messages
            .into_iter()
            .map(|message| Effect::Notices { link, message });
        self.effects.extend(effects);
    }

    fn pass_on(&mut self, now: MonoTime) {
        let fresh = std::mem::take(&mut self.fresh);
        let messages = NoticeMessage::split(now, &self.late_jobs(fresh.iter()));
        let links: Vec<_> = self.readers.keys().copied().collect();
        for link in links {
            self.send(link, messages.clone());
        }
        self.pass_at = now.plus(PASS_INTERVAL);
    }

    /// Removes old notices, and gives up links on which nothing arrives.
    fn expire(&mut self, now: MonoTime) {
        self.held.retain(|_, held| now < held.held_until);
        let is_silent = |heard: &MonoTime| now.since(*heard) > READER_TIMEOUT;
        let silent = self.readers.iter().filter(|(_, heard)| is_silent(heard));
        let silent: Vec<_> = silent.map(|(link, _)| *link).collect();
        for link in silent {
            self.readers.remove(&link);
            self.effects.push(Effect::CloseLink { link });
        }
        self.expire_at = now.plus(Duration::from_secs(1));
    }
}
