//! Parser for log lines in logfmt (key=value pairs), as all processes write them.

use std::collections::BTreeMap;
use std::time::UNIX_EPOCH;

/// Parsed log line of a process.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EventLine {
    /// Seconds since the Unix epoch, or since the epoch of the log collector.
    pub(crate) at: f64,
    /// Host of the process.
    pub(crate) host: Box<str>,
    /// Name of the event.
    pub(crate) event: Box<str>,
    /// Id of the job, task or other object concerned.
    pub(crate) id: Box<str>,
    /// Inputs and outcome, as nested key=value pairs.
    pub(crate) detail: Box<str>,
}

impl EventLine {
    /// Parses a line; `None` if it has no host, event or time. A number of seconds that a log
    /// collector put before the pairs takes precedence over the process's own time.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        let mut pairs = read_pairs(text);
        let first = text.split_whitespace().next()?;
        let process_time = pairs.get("time").map(AsRef::as_ref).and_then(unix_seconds);
        Some(Self {
            at: first.parse().ok().or(process_time)?,
            host: pairs.remove("host")?,
            event: pairs.remove("event")?,
            id: pairs.remove("id").unwrap_or_default(),
            detail: pairs.remove("detail").unwrap_or_default(),
        })
    }

    /// Returns a value from the detail.
    pub(crate) fn field(&self, name: &str) -> Option<Box<str>> {
        read_pairs(&self.detail).remove(name)
    }
}

fn unix_seconds(text: &str) -> Option<f64> {
    let time = humantime::parse_rfc3339(text).ok()?;
    let since = time.duration_since(UNIX_EPOCH).ok()?;
    Some(since.as_secs_f64())
}

/// Parses all pairs of a line; values in double quotes may hold spaces and escaped quotes.
fn read_pairs(text: &str) -> BTreeMap<Box<str>, Box<str>> {
    let mut pairs = BTreeMap::new();
    let mut rest = text;
    while let Some(equals) = rest.find('=') {
        let key = rest[..equals].rsplit(' ').next().unwrap_or_default();
        let (value, after) = read_value(&rest[equals + 1..]);
        pairs.insert(key.into(), value);
        rest = after;
    }
    pairs
}

/// Parses a value and returns it with the rest of the text.
fn read_value(text: &str) -> (Box<str>, &str) {
    let Some(quoted) = text.strip_prefix('"') else {
        let end = text.find(' ').unwrap_or(text.len());
        return (text[..end].into(), &text[end..]);
    };
    let mut value = String::new();
    let mut escaped = false;
    for (index, character) in quoted.char_indices() {
        match character {
            _ if escaped => {
                value.push(character);
                escaped = false;
            }
            '\\' => escaped = true,
            '"' => return (value.into(), &quoted[index + 1..]),
            _ => value.push(character),
        }
    }
    (value.into(), "")
}
