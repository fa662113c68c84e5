//! Settings of a process that runs jobs on a platform with a key-value store.

use crate::finding::{FindingLog, Findings};
use crate::machine::{MachineLimits, read_machine_limits};
use crate::process::{RoleName, host_seed};
use crate::section::{Section, parse_document};
use hornbeamlead_core::ids::{DataCentreName, HostId};
use hornbeamlead_core::policy::ServiceOrder;
use std::net::SocketAddr;
use std::time::Duration;

/// Valid `addresses` section, shown in findings.
const ADDRESSES_EXAMPLE: &str = r#"{"inner": "127.0.0.1:0", "metrics": "127.0.0.1:0"}"#;

/// Valid `store` section, shown in findings.
const STORE_EXAMPLE: &str = r#"{"address": "127.0.0.1:7000"}"#;

/// Default of `schedule.lease`, long enough that network partitions and process freezes of up to
/// 6 s end no task, and short enough that the tasks of a lost host start elsewhere within 10 s, also
/// if the planner is lost with it.
const DEFAULT_LEASE: Duration = Duration::from_millis(8500);

/// Default of `schedule.hold_max`.
const DEFAULT_HOLD_MAX: Duration = Duration::from_secs(6);

/// Default of `stop_after`; the platform kills the process 6 s after the termination signal.
const DEFAULT_STOP_AFTER: Duration = Duration::from_millis(4500);

/// Default of `schedule.pace_patience`.
const DEFAULT_THROTTLE_GRACE: Duration = Duration::ZERO;

/// Default of `schedule.pace_step`; a worker's readings cover the last 500 ms.
const DEFAULT_THROTTLE_STEP: Duration = Duration::from_millis(500);

/// Role of a process, with the settings of that role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetRole {
    /// Accepts jobs from callers.
    Entry {
        /// Listen address for callers' HTTP requests.
        callers: SocketAddr,
        /// Listen address for the platform's readiness probes.
        readiness: SocketAddr,
        /// Time from a termination signal to the exit of the process.
        stop_after: Duration,
        /// Whether jobs are rejected that cannot be of any worth to their callers, given the load.
        admission: bool,
    },
    /// Runs next to a worker and can become planner.
    Agent {
        /// Listen address on which the worker registers.
        local: SocketAddr,
        /// Address at which the worker takes calls, if it is known beforehand.
        worker_address: Option<SocketAddr>,
        /// Service to which the worker belongs, if it is known beforehand.
        worker_service: Option<Box<str>>,
        /// How long task leases remain valid without contact with the planner.
        lease: Duration,
        /// Longest lease that a worker grants.
        hold_max: Duration,
        /// How long latency may stay close to its target before best-effort tasks are throttled.
        throttle_grace: Duration,
        /// Time between two changes of the throttle.
        throttle_step: Duration,
        /// Order in which the planner serves jobs.
        order: ServiceOrder,
        /// Whether tasks that run far longer than their siblings get copies or move.
        copies: bool,
    },
}

/// Validated settings of a process that runs jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetSettings {
    /// Host that the process runs on.
    pub host: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentreName,
    /// Seed of the random number generator; derived from the host name by default.
    pub seed: u64,
    /// Listen address for links from other processes.
    pub inner: SocketAddr,
    /// Listen address for metrics, served as text over HTTP.
    pub metrics: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Limits of the machine.
    pub machine: MachineLimits,
    /// Role of the process.
    pub role: FleetRole,
}

/// Returns whether a settings file has the key `store`, which selects [`FleetSettings`].
#[must_use]
pub fn has_store(text: &str) -> bool {
    let mut log = FindingLog::new("", text);
    parse_document(text, &mut log, |section, _| Some(section.has("store"))).unwrap_or(false)
}

/// Reads the settings of a process that runs jobs and reports all errors together.
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
/// Returns all findings if the file is not valid.
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
    let machine = read_machine_limits(&mut section, log);
    let addresses = section.required_section("addresses", ADDRESSES_EXAMPLE, log);
    let parsed = addresses.and_then(|addresses| read_addresses(addresses, role, log));
    let role = match role {
        Some(RoleName::Entry) => read_entry(&mut section, parsed.as_ref(), log),
        Some(RoleName::Agent) => read_agent(&mut section, parsed.as_ref(), log),
        None => {
            section.allow(&["stop_after", "requests", "schedule", "worker"]);
            None
        }
    };
    section.finish(log);
    let (host, parsed) = (host?, parsed?);
    Some(FleetSettings {
        seed: seed.unwrap_or_else(|| host_seed(&host)),
        host,
        data_centre: data_centre?,
        inner: parsed.inner,
        metrics: parsed.metrics,
        store: store?,
        machine,
        role: role?,
    })
}

/// Addresses as written; those that only some roles need are optional.
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
    let mut read_for = |key, owner| match role == Some(owner) {
        true => section.required(key, log),
        false => section.optional(key, log),
    };
    let callers = read_for("callers", RoleName::Entry);
    let readiness = read_for("readiness", RoleName::Entry);
    let local = read_for("local", RoleName::Agent);
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
    let mut section = parent.required_section("store", STORE_EXAMPLE, log)?;
    let address = section.required("address", log);
    section.finish(log);
    address
}

fn read_entry(
    section: &mut Section<'_>,
    addresses: Option<&FleetAddresses>,
    log: &mut FindingLog<'_>,
) -> Option<FleetRole> {
    let stop_after = section.or_default("stop_after", DEFAULT_STOP_AFTER, log);
    section.forbid("schedule", "only an agent maintains leases", log);
    section.forbid("worker", "only an agent has a worker", log);
    let admission = section
        .section("requests", log)
        .is_some_and(|mut requests| {
            let admission = requests.or_default("admission", false, log);
            requests.finish(log);
            admission
        });
    let addresses = addresses?;
    Some(FleetRole::Entry {
        callers: addresses.callers?,
        readiness: addresses.readiness?,
        stop_after,
        admission,
    })
}

fn read_agent(
    parent: &mut Section<'_>,
    addresses: Option<&FleetAddresses>,
    log: &mut FindingLog<'_>,
) -> Option<FleetRole> {
    parent.forbid(
        "stop_after",
        "only an entry waits for callers to finish",
        log,
    );
    parent.forbid("requests", "only an entry admits jobs", log);
    let (mut worker_address, mut worker_service) = (None, None);
    if let Some(mut section) = parent.section("worker", log) {
        worker_address = section.optional("address", log);
        worker_service = section.optional("service", log);
        section.finish(log);
    }
    let section = parent.section("schedule", log);
    let mut order = ServiceOrder::default();
    let mut durations = [
        DEFAULT_LEASE,
        DEFAULT_HOLD_MAX,
        DEFAULT_THROTTLE_GRACE,
        DEFAULT_THROTTLE_STEP,
    ];
    let mut copies = false;
    if let Some(mut section) = section {
        copies = section.or_default("copies", copies, log);
        let keys = ["lease", "hold_max", "pace_patience", "pace_step"];
        for (key, duration) in keys.into_iter().zip(&mut durations) {
            *duration = section.or_default(key, *duration, log);
        }
        let holds = !durations[1].is_zero() && durations[0] >= durations[1] / 2;
        let cause = || "lease is shorter than half of hold_max, or hold_max is 0".to_owned();
        section.check(
            holds,
            &["lease", "hold_max"],
            cause,
            "raise lease, or write a hold_max above 0",
            log,
        );
        order = section.or_default("order", order, log);
        section.finish(log);
    }
    let [lease, hold_max, throttle_grace, throttle_step] = durations;
    Some(FleetRole::Agent {
        local: addresses?.local?,
        worker_address,
        worker_service,
        lease,
        hold_max,
        throttle_grace,
        throttle_step,
        order,
        copies,
    })
}
