//! Exchange of notices with other entries: tells of this entry's jobs that may be stored, and takes
//! those of others.

use super::EntryMachine;
use super::append::PendingAppend;
use crate::effect::{Effect, LinkId};
use crate::notice::{LateJob, MAX_NOTICES, NoticeMessage};
use crate::operators::OperatorFormat;
use hornbeamlead_core::clock::MonoTime;

impl<F: OperatorFormat> EntryMachine<F> {
    /// Takes a message of an agent.
    pub(super) fn take_notices(&mut self, now: MonoTime, link: LinkId, message: &NoticeMessage) {
        if !self.rendezvous.heard(link) {
            return;
        }
        for late in message.late_jobs(now) {
            if !self.uncertain.add_told(late) {
                self.effects.push(Effect::Count("notices_full"));
            }
        }
    }

    /// Keeps the links to agents, and sends on each what is due.
    pub(super) fn exchange_notices(&mut self, now: MonoTime) {
        self.rendezvous.poll(now, &mut self.effects);
        let fresh = std::mem::take(&mut self.fresh_late);
        for (link, all) in self.rendezvous.open_links(now) {
            let message = match all {
                true => NoticeMessage::new(now, self.late_jobs()),
                false if fresh.is_empty() => continue,
                false => NoticeMessage::new(now, fresh.iter().copied()),
            };
            self.effects.push(Effect::Notices { link, message });
            self.rendezvous.sent(now, link, all);
        }
    }

    /// Returns this entry's jobs that may be stored, those first that may be for longest.
    fn late_jobs(&self) -> Vec<LateJob> {
        let pending = self.pending.values().filter_map(PendingAppend::late_job);
        let mut late: Vec<_> = pending.chain(self.uncertain.own()).collect();
        late.sort_unstable_by_key(|late| std::cmp::Reverse(late.until));
        late.truncate(MAX_NOTICES);
        late
    }
}
