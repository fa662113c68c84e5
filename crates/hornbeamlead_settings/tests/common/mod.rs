//! Valid texts, each of which tests invalidate at one position.

#![allow(dead_code, reason = "each test file uses some of them")]

pub(crate) const ENTRY: &str = r#"{
  // Entry of the data centre negombo.
  "role": "entry",
  "host": "entry-01",
  "data_centre": "negombo",
  "rack": "negombo-r1",
  "seed": 7,
  "addresses": {
    "inner": "127.0.0.1:0",
    "callers": "127.0.0.1:0",
    "operators": "127.0.0.1:0"
  },
  "log": {"address": "127.0.0.1:7000"},
  "metrics": {"statsd": "127.0.0.1:8125"},
  "requests": {"suspect_after": "2s", "drop_after": "8s"}
}"#;

pub(crate) const AGENT: &str = r#"{
  "role": "agent",
  "host": "negombo-01",
  "data_centre": "negombo",
  "rack": "negombo-r1",
  "addresses": {
    "inner": "127.0.0.1:0",
    "advertised": "127.0.0.1:9999",
    "operators": "127.0.0.1:0",
    "local": "127.0.0.1:0"
  },
  "log": {"address": "127.0.0.1:7000"},
  "cell": 1,
  "entries": ["127.0.0.1:7101"],
  "batch_capacity": {"cpu": "8cores", "memory": "32GiB"},
  "schedule": {"lease": "4s", "weights": {"evictions": 4}, "learning": false}
}"#;

/// Release note that adds items of every kind.
pub(crate) const NOTE: &str = r#"{
  "id": "open-ledger",
  "based_on": 0,
  "author": "nimal",
  "added": {
    "data_centres": [{"name": "negombo"}, {"name": "colombo", "in_service": false}],
    "teams": [
      {"name": "ledger", "quota": {"cpu": "64cores", "memory": "256GiB", "accelerators": 2}}
    ],
    "services": [
      {
        "name": "cask-ledger",
        "reserve": {"cpu": "4cores", "memory": "8GiB"},
        "default_timeout": "2s",
        "max_timeout": "30s"
      }
    ],
    "jobs": [
      {
        "name": "seasoning-7",
        "team": "ledger",
        "kind": "seasoning",
        "tasks": 12,
        "size": {"cpu": "500m", "memory": "1GiB"},
        "run_time": "20s",
        "deadline": "2026-12-24T06:00:00Z",
        "delivery": "at_most_once",
        "checkpoint_every": "2s",
        "data_centres": ["negombo"]
      }
    ]
  }
}"#;

/// Replaces the only occurrence of `from`.
pub(crate) fn replace_once(text: &str, from: &str, to: &str) -> String {
    assert_eq!(text.matches(from).count(), 1, "{from} occurs once");
    text.replace(from, to)
}

/// Returns the line and column of the first occurrence of `pattern`.
pub(crate) fn position_of(text: &str, pattern: &str) -> (usize, usize) {
    let offset = text.find(pattern).expect("the pattern occurs in the text");
    let before = &text[..offset];
    let line = before.matches('\n').count() + 1;
    let column = offset - before.rfind('\n').map_or(0, |at| at + 1) + 1;
    (line, column)
}
