//! `explain`: recent decisions about a subject, collected from all known processes.

use crate::fleet_view::{KnownProcess, query_fleet};
use crate::operator_client::{OperatorClient, encode_query};
use crate::report::{ExitStatus, ToolReport};
use crate::status_wire::DecisionWire;
use serde::Serialize;
use std::net::SocketAddr;
use std::time::{Duration, UNIX_EPOCH};

/// Decision and the host of the process that took it.
#[derive(Debug, Serialize)]
pub(crate) struct DecisionLine {
    at_ms: u64,
    host: Box<str>,
    subject: Box<str>,
    rule: Box<str>,
    inputs: Box<str>,
    revision: u64,
}

/// Decisions about a subject, newest first, and the hosts whose processes did not answer.
#[derive(Debug, Serialize)]
pub(crate) struct ExplainReport {
    subject: Box<str>,
    decisions: Vec<DecisionLine>,
    silent: Vec<Box<str>>,
}

/// Collects the decisions about a subject from all known processes.
pub(crate) async fn explain(
    client: &OperatorClient,
    entries: &[SocketAddr],
    subject: &str,
) -> ExplainReport {
    let known = query_fleet(client, entries).await;
    let path = format!("/explain?subject={}", encode_query(subject));
    let addresses = known.iter().map(|process| process.address);
    let responses = client
        .get_json_from_all::<Vec<DecisionWire>>(addresses, &path)
        .await;
    let mut report = ExplainReport {
        subject: subject.into(),
        decisions: Vec::new(),
        silent: Vec::new(),
    };
    for (address, response) in responses {
        let host = host_of_address(&known, address);
        match response {
            Some(decisions) => report.add(&host, decisions),
            None => report.silent.push(host),
        }
    }
    report.decisions.sort_by(|left, right| {
        let newest_first = right.at_ms.cmp(&left.at_ms);
        newest_first.then_with(|| left.host.cmp(&right.host))
    });
    report.silent.sort();
    report
}

fn host_of_address(known: &[KnownProcess], address: SocketAddr) -> Box<str> {
    let process = known.iter().find(|process| process.address == address);
    process.map_or_else(
        || address.to_string().into(),
        |process| process.host.clone(),
    )
}

impl ExplainReport {
    fn add(&mut self, host: &str, decisions: Vec<DecisionWire>) {
        let lines = decisions.into_iter().map(|decision| DecisionLine {
            at_ms: decision.at_ms,
            host: host.into(),
            subject: decision.subject,
            rule: decision.rule,
            inputs: decision.inputs,
            revision: decision.revision,
        });
        self.decisions.extend(lines);
    }
}

impl ToolReport for ExplainReport {
    fn exit_status(&self) -> ExitStatus {
        match self.decisions.is_empty() {
            true => ExitStatus::Refused,
            false => ExitStatus::Done,
        }
    }
}

impl std::fmt::Display for ExplainReport {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        if self.decisions.is_empty() {
            writeln!(
                f,
                "no process has recorded a decision about {}",
                self.subject
            )?;
        }
        for line in &self.decisions {
            let at = UNIX_EPOCH + Duration::from_millis(line.at_ms);
            writeln!(
                f,
                "{} {} {} rule={} revision={} {}",
                humantime::format_rfc3339_millis(at),
                line.host,
                line.subject,
                line.rule,
                line.revision,
                line.inputs
            )?;
        }
        if !self.silent.is_empty() {
            writeln!(f, "no answer from: {}", self.silent.join(", "))?;
        }
        Ok(())
    }
}
