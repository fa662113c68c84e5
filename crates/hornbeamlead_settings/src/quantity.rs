//! Parses sizes and durations with units.

use hornbeamlead_core::resource::{CpuMillis, MemoryMebibytes};
use snafu::Snafu;
use std::time::Duration;

const MILLIS_PER_CORE: u32 = 1000;

const MEBIBYTES_PER_GIBIBYTE: u32 = 1024;

/// Longest duration in settings and release notes.
const MAX_DURATION: Duration = Duration::from_secs(366 * 24 * 3600);

/// Reason why a text is not a quantity.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum QuantityError {
    /// The number before the unit is missing, malformed or out of range.
    #[snafu(display("{text:?} does not begin with a whole number in range"))]
    BadNumber {
        /// Text that was parsed.
        text: Box<str>,
    },
    /// The unit is missing or unknown.
    #[snafu(display("{text:?} has no known unit; known are {units}"))]
    BadUnit {
        /// Text that was parsed.
        text: Box<str>,
        /// Valid units.
        units: &'static str,
    },
    /// The duration is not a whole number of milliseconds.
    #[snafu(display("{text:?} is not a whole number of milliseconds"))]
    TooFine {
        /// Text that was parsed.
        text: Box<str>,
    },
    /// The duration is longer than 366 days.
    #[snafu(display("{text:?} is longer than a year"))]
    TooLong {
        /// Text that was parsed.
        text: Box<str>,
    },
}

/// Parses a CPU quantity such as `500m` or `4cores`.
///
/// ```
/// use hornbeamlead_settings::quantity::parse_cpu;
/// assert_eq!(parse_cpu("4cores").unwrap().0, 4000);
/// assert!(parse_cpu("4").is_err());
/// ```
///
/// # Errors
/// Returns [`QuantityError`] for a malformed number or an unknown unit.
pub fn parse_cpu(text: &str) -> Result<CpuMillis, QuantityError> {
    let (number, unit) = split_unit(text)?;
    let factor = match unit {
        "m" => 1,
        "core" | "cores" => MILLIS_PER_CORE,
        _ => return bad_unit(text, "m (thousandths of a core) and cores"),
    };
    scale(text, number, factor).map(CpuMillis)
}

/// Parses a memory size such as `512MiB` or `4GiB`.
///
/// ```
/// use hornbeamlead_settings::quantity::parse_memory;
/// assert_eq!(parse_memory("4GiB").unwrap().0, 4096);
/// assert!(parse_memory("4GB").is_err());
/// ```
///
/// # Errors
/// Returns [`QuantityError`] for a malformed number or an unknown unit.
pub fn parse_memory(text: &str) -> Result<MemoryMebibytes, QuantityError> {
    let (number, unit) = split_unit(text)?;
    let factor = match unit {
        "MiB" => 1,
        "GiB" => MEBIBYTES_PER_GIBIBYTE,
        "TiB" => MEBIBYTES_PER_GIBIBYTE * MEBIBYTES_PER_GIBIBYTE,
        _ => return bad_unit(text, "MiB, GiB and TiB"),
    };
    scale(text, number, factor).map(MemoryMebibytes)
}

/// Parses a duration in whole milliseconds such as `500ms`, `30s` or `2h 30m`.
///
/// ```
/// use hornbeamlead_settings::quantity::parse_duration;
/// assert_eq!(parse_duration("1s 500ms").unwrap().as_millis(), 1500);
/// assert!(parse_duration("30").is_err());
/// ```
///
/// # Errors
/// Returns [`QuantityError`] for a malformed number, an unknown unit, or a duration that is too
/// precise or too long.
pub fn parse_duration(text: &str) -> Result<Duration, QuantityError> {
    let Ok(duration) = humantime::parse_duration(text) else {
        return bad_unit(text, "ms, s, m, h and d");
    };
    if duration > MAX_DURATION {
        return Err(QuantityError::TooLong { text: text.into() });
    }
    if duration.subsec_nanos() % 1_000_000 != 0 {
        return Err(QuantityError::TooFine { text: text.into() });
    }
    Ok(duration)
}

fn split_unit(text: &str) -> Result<(u32, &str), QuantityError> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    match number.parse() {
        Ok(number) => Ok((number, unit.trim_start())),
        Err(_) => Err(QuantityError::BadNumber { text: text.into() }),
    }
}

fn scale(text: &str, number: u32, factor: u32) -> Result<u32, QuantityError> {
    let scaled = number.checked_mul(factor);
    scaled.ok_or_else(|| QuantityError::BadNumber { text: text.into() })
}

fn bad_unit<T>(text: &str, units: &'static str) -> Result<T, QuantityError> {
    Err(QuantityError::BadUnit {
        text: text.into(),
        units,
    })
}
