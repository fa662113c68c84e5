//! Settings of a process that runs jobs on a platform with a store.

use crate::finding::{FindingLog, Findings};
use crate::process::{RoleName, seed_of};
use crate::section::{Section, parse_document};
use hornbeamlead_core::ids::{DataCentreName, HostId};
use std::net::SocketAddr;
use std::time::Duration;

/// Sample of the addresses, for the advice in findings.
const ADDRESSES_SAMPLE: &str = r#"{"inner": "127.0.0.1:0", "metrics": "127.0.0.1:0"}"#;

/// Sample of the store, for the advice in findings.
const STORE_SAMPLE: &str = r#"{"address": "127.0.0.1:7000"}"#;

/// Span for which leases run without a word of the planner, where the settings name none: cuts
/// and freezes of up to 6 s end no task.
const DEFAULT_LEASE: Duration = Duration::from_secs(9);

/// Longest lease of a worker, where the settings name none.
const DEFAULT_HOLD_MAX: Duration = Duration::from_secs(6);

/// Time from a termination signal to the end of an entry, where the settings name none. The
/// platform kills after 6 s.
const DEFAULT_STOP: Duration = Duration::from_millis(4500);

/// Time close to a target after which fillers are slowed, where the settings name none.
const DEFAULT_PATIENCE: Duration = Duration::ZERO;

/// Span between two changes of the pace, where the settings name none: the worker's readings
/// cover half a second.
const DEFAULT_PACE_STEP: Duration = Duration::from_millis(500);

/// Role with what only it has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetRole {
    /// Takes callers' jobs.
    Entry {
        /// Callers' HTTP.
        callers: SocketAddr,
        /// Where the platform asks for readiness.
        readiness: SocketAddr,
        /// Time from a termination signal to the end.
        stop_after: Duration,
    },
    /// Runs beside a worker and may become planner.
    Agent {
        /// Where the worker announces itself.
        local: SocketAddr,
        /// Span for which leases run without a word of the planner.
        lease: Duration,
        /// Longest lease of a worker.
        hold_max: Duration,
        /// Time close to a target after which fillers are slowed.
        throttle_grace: Duration,
        /// Span between two changes of the pace.
        throttle_step: Duration,
    },
}

/// Checked settings of a process that runs jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetSettings {
    /// Host.
    pub host: HostId,
    /// Data centre.
    pub data_centre: DataCentreName,
    /// Seed of the random source; made from the host's name where none is written.
    pub seed: u64,
    /// Links of other processes.
    pub inner: SocketAddr,
    /// Metrics as text over HTTP.
    pub metrics: SocketAddr,
    /// Platform's store.
    pub store: SocketAddr,
    /// Role.
    pub role: FleetRole,
}

/// Returns whether a document holds settings for a platform with a store.
#[must_use]
pub fn has_store(text: &str) -> bool {
    let mut log = FindingLog::new("", text);
    parse_document(text, &mut log, |section, _| Some(section.has("store"))).unwrap_or(false)
}

/// Reads the settings of a process that runs jobs and reports all faults together.
///
/// ```
/// use hornbeamlead_settings::{FleetRole, read_fleet_settings};
///
/// let text = r#"{
///     "role": "entry", "host": "entry-01", "data_centre": "negombo",
///     "addresses": {
///         "inner": "127.0.0.1:0", "metrics": "127.0.0.1:0",
///         "callers": "127.0.0.1:0", "readiness": "127.0.0.1:0",
///     },
///     "store": {"address": "127.0.0.1:7000"},
/// }"#;
/// let settings = read_fleet_settings("entry.json", text).unwrap();
/// assert!(matches!(settings.role, FleetRole::Entry { .. }));
/// ```
///
/// # Errors
/// Returns all faults with their place, cause and mend.
pub fn read_fleet_settings(file_name: &str, text: &str) -> Result<FleetSettings, Findings> {
    let mut log = FindingLog::new(file_name, text);
    let settings = parse_document(text, &mut log, read_fleet);
    log.into_result(settings)
}

fn read_fleet(mut section: Section<'_>, log: &mut FindingLog<'_>) -> Option<FleetSettings> {
    let role = section.required::<RoleName>("role", log);
    let host = section.required::<HostId>("host", log);
    let data_centre = section.required("data_centre", log);
    let seed = section.optional("seed", log);
    let store = read_store(&mut section, log);
    let addresses = section.required_section("addresses", ADDRESSES_SAMPLE, log);
    let read = addresses.and_then(|addresses| read_addresses(addresses, role, log));
    let role = match role {
        Some(RoleName::Entry) => read_entry(&mut section, read.as_ref(), log),
        Some(RoleName::Agent) => read_agent(&mut section, read.as_ref(), log),
        None => {
            section.know(&["stop_after", "schedule"]);
            None
        }
    };
    section.finish(log);
    let (host, read) = (host?, read?);
    Some(FleetSettings {
        seed: seed.unwrap_or_else(|| seed_of(&host)),
        host,
        data_centre: data_centre?,
        inner: read.inner,
        metrics: read.metrics,
        store: store?,
        role: role?,
    })
}

/// Addresses as they are written, before the role is known to need them.
struct FleetAddresses {
    inner: SocketAddr,
    metrics: SocketAddr,
    callers: Option<SocketAddr>,
    readiness: Option<SocketAddr>,
    local: Option<SocketAddr>,
}

fn read_addresses(
    mut section: Section<'_>,
    role: Option<RoleName>,
    log: &mut FindingLog<'_>,
) -> Option<FleetAddresses> {
    let inner = section.required("inner", log);
    let metrics = section.required("metrics", log);
    let mut read = |key, owner| match role == Some(owner) {
        true => section.required(key, log),
        false => section.optional(key, log),
    };
    let callers = read("callers", RoleName::Entry);
    let readiness = read("readiness", RoleName::Entry);
    let local = read("local", RoleName::Agent);
    section.finish(log);
    Some(FleetAddresses {
        inner: inner?,
        metrics: metrics?,
        callers,
        readiness,
        local,
    })
}

fn read_store(parent: &mut Section<'_>, log: &mut FindingLog<'_>) -> Option<SocketAddr> {
    let mut section = parent.required_section("store", STORE_SAMPLE, log)?;
    let address = section.required("address", log);
    section.finish(log);
    address
}

fn read_entry(
    section: &mut Section<'_>,
    addresses: Option<&FleetAddresses>,
    log: &mut FindingLog<'_>,
) -> Option<FleetRole> {
    let stop_after = section.or_default("stop_after", DEFAULT_STOP, log);
    section.forbid("schedule", "only an agent keeps leases", log);
    let addresses = addresses?;
    Some(FleetRole::Entry {
        callers: addresses.callers?,
        readiness: addresses.readiness?,
        stop_after,
    })
}

fn read_agent(
    parent: &mut Section<'_>,
    addresses: Option<&FleetAddresses>,
    log: &mut FindingLog<'_>,
) -> Option<FleetRole> {
    parent.forbid("stop_after", "only an entry lets callers finish", log);
    let section = parent.section("schedule", log);
    let mut spans = [
        DEFAULT_LEASE,
        DEFAULT_HOLD_MAX,
        DEFAULT_PATIENCE,
        DEFAULT_PACE_STEP,
    ];
    if let Some(mut section) = section {
        let keys = ["lease", "hold_max", "pace_patience", "pace_step"];
        for (key, span) in keys.into_iter().zip(&mut spans) {
            *span = section.or_default(key, *span, log);
        }
        let holds = !spans[1].is_zero() && spans[0] >= spans[1] / 2;
        let cause = || "lease is shorter than half of hold_max, or hold_max is zero".to_owned();
        section.check(holds, &["lease", "hold_max"], cause, "lengthen lease", log);
        section.finish(log);
    }
    let [lease, hold_max, throttle_grace, throttle_step] = spans;
    Some(FleetRole::Agent {
        local: addresses?.local?,
        lease,
        hold_max,
        throttle_grace,
        throttle_step,
    })
}
