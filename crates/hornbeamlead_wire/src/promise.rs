//! Forms of a successor's promise and of the request for it.

use crate::convert::{micros, name, text};
use crate::error::WireError;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::ids::{CellId, Epoch, Incarnation};
use hornbeamlead_core::message::control::{PromiseGrant, PromiseRequest};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Form of [`PromiseRequest`].
#[derive(Serialize, Deserialize)]
pub(crate) struct AskForm {
    cell: u32,
    planner: Box<str>,
    epoch: u64,
    clock: u64,
    incarnation: u64,
}

impl From<&PromiseRequest> for AskForm {
    fn from(ask: &PromiseRequest) -> Self {
        Self {
            cell: ask.cell.0,
            planner: text(&ask.planner),
            epoch: ask.epoch.0,
            clock: ask.clock.0,
            incarnation: ask.incarnation.0,
        }
    }
}

impl TryFrom<AskForm> for PromiseRequest {
    type Error = WireError;

    fn try_from(form: AskForm) -> Result<Self, WireError> {
        Ok(Self {
            cell: CellId(form.cell),
            planner: name(&form.planner)?,
            epoch: Epoch(form.epoch),
            clock: MonoTime(form.clock),
            incarnation: Incarnation(form.incarnation),
        })
    }
}

/// Form of [`PromiseGrant`].
#[derive(Serialize, Deserialize)]
pub(crate) struct GrantForm {
    cell: u32,
    successor: Box<str>,
    incarnation: u64,
    epoch: u64,
    clock: u64,
    span_us: u64,
}

impl From<&PromiseGrant> for GrantForm {
    fn from(grant: &PromiseGrant) -> Self {
        Self {
            cell: grant.cell.0,
            successor: text(&grant.successor),
            incarnation: grant.incarnation.0,
            epoch: grant.epoch.0,
            clock: grant.clock.0,
            span_us: micros(grant.span),
        }
    }
}

impl TryFrom<GrantForm> for PromiseGrant {
    type Error = WireError;

    fn try_from(form: GrantForm) -> Result<Self, WireError> {
        Ok(Self {
            cell: CellId(form.cell),
            successor: name(&form.successor)?,
            incarnation: Incarnation(form.incarnation),
            epoch: Epoch(form.epoch),
            clock: MonoTime(form.clock),
            span: Duration::from_micros(form.span_us),
        })
    }
}
