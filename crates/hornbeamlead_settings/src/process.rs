//! Settings of a process of the daemon.

use crate::finding::{FindingLog, Findings};
use crate::note::read_size;
use crate::policy::{read_entry_policy, read_gate_policy, read_schedule_policy};
use crate::section::{Section, parse_document};
use crate::value::SettingValue;
use hornbeamlead_core::ids::{CellId, DataCentreName, HostId, RackName};
use hornbeamlead_core::policy::{AgentPolicy, EntryPolicy};
use jsonc_parser::ast::Value;
use std::net::SocketAddr;

/// Sample of the addresses, for the advice in findings.
const ADDRESSES_SAMPLE: &str = r#"{"inner": "127.0.0.1:0", "operators": "127.0.0.1:0"}"#;

/// Keys that only one role has.
const ROLE_KEYS: [&str; 6] = [
    "cell",
    "entries",
    "seeds",
    "batch_capacity",
    "requests",
    "schedule",
];

/// Addresses that a process listens on or gives to others; port 0 lets the host choose.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListenAddresses {
    /// Links (TCP) and control datagrams (UDP) of other processes, on one port number.
    pub inner: SocketAddr,
    /// What others are told in place of `inner`.
    pub advertised: Option<SocketAddr>,
    /// Callers' HTTP; present exactly at entries.
    pub callers: Option<SocketAddr>,
    /// Operators' HTTP.
    pub operators: SocketAddr,
    /// Where the endpoint announces itself; present exactly at agents.
    pub local: Option<SocketAddr>,
}

/// Role of a process, with the policy of that role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoleSettings {
    /// Takes callers' requests.
    Entry(EntryPolicy),
    /// Runs beside an endpoint.
    Agent(Box<AgentPolicy>),
}

/// Checked settings of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessSettings {
    /// Host.
    pub host: HostId,
    /// Data centre.
    pub data_centre: DataCentreName,
    /// Rack.
    pub rack: RackName,
    /// Seed of the random source; made from the host's name where none is written.
    pub seed: u64,
    /// Listeners.
    pub addresses: ListenAddresses,
    /// Platform's log.
    pub log: SocketAddr,
    /// Receiver of metrics; none are sent without one.
    pub statsd: Option<SocketAddr>,
    /// Role and its policy.
    pub role: RoleSettings,
}

/// Reads the settings of a process and reports all faults together.
///
/// ```
/// use hornbeamlead_settings::{RoleSettings, read_settings};
///
/// let text = r#"{
///     // One of the thin entry hosts.
///     "role": "entry", "host": "entry-01", "data_centre": "negombo", "rack": "negombo-r1",
///     "addresses": {"inner": "127.0.0.1:0", "callers": "127.0.0.1:0", "operators": "127.0.0.1:0"},
///     "log": {"address": "127.0.0.1:7000"},
/// }"#;
/// let settings = read_settings("entry.json", text).unwrap();
/// assert!(matches!(settings.role, RoleSettings::Entry(_)));
/// ```
///
/// # Errors
/// Returns all faults with their place, cause and mend.
pub fn read_settings(file_name: &str, text: &str) -> Result<ProcessSettings, Findings> {
    let mut log = FindingLog::new(file_name, text);
    let settings = parse_document(text, &mut log, read_process);
    log.into_result(settings)
}

/// Role as it is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RoleName {
    Entry,
    Agent,
}

impl SettingValue for RoleName {
    const SAMPLE: &'static str = "\"entry\" or \"agent\"";

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
    let role = match role {
        Some(RoleName::Entry) => read_entry(&mut section, log),
        Some(RoleName::Agent) => read_agent(&mut section, log),
        None => {
            section.know(&ROLE_KEYS);
            None
        }
    };
    section.finish(log);
    let host = host?;
    Some(ProcessSettings {
        seed: seed.unwrap_or_else(|| seed_of(&host)),
        host,
        data_centre: data_centre?,
        rack: rack?,
        addresses: addresses?,
        log: log_address?,
        statsd,
        role: role?,
    })
}

fn read_addresses(
    parent: &mut Section<'_>,
    role: Option<RoleName>,
    log: &mut FindingLog<'_>,
) -> Option<ListenAddresses> {
    let mut section = parent.required_section("addresses", ADDRESSES_SAMPLE, log)?;
    let inner = section.required("inner", log);
    let advertised = section.optional("advertised", log);
    let operators = section.required("operators", log);
    let callers = match role {
        Some(RoleName::Entry) => section.required("callers", log),
        Some(RoleName::Agent) => {
            section.forbid("callers", "only an entry takes callers", log);
            None
        }
        None => section.optional("callers", log),
    };
    let local = match role {
        Some(RoleName::Agent) => section.required("local", log),
        Some(RoleName::Entry) => {
            section.forbid("local", "only an agent runs beside an endpoint", log);
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

/// Reports listeners that name the same fixed port.
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

/// Reports an address that other processes could not reach.
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
        || "inner listens on all addresses, of which others can reach none by name".to_owned(),
        "name one address of the host, or add \"advertised\"",
        log,
    );
    if let Some(address) = advertised {
        check_target(section, "advertised", address, log);
    }
}

pub(crate) fn read_log(parent: &mut Section<'_>, log: &mut FindingLog<'_>) -> Option<SocketAddr> {
    let sample = r#"{"address": "127.0.0.1:7000"}"#;
    let mut section = parent.required_section("log", sample, log)?;
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
    for key in ["cell", "entries", "seeds", "batch_capacity", "schedule"] {
        section.forbid(key, "it belongs to the role agent", log);
    }
    Some(RoleSettings::Entry(read_entry_policy(section, log)))
}

fn read_agent(section: &mut Section<'_>, log: &mut FindingLog<'_>) -> Option<RoleSettings> {
    let cell = section.required::<CellId>("cell", log);
    let entries = section.list::<SocketAddr>("entries", log);
    let seeds = section.list::<SocketAddr>("seeds", log);
    let batch_capacity = read_size(section, "batch_capacity", log);
    let gate = read_gate_policy(section, log);
    let schedule = read_schedule_policy(section, log);
    section.check(
        !entries.is_empty(),
        &["entries"],
        || "no entry is named, so no request would ever come here".to_owned(),
        "list the inner addresses of the entries under \"entries\"",
        log,
    );
    for (key, addresses) in [("entries", &entries), ("seeds", &seeds)] {
        for address in addresses {
            check_target(section, key, *address, log);
        }
    }
    Some(RoleSettings::Agent(Box::new(AgentPolicy {
        cell: cell?,
        entries,
        seeds,
        batch_capacity: batch_capacity?,
        gate,
        schedule,
    })))
}

/// Reports an address to send to that has no port.
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
        "write the IP number and port that the other side listens on",
        log,
    );
}

/// Makes a seed from the host's name (FNV-1a), so that hosts do not draw alike.
pub(crate) fn seed_of(host: &HostId) -> u64 {
    host.as_str()
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
        })
}
