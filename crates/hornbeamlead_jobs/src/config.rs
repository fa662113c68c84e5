//! Configuration set by operators: queues, services and evacuated data centres.

use crate::job::QueueTerms;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Queue of jobs, selected by host and longest matching path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueRoute {
    /// Host name in callers' requests.
    pub host: Box<str>,
    /// Path prefix, which is followed by the job id.
    pub prefix: Box<str>,
    /// Settings for jobs of the queue.
    pub terms: QueueTerms,
}

/// Settings of a service whose workers run tasks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceTerms {
    /// Name of the service.
    pub name: Box<str>,
    /// Whether its workers refuse tasks that exceed their capacity.
    pub enforces_capacity: bool,
    /// Path of the workers' health check, if they have one.
    pub health_path: Option<Box<str>>,
}

/// Limits on callers; those that are absent or zero have the defaults of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum length of a request head, in bytes.
    pub max_head_bytes: Option<u32>,
    /// Maximum length of a request body, in bytes.
    pub max_body_bytes: Option<u32>,
    /// Maximum time from the first byte of a request to the end of its head.
    pub head_timeout: Option<Duration>,
    /// Maximum time between two requests of a connection.
    pub idle_timeout: Option<Duration>,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetConfig {
    /// Version; increases with each change, not always by 1.
    pub version: u64,
    /// Queues, in no particular order.
    pub routes: Vec<QueueRoute>,
    /// Services by name.
    pub services: BTreeMap<Box<str>, ServiceTerms>,
    /// Limits on callers.
    pub limits: CallerLimits,
}

impl FleetConfig {
    /// Returns the queue for a host and path, and the part of the path after the queue's prefix.
    #[must_use]
    pub fn route<'p>(&self, host: &str, path: &'p str) -> Option<(&QueueRoute, &'p str)> {
        let matches =
            |route: &&QueueRoute| &*route.host == host && path.starts_with(&*route.prefix);
        let route = self
            .routes
            .iter()
            .filter(matches)
            .max_by_key(|route| route.prefix.len())?;
        Some((route, &path[route.prefix.len()..]))
    }
}

/// Change made by an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigChange {
    /// The configuration is replaced.
    Config(FleetConfig),
    /// A data centre is evacuated: no task may start in it.
    Evacuate(Box<str>),
    /// The evacuation of a data centre ends.
    Return(Box<str>),
    /// A change that does not concern jobs, with the key of its record.
    Other(Box<str>),
    /// A record that could not be decoded.
    Unreadable {
        /// Key of the record.
        key: Box<str>,
        /// Decoding error.
        cause: Box<str>,
    },
}

/// Current configuration and evacuations.
#[derive(Clone, Debug, Default)]
pub struct OperatorState {
    /// Current configuration, once one has been read.
    pub config: Option<FleetConfig>,
    /// Data centres in which no task may start.
    pub evacuated: BTreeSet<Box<str>>,
}

impl OperatorState {
    /// Applies a change and returns whether the state changed. A configuration is ignored unless
    /// its version is higher than that of the one in force.
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
            ConfigChange::Evacuate(data_centre) => self.evacuated.insert(data_centre),
            ConfigChange::Return(data_centre) => self.evacuated.remove(&data_centre),
            ConfigChange::Other(_) | ConfigChange::Unreadable { .. } => false,
        }
    }
}
