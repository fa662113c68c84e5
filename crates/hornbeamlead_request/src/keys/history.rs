//! Views of the cell within a key's lifetime: who may know of a key, and what may be lost.

use crate::keys::KeyName;
use crate::keys::route;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::ids::{HostId, Incarnation};
use hornbeamlead_core::message::control::{CellView, ViewMember};
use hornbeamlead_core::message::request::KeyAnswer;
use hornbeamlead_core::policy::ProcessIdentity;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Views kept at most; beyond it the oldest is forgotten, and with it what came before.
const MAX_PAST_VIEWS: usize = 256;

/// Who has to be asked before a key may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum KeyWitnesses {
    /// These hosts; none if it is certain already.
    Ask(BTreeSet<HostId>),
    /// Both hosts that knew of the key may be gone.
    Lost,
}

/// Views followed by one agent.
#[derive(Debug)]
pub(crate) struct ViewHistory {
    lifetime: Duration,
    current: Option<CellView>,
    past: BTreeMap<u64, PastView>,
    followed: FollowedSince,
    gap: Option<ViewGap>,
}

/// Gap in the views followed, until all other members have told theirs.
#[derive(Clone, Debug)]
struct ViewGap {
    since: MonoTime,
    told_by: BTreeSet<(HostId, Incarnation)>,
}

impl ViewGap {
    fn new(now: MonoTime) -> Self {
        Self {
            since: now,
            told_by: BTreeSet::new(),
        }
    }
}

#[derive(Clone, Debug)]
struct PastView {
    view: CellView,
    matters_until: MonoTime,
}

/// From when on views were followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FollowedSince {
    Nothing,
    FirstView,
    Moment(MonoTime),
}

impl ViewHistory {
    /// Makes the history of a process that has just started.
    pub(crate) fn new(lifetime: Duration) -> Self {
        Self {
            lifetime,
            current: None,
            past: BTreeMap::new(),
            followed: FollowedSince::Nothing,
            gap: None,
        }
    }

    /// Returns the newest view.
    pub(crate) fn current(&self) -> Option<&CellView> {
        self.current.as_ref()
    }

    /// Returns the number of the newest view; 0 while there is none.
    pub(crate) fn number(&self) -> u64 {
        self.current.as_ref().map_or(0, |view| view.number)
    }

    /// Takes the view that the agent knows now; returns whether it is a new one.
    pub(crate) fn follow(&mut self, now: MonoTime, view: Option<&CellView>) -> bool {
        self.forget_old(now);
        let Some(view) = view.filter(|view| view.number > self.number()) else {
            return false;
        };
        let next = view.number == self.number() + 1;
        match self.current.replace(view.clone()) {
            Some(replaced) => {
                if !next {
                    self.gap = Some(ViewGap::new(now));
                }
                self.keep(now, replaced);
            }
            None if view.number == CellView::FIRST_NUMBER => {
                self.followed = FollowedSince::FirstView;
            }
            None => {
                self.followed = FollowedSince::Moment(now);
                self.gap = Some(ViewGap::new(now));
            }
        }
        true
    }

    /// Takes the history of a peer.
    ///
    /// Views that were missed are known once all other members have told theirs.
    pub(crate) fn learn(&mut self, now: MonoTime, place: &ProcessIdentity, answer: &KeyAnswer) {
        for view in &answer.past {
            if view.number < self.number() {
                self.keep(now, view.clone());
            }
        }
        self.followed = match (self.followed, answer.observed_for) {
            (FollowedSince::FirstView, _) | (_, Duration::MAX) => FollowedSince::FirstView,
            (FollowedSince::Moment(since), span) => {
                FollowedSince::Moment(since.min(now.minus(span)))
            }
            (FollowedSince::Nothing, _) => FollowedSince::Nothing,
        };
        let Some(ViewGap { told_by, .. }) = &mut self.gap else {
            return;
        };
        told_by.insert((answer.host.clone(), answer.incarnation));
        let members = self.current.iter().flat_map(|view| &view.members);
        let all_told = members
            .filter(|member| !is_self(place, member))
            .all(|member| told_by.contains(&(member.host.clone(), member.incarnation)));
        if all_told {
            self.gap = None;
        }
    }

    /// Returns for how long views were followed, missed ones aside; `Duration::MAX` since the first one.
    pub(crate) fn observed_for(&self, now: MonoTime) -> Duration {
        match self.followed {
            FollowedSince::Nothing => Duration::ZERO,
            FollowedSince::FirstView => Duration::MAX,
            FollowedSince::Moment(since) => now.since(since),
        }
    }

    /// Returns the views before the newest one that still matter.
    pub(crate) fn past(&self) -> Vec<CellView> {
        self.past.values().map(|past| past.view.clone()).collect()
    }

    /// Returns whether all views of a key's lifetime are known.
    pub(crate) fn complete(&self, now: MonoTime) -> bool {
        let closed = match &self.gap {
            Some(gap) => now.since(gap.since) >= self.lifetime,
            None => true,
        };
        closed && self.contiguous() && self.observed_for(now) >= self.lifetime
    }

    /// Returns whether no number is missing among the views that are known of each planner's term.
    fn contiguous(&self) -> bool {
        let known = self.past.keys().copied().chain([self.number()]);
        let numbers: Vec<u64> = known.collect();
        numbers.windows(2).all(|pair| match pair {
            [earlier, later] => earlier + 1 >= *later || term(*earlier) != term(*later),
            _ => true,
        })
    }

    /// Forgets views that do not matter any more, the oldest first, so that none is missing between.
    fn forget_old(&mut self, now: MonoTime) {
        while let Some(oldest) = self.past.first_entry() {
            if oldest.get().matters_until > now {
                return;
            }
            oldest.remove();
        }
    }

    /// Returns a member of the newest view by host.
    pub(crate) fn member(&self, host: &HostId) -> Option<&ViewMember> {
        let view = self.current.as_ref()?;
        view.members.iter().find(|member| member.host == *host)
    }

    /// Returns whether this process is the key's arbiter under the newest view.
    pub(crate) fn arbitrates(&self, place: &ProcessIdentity, name: &KeyName) -> bool {
        let arbiter = self
            .current
            .as_ref()
            .and_then(|view| route::arbiter(&name.service, &name.key, view));
        arbiter.is_some_and(|member| is_self(place, member))
    }

    /// Returns all other members of the newest view.
    pub(crate) fn others(&self, place: &ProcessIdentity) -> BTreeSet<HostId> {
        let members = self.current.iter().flat_map(|view| &view.members);
        members
            .filter(|member| !is_self(place, member))
            .map(|member| member.host.clone())
            .collect()
    }

    /// Returns who has to be asked about a key, by the views that are known.
    ///
    /// A view's arbiter recorded every key that ran under it, and so did a runner on another host. So
    /// its arbiter alone decides if it is still there; else all others of that view have to be.
    pub(crate) fn witnesses(&self, place: &ProcessIdentity, name: &KeyName) -> KeyWitnesses {
        let mut asked = BTreeSet::new();
        for past in self.past.values() {
            match self.witnesses_of(place, name, &past.view) {
                KeyWitnesses::Ask(hosts) => asked.extend(hosts),
                KeyWitnesses::Lost => return KeyWitnesses::Lost,
            }
        }
        KeyWitnesses::Ask(asked)
    }

    fn witnesses_of(
        &self,
        place: &ProcessIdentity,
        name: &KeyName,
        view: &CellView,
    ) -> KeyWitnesses {
        let Some(arbiter) = route::arbiter(&name.service, &name.key, view) else {
            return KeyWitnesses::Ask(BTreeSet::new());
        };
        if is_self(place, arbiter) {
            return KeyWitnesses::Ask(BTreeSet::new());
        }
        if self.still_there(arbiter) {
            return KeyWitnesses::Ask(BTreeSet::from([arbiter.host.clone()]));
        }
        let others = || view.members.iter().filter(|member| *member != arbiter);
        let all_there = others().all(|member| self.still_there(member) || is_self(place, member));
        if others().next().is_none() || !all_there {
            return KeyWitnesses::Lost;
        }
        let asked = others().filter(|member| !is_self(place, member));
        KeyWitnesses::Ask(asked.map(|member| member.host.clone()).collect())
    }

    fn still_there(&self, member: &ViewMember) -> bool {
        self.member(&member.host)
            .is_some_and(|known| known.incarnation == member.incarnation)
    }

    fn keep(&mut self, now: MonoTime, view: CellView) {
        let matters_until = now.plus(self.lifetime);
        self.past.entry(view.number).or_insert(PastView {
            view,
            matters_until,
        });
        if self.past.len() > MAX_PAST_VIEWS {
            self.past.pop_first();
            self.followed = FollowedSince::Moment(now);
        }
    }
}

/// Returns the planner's term in which a view was made.
fn term(number: u64) -> u64 {
    number / CellView::FIRST_NUMBER
}

/// Tells whether a member of a view is this process, in this life.
pub(crate) fn is_self(place: &ProcessIdentity, member: &ViewMember) -> bool {
    member.host == place.host && member.incarnation == place.incarnation
}
