//! Settings of a daemon process that serves requests and runs tasks.

use crate::finding::{FindingLog, Findings};
use crate::machine::{MachineLimits, read_machine_limits};
use crate::note::read_size;
use crate::policy::{read_entry_policy, read_gate_policy, read_schedule_policy};
use crate::section::{Section, parse_document};
use crate::value::SettingValue;
use hornbeamlead_core::ids::{CellId, DataCentreName, HostId, RackName};
use hornbeamlead_core::policy::{AgentPolicy, EntryPolicy};
use jsonc_parser::ast::Value;
use std::net::SocketAddr;

/// Valid `addresses` section, shown in findings.
const ADDRESSES_EXAMPLE: &str = r#"{"inner": "127.0.0.1:0", "operators": "127.0.0.1:0"}"#;

/// Keys that are read according to the role; accepted as known while the role is invalid.
const ROLE_KEYS: [&str; 7] = [
    "cell",
    "entries",
    "seeds",
    "worker",
    "batch_capacity",
    "requests",
    "schedule",
];

/// Addresses that a process listens on or announces; with port 0 the operating system picks a port.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListenAddresses {
    /// Links (TCP) and control datagrams (UDP) from other processes, on the same port number.
    pub inner: SocketAddr,
    /// Address announced to other processes in place of `inner`.
    pub advertised: Option<SocketAddr>,
    /// HTTP for callers; set for entries only.
    pub callers: Option<SocketAddr>,
    /// HTTP for operators.
    pub operators: SocketAddr,
    /// Address on which the endpoint registers; set for agents only.
    pub local: Option<SocketAddr>,
}

/// Role of a process, with the policy of that role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoleSettings {
    /// Accepts requests from callers.
    Entry(EntryPolicy),
    /// Runs next to an endpoint.
    Agent(Box<AgentPolicy>),
}

/// Validated settings of a process that serves requests and runs tasks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessSettings {
    /// Host that the process runs on.
    pub host: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentreName,
    /// Rack of the host.
    pub rack: RackName,
    /// Seed of the random number generator; derived from the host name by default.
    pub seed: u64,
    /// Addresses that the process listens on or announces.
    pub addresses: ListenAddresses,
    /// Address of the platform's log.
    pub log: SocketAddr,
    /// Address of the statsd server; without one, no metrics are sent.
    pub statsd: Option<SocketAddr>,
    /// Limits of the machine.
    pub machine: MachineLimits,
    /// Role of the process, with its policy.
    pub role: RoleSettings,
}

/// Reads the settings of a process and reports all errors together.
///
/// ```
/// use hornbeamlead_settings::{RoleSettings, read_settings};
///
/// let text = r#"{
///     // Entry of the data centre negombo.
///     "role": "entry", "host": "entry-01", "data_centre": "negombo", "rack": "negombo-r1",
///     "addresses": {"inner": "127.0.0.1:0", "callers": "127.0.0.1:0", "operators": "127.0.0.1:0"},
///     "log": {"address": "127.0.0.1:7000"},
/// }"#;
/// let settings = read_settings("entry.json", text).unwrap();
/// assert!(matches!(settings.role, RoleSettings::Entry(_)));
/// ```
///
/// # Errors
/// Returns all findings if the file is not valid.
pub fn read_settings(file_name: &str, text: &str) -> Result<ProcessSettings, Findings> {
    let mut log = FindingLog::new(file_name, text);
    let settings = parse_document(text, &mut log, read_process);
    log.into_result(settings)
}

/// Value of the key `role`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RoleName {
    Entry,
    Agent,
}

impl SettingValue for RoleName {
    const EXAMPLE: &'static str = "\"entry\" or \"agent\"";

    fn convert(value: &Value<'_>) -> Result<Self, Box<str>> {
        match <Box<str>>::convert(value)?.as_ref() {
            "entry" => Ok(Self::Entry),
            "agent" => Ok(Self::Agent),
            other => Err(format!("{other:?} is no role").into()),
        }
    }
}

fn read_process(mut section: Section<'_>, log: &mut FindingLog<'_>) -> Option<ProcessSettings> {
    let role = section.required::<RoleName>("role", log);
    let host = section.required::<HostId>("host", log);
    let data_centre = section.required("data_centre", log);
    let rack = section.required("rack", log);
    let seed = section.optional("seed", log);
    let addresses = read_addresses(&mut section, role, log);
    let log_address = read_log(&mut section, log);
    let statsd = read_metrics(&mut section, log);
    let machine = read_machine_limits(&mut section, log);
    let role = match role {
        Some(RoleName::Entry) => read_entry(&mut section, log),
        Some(RoleName::Agent) => read_agent(&mut section, log),
        None => {
            section.allow(&ROLE_KEYS);
            None
        }
    };
    section.finish(log);
    let host = host?;
    Some(ProcessSettings {
        seed: seed.unwrap_or_else(|| host_seed(&host)),
        host,
        data_centre: data_centre?,
        rack: rack?,
        addresses: addresses?,
        log: log_address?,
        statsd,
        machine,
        role: role?,
    })
}

fn read_addresses(
    parent: &mut Section<'_>,
    role: Option<RoleName>,
    log: &mut FindingLog<'_>,
) -> Option<ListenAddresses> {
    let mut section = parent.required_section("addresses", ADDRESSES_EXAMPLE, log)?;
    let inner = section.required("inner", log);
    let advertised = section.optional("advertised", log);
    let operators = section.required("operators", log);
    let callers = match role {
        Some(RoleName::Entry) => section.required("callers", log),
        Some(RoleName::Agent) => {
            section.forbid("callers", "only an entry accepts callers", log);
            None
        }
        None => section.optional("callers", log),
    };
    let local = match role {
        Some(RoleName::Agent) => section.required("local", log),
        Some(RoleName::Entry) => {
            section.forbid("local", "only an agent runs next to an endpoint", log);
            None
        }
        None => section.optional("local", log),
    };
    check_shared_ports(&section, [inner, callers, operators, local], log);
    check_advertised(&section, inner, advertised, log);
    section.finish(log);
    Some(ListenAddresses {
        inner: inner?,
        advertised,
        callers,
        operators: operators?,
        local,
    })
}

/// Reports listen addresses that use the same fixed port.
fn check_shared_ports(
    section: &Section<'_>,
    [inner, callers, operators, local]: [Option<SocketAddr>; 4],
    log: &mut FindingLog<'_>,
) {
    let named = [
        ("inner", inner),
        ("callers", callers),
        ("operators", operators),
        ("local", local),
    ];
    for (index, (key, address)) in named.iter().enumerate() {
        let clash = named[..index]
            .iter()
            .find(|(_, earlier)| shares_port(*earlier, *address));
        if let Some((earlier, _)) = clash {
            section.check(
                false,
                &[key],
                || format!("{key} has the same address as {earlier}"),
                "give each listener a port of its own, or port 0",
                log,
            );
        }
    }
}

fn shares_port(left: Option<SocketAddr>, right: Option<SocketAddr>) -> bool {
    match (left, right) {
        (Some(left), Some(right)) if left.port() == right.port() && left.port() != 0 => {
            left.ip() == right.ip() || left.ip().is_unspecified() || right.ip().is_unspecified()
        }
        _ => false,
    }
}

/// Reports a missing or unusable address for other processes to connect to.
fn check_advertised(
    section: &Section<'_>,
    inner: Option<SocketAddr>,
    advertised: Option<SocketAddr>,
    log: &mut FindingLog<'_>,
) {
    let unspecified = inner.is_some_and(|address| address.ip().is_unspecified());
    section.check(
        !unspecified || advertised.is_some(),
        &["inner"],
        || "inner listens on all addresses, so other processes do not know which to use".to_owned(),
        "write one address of the host, or add \"advertised\"",
        log,
    );
    if let Some(address) = advertised {
        check_target(section, "advertised", address, log);
    }
}

pub(crate) fn read_log(parent: &mut Section<'_>, log: &mut FindingLog<'_>) -> Option<SocketAddr> {
    let example = r#"{"address": "127.0.0.1:7000"}"#;
    let mut section = parent.required_section("log", example, log)?;
    let address = section.required("address", log);
    if let Some(address) = address {
        check_target(&section, "address", address, log);
    }
    section.finish(log);
    address
}

fn read_metrics(parent: &mut Section<'_>, log: &mut FindingLog<'_>) -> Option<SocketAddr> {
    let mut section = parent.section("metrics", log)?;
    let address = section.required("statsd", log);
    if let Some(address) = address {
        check_target(&section, "statsd", address, log);
    }
    section.finish(log);
    address
}

fn read_entry(section: &mut Section<'_>, log: &mut FindingLog<'_>) -> Option<RoleSettings> {
    for key in [
        "cell",
        "entries",
        "seeds",
        "worker",
        "batch_capacity",
        "schedule",
    ] {
        section.forbid(key, "it belongs to the role agent", log);
    }
    Some(RoleSettings::Entry(read_entry_policy(section, log)))
}

fn read_agent(section: &mut Section<'_>, log: &mut FindingLog<'_>) -> Option<RoleSettings> {
    let cell = section.required::<CellId>("cell", log);
    let entries = section.list::<SocketAddr>("entries", log);
    let seeds = section.list::<SocketAddr>("seeds", log);
    let worker = section.optional::<SocketAddr>("worker", log);
    let batch_capacity = read_size(section, "batch_capacity", log);
    let gate = read_gate_policy(section, log);
    let schedule = read_schedule_policy(section, log);
    section.check(
        !entries.is_empty(),
        &["entries"],
        || "no entry is named, so no requests would arrive".to_owned(),
        "list the inner addresses of the entries under \"entries\"",
        log,
    );
    if let Some(address) = worker {
        check_target(section, "worker", address, log);
    }
    for (key, addresses) in [("entries", &entries), ("seeds", &seeds)] {
        for address in addresses {
            check_target(section, key, *address, log);
        }
    }
    Some(RoleSettings::Agent(Box::new(AgentPolicy {
        cell: cell?,
        entries,
        seeds,
        worker,
        batch_capacity: batch_capacity?,
        gate,
        schedule,
    })))
}

/// Reports a destination address without a port or with an unspecified IP address.
fn check_target(
    section: &Section<'_>,
    key: &'static str,
    address: SocketAddr,
    log: &mut FindingLog<'_>,
) {
    section.check(
        address.port() != 0 && !address.ip().is_unspecified(),
        &[key],
        || format!("{key}: nothing can be sent to {address}"),
        "write the IP address and port that the other side listens on",
        log,
    );
}

/// Hashes the host name (FNV-1a), so that hosts draw different random numbers.
pub(crate) fn host_seed(host: &HostId) -> u64 {
    host.as_str()
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
        })
}
