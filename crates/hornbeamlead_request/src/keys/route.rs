//! Finds the arbiter of a key: the home cell first, then the member of its view.

use crate::rendezvous;
use hornbeamlead_core::ids::{CellId, IdempotencyKey, ServiceName};
use hornbeamlead_core::message::control::{CellView, ViewMember};

/// Returns the cell whose members arbitrate a key, out of the cells that may.
pub(crate) fn home_cell(
    service: &ServiceName,
    key: &IdempotencyKey,
    cells: impl Iterator<Item = CellId>,
) -> Option<CellId> {
    let subject = [service.as_str(), key.as_str()];
    cells.max_by_key(|cell| (rendezvous::weigh(&subject, &cell.to_string()), *cell))
}

/// Returns the member of a view that arbitrates a key.
pub(crate) fn arbiter<'a>(
    service: &ServiceName,
    key: &IdempotencyKey,
    view: &'a CellView,
) -> Option<&'a ViewMember> {
    let subject = [service.as_str(), key.as_str()];
    let weight = |member: &&ViewMember| {
        let weight = rendezvous::weigh(&subject, member.host.as_str());
        (weight, member.host.clone())
    };
    view.members.iter().max_by_key(weight)
}
