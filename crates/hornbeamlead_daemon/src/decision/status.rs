//! JSON wire types of the operators' interface.

mod agent;

pub(crate) use agent::AgentWire;

use crate::counters::ProcessCounters;
use hornbeamlead_core::explain::DecisionRecord;
use hornbeamlead_core::fleet::{FleetState, NoteResult};
use hornbeamlead_core::message::request::LoadSample;
use hornbeamlead_core::policy::ProcessIdentity;
use hornbeamlead_core::status::{EntryStatus, MemberStatus};
use serde::Serialize;
use std::collections::BTreeMap;

/// Properties of a process that do not change while it runs.
#[derive(Clone, Debug)]
pub(crate) struct ProcessInfo {
    /// `entry` or `agent`.
    pub(crate) role: &'static str,
    /// Host, incarnation, location and addresses.
    pub(crate) identity: ProcessIdentity,
}

/// Answer to an operator's query.
#[derive(Debug, Serialize)]
#[serde(untagged)]
pub(crate) enum OperatorAnswer {
    Status(Box<ProcessWire>),
    /// Decisions, newest first.
    Decisions(Vec<DecisionWire>),
    /// Result of a note; `None` if the note is unknown or no longer remembered.
    Note(Option<NoteWire>),
}

#[derive(Debug, Serialize)]
pub(crate) struct ProcessWire {
    role: &'static str,
    host: Box<str>,
    data_centre: Box<str>,
    rack: Box<str>,
    incarnation: u64,
    inner: Box<str>,
    configuration: ConfigurationWire,
    counters: CountersWire,
    #[serde(flatten)]
    role_status: RoleWire,
}

#[derive(Debug, Serialize)]
struct ConfigurationWire {
    revision: u64,
    next_offset: u64,
    data_centres: BTreeMap<Box<str>, &'static str>,
    teams: usize,
    services: Vec<Box<str>>,
    jobs: Vec<Box<str>>,
}

#[derive(Debug, Serialize)]
struct CountersWire {
    requests: u64,
    refusals: BTreeMap<&'static str, u64>,
    retries: BTreeMap<&'static str, u64>,
}

/// Part of the status that is specific to a role.
#[derive(Debug, Serialize)]
#[serde(untagged)]
pub(crate) enum RoleWire {
    Entry(EntryWire),
    Agent(Box<AgentWire>),
}

#[derive(Debug, Serialize)]
pub(crate) struct EntryWire {
    revision: u64,
    log_up: bool,
    stopping: bool,
    in_progress: usize,
    members: Vec<MemberWire>,
}

/// Agent as seen by an entry.
#[derive(Debug, Serialize)]
struct MemberWire {
    host: Box<str>,
    incarnation: u64,
    data_centre: Box<str>,
    state: Box<str>,
    revision: u64,
    load: LoadWire,
    operators: Box<str>,
}

/// Latest load sample of an agent.
#[derive(Debug, Serialize)]
struct LoadWire {
    in_flight: u16,
    queued: u16,
    slots: u16,
    service_time_us: u32,
    leaving: bool,
}

#[derive(Debug, Serialize)]
pub(crate) struct DecisionWire {
    at_ms: u64,
    subject: Box<str>,
    rule: &'static str,
    inputs: Box<str>,
    revision: u64,
}

/// Result of a release note.
#[derive(Debug, Serialize)]
pub(crate) struct NoteWire {
    note: Box<str>,
    accepted: bool,
    revision: Option<u64>,
}

impl ProcessWire {
    pub(crate) fn new(
        process: &ProcessInfo,
        counters: &ProcessCounters,
        fleet: &FleetState,
        role_status: RoleWire,
    ) -> Self {
        let identity = &process.identity;
        Self {
            role: process.role,
            host: identity.host.as_str().into(),
            data_centre: identity.data_centre.as_str().into(),
            rack: identity.rack.as_str().into(),
            incarnation: identity.incarnation.0,
            inner: text(&identity.link_address),
            configuration: ConfigurationWire::from(fleet),
            counters: CountersWire::from(counters),
            role_status,
        }
    }
}

impl From<&FleetState> for ConfigurationWire {
    fn from(fleet: &FleetState) -> Self {
        let data_centres = fleet.data_centres().values();
        Self {
            revision: fleet.revision().0,
            next_offset: fleet.next().0,
            data_centres: data_centres
                .map(|spec| (text(&spec.name), service_state(spec.in_service)))
                .collect(),
            teams: fleet.teams().len(),
            services: fleet.services().keys().map(text).collect(),
            jobs: fleet.jobs().keys().map(text).collect(),
        }
    }
}

fn service_state(in_service: bool) -> &'static str {
    match in_service {
        true => "in_service",
        false => "drained",
    }
}

impl From<&ProcessCounters> for CountersWire {
    fn from(counters: &ProcessCounters) -> Self {
        Self {
            requests: counters.requests(),
            refusals: counters.refusals(),
            retries: counters.retries(),
        }
    }
}

impl From<&EntryStatus> for EntryWire {
    fn from(status: &EntryStatus) -> Self {
        Self {
            revision: status.revision.0,
            log_up: status.log_up,
            stopping: status.stopping,
            in_progress: status.in_progress,
            members: status.members.iter().map(MemberWire::from).collect(),
        }
    }
}

impl From<&MemberStatus> for MemberWire {
    fn from(member: &MemberStatus) -> Self {
        Self {
            host: text(&member.host),
            incarnation: member.incarnation.0,
            data_centre: text(&member.data_centre),
            state: text(&member.state),
            revision: member.revision.0,
            load: LoadWire::from(&member.load),
            operators: text(&member.operator_address),
        }
    }
}

impl From<&LoadSample> for LoadWire {
    fn from(load: &LoadSample) -> Self {
        Self {
            in_flight: load.in_flight,
            queued: load.queued,
            slots: load.slots,
            service_time_us: load.service_time_us,
            leaving: load.leaving,
        }
    }
}

impl From<&DecisionRecord> for DecisionWire {
    fn from(record: &DecisionRecord) -> Self {
        Self {
            at_ms: record.at.0,
            subject: record.subject.clone(),
            rule: record.rule,
            inputs: record.inputs.clone(),
            revision: record.revision.0,
        }
    }
}

impl From<&NoteResult> for NoteWire {
    fn from(result: &NoteResult) -> Self {
        Self {
            note: text(&result.id),
            accepted: result.revision.is_some(),
            revision: result.revision.map(|revision| revision.0),
        }
    }
}

fn text(value: &impl std::fmt::Display) -> Box<str> {
    value.to_string().into()
}
