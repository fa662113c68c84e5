//! Chooses a worker: the better of two drawn from a bounded subset, same data centre first.

use crate::entry::directory::AgentDirectory;
use crate::entry::member::MemberRecord;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::fleet::FleetState;
use hornbeamlead_core::ids::{DataCentreName, HostId, Revision, ServiceName};
use hornbeamlead_core::policy::{BalanceRule, EntryPolicy, ProcessIdentity};
use rand::Rng;
use rand::rngs::SmallRng;

/// Part of the subset kept for workers of the entry's own data centre, in percent.
const LOCAL_PERCENT: usize = 75;

/// Share of a service's workers that may be ejected together, in percent.
const MAX_EJECTED_PERCENT: usize = 34;

/// What a choice looks at.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ChoiceInput<'a> {
    /// Clock.
    pub(crate) now: MonoTime,
    /// Entry that chooses.
    pub(crate) place: &'a ProcessIdentity,
    /// Its settings.
    pub(crate) policy: &'a EntryPolicy,
    /// Configuration in force.
    pub(crate) fleet: &'a FleetState,
    /// Agents known.
    pub(crate) directory: &'a AgentDirectory,
    /// Service called.
    pub(crate) service: &'a ServiceName,
    /// Hosts that the request was sent to already.
    pub(crate) tried: &'a [HostId],
}

/// Returns whether a data centre may be given new work.
pub(crate) fn centre_open(fleet: &FleetState, centre: &DataCentreName) -> bool {
    fleet.revision() == Revision(0) || fleet.in_service(centre)
}

/// Chooses a worker, or none if no worker takes the request.
pub(crate) fn choose(input: ChoiceInput<'_>, random: &mut SmallRng) -> Option<HostId> {
    match input.policy.balance {
        BalanceRule::LeastBusy => choose_least_busy(input, random),
        BalanceRule::Random => choose_any(input, random),
    }
}

fn choose_any(input: ChoiceInput<'_>, random: &mut SmallRng) -> Option<HostId> {
    let subset = bounded_subset(input, |_| true);
    let index = random.random_range(0..subset.len().max(1));
    subset.get(index).map(|member| member.announce.host.clone())
}

fn choose_least_busy(input: ChoiceInput<'_>, random: &mut SmallRng) -> Option<HostId> {
    let near = bounded_subset(input, |member| !member.suspect);
    let probed = near
        .iter()
        .find(|member| member.health.wants_probe(input.now));
    if let Some(member) = probed {
        return Some(member.announce.host.clone());
    }
    let serving = |member: &MemberRecord| !member.suspect && !member.health.ejected();
    let mut subset = bounded_subset(input, serving);
    if subset.is_empty() {
        subset = bounded_subset(input, |_| true);
    }
    draw(input, subset, random)
}

/// Returns a worker with a free slot for a second copy of a slow request, or none.
pub(crate) fn choose_spare(input: ChoiceInput<'_>, random: &mut SmallRng) -> Option<HostId> {
    let spare =
        |member: &MemberRecord| !member.suspect && !member.health.ejected() && member.has_room();
    draw(input, bounded_subset(input, spare), random)
}

/// Returns whether one more worker of the service may be ejected.
pub(crate) fn may_eject(directory: &AgentDirectory, service: &ServiceName) -> bool {
    let offering: Vec<&MemberRecord> = directory
        .members()
        .filter(|member| member.offers(service) && member.open())
        .collect();
    let ejected = offering.iter().filter(|member| member.health.ejected());
    let allowed = offering.len() * MAX_EJECTED_PERCENT / 100;
    offering.len() > 1 && ejected.count() < allowed.max(1)
}

/// Returns at most as many workers as the policy allows, the same ones every time.
///
/// The rings are walked in the order of preference, only as far as needed.
fn bounded_subset(
    input: ChoiceInput<'_>,
    wanted: impl Fn(&MemberRecord) -> bool,
) -> Vec<&MemberRecord> {
    let Some(ring) = input.directory.ring(input.service) else {
        return Vec::new();
    };
    let size = input.policy.subset.max(2);
    let takes = |member: &&MemberRecord| takes_request(input, member) && wanted(member);
    let find = |host| input.directory.get(host);
    let mut subset: Vec<&MemberRecord> = ring
        .local()
        .filter_map(find)
        .filter(takes)
        .take(size)
        .collect();
    let away: Vec<&MemberRecord> = ring
        .away()
        .filter_map(find)
        .filter(takes)
        .take(size - subset.len().min(size * LOCAL_PERCENT / 100))
        .collect();
    subset.truncate(size - away.len());
    subset.extend(away);
    subset
}

fn takes_request(input: ChoiceInput<'_>, member: &MemberRecord) -> bool {
    member.open()
        && !input.tried.contains(&member.announce.host)
        && centre_open(input.fleet, &member.announce.data_centre)
}

/// Draws two workers of the own data centre and two of others; the least busy one wins.
fn draw(
    input: ChoiceInput<'_>,
    subset: Vec<&MemberRecord>,
    random: &mut SmallRng,
) -> Option<HostId> {
    let (local, away): (Vec<_>, Vec<_>) = subset
        .into_iter()
        .partition(|member| member.announce.data_centre == input.place.data_centre);
    let drawn = draw_two(&local, random)
        .into_iter()
        .chain(draw_two(&away, random));
    drawn
        .flatten()
        .min_by_key(|member| member.expected_us(input.now, &input.place.data_centre))
        .map(|member| member.announce.host.clone())
}

/// Draws two different workers, or all if there are fewer.
fn draw_two<'a>(
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
