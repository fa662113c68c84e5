//! Check of a configuration before it is sent: errors, entries that can never match, limits that
//! contradict each other, and what differs from the configuration in force.

use crate::config::{FleetConfig, QueueRoute, ServiceTerms};
use std::collections::BTreeMap;
use std::fmt;

/// Kind of a finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigFault {
    /// The configuration would not be taken, or not as meant.
    Error,
    /// An entry that can never match.
    Unused,
    /// Limits that contradict each other.
    Limits,
}

impl fmt::Display for ConfigFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Error => "error",
            Self::Unused => "never_matches",
            Self::Limits => "limits",
        })
    }
}

/// Finding in a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigFinding {
    /// Entry in which it was found, such as `route HOST/PREFIX/`.
    pub place: Box<str>,
    /// Kind of the finding.
    pub fault: ConfigFault,
    /// What is wrong and why.
    pub cause: Box<str>,
}

impl fmt::Display for ConfigFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.place, self.fault, self.cause)
    }
}

/// Change of an entry against the configuration in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigDifference {
    /// The entry is new.
    Added(Box<str>),
    /// The entry is removed.
    Removed(Box<str>),
    /// A field of the entry changes.
    Changed {
        /// Entry whose field changes.
        entry: Box<str>,
        /// Name of the field.
        field: &'static str,
        /// Value in force.
        old: Box<str>,
        /// Value in the checked configuration.
        new: Box<str>,
    },
}

impl fmt::Display for ConfigDifference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added(entry) => write!(f, "added {entry}"),
            Self::Removed(entry) => write!(f, "removed {entry}"),
            Self::Changed {
                entry,
                field,
                old,
                new,
            } => write!(f, "changed {entry}: {field} from {old} to {new}"),
        }
    }
}

/// Returns all findings in a configuration that is to replace the one in force, if there is one.
#[must_use]
pub fn check_config(config: &FleetConfig, in_force: Option<&FleetConfig>) -> Vec<ConfigFinding> {
    let mut findings = Vec::new();
    let version = config.version;
    if let Some(old) = in_force
        .map(|old| old.version)
        .filter(|old| version <= *old)
    {
        let cause = format!("{version} is not higher than {old}, which is in force");
        add(&mut findings, "version", ConfigFault::Error, cause);
    }
    for (index, route) in config.routes.iter().enumerate() {
        check_route(config, index, route, &mut findings);
    }
    for name in config.services.keys() {
        let place = format!("service {name:?}");
        let is_used = |route: &QueueRoute| route.terms.service == *name;
        if name.is_empty() {
            add(&mut findings, &place, ConfigFault::Error, "name is empty");
        } else if !config.routes.iter().any(is_used) {
            add(
                &mut findings,
                &place,
                ConfigFault::Unused,
                "no route uses it",
            );
        }
    }
    findings
}

fn check_route(
    config: &FleetConfig,
    index: usize,
    route: &QueueRoute,
    findings: &mut Vec<ConfigFinding>,
) {
    let place = route_name(route);
    let mut report = |fault, cause: String| add(findings, &place, fault, cause);
    let terms = &route.terms;
    for (name, value) in [("host", &route.host), ("service", &terms.service)] {
        if value.is_empty() {
            report(ConfigFault::Error, format!("{name} is empty"));
        }
    }
    if !terms.service.is_empty() && !config.services.contains_key(&terms.service) {
        let cause = format!("service {:?} is not in the configuration", terms.service);
        report(ConfigFault::Error, cause);
    }
    if !route.prefix.starts_with('/') {
        let cause = format!("prefix {:?} does not begin with /", route.prefix);
        report(ConfigFault::Unused, cause);
    }
    if route.host.contains(':') {
        let cause = format!(
            "host {:?} has a port, which is removed from requests",
            route.host
        );
        report(ConfigFault::Unused, cause);
    }
    // Of two routes with the same prefix, the later one is taken.
    let same = |other: &QueueRoute| other.host == route.host && other.prefix == route.prefix;
    if config.routes[index + 1..].iter().any(same) {
        let cause = "a later route has the same host and prefix and is taken instead";
        report(ConfigFault::Unused, cause.into());
    }
    if terms.max_attempts == 0 {
        report(
            ConfigFault::Limits,
            "no attempt is allowed, but one is made".into(),
        );
    }
    if !terms.target_factor.is_finite() || terms.target_factor < 0.0 {
        let cause = format!("a factor of {} makes no objective", terms.target_factor);
        report(ConfigFault::Limits, cause);
    } else if terms.target_factor < 1.0 && terms.target_latency_ms == 0 {
        let cause = "the objective is shorter than the critical path, so every job is late";
        report(ConfigFault::Limits, cause.into());
    }
}

fn add(
    findings: &mut Vec<ConfigFinding>,
    place: &str,
    fault: ConfigFault,
    cause: impl Into<Box<str>>,
) {
    findings.push(ConfigFinding {
        place: place.into(),
        fault,
        cause: cause.into(),
    });
}

/// Returns what a configuration changes against the one in force, field by field.
#[must_use]
pub fn diff_configs(old: &FleetConfig, new: &FleetConfig) -> Vec<ConfigDifference> {
    let mut differences = diff_entries(&route_fields(old), &route_fields(new));
    differences.extend(diff_entries(&service_fields(old), &service_fields(new)));
    differences
}

fn route_name(route: &QueueRoute) -> Box<str> {
    format!("route {}{}", route.host, route.prefix).into()
}

/// Fields of entries, by the text that identifies each entry.
type EntryFields = BTreeMap<Box<str>, Vec<(&'static str, String)>>;

fn route_fields(config: &FleetConfig) -> EntryFields {
    let fields = |route: &QueueRoute| {
        let terms = &route.terms;
        let fields = vec![
            ("service", format!("{:?}", terms.service)),
            ("priority", terms.priority.to_string()),
            ("max_attempts", terms.max_attempts.to_string()),
            ("target_factor", terms.target_factor.to_string()),
            ("target_latency_ms", terms.target_latency_ms.to_string()),
        ];
        (route_name(route), fields)
    };
    config.routes.iter().map(fields).collect()
}

fn service_fields(config: &FleetConfig) -> EntryFields {
    let fields = |service: &ServiceTerms| {
        let fields = vec![
            ("enforces_capacity", service.enforces_capacity.to_string()),
            ("health_path", format!("{:?}", service.health_path)),
        ];
        (format!("service {}", service.name).into(), fields)
    };
    config.services.values().map(fields).collect()
}

fn diff_entries(old: &EntryFields, new: &EntryFields) -> Vec<ConfigDifference> {
    let removed = old.keys().filter(|entry| !new.contains_key(*entry));
    let mut differences: Vec<_> = removed.cloned().map(ConfigDifference::Removed).collect();
    for (entry, fields) in new {
        let Some(before) = old.get(entry) else {
            differences.push(ConfigDifference::Added(entry.clone()));
            continue;
        };
        let changed = before.iter().zip(fields).filter(|(old, new)| old != new);
        differences.extend(
            changed.map(|((field, old), (_, new))| ConfigDifference::Changed {
                entry: entry.clone(),
                field,
                old: old.as_str().into(),
                new: new.as_str().into(),
            }),
        );
    }
    differences
}
