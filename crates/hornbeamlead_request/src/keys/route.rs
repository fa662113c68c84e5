//! Routing of a key to its arbiter: home data centre, then cell, then member of the cell's view.

use crate::rendezvous;
use hornbeamlead_core::fleet::FleetState;
use hornbeamlead_core::ids::{CellId, DataCentreName, IdempotencyKey, ServiceName};
use hornbeamlead_core::message::control::{CellView, ViewMember};

/// Returns the home data centre of a key among those in service.
pub(crate) fn home_centre<'a>(
    service: &ServiceName,
    key: &IdempotencyKey,
    fleet: &'a FleetState,
) -> Option<&'a DataCentreName> {
    let in_service = fleet.data_centres().values();
    let in_service = in_service
        .filter(|spec| spec.in_service)
        .map(|spec| &spec.name);
    home_of(service, key, in_service)
}

/// Returns the home data centre of a key among the given ones.
pub(crate) fn home_of<'a>(
    service: &ServiceName,
    key: &IdempotencyKey,
    centres: impl Iterator<Item = &'a DataCentreName>,
) -> Option<&'a DataCentreName> {
    let subject = [service.as_str(), key.as_str()];
    centres.max_by_key(|centre| (rendezvous::weight(&subject, centre.as_str()), *centre))
}

/// Returns the cell that arbitrates a key among the cells of its home data centre.
pub(crate) fn home_cell(
    service: &ServiceName,
    key: &IdempotencyKey,
    cells: impl Iterator<Item = CellId>,
) -> Option<CellId> {
    let subject = [service.as_str(), key.as_str()];
    cells.max_by_key(|cell| (rendezvous::weight(&subject, &cell.to_string()), *cell))
}

/// Returns the member of a view that arbitrates a key.
pub(crate) fn arbiter<'a>(
    service: &ServiceName,
    key: &IdempotencyKey,
    view: &'a CellView,
) -> Option<&'a ViewMember> {
    let subject = [service.as_str(), key.as_str()];
    let weight = |member: &&ViewMember| {
        let weight = rendezvous::weight(&subject, member.host.as_str());
        (weight, member.host.clone())
    };
    view.members.iter().max_by_key(weight)
}
