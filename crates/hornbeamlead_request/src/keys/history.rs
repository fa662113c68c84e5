//! Cell views within the key lifetime, from which the hosts that may know a key are derived.

use crate::keys::KeyName;
use crate::keys::route;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::ids::{HostId, Incarnation};
use hornbeamlead_core::message::control::{CellView, ViewMember};
use hornbeamlead_core::message::request::KeyAnswer;
use hornbeamlead_core::policy::ProcessIdentity;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Maximum number of past views; evicting the oldest restarts the observation.
const MAX_PAST_VIEWS: usize = 256;

/// Hosts to query before a key may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum KeyWitnesses {
    /// These hosts; empty if the key is certain not to have run.
    Query(BTreeSet<HostId>),
    /// The arbiter and the runner that knew the key may both be gone.
    Lost,
}

/// Cell views observed by one agent.
#[derive(Debug)]
pub(crate) struct ViewHistory {
    lifetime: Duration,
    current: Option<CellView>,
    past: BTreeMap<u64, PastView>,
    observed: ObservedSince,
    gap: Option<ViewGap>,
}

/// Gap in the observed views; closed once all other members have reported theirs.
#[derive(Clone, Debug)]
struct ViewGap {
    since: MonoTime,
    reported_by: BTreeSet<(HostId, Incarnation)>,
}

impl ViewGap {
    fn new(now: MonoTime) -> Self {
        Self {
            since: now,
            reported_by: BTreeSet::new(),
        }
    }
}

#[derive(Clone, Debug)]
struct PastView {
    view: CellView,
    expires_at: MonoTime,
}

/// Start of the observation of views; [`ViewGap`] tracks the views missed since then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ObservedSince {
    Never,
    FirstView,
    Time(MonoTime),
}

impl ViewHistory {
    /// Creates the history of a newly started process.
    pub(crate) fn new(lifetime: Duration) -> Self {
        Self {
            lifetime,
            current: None,
            past: BTreeMap::new(),
            observed: ObservedSince::Never,
            gap: None,
        }
    }

    /// Returns the newest view.
    pub(crate) fn current(&self) -> Option<&CellView> {
        self.current.as_ref()
    }

    /// Returns the number of the newest view; 0 if there is none.
    pub(crate) fn number(&self) -> u64 {
        self.current.as_ref().map_or(0, |view| view.number)
    }

    /// Applies the view that the agent knows now; returns whether it is new.
    pub(crate) fn update(&mut self, now: MonoTime, view: Option<&CellView>) -> bool {
        self.expire_past(now);
        let Some(view) = view.filter(|view| view.number > self.number()) else {
            return false;
        };
        let next = view.number == self.number() + 1;
        match self.current.replace(view.clone()) {
            Some(replaced) => {
                if !next {
                    self.gap = Some(ViewGap::new(now));
                }
                self.insert_past(now, replaced);
            }
            None if view.number == CellView::FIRST_NUMBER => {
                self.observed = ObservedSince::FirstView;
            }
            None => {
                self.observed = ObservedSince::Time(now);
                self.gap = Some(ViewGap::new(now));
            }
        }
        true
    }

    /// Merges the history of a peer.
    ///
    /// A gap is closed once all other members have reported their views.
    pub(crate) fn merge(&mut self, now: MonoTime, identity: &ProcessIdentity, answer: &KeyAnswer) {
        for view in &answer.past {
            if view.number < self.number() {
                self.insert_past(now, view.clone());
            }
        }
        self.observed = match (self.observed, answer.observed_for) {
            (ObservedSince::FirstView, _) | (_, Duration::MAX) => ObservedSince::FirstView,
            (ObservedSince::Time(since), span) => ObservedSince::Time(since.min(now.minus(span))),
            (ObservedSince::Never, _) => ObservedSince::Never,
        };
        let Some(ViewGap { reported_by, .. }) = &mut self.gap else {
            return;
        };
        reported_by.insert((answer.host.clone(), answer.incarnation));
        let members = self.current.iter().flat_map(|view| &view.members);
        let all_reported = members
            .filter(|member| !is_self(identity, member))
            .all(|member| reported_by.contains(&(member.host.clone(), member.incarnation)));
        if all_reported {
            self.gap = None;
        }
    }

    /// Returns for how long views were observed, gaps aside; `Duration::MAX` since the first view.
    pub(crate) fn observed_for(&self, now: MonoTime) -> Duration {
        match self.observed {
            ObservedSince::Never => Duration::ZERO,
            ObservedSince::FirstView => Duration::MAX,
            ObservedSince::Time(since) => now.since(since),
        }
    }

    /// Returns the past views that have not expired.
    pub(crate) fn past(&self) -> Vec<CellView> {
        self.past.values().map(|past| past.view.clone()).collect()
    }

    /// Returns whether all views within the key lifetime are known.
    pub(crate) fn complete(&self, now: MonoTime) -> bool {
        let gap_closed = match &self.gap {
            Some(gap) => now.since(gap.since) >= self.lifetime,
            None => true,
        };
        gap_closed && self.contiguous() && self.observed_for(now) >= self.lifetime
    }

    /// Returns whether the known views have consecutive numbers within each planner's term.
    fn contiguous(&self) -> bool {
        let known = self.past.keys().copied().chain([self.number()]);
        let numbers: Vec<u64> = known.collect();
        numbers.windows(2).all(|pair| match pair {
            [earlier, later] => earlier + 1 >= *later || term(*earlier) != term(*later),
            _ => true,
        })
    }

    /// Removes expired views, the oldest first, so that no gap arises between the remaining ones.
    fn expire_past(&mut self, now: MonoTime) {
        while let Some(oldest) = self.past.first_entry() {
            if oldest.get().expires_at > now {
                return;
            }
            oldest.remove();
        }
    }

    /// Returns the member of the newest view on a host.
    pub(crate) fn member(&self, host: &HostId) -> Option<&ViewMember> {
        let view = self.current.as_ref()?;
        view.members.iter().find(|member| member.host == *host)
    }

    /// Returns whether this process is the key's arbiter under the newest view.
    pub(crate) fn arbitrates(&self, identity: &ProcessIdentity, name: &KeyName) -> bool {
        let arbiter = self
            .current
            .as_ref()
            .and_then(|view| route::arbiter(&name.service, &name.key, view));
        arbiter.is_some_and(|member| is_self(identity, member))
    }

    /// Returns the hosts of all other members of the newest view.
    pub(crate) fn other_members(&self, identity: &ProcessIdentity) -> BTreeSet<HostId> {
        let members = self.current.iter().flat_map(|view| &view.members);
        members
            .filter(|member| !is_self(identity, member))
            .map(|member| member.host.clone())
            .collect()
    }

    /// Returns the hosts to query about a key, according to the known views.
    ///
    /// A key that ran under a view was recorded by the view's arbiter and by a runner on another
    /// host. The arbiter alone can answer if it is still present; otherwise all other members
    /// of the view have to.
    pub(crate) fn witnesses(&self, identity: &ProcessIdentity, name: &KeyName) -> KeyWitnesses {
        let mut hosts_to_query = BTreeSet::new();
        for past in self.past.values() {
            match self.witnesses_of(identity, name, &past.view) {
                KeyWitnesses::Query(hosts) => hosts_to_query.extend(hosts),
                KeyWitnesses::Lost => return KeyWitnesses::Lost,
            }
        }
        KeyWitnesses::Query(hosts_to_query)
    }

    fn witnesses_of(
        &self,
        identity: &ProcessIdentity,
        name: &KeyName,
        view: &CellView,
    ) -> KeyWitnesses {
        let Some(arbiter) = route::arbiter(&name.service, &name.key, view) else {
            return KeyWitnesses::Query(BTreeSet::new());
        };
        if is_self(identity, arbiter) {
            return KeyWitnesses::Query(BTreeSet::new());
        }
        if self.is_present(arbiter) {
            return KeyWitnesses::Query(BTreeSet::from([arbiter.host.clone()]));
        }
        let others = || view.members.iter().filter(|member| *member != arbiter);
        let all_present =
            others().all(|member| self.is_present(member) || is_self(identity, member));
        if others().next().is_none() || !all_present {
            return KeyWitnesses::Lost;
        }
        let hosts_to_query = others().filter(|member| !is_self(identity, member));
        KeyWitnesses::Query(hosts_to_query.map(|member| member.host.clone()).collect())
    }

    fn is_present(&self, member: &ViewMember) -> bool {
        self.member(&member.host)
            .is_some_and(|known| known.incarnation == member.incarnation)
    }

    fn insert_past(&mut self, now: MonoTime, view: CellView) {
        let expires_at = now.plus(self.lifetime);
        self.past
            .entry(view.number)
            .or_insert(PastView { view, expires_at });
        if self.past.len() > MAX_PAST_VIEWS {
            self.past.pop_first();
            self.observed = ObservedSince::Time(now);
        }
    }
}

/// Returns the planner's term in which a view was issued.
fn term(number: u64) -> u64 {
    number / CellView::FIRST_NUMBER
}

/// Returns whether a member of a view is this incarnation of this process.
pub(crate) fn is_self(identity: &ProcessIdentity, member: &ViewMember) -> bool {
    member.host == identity.host && member.incarnation == identity.incarnation
}
