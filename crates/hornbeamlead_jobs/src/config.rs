//! What operators ask for: queues, services, evacuations.

use crate::job::QueueTerms;
use std::collections::{BTreeMap, BTreeSet};

/// Queue of jobs, chosen by host and longest path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueRoute {
    /// Host that callers name.
    pub host: Box<str>,
    /// First part of the path; a job's id follows it.
    pub prefix: Box<str>,
    /// Terms for jobs of the queue.
    pub terms: QueueTerms,
}

/// Service whose workers run tasks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceTerms {
    /// Name.
    pub name: Box<str>,
    /// Whether its workers refuse what does not fit.
    pub enforces_capacity: bool,
    /// Path at which a worker tells its health, where it does.
    pub health_path: Option<Box<str>>,
}

/// Configuration in one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetConfig {
    /// Version; rises unevenly.
    pub version: u64,
    /// Queues.
    pub routes: Vec<QueueRoute>,
    /// Services by name.
    pub services: BTreeMap<Box<str>, ServiceTerms>,
}

impl FleetConfig {
    /// Returns the queue for a host and path, and what follows its prefix.
    #[must_use]
    pub fn route<'p>(&self, host: &str, path: &'p str) -> Option<(&QueueRoute, &'p str)> {
        let fits = |route: &&QueueRoute| &*route.host == host && path.starts_with(&*route.prefix);
        let route = self
            .routes
            .iter()
            .filter(fits)
            .max_by_key(|route| route.prefix.len())?;
        Some((route, &path[route.prefix.len()..]))
    }
}

/// One change of what operators ask for.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigChange {
    /// New configuration.
    Config(FleetConfig),
    /// Nothing more may start in a data centre.
    Evacuate(Box<str>),
    /// A data centre is taken back.
    Return(Box<str>),
    /// A change that does not concern jobs.
    Other(Box<str>),
    /// Bytes that are no valid change.
    Unreadable {
        /// Key of the record.
        key: Box<str>,
        /// Cause.
        cause: Box<str>,
    },
}

/// Newest configuration and evacuations.
#[derive(Clone, Debug, Default)]
pub struct OperatorView {
    /// Newest configuration, once one is known.
    pub config: Option<FleetConfig>,
    /// Data centres in which nothing may start.
    pub evacuated: BTreeSet<Box<str>>,
}

impl OperatorView {
    /// Takes in a change; an older version never replaces a newer one. Returns whether it counted.
    pub fn apply(&mut self, change: ConfigChange) -> bool {
        match change {
            ConfigChange::Config(config) => {
                let newer = self
                    .config
                    .as_ref()
                    .is_none_or(|old| config.version > old.version);
                if newer {
                    self.config = Some(config);
                }
                newer
            }
            ConfigChange::Evacuate(zone) => self.evacuated.insert(zone),
            ConfigChange::Return(zone) => self.evacuated.remove(&zone),
            ConfigChange::Other(_) | ConfigChange::Unreadable { .. } => false,
        }
    }
}
