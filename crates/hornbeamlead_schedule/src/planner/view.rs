//! View of the cell: the members under a valid lease, numbered across planners.

use hornbeamlead_core::ids::Epoch;
use hornbeamlead_core::message::control::{CellView, ViewMember};

/// Low bits of a view's number that count within one epoch; the high bits hold the epoch.
const COUNTER_BITS: u32 = 20;

/// Current view of the cell.
#[derive(Clone, Debug, Default)]
pub(crate) struct CellViewTracker {
    view: Option<CellView>,
}

impl CellViewTracker {
    /// Returns the view; `None` before the first update.
    pub(crate) fn view(&self) -> Option<&CellView> {
        self.view.as_ref()
    }

    /// Sets the members; the view's number increases if they changed.
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
