//! Resolved settings of each role, as plain values for the decisions.

use crate::ids::{CellId, DataCentreName, HostId, Incarnation, RackName};
use crate::resource::ResourceSize;
use std::net::SocketAddr;
use std::time::Duration;

/// Who a process is and where it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessIdentity {
    /// Host.
    pub host: HostId,
    /// Life of this process; greater than that of any earlier one on the host.
    pub incarnation: Incarnation,
    /// Data centre.
    pub data_centre: DataCentreName,
    /// Rack.
    pub rack: RackName,
    /// Address of its inner TCP listener, as others reach it.
    pub link_address: SocketAddr,
    /// Address of its control datagrams, as others reach it.
    pub control_address: SocketAddr,
    /// Address of its listener for operators, as they reach it.
    pub operator_address: SocketAddr,
    /// Seed of its random source.
    pub seed: u64,
}

/// How an entry chooses a worker and when it tries again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BalanceRule {
    /// The less busy of two, with ejection, hedging and a retry budget.
    #[default]
    LeastBusy,
    /// Any worker alike, with a fixed number of retries; for comparison.
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

/// Reports a text that names no balance rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("a balance rule is \"least_busy\" or \"random\""))]
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

/// Settings of the request path of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryPolicy {
    /// How a worker is chosen.
    pub balance: BalanceRule,
    /// Workers of one service that the entry chooses among.
    pub subset: usize,
    /// Retries allowed, in percent of first tries; a small stock from calm times comes on top.
    pub retry_percent: u32,
    /// Time between reads of the notes stream.
    pub notes_interval: Duration,
    /// Silence after which an agent is suspected.
    pub suspect_after: Duration,
    /// Silence after which a suspected agent is dropped.
    pub drop_after: Duration,
    /// Bytes a second that announcements may take at this entry.
    pub announce_bytes_per_second: u32,
    /// Shortest time between two announcements of one agent.
    pub announce_interval: Duration,
    /// Requests in progress at most.
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
    /// Requests that may wait for a slot.
    pub queue: usize,
    /// Keys remembered at most.
    pub max_keys: usize,
    /// Bytes of answers remembered for keys at most.
    pub max_key_bytes: usize,
    /// Time for which a key is remembered.
    pub key_lifetime: Duration,
    /// Ids fenced at most.
    pub max_fenced: usize,
    /// Time for which an id stays fenced.
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

/// Weights between the aims that the deployments share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObjectiveWeights {
    /// Weight of the live services' tail latency.
    pub tail_latency: u32,
    /// Weight of batch throughput before the deadline.
    pub throughput: u32,
    /// Weight of avoided evictions and of work kept during moves.
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

/// Settings of the batch side: leases, planner and placement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SchedulePolicy {
    /// Time between heartbeats.
    pub heartbeat: Duration,
    /// Length of a host lease and of the task leases under it.
    pub lease: Duration,
    /// Bound on the drift between two clocks over one lease, plus safety margin.
    pub margin: Duration,
    /// `T` of the design notes: how long one read of the log's tail entitles a planner to renew.
    pub tail_validity: Duration,
    /// Longest running on promises alone while the log is down.
    pub outage_bound: Duration,
    /// Longest time from a read that showed no drain to a start that relied on it.
    pub start_bound: Duration,
    /// Time between reads of the notes and of the cell's stream by the planner.
    pub read_interval: Duration,
    /// Time between batches of start records, urgent ones excepted.
    pub batch_interval: Duration,
    /// Records of the notes stream after which its snapshot is written again, at the latest after
    /// one and a half times as many.
    pub snapshot_records: u64,
    /// Evictions allowed a minute in one cell.
    pub evictions_per_minute: u32,
    /// p99 of the live service above which its batch neighbours are throttled.
    pub service_p99_goal: Duration,
    /// Weights between the aims.
    pub weights: ObjectiveWeights,
    /// Whether sizes, run times and interference are learned.
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
    /// Control addresses of the entries it announces itself to.
    pub entries: Vec<SocketAddr>,
    /// Control addresses of some agents of its cell, asked while no planner is known.
    pub seeds: Vec<SocketAddr>,
    /// What batch tasks may take on the worker; the rest is the services'.
    pub batch_capacity: ResourceSize,
    /// Request path.
    pub gate: GatePolicy,
    /// Batch side.
    pub schedule: SchedulePolicy,
}
