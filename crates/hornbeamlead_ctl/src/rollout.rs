//! Wait until a revision is in force in all known processes.

use crate::fleet_view::{KnownProcess, ask_fleet};
use crate::operators::OperatorsClient;
use hornbeamlead_core::ids::Revision;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Time between two rounds of questions.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which a process counts as silent in one round.
const ROUND_PATIENCE: Duration = Duration::from_millis(500);

/// Process in which a revision is not in force.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct LaggingProcess {
    /// Host.
    pub(crate) host: Box<str>,
    /// Role.
    pub(crate) role: &'static str,
    /// Listener for operators.
    pub(crate) operators: SocketAddr,
    /// Revision in force there; `None` if it did not answer.
    pub(crate) revision: Option<u64>,
}

/// Outcome of the wait.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct RolloutReport {
    /// Processes asked in the last round.
    pub(crate) processes: usize,
    /// Those that lag.
    pub(crate) lagging: Vec<LaggingProcess>,
    /// Time that the wait took, in milliseconds.
    pub(crate) waited_ms: u64,
}

/// Asks all known processes until the revision is in force in each, or the time is up.
///
/// A process that the entries drop meanwhile still counts, since it may be frozen.
pub(crate) async fn wait_for(
    entries: &[SocketAddr],
    revision: Revision,
    timeout: Duration,
) -> RolloutReport {
    let client = OperatorsClient::with_patience(ROUND_PATIENCE);
    let began = Instant::now();
    let deadline = began + timeout;
    let mut seen = BTreeMap::new();
    loop {
        ask_round(&client, entries, &mut seen).await;
        let lagging: Vec<_> = seen.values().filter_map(|one| lag(one, revision)).collect();
        if lagging.is_empty() || Instant::now() + ROUND_INTERVAL >= deadline {
            return RolloutReport {
                processes: seen.len(),
                lagging,
                waited_ms: u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX),
            };
        }
        tokio::time::sleep(ROUND_INTERVAL).await;
    }
}

/// Asks the fleet, and those processes seen before that no entry knows any more.
async fn ask_round(
    client: &OperatorsClient,
    entries: &[SocketAddr],
    seen: &mut BTreeMap<Box<str>, KnownProcess>,
) {
    let known = ask_fleet(client, entries).await;
    let known: BTreeMap<_, _> = known.into_iter().map(|one| (place_of(&one), one)).collect();
    let dropped = seen.iter().filter(|(place, _)| !known.contains_key(*place));
    let dropped: Vec<SocketAddr> = dropped.map(|(_, process)| process.address).collect();
    for (address, status) in client.ask_all(dropped, "/status").await {
        let process = seen.values_mut().find(|one| one.address == address);
        if let Some(process) = process {
            process.status = status;
        }
    }
    seen.extend(known);
}

/// Returns what stays the same when a process is restarted: an agent's host, an entry's address.
fn place_of(process: &KnownProcess) -> Box<str> {
    match process.role {
        "agent" => process.host.clone(),
        _ => process.address.to_string().into(),
    }
}

fn lag(known: &KnownProcess, wanted: Revision) -> Option<LaggingProcess> {
    let revision = known.status.as_ref().map(|status| status.revision);
    if revision.is_some_and(|revision| revision >= wanted.0) {
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
        let asked = self.processes;
        if self.lagging.is_empty() {
            return writeln!(f, "in force in all {asked} known processes");
        }
        let late = self.lagging.len();
        writeln!(f, "not yet in force in {late} of {asked} known processes:")?;
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
