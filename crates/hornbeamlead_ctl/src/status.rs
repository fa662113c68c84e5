//! `status`: processes, data centres and jobs of the fleet.

use crate::fleet_view::{KnownProcess, query_fleet};
use crate::jobs::{JobProgress, query_progress};
use crate::operator_client::OperatorClient;
use crate::report::{ExitStatus, ToolReport};
use crate::status_wire::{CellWire, ProcessWire};
use hornbeamlead_platform::log::LogClient;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Status of one process. If it did not answer, the fields from its own status are `None`, and
/// `running_tasks` is 0.
#[derive(Debug, Serialize)]
struct ProcessLine {
    host: Box<str>,
    role: &'static str,
    operators: SocketAddr,
    data_centre: Option<Box<str>>,
    answered: bool,
    revision: Option<u64>,
    log_up: Option<bool>,
    stopping: Option<bool>,
    state: Option<Box<str>>,
    cell: Option<u32>,
    planner: Option<Box<str>>,
    running_tasks: usize,
}

/// Status of the fleet; the configuration is that of the newest revision reported.
#[derive(Debug, Serialize)]
pub(crate) struct StatusReport {
    revision: u64,
    data_centres: BTreeMap<Box<str>, Box<str>>,
    services: Vec<Box<str>>,
    jobs: BTreeMap<Box<str>, JobProgress>,
    evictions: u64,
    quarantined: Vec<Box<str>>,
    processes: Vec<ProcessLine>,
}

/// Collects the status of all known processes and the progress of all jobs.
pub(crate) async fn query_status(
    client: &OperatorClient,
    log: &LogClient,
    entries: &[SocketAddr],
) -> StatusReport {
    let known = query_fleet(client, entries).await;
    let newest = known
        .iter()
        .filter_map(|process| process.status.as_ref())
        .max_by_key(|status| status.revision);
    let cells: Vec<&CellWire> = known.iter().filter_map(cell_of).collect();
    let quarantined = cells.iter().flat_map(|cell| &cell.quarantined);
    StatusReport {
        revision: newest.map_or(0, |status| status.revision),
        data_centres: newest.map_or_else(BTreeMap::new, |status| {
            status.configuration.data_centres.clone()
        }),
        services: newest.map_or_else(Vec::new, |status| status.configuration.services.clone()),
        jobs: query_progress(log, &known).await,
        evictions: cells.iter().map(|cell| cell.evictions).sum(),
        quarantined: quarantined.cloned().collect(),
        processes: known.iter().map(ProcessLine::from).collect(),
    }
}

fn cell_of(process: &KnownProcess) -> Option<&CellWire> {
    let schedule = process.status.as_ref()?.schedule.as_ref()?;
    schedule.planning.as_ref()
}

impl From<&KnownProcess> for ProcessLine {
    fn from(known: &KnownProcess) -> Self {
        let status = known.status.as_ref();
        let schedule = status.and_then(|status| status.schedule.as_ref());
        Self {
            host: known.host.clone(),
            role: known.role,
            operators: known.address,
            data_centre: status.map(|status| status.data_centre.clone()),
            answered: status.is_some(),
            revision: status.map(|status| status.revision),
            log_up: status.map(|status| status.log_up),
            stopping: status.map(|status| status.stopping),
            state: known.state.clone(),
            cell: schedule.map(|schedule| schedule.cell),
            planner: schedule.and_then(|schedule| schedule.planner.clone()),
            running_tasks: status.map_or(0, running_tasks),
        }
    }
}

fn running_tasks(status: &ProcessWire) -> usize {
    let schedule = status.schedule.as_ref();
    let tasks = schedule.map_or(&[][..], |schedule| &schedule.tasks);
    tasks
        .iter()
        .filter(|task| &*task.phase == "running")
        .count()
}

impl ToolReport for StatusReport {
    fn exit_status(&self) -> ExitStatus {
        match self.processes.iter().any(|line| line.answered) {
            true => ExitStatus::Done,
            false => ExitStatus::Refused,
        }
    }
}

impl std::fmt::Display for StatusReport {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        writeln!(f, "revision      {}", self.revision)?;
        for (name, state) in &self.data_centres {
            writeln!(f, "data centre   {name} {state}")?;
        }
        if !self.services.is_empty() {
            writeln!(f, "services      {}", self.services.join(", "))?;
        }
        for (name, job) in &self.jobs {
            writeln!(f, "job           {name} {job}")?;
        }
        writeln!(f, "evictions     {}", self.evictions)?;
        for host in &self.quarantined {
            writeln!(f, "quarantined   {host}")?;
        }
        for line in &self.processes {
            writeln!(f, "{line}")?;
        }
        Ok(())
    }
}

impl std::fmt::Display for JobProgress {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (waiting, running) = (self.waiting, self.running);
        let (finished, failed) = (self.finished, self.failed);
        write!(
            f,
            "waiting={waiting} running={running} finished={finished} failed={failed}"
        )?;
        if let Some(resumed) = self.resumed {
            write!(f, " resumed={resumed}")?;
        }
        match &self.infeasible {
            Some(reason) => write!(f, " infeasible=\"{reason}\""),
            None => Ok(()),
        }
    }
}

impl std::fmt::Display for ProcessLine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{:<13} {} operators={}",
            self.role, self.host, self.operators
        )?;
        let (Some(centre), Some(revision)) = (&self.data_centre, self.revision) else {
            let state = self.state.as_deref().unwrap_or("unknown");
            return write!(f, " no answer state={state}");
        };
        let log = if self.log_up == Some(true) {
            "up"
        } else {
            "down"
        };
        write!(f, " data_centre={centre} revision={revision} log={log}")?;
        if let Some(state) = &self.state {
            write!(f, " state={state}")?;
        }
        if let Some(cell) = self.cell {
            let planner = self.planner.as_deref().unwrap_or("none");
            write!(
                f,
                " cell={cell} planner={planner} tasks={}",
                self.running_tasks
            )?;
        }
        if self.stopping == Some(true) {
            write!(f, " stopping")?;
        }
        Ok(())
    }
}
