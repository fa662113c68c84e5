//! Converts JSON values to typed values.

use crate::quantity::{parse_cpu, parse_duration, parse_memory};
use hornbeamlead_core::clock::WallTime;
use hornbeamlead_core::ids::{
    CellId, DataCentreName, HostId, JobName, KindName, NoteId, RackName, Revision, ServiceName,
    TeamName,
};
use hornbeamlead_core::note::DeliveryMode;
use hornbeamlead_core::policy::{BalanceRule, ServiceOrder};
use hornbeamlead_core::resource::{AcceleratorCount, CpuMillis, MemoryMebibytes};
use jsonc_parser::ast::Value;
use std::fmt::Display;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::{Duration, UNIX_EPOCH};

/// Type of value that a key can have.
pub(crate) trait SettingValue: Sized {
    /// Valid value in JSON, shown in findings.
    const EXAMPLE: &'static str;

    /// Converts a JSON value, or returns the cause of a finding.
    fn convert(value: &Value<'_>) -> Result<Self, Box<str>>;
}

/// Returns the name of a value's type, as shown in findings.
pub(crate) fn type_name(value: &Value<'_>) -> &'static str {
    match value {
        Value::StringLit(_) => "text",
        Value::NumberLit(_) => "a number",
        Value::BooleanLit(_) => "a boolean",
        Value::Object(_) => "an object",
        Value::Array(_) => "a list",
        Value::NullKeyword(_) => "null",
    }
}

fn text_of<'v>(value: &'v Value<'_>) -> Result<&'v str, Box<str>> {
    match value {
        Value::StringLit(literal) => Ok(&literal.value),
        other => Err(format!("is {}, not text", type_name(other)).into()),
    }
}

fn parse_text<T>(value: &Value<'_>) -> Result<T, Box<str>>
where
    T: FromStr,
    T::Err: Display,
{
    let text = text_of(value)?;
    text.parse()
        .map_err(|error: T::Err| error.to_string().into())
}

fn parse_number<T: FromStr>(value: &Value<'_>) -> Result<T, Box<str>> {
    match value {
        Value::NumberLit(literal) => literal
            .value
            .parse()
            .map_err(|_| format!("{} is not a whole number in range", literal.value).into()),
        other => Err(format!("is {}, not a number", type_name(other)).into()),
    }
}

macro_rules! text_values {
    ($($name:ty => $example:literal,)+) => {
        $(impl SettingValue for $name {
            const EXAMPLE: &'static str = $example;

            fn convert(value: &Value<'_>) -> Result<Self, Box<str>> {
                parse_text(value)
            }
        })+
    };
}

macro_rules! number_values {
    ($($name:ty => $example:literal,)+) => {
        $(impl SettingValue for $name {
            const EXAMPLE: &'static str = $example;

            fn convert(value: &Value<'_>) -> Result<Self, Box<str>> {
                parse_number(value)
            }
        })+
    };
}

macro_rules! quantity_values {
    ($($name:ty => $parse:ident, $example:literal,)+) => {
        $(impl SettingValue for $name {
            const EXAMPLE: &'static str = $example;

            fn convert(value: &Value<'_>) -> Result<Self, Box<str>> {
                $parse(text_of(value)?).map_err(|error| error.to_string().into())
            }
        })+
    };
}

text_values!(
    BalanceRule => "\"least_busy\"",
    ServiceOrder => "\"by_value\"",
    HostId => "\"negombo-01\"",
    DataCentreName => "\"negombo\"",
    RackName => "\"negombo-r1\"",
    ServiceName => "\"cask-ledger\"",
    JobName => "\"seasoning-report-7\"",
    TeamName => "\"ledger\"",
    KindName => "\"seasoning-report\"",
    NoteId => "\"open-ledger-1\"",
    SocketAddr => "\"127.0.0.1:7000\"",
);

number_values!(
    u8 => "5",
    u16 => "8",
    u32 => "10",
    u64 => "2000",
    usize => "64",
    CellId => "1",
    Revision => "12",
    AcceleratorCount => "0",
);

quantity_values!(
    CpuMillis => parse_cpu, "\"500m\" or \"4cores\"",
    MemoryMebibytes => parse_memory, "\"512MiB\" or \"4GiB\"",
    Duration => parse_duration, "\"500ms\" or \"30s\"",
);

impl SettingValue for bool {
    const EXAMPLE: &'static str = "true or false";

    fn convert(value: &Value<'_>) -> Result<Self, Box<str>> {
        match value {
            Value::BooleanLit(literal) => Ok(literal.value),
            other => Err(format!("is {}, not a boolean", type_name(other)).into()),
        }
    }
}

impl SettingValue for Box<str> {
    const EXAMPLE: &'static str = "\"nimal\"";

    fn convert(value: &Value<'_>) -> Result<Self, Box<str>> {
        match text_of(value)?.trim() {
            "" => Err("is empty".into()),
            text => Ok(text.into()),
        }
    }
}

impl SettingValue for WallTime {
    const EXAMPLE: &'static str = "\"2026-12-24T06:00:00Z\"";

    fn convert(value: &Value<'_>) -> Result<Self, Box<str>> {
        let text = text_of(value)?;
        let time = humantime::parse_rfc3339(text).map_err(|error| error.to_string())?;
        let since = time.duration_since(UNIX_EPOCH);
        let since = since.map_err(|_| "is before 1970".to_owned())?;
        match u64::try_from(since.as_millis()) {
            Ok(millis) => Ok(Self(millis)),
            Err(_) => Err("is too late".into()),
        }
    }
}

impl SettingValue for DeliveryMode {
    const EXAMPLE: &'static str = "\"resumable\" or \"at_most_once\"";

    fn convert(value: &Value<'_>) -> Result<Self, Box<str>> {
        match text_of(value)? {
            "resumable" => Ok(Self::Resumable),
            "at_most_once" => Ok(Self::AtMostOnce),
            other => Err(format!("{other:?} is not a delivery mode").into()),
        }
    }
}

impl<T: SettingValue> SettingValue for Option<T> {
    const EXAMPLE: &'static str = T::EXAMPLE;

    fn convert(value: &Value<'_>) -> Result<Self, Box<str>> {
        match value {
            Value::NullKeyword(_) => Ok(None),
            other => T::convert(other).map(Some),
        }
    }
}
