//! Reads lines of key=value pairs, as all processes log them.

use std::collections::BTreeMap;
use std::time::UNIX_EPOCH;

/// Line of a process's log.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EventLine {
    /// Seconds, since the Unix epoch or since what the collector counts from.
    pub(crate) at: f64,
    /// Host of the process.
    pub(crate) host: Box<str>,
    /// Kind of the event.
    pub(crate) event: Box<str>,
    /// What it concerns.
    pub(crate) id: Box<str>,
    /// Inputs and outcome.
    pub(crate) detail: Box<str>,
}

impl EventLine {
    /// Reads a line; `None` for one of another writer. A collector may put a number of seconds
    /// before the pairs, which then goes before the process's own clock.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        let mut pairs = read_pairs(text);
        let first = text.split_whitespace().next()?;
        let stamp = pairs.get("time").map(AsRef::as_ref).and_then(wall_seconds);
        Some(Self {
            at: first.parse().ok().or(stamp)?,
            host: pairs.remove("host")?,
            event: pairs.remove("event")?,
            id: pairs.remove("id").unwrap_or_default(),
            detail: pairs.remove("detail").unwrap_or_default(),
        })
    }

    /// Returns a field of the detail.
    pub(crate) fn field(&self, name: &str) -> Option<Box<str>> {
        read_pairs(&self.detail).remove(name)
    }
}

fn wall_seconds(text: &str) -> Option<f64> {
    let time = humantime::parse_rfc3339(text).ok()?;
    let since = time.duration_since(UNIX_EPOCH).ok()?;
    Some(since.as_secs_f64())
}

/// Reads all pairs of a line; values in double quotes may hold spaces and escaped quotes.
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

/// Reads a value and returns what follows it.
fn read_value(text: &str) -> (Box<str>, &str) {
    let Some(quoted) = text.strip_prefix('"') else {
        let end = text.find(' ').unwrap_or(text.len());
        return (text[..end].into(), &text[end..]);
    };
    let mut value = String::new();
    let mut escaped = false;
    for (index, letter) in quoted.char_indices() {
        match letter {
            _ if escaped => {
                value.push(letter);
                escaped = false;
            }
            '\\' => escaped = true,
            '"' => return (value.into(), &quoted[index + 1..]),
            _ => value.push(letter),
        }
    }
    (value.into(), "")
}
