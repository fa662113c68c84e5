//! Scenarios of the experiment on live requests.

use hornbeamlead_standin::worker::control::{ServiceControl, ServiceFault};
use std::time::Duration;

/// Number of hosts in each of the two data centres.
pub(super) const HOSTS_PER_DATA_CENTRE: usize = 3;

/// Service time of a request on a healthy worker, in microseconds.
const SERVICE_TIME_US: u64 = 20_000;

/// Capacity of all workers in requests per second: 6 workers with 8 slots of 20 ms.
pub(super) const CAPACITY_RATE: f64 = 2_400.0;

/// Load of the ordinary scenarios, as a share of the capacity.
const ORDINARY_SHARE: f64 = 0.5;

/// Load of the overload scenario, as a multiple of the capacity.
const OVERLOAD_FACTOR: f64 = 2.0;

/// Factor on the service time of the slow worker.
const SLOW_FACTOR: u64 = 10;

/// Load and worker state under which requests are measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Scenario {
    /// Load of half the capacity, with healthy workers.
    Ordinary,
    /// The ordinary load of non-idempotent requests, each with an idempotency key of its own.
    Keyed,
    /// The ordinary load, with one worker that is ten times slower.
    SlowWorker,
    /// The ordinary load, with one worker that fails each request at once.
    FailingWorker,
    /// Load of twice the capacity.
    Overload,
    /// The ordinary load immediately after the overload.
    Recovery,
}

impl Scenario {
    /// All scenarios in the order of execution.
    pub(super) const ALL: [Self; 6] = [
        Self::Ordinary,
        Self::Keyed,
        Self::SlowWorker,
        Self::FailingWorker,
        Self::Overload,
        Self::Recovery,
    ];

    /// Returns the load in requests per second.
    pub(super) fn rate(self) -> f64 {
        match self {
            Self::Overload => CAPACITY_RATE * OVERLOAD_FACTOR,
            Self::Ordinary
            | Self::Keyed
            | Self::SlowWorker
            | Self::FailingWorker
            | Self::Recovery => CAPACITY_RATE * ORDINARY_SHARE,
        }
    }

    /// Returns the period in which requests are sent.
    pub(super) fn duration(self) -> Duration {
        match self {
            Self::Recovery => Duration::from_secs(5),
            Self::Ordinary
            | Self::Keyed
            | Self::SlowWorker
            | Self::FailingWorker
            | Self::Overload => Duration::from_secs(10),
        }
    }

    /// Returns the pause before the scenario, in which the fleet recovers from the previous one.
    ///
    /// The recovery scenario has none, as it measures the time right after the overload.
    pub(super) fn cooldown(self) -> Duration {
        match self {
            Self::Recovery => Duration::ZERO,
            Self::Ordinary
            | Self::Keyed
            | Self::SlowWorker
            | Self::FailingWorker
            | Self::Overload => Duration::from_secs(3),
        }
    }

    /// Returns the behaviour of the first worker; all others are healthy.
    pub(super) fn first_worker_control(self) -> ServiceControl {
        let healthy = healthy_service();
        match self {
            Self::SlowWorker => ServiceControl {
                time_us: SERVICE_TIME_US * SLOW_FACTOR,
                ..healthy
            },
            Self::FailingWorker => ServiceControl {
                time_us: 500,
                fault: ServiceFault::Failing,
                ..healthy
            },
            Self::Ordinary | Self::Keyed | Self::Overload | Self::Recovery => healthy,
        }
    }
}

impl std::fmt::Display for Scenario {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Ordinary => "ordinary",
            Self::Keyed => "keyed orders",
            Self::SlowWorker => "slow worker",
            Self::FailingWorker => "failing worker",
            Self::Overload => "overload 2x",
            Self::Recovery => "recovery",
        })
    }
}

/// Returns the behaviour of a healthy worker.
pub(super) fn healthy_service() -> ServiceControl {
    ServiceControl {
        time_us: SERVICE_TIME_US,
        ..ServiceControl::default()
    }
}
