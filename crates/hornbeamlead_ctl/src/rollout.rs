//! Waits until a revision is in force in all known processes.

use crate::fleet_view::{KnownProcess, query_fleet};
use crate::operator_client::OperatorClient;
use hornbeamlead_core::ids::Revision;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Delay between two polls of the fleet.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Timeout of a request within one poll.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Process in which the awaited revision is not yet in force.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct LaggingProcess {
    pub(crate) host: Box<str>,
    /// `entry` or `agent`.
    pub(crate) role: &'static str,
    /// Address of the operator listener.
    pub(crate) operators: SocketAddr,
    /// Revision in force in the process; `None` if it did not answer.
    pub(crate) revision: Option<u64>,
}

/// Result of waiting for a revision.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct RolloutReport {
    /// Number of processes seen during the wait.
    pub(crate) processes: usize,
    /// Processes that lagged in the last poll.
    pub(crate) lagging: Vec<LaggingProcess>,
    /// Duration of the wait, in milliseconds.
    pub(crate) waited_ms: u64,
}

/// Polls all known processes until the revision is in force in each, or the timeout expires.
///
/// A process that the entries drop during the wait still counts, since it may only be frozen.
pub(crate) async fn await_revision(
    entries: &[SocketAddr],
    revision: Revision,
    timeout: Duration,
) -> RolloutReport {
    let client = OperatorClient::with_timeout(REQUEST_TIMEOUT);
    let started_at = Instant::now();
    let deadline = started_at + timeout;
    let mut seen = BTreeMap::new();
    loop {
        poll_processes(&client, entries, &mut seen).await;
        let lagging: Vec<_> = seen
            .values()
            .filter_map(|process| lagging_process(process, revision))
            .collect();
        if lagging.is_empty() || Instant::now() + POLL_INTERVAL >= deadline {
            return RolloutReport {
                processes: seen.len(),
                lagging,
                waited_ms: u64::try_from(started_at.elapsed().as_millis()).unwrap_or(u64::MAX),
            };
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Queries the fleet, and those processes seen in earlier polls that no entry lists any more.
async fn poll_processes(
    client: &OperatorClient,
    entries: &[SocketAddr],
    seen: &mut BTreeMap<Box<str>, KnownProcess>,
) {
    let known = query_fleet(client, entries).await;
    let known: BTreeMap<_, _> = known
        .into_iter()
        .map(|process| (stable_key(&process), process))
        .collect();
    let dropped = seen.iter().filter(|(key, _)| !known.contains_key(*key));
    let dropped: Vec<SocketAddr> = dropped.map(|(_, process)| process.address).collect();
    for (address, status) in client.get_json_from_all(dropped, "/status").await {
        let process = seen.values_mut().find(|process| process.address == address);
        if let Some(process) = process {
            process.status = status;
        }
    }
    seen.extend(known);
}

/// Returns a key that is stable across restarts: an agent's host or an entry's address.
fn stable_key(process: &KnownProcess) -> Box<str> {
    match process.role {
        "agent" => process.host.clone(),
        _ => process.address.to_string().into(),
    }
}

fn lagging_process(known: &KnownProcess, target: Revision) -> Option<LaggingProcess> {
    let revision = known.status.as_ref().map(|status| status.revision);
    if revision.is_some_and(|revision| revision >= target.0) {
        return None;
    }
    Some(LaggingProcess {
        host: known.host.clone(),
        role: known.role,
        operators: known.address,
        revision,
    })
}

impl std::fmt::Display for RolloutReport {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let total = self.processes;
        if self.lagging.is_empty() {
            return writeln!(f, "in force in all {total} known processes");
        }
        let lagging_count = self.lagging.len();
        writeln!(
            f,
            "not yet in force in {lagging_count} of {total} known processes:"
        )?;
        for process in &self.lagging {
            write!(
                f,
                "  {} {} {}: ",
                process.role, process.host, process.operators
            )?;
            match process.revision {
                Some(revision) => writeln!(f, "revision {revision}")?,
                None => writeln!(f, "no answer")?,
            }
        }
        Ok(())
    }
}
