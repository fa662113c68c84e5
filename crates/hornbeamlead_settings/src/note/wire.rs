//! Wire types of the notes stream: JSON with plain numbers, whose field names state the unit.

use serde::{Deserialize, Serialize};

/// Record of the notes stream.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub(super) enum WireEntry {
    Note(WireNote),
    Snapshot(WireSnapshot),
}

/// Release note.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct WireNote {
    pub(super) id: Box<str>,
    pub(super) based_on: Option<u64>,
    pub(super) author: Box<str>,
    #[serde(default)]
    pub(super) added: WireItems,
    #[serde(default)]
    pub(super) changed: WireItems,
    #[serde(default)]
    pub(super) withdrawn: WireNames,
}

/// Snapshot of the configuration, or one part of a snapshot.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct WireSnapshot {
    pub(super) up_to: u64,
    pub(super) revision: u64,
    pub(super) part: u16,
    pub(super) parts: u16,
    pub(super) items: WireItems,
    #[serde(rename = "fates")]
    pub(super) note_results: Vec<WireNoteResult>,
}

/// Result of a note: the revision that it created, or `None` if it was refused.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct WireNoteResult {
    pub(super) id: Box<str>,
    pub(super) revision: Option<u64>,
}

/// Items that a note adds or changes.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct WireItems {
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(super) data_centres: Vec<WireDataCentre>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(super) teams: Vec<WireTeam>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(super) services: Vec<WireService>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(super) jobs: Vec<WireJob>,
}

/// Items that a note withdraws, by name.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct WireNames {
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(super) data_centres: Vec<Box<str>>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(super) teams: Vec<Box<str>>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(super) services: Vec<Box<str>>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(super) jobs: Vec<Box<str>>,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct WireDataCentre {
    pub(super) name: Box<str>,
    pub(super) in_service: bool,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct WireTeam {
    pub(super) name: Box<str>,
    pub(super) quota: WireSize,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct WireService {
    pub(super) name: Box<str>,
    pub(super) reserve: WireSize,
    pub(super) default_timeout_ms: u64,
    pub(super) max_timeout_ms: u64,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct WireJob {
    pub(super) name: Box<str>,
    pub(super) team: Box<str>,
    pub(super) kind: Box<str>,
    pub(super) tasks: u32,
    pub(super) size: WireSize,
    pub(super) run_time_ms: u64,
    pub(super) deadline_unix_ms: u64,
    pub(super) priority: u8,
    pub(super) urgent: bool,
    pub(super) delivery: WireDelivery,
    pub(super) checkpoint_every_ms: u64,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) data_centres: Vec<Box<str>>,
}

/// Resource size, such as that of a task or a quota.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct WireSize {
    pub(super) cpu_millis: u32,
    pub(super) memory_mebibytes: u32,
    pub(super) accelerators: u16,
}

/// Whether a task is started again after its attempt was lost.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum WireDelivery {
    Resumable,
    AtMostOnce,
}
