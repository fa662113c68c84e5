//! Load balancing: power of two choices over a bounded subset, with data-centre locality.

use crate::entry::directory::AgentDirectory;
use crate::entry::member::MemberRecord;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::fleet::FleetState;
use hornbeamlead_core::ids::{DataCentreName, HostId, Revision, ServiceName};
use hornbeamlead_core::policy::{BalanceRule, EntryPolicy, ProcessIdentity};
use rand::Rng;
use rand::rngs::SmallRng;

/// Share of the subset reserved for workers of the entry's own data centre, in percent.
const LOCAL_PERCENT: usize = 75;

/// Largest share of a service's workers that may be ejected at the same time, in percent.
const MAX_EJECTED_PERCENT: usize = 34;

/// Inputs of a choice.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ChoiceInput<'a> {
    pub(crate) now: MonoTime,
    /// Entry that makes the choice.
    pub(crate) identity: &'a ProcessIdentity,
    /// Policy of that entry.
    pub(crate) policy: &'a EntryPolicy,
    /// Fleet configuration in force.
    pub(crate) fleet: &'a FleetState,
    /// Known agents.
    pub(crate) directory: &'a AgentDirectory,
    /// Service of the request.
    pub(crate) service: &'a ServiceName,
    /// Hosts that already received an attempt of the request.
    pub(crate) tried: &'a [HostId],
}

/// Returns whether a data centre may receive new requests.
pub(crate) fn centre_in_service(fleet: &FleetState, centre: &DataCentreName) -> bool {
    fleet.revision() == Revision(0) || fleet.in_service(centre)
}

/// Chooses a worker for a request; `None` if no worker accepts it.
pub(crate) fn choose(input: ChoiceInput<'_>, random: &mut SmallRng) -> Option<HostId> {
    match input.policy.balance {
        BalanceRule::LeastBusy => choose_least_busy(input, random),
        BalanceRule::Random => choose_random(input, random),
    }
}

fn choose_random(input: ChoiceInput<'_>, random: &mut SmallRng) -> Option<HostId> {
    let subset = bounded_subset(input, |_| true);
    let index = random.random_range(0..subset.len().max(1));
    subset.get(index).map(|member| member.announce.host.clone())
}

fn choose_least_busy(input: ChoiceInput<'_>, random: &mut SmallRng) -> Option<HostId> {
    let candidates = bounded_subset(input, |member| !member.suspect);
    let probe_target = candidates
        .iter()
        .find(|member| member.health.probe_due(input.now));
    if let Some(member) = probe_target {
        return Some(member.announce.host.clone());
    }
    let serving = |member: &MemberRecord| !member.suspect && !member.health.ejected();
    let mut subset = bounded_subset(input, serving);
    if subset.is_empty() {
        subset = bounded_subset(input, |_| true);
    }
    pick_least_loaded(input, subset, random)
}

/// Chooses a worker with a free slot for a hedged attempt.
pub(crate) fn choose_hedge(input: ChoiceInput<'_>, random: &mut SmallRng) -> Option<HostId> {
    let eligible = |member: &MemberRecord| {
        !member.suspect && !member.health.ejected() && member.has_free_slot()
    };
    pick_least_loaded(input, bounded_subset(input, eligible), random)
}

/// Returns whether one more worker of the service may be ejected.
pub(crate) fn may_eject(directory: &AgentDirectory, service: &ServiceName) -> bool {
    let offering: Vec<&MemberRecord> = directory
        .members()
        .filter(|member| member.offers(service) && member.accepting())
        .collect();
    let ejected = offering.iter().filter(|member| member.health.ejected());
    let allowed = offering.len() * MAX_EJECTED_PERCENT / 100;
    offering.len() > 1 && ejected.count() < allowed.max(1)
}

/// Returns a stable subset of eligible workers, bounded by the policy.
///
/// The ring is walked in preference order, only as far as needed.
fn bounded_subset(
    input: ChoiceInput<'_>,
    predicate: impl Fn(&MemberRecord) -> bool,
) -> Vec<&MemberRecord> {
    let Some(ring) = input.directory.ring(input.service) else {
        return Vec::new();
    };
    let size = input.policy.subset.max(2);
    let eligible = |member: &&MemberRecord| accepts_request(input, member) && predicate(member);
    let find = |host| input.directory.get(host);
    let mut subset: Vec<&MemberRecord> = ring
        .local()
        .filter_map(find)
        .filter(eligible)
        .take(size)
        .collect();
    let remote: Vec<&MemberRecord> = ring
        .remote()
        .filter_map(find)
        .filter(eligible)
        .take(size - subset.len().min(size * LOCAL_PERCENT / 100))
        .collect();
    subset.truncate(size - remote.len());
    subset.extend(remote);
    subset
}

fn accepts_request(input: ChoiceInput<'_>, member: &MemberRecord) -> bool {
    member.accepting()
        && !input.tried.contains(&member.announce.host)
        && centre_in_service(input.fleet, &member.announce.data_centre)
}

/// Samples two local and two remote workers and returns the one with the lowest expected latency.
fn pick_least_loaded(
    input: ChoiceInput<'_>,
    subset: Vec<&MemberRecord>,
    random: &mut SmallRng,
) -> Option<HostId> {
    let (local, remote): (Vec<_>, Vec<_>) = subset
        .into_iter()
        .partition(|member| member.announce.data_centre == input.identity.data_centre);
    let sampled = sample_two(&local, random)
        .into_iter()
        .chain(sample_two(&remote, random));
    sampled
        .flatten()
        .min_by_key(|member| member.expected_latency_us(input.now, &input.identity.data_centre))
        .map(|member| member.announce.host.clone())
}

/// Samples two distinct workers, or all if there are fewer.
fn sample_two<'a>(
    members: &[&'a MemberRecord],
    random: &mut SmallRng,
) -> [Option<&'a MemberRecord>; 2] {
    if members.len() < 2 {
        return [members.first().copied(), None];
    }
    let first = random.random_range(0..members.len());
    let offset = random.random_range(1..members.len());
    let second = (first + offset) % members.len();
    [members.get(first).copied(), members.get(second).copied()]
}
