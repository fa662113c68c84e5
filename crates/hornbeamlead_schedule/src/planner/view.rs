//! View of the cell: the members under a valid lease, numbered across planners.

use hornbeamlead_core::ids::Epoch;
use hornbeamlead_core::message::control::{CellView, ViewMember};

/// Bits of a view's number that count within one epoch; the epoch stands above them.
const COUNTER_BITS: u32 = 20;

/// Keeper of the cell's view.
#[derive(Clone, Debug, Default)]
pub(crate) struct ViewKeeper {
    view: Option<CellView>,
}

impl ViewKeeper {
    /// Returns the view, once there is one.
    pub(crate) fn view(&self) -> Option<&CellView> {
        self.view.as_ref()
    }

    /// Sets the members; the number grows if they changed or the epoch did.
    pub(crate) fn update(&mut self, epoch: Epoch, members: Vec<ViewMember>) {
        let first = epoch.0.wrapping_shl(COUNTER_BITS);
        let number = match &self.view {
            Some(view) if view.members == members => return,
            Some(view) => view.number.saturating_add(1).max(first),
            None => first,
        };
        self.view = Some(CellView { number, members });
    }
}
