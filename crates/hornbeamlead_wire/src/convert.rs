//! Conversions that several forms share.

use crate::error::WireError;
use hornbeamlead_core::ids::{IdempotencyKey, NameError};
use std::str::FromStr;
use std::time::Duration;

/// Returns the text of anything that is displayed as its wire form.
pub(crate) fn text(value: &impl std::fmt::Display) -> Box<str> {
    value.to_string().into()
}

/// Parses a name.
pub(crate) fn name<N: FromStr<Err = NameError>>(text: &str) -> Result<N, WireError> {
    Ok(text.parse()?)
}

/// Parses a list of names.
pub(crate) fn names<N: FromStr<Err = NameError>>(texts: &[Box<str>]) -> Result<Vec<N>, WireError> {
    texts.iter().map(|text| name(text)).collect()
}

/// Parses an idempotency key.
pub(crate) fn key(text: &str) -> Result<IdempotencyKey, WireError> {
    IdempotencyKey::new(text).ok_or(WireError::BadField { field: "key" })
}

/// Returns a span in whole microseconds, saturating.
pub(crate) fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// Converts a list of domain values to their forms.
pub(crate) fn forms<'a, D, F: From<&'a D>>(values: &'a [D]) -> Vec<F> {
    values.iter().map(F::from).collect()
}

/// Converts a list of forms to domain values.
pub(crate) fn values<F, D: TryFrom<F, Error = WireError>>(
    forms: Vec<F>,
) -> Result<Vec<D>, WireError> {
    forms.into_iter().map(D::try_from).collect()
}

/// Converts an optional form.
pub(crate) fn optional<F, D: TryFrom<F, Error = WireError>>(
    form: Option<F>,
) -> Result<Option<D>, WireError> {
    form.map(D::try_from).transpose()
}
