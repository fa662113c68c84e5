//! Scenarios of the experiment on live requests.

use hornbeamlead_standin::worker::control::{ServiceControl, ServiceFault};
use std::time::Duration;

/// Hosts in each of two data centres.
pub(super) const HOSTS_EACH: usize = 3;

/// Time that a request takes on a healthy worker, in microseconds.
const SERVICE_TIME_US: u64 = 20_000;

/// Requests a second that all workers can answer: 6 workers with 8 slots of 20 ms.
pub(super) const CAPACITY_RATE: f64 = 2_400.0;

/// Share of the capacity that is offered on an ordinary day.
const ORDINARY_SHARE: f64 = 0.5;

/// Times the capacity that is offered in an overload.
const OVERLOAD_SHARE: f64 = 2.0;

/// Factor by which the slow worker is slower.
const SLOW_FACTOR: u64 = 10;

/// Situation under which requests are measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Scenario {
    /// Half of the capacity is asked for, all workers are well.
    Ordinary,
    /// The same load of non-idempotent requests, each with a key of its own.
    Keyed,
    /// The same load, with one worker ten times slower.
    SlowWorker,
    /// The same load, with one worker that answers each request with a failure at once.
    FailingWorker,
    /// Twice the capacity is asked for.
    Overload,
    /// The ordinary load, from the moment on at which the overload ends.
    Recovery,
}

impl Scenario {
    /// All scenarios in their order; the recovery follows the overload without a rest.
    pub(super) const ALL: [Self; 6] = [
        Self::Ordinary,
        Self::Keyed,
        Self::SlowWorker,
        Self::FailingWorker,
        Self::Overload,
        Self::Recovery,
    ];

    /// Returns the requests offered a second.
    pub(super) fn rate(self) -> f64 {
        match self {
            Self::Overload => CAPACITY_RATE * OVERLOAD_SHARE,
            Self::Ordinary
            | Self::Keyed
            | Self::SlowWorker
            | Self::FailingWorker
            | Self::Recovery => CAPACITY_RATE * ORDINARY_SHARE,
        }
    }

    /// Returns for how long requests are offered.
    pub(super) fn length(self) -> Duration {
        match self {
            Self::Recovery => Duration::from_secs(5),
            Self::Ordinary
            | Self::Keyed
            | Self::SlowWorker
            | Self::FailingWorker
            | Self::Overload => Duration::from_secs(10),
        }
    }

    /// Returns the rest before it, in which faults of the one before are forgotten.
    pub(super) fn rest(self) -> Duration {
        match self {
            Self::Recovery => Duration::ZERO,
            Self::Ordinary
            | Self::Keyed
            | Self::SlowWorker
            | Self::FailingWorker
            | Self::Overload => Duration::from_secs(3),
        }
    }

    /// Returns how the first worker behaves.
    pub(super) fn first_worker(self) -> ServiceControl {
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

/// Returns the behaviour of a worker that is well.
pub(super) fn healthy_service() -> ServiceControl {
    ServiceControl {
        time_us: SERVICE_TIME_US,
        ..ServiceControl::default()
    }
}
