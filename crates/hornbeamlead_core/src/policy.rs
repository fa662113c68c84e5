//! Resolved settings of each role, as used by the state machines.

use crate::ids::{CellId, DataCentreName, HostId, Incarnation, RackName};
use crate::resource::ResourceSize;
use std::net::SocketAddr;
use std::time::Duration;

/// Identity, location and addresses of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessIdentity {
    /// Host of the process.
    pub host: HostId,
    /// Incarnation of the process; greater than that of any earlier process on the host.
    pub incarnation: Incarnation,
    /// Data centre.
    pub data_centre: DataCentreName,
    /// Rack.
    pub rack: RackName,
    /// Advertised address of the internal TCP listener.
    pub link_address: SocketAddr,
    /// Advertised address for control datagrams.
    pub control_address: SocketAddr,
    /// Advertised address of the operator listener.
    pub operator_address: SocketAddr,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Load balancing and retry policy of an entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BalanceRule {
    /// The less busy of two workers, with outlier ejection, hedging and a retry budget.
    #[default]
    LeastBusy,
    /// A uniformly random worker, with a fixed number of retries; a baseline for comparison.
    Random,
}

impl std::fmt::Display for BalanceRule {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::LeastBusy => "least_busy",
            Self::Random => "random",
        })
    }
}

/// Error for a string that is not the name of a balance rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("unknown balance rule, expected \"least_busy\" or \"random\""))]
pub struct UnknownRule;

impl std::str::FromStr for BalanceRule {
    type Err = UnknownRule;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "least_busy" => Ok(Self::LeastBusy),
            "random" => Ok(Self::Random),
            _ => Err(UnknownRule),
        }
    }
}

/// Order in which a planner serves jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServiceOrder {
    /// By deadline, whether there is room for all jobs or not.
    #[default]
    ByDeadline,
    /// By deadline among those jobs that can end on time together, then the others.
    ByValue,
}

impl std::fmt::Display for ServiceOrder {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::ByDeadline => "by_deadline",
            Self::ByValue => "by_value",
        })
    }
}

/// Error for a string that is not the name of a service order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("unknown service order, expected \"by_deadline\" or \"by_value\""))]
pub struct UnknownOrder;

impl std::str::FromStr for ServiceOrder {
    type Err = UnknownOrder;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "by_deadline" => Ok(Self::ByDeadline),
            "by_value" => Ok(Self::ByValue),
            _ => Err(UnknownOrder),
        }
    }
}

/// Settings of the request path of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryPolicy {
    /// Load balancing and retry policy.
    pub balance: BalanceRule,
    /// Number of workers of one service that the entry balances across.
    pub subset: usize,
    /// Retry budget in percent of first attempts; unused budget allows a small burst on top.
    pub retry_percent: u32,
    /// Interval between reads of the notes stream.
    pub notes_interval: Duration,
    /// Time without announcements after which an agent is suspected.
    pub suspect_after: Duration,
    /// Time without announcements after which a suspected agent is dropped.
    pub drop_after: Duration,
    /// Maximum incoming traffic from announcements, in bytes per second.
    pub announce_bytes_per_second: u32,
    /// Minimum interval between two announcements of one agent.
    pub announce_interval: Duration,
    /// Maximum number of requests in progress.
    pub max_in_progress: usize,
}

impl Default for EntryPolicy {
    fn default() -> Self {
        Self {
            balance: BalanceRule::default(),
            subset: 32,
            retry_percent: 9,
            notes_interval: Duration::from_millis(500),
            suspect_after: Duration::from_millis(1500),
            drop_after: Duration::from_secs(5),
            announce_bytes_per_second: 6_000,
            announce_interval: Duration::from_millis(500),
            max_in_progress: 4096,
        }
    }
}

/// Settings of the request path of an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatePolicy {
    /// Maximum number of requests that wait for a slot.
    pub queue: usize,
    /// Maximum number of remembered idempotency keys.
    pub max_keys: usize,
    /// Maximum size of all responses remembered for keys, in bytes.
    pub max_key_bytes: usize,
    /// Time for which a key is remembered.
    pub key_lifetime: Duration,
    /// Maximum number of fenced request ids.
    pub max_fenced: usize,
    /// Time for which a request id stays fenced.
    pub fence_lifetime: Duration,
}

impl Default for GatePolicy {
    fn default() -> Self {
        Self {
            queue: 64,
            max_keys: 20_000,
            max_key_bytes: 32 * 1024 * 1024,
            key_lifetime: Duration::from_secs(600),
            max_fenced: 50_000,
            fence_lifetime: Duration::from_secs(60),
        }
    }
}

/// Relative weights of the scheduling objectives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObjectiveWeights {
    /// Weight of the tail latency of live services.
    pub tail_latency: u32,
    /// Weight of batch throughput before the deadlines.
    pub throughput: u32,
    /// Weight of avoiding evictions and lost work.
    pub evictions: u32,
}

impl Default for ObjectiveWeights {
    fn default() -> Self {
        Self {
            tail_latency: 1,
            throughput: 1,
            evictions: 1,
        }
    }
}

/// Settings of batch scheduling: leases, planner and placement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SchedulePolicy {
    /// Interval between heartbeats.
    pub heartbeat: Duration,
    /// Duration of a host lease and of the task leases under it.
    pub lease: Duration,
    /// Upper bound on the drift between two clocks over one lease, plus a safety margin.
    pub margin: Duration,
    /// Time for which one read of the log's tail allows a planner to renew leases.
    pub tail_validity: Duration,
    /// Maximum time for which a planner renews leases on promises alone while the log is down.
    pub outage_bound: Duration,
    /// Maximum time from a read that shows no drain to a start that relies on it.
    pub start_bound: Duration,
    /// Interval between the planner's reads of the notes and of its cell's stream.
    pub read_interval: Duration,
    /// Interval between batches of start records; urgent tasks do not wait for it.
    pub batch_interval: Duration,
    /// Number of records after which a stream is snapshotted again.
    ///
    /// For the notes stream each agent draws its threshold between this and 1.5 times this value.
    pub snapshot_records: u64,
    /// Maximum number of evictions per minute in one cell.
    pub evictions_per_minute: u32,
    /// p99 latency of a live service above which batch tasks on its worker are throttled.
    pub service_p99_goal: Duration,
    /// Weights of the scheduling objectives.
    pub weights: ObjectiveWeights,
    /// Whether task usage, run times and interference are learned.
    pub learning: bool,
}

impl Default for SchedulePolicy {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(500),
            lease: Duration::from_secs(6),
            margin: Duration::from_millis(500),
            tail_validity: Duration::from_secs(3),
            outage_bound: Duration::from_secs(1800),
            start_bound: Duration::from_millis(2500),
            read_interval: Duration::from_millis(250),
            batch_interval: Duration::from_millis(250),
            snapshot_records: 300,
            evictions_per_minute: 6,
            service_p99_goal: Duration::from_millis(50),
            weights: ObjectiveWeights::default(),
            learning: true,
        }
    }
}

/// Settings of an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentPolicy {
    /// Cell of the agent.
    pub cell: CellId,
    /// Control addresses of the entries that receive the agent's announcements.
    pub entries: Vec<SocketAddr>,
    /// Control addresses of some agents of the cell, contacted while no planner is known.
    pub seeds: Vec<SocketAddr>,
    /// Address of the worker that may announce itself; without one, the first that does.
    pub worker: Option<SocketAddr>,
    /// Resources for batch tasks on the worker; the rest is reserved for services.
    pub batch_capacity: ResourceSize,
    /// Settings of the request path.
    pub gate: GatePolicy,
    /// Settings of batch scheduling.
    pub schedule: SchedulePolicy,
}
