//! Conversions that the wire types share.

use crate::error::WireError;
use hornbeamlead_core::ids::{IdempotencyKey, NameError};
use std::str::FromStr;
use std::time::Duration;

/// Returns the displayed text of a value.
pub(crate) fn text(value: &impl std::fmt::Display) -> Box<str> {
    value.to_string().into()
}

pub(crate) fn parse_name<N: FromStr<Err = NameError>>(text: &str) -> Result<N, WireError> {
    Ok(text.parse()?)
}

pub(crate) fn parse_names<N: FromStr<Err = NameError>>(
    texts: &[Box<str>],
) -> Result<Vec<N>, WireError> {
    texts.iter().map(|text| parse_name(text)).collect()
}

pub(crate) fn parse_key(text: &str) -> Result<IdempotencyKey, WireError> {
    IdempotencyKey::new(text).ok_or(WireError::BadField { field: "key" })
}

/// Returns a duration in whole microseconds, saturating.
pub(crate) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Converts a list of domain values to wire types.
pub(crate) fn to_wire<'a, D, W: From<&'a D>>(values: &'a [D]) -> Vec<W> {
    values.iter().map(W::from).collect()
}

/// Converts a list of wire values to domain types.
pub(crate) fn from_wire<W, D: TryFrom<W, Error = WireError>>(
    wire_items: Vec<W>,
) -> Result<Vec<D>, WireError> {
    wire_items.into_iter().map(D::try_from).collect()
}

/// Converts an optional wire value to its domain type.
pub(crate) fn from_wire_option<W, D: TryFrom<W, Error = WireError>>(
    wire: Option<W>,
) -> Result<Option<D>, WireError> {
    wire.map(D::try_from).transpose()
}
