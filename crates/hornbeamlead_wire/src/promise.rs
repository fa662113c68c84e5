//! Wire types of promise requests and of the promises that successors grant.

use crate::convert::{micros, parse_name, text};
use crate::error::WireError;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::ids::{CellId, Epoch, Incarnation};
use hornbeamlead_core::message::control::{PromiseGrant, PromiseRequest};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Wire type of [`PromiseRequest`].
#[derive(Serialize, Deserialize)]
pub(crate) struct WirePromiseRequest {
    cell: u32,
    planner: Box<str>,
    epoch: u64,
    clock: u64,
    incarnation: u64,
}

impl From<&PromiseRequest> for WirePromiseRequest {
    fn from(request: &PromiseRequest) -> Self {
        Self {
            cell: request.cell.0,
            planner: text(&request.planner),
            epoch: request.epoch.0,
            clock: request.clock.0,
            incarnation: request.incarnation.0,
        }
    }
}

impl TryFrom<WirePromiseRequest> for PromiseRequest {
    type Error = WireError;

    fn try_from(wire: WirePromiseRequest) -> Result<Self, WireError> {
        Ok(Self {
            cell: CellId(wire.cell),
            planner: parse_name(&wire.planner)?,
            epoch: Epoch(wire.epoch),
            clock: MonoTime(wire.clock),
            incarnation: Incarnation(wire.incarnation),
        })
    }
}

/// Wire type of [`PromiseGrant`].
#[derive(Serialize, Deserialize)]
pub(crate) struct WirePromiseGrant {
    cell: u32,
    successor: Box<str>,
    incarnation: u64,
    epoch: u64,
    clock: u64,
    span_us: u64,
}

impl From<&PromiseGrant> for WirePromiseGrant {
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

impl TryFrom<WirePromiseGrant> for PromiseGrant {
    type Error = WireError;

    fn try_from(wire: WirePromiseGrant) -> Result<Self, WireError> {
        Ok(Self {
            cell: CellId(wire.cell),
            successor: parse_name(&wire.successor)?,
            incarnation: Incarnation(wire.incarnation),
            epoch: Epoch(wire.epoch),
            clock: MonoTime(wire.clock),
            span: Duration::from_micros(wire.span_us),
        })
    }
}
