//! State machine of an agent: request side, batch side and configuration.

use crate::snapshot_schedule::SnapshotSchedule;
use crate::worker_guard::{RefusedAnnounce, WorkerGuard};
use hornbeamlead_core::clock::{ClockReading, MonoTime};
use hornbeamlead_core::effect::{AgentEffect, AppendRecord};
use hornbeamlead_core::event::{AgentEvent, EndpointAnnounce, NoteRecord, StreamBatch};
use hornbeamlead_core::explain::DecisionRecord;
use hornbeamlead_core::fleet::FleetState;
use hornbeamlead_core::ids::{LinkId, LogOffset, Revision};
use hornbeamlead_core::message::request::LinkMessage;
use hornbeamlead_core::notes_replica::{NoteDecision, NotesReplica};
use hornbeamlead_core::policy::{AgentPolicy, ProcessIdentity};
use hornbeamlead_core::record::{LogBatch, StreamName};
use hornbeamlead_core::status::AgentStatus;
use hornbeamlead_request::gate::{GateContext, RequestGate};
use hornbeamlead_schedule::machine::ScheduleMachine;

/// State machine of an agent.
///
/// Each event is handled by the configuration, then by the batch side, then by the request side.
/// Announcements of other workers than the host's reach neither side.
#[derive(Debug)]
pub struct AgentMachine {
    replica: NotesReplica,
    snapshots: SnapshotSchedule,
    worker: WorkerGuard,
    schedule: ScheduleMachine,
    gate: RequestGate,
    stopping: bool,
}

impl AgentMachine {
    /// Creates the machine of a process that has just started.
    #[must_use]
    pub fn new(identity: ProcessIdentity, policy: AgentPolicy) -> Self {
        Self {
            replica: NotesReplica::default(),
            snapshots: SnapshotSchedule::new(identity.seed, policy.schedule.snapshot_records),
            worker: WorkerGuard::new(policy.worker),
            schedule: ScheduleMachine::new(identity.clone(), policy.clone()),
            gate: RequestGate::new(identity, policy),
            stopping: false,
        }
    }

    /// Handles one event and returns the effects that the driver must carry out, in order.
    ///
    /// The effects contain at most one wake-up request: the earliest of all parts.
    pub fn handle(&mut self, now: ClockReading, event: &AgentEvent) -> Vec<AgentEffect> {
        let mut effects = Vec::new();
        let event = match event {
            AgentEvent::EndpointAnnounced(announce) => {
                match self.worker.check(now.mono, announce) {
                    Ok(()) => event,
                    Err(refused) => {
                        self.report_refused(now, announce, refused, &mut effects);
                        &AgentEvent::TimerFired
                    }
                }
            }
            _ => event,
        };
        self.apply_notes(now, event, &mut effects);
        self.schedule
            .handle(now, self.replica.fleet(), event, &mut effects);
        let context = GateContext {
            fleet: self.replica.fleet(),
            membership: self.schedule.membership(),
        };
        self.gate.handle(now, context, event, &mut effects);
        if self.stopping && self.gate.idle() && self.schedule.idle() {
            effects.push(AgentEffect::Exit);
        }
        merge_wakes(effects)
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn fleet(&self) -> &FleetState {
        self.replica.fleet()
    }

    /// Returns the status shown to operators.
    #[must_use]
    pub fn status(&self) -> AgentStatus {
        AgentStatus {
            revision: self.replica.revision(),
            gate: self.gate.status(),
            schedule: self.schedule.status(),
            stopping: self.stopping,
        }
    }

    fn apply_notes(
        &mut self,
        now: ClockReading,
        event: &AgentEvent,
        effects: &mut Vec<AgentEffect>,
    ) {
        match event {
            AgentEvent::LogRead {
                result: Ok(StreamBatch::Notes(batch)),
                ..
            } => {
                let decisions = self.replica.apply_batch(batch);
                self.log_decisions(now, &decisions, effects);
                self.write_snapshot(now, batch, effects);
            }
            AgentEvent::NotesForwarded(records) => {
                let decisions = self.replica.apply_records(records);
                self.log_decisions(now, &decisions, effects);
            }
            AgentEvent::NotesRequested { link, from } => {
                effects.push(self.reply_notes(*link, *from))
            }
            AgentEvent::StopRequested => self.stopping = true,
            _ => {}
        }
    }

    /// Appends a snapshot of the configuration if one is due; only planners do so, and only at the
    /// tail.
    fn write_snapshot(
        &mut self,
        now: ClockReading,
        batch: &LogBatch<NoteRecord>,
        effects: &mut Vec<AgentEffect>,
    ) {
        self.snapshots.observe(&batch.records);
        if !self.schedule.is_planner() || self.replica.fleet().next() < batch.next {
            return;
        }
        let parts = self.snapshots.due(now.mono, self.replica.fleet());
        effects.extend(parts.into_iter().map(|part| AgentEffect::AppendLog {
            stream: StreamName::Notes,
            record: AppendRecord::NotesSnapshot(part),
        }));
    }

    fn reply_notes(&self, link: LinkId, from: Revision) -> AgentEffect {
        let copies = self.replica.copies_from(LogOffset(from.0));
        AgentEffect::ReplyLink {
            link,
            message: LinkMessage::Notes(copies),
        }
    }

    /// Counts a refused announcement; logs it unless it repeats the last one.
    fn report_refused(
        &self,
        now: ClockReading,
        announce: &EndpointAnnounce,
        refused: RefusedAnnounce,
        effects: &mut Vec<AgentEffect>,
    ) {
        let RefusedAnnounce {
            reason,
            own,
            repeated,
        } = refused;
        effects.push(AgentEffect::CountRefusal(reason));
        if repeated {
            return;
        }
        let (address, incarnation) = (announce.worker_address, announce.incarnation);
        effects.push(AgentEffect::Decide(DecisionRecord {
            at: now.wall,
            subject: format!("worker:{address}").into(),
            rule: "announcement_refused",
            inputs: format!("reason={reason} incarnation={incarnation} own={own}").into(),
            revision: self.replica.revision(),
        }));
    }

    fn log_decisions(
        &self,
        now: ClockReading,
        decisions: &[NoteDecision],
        effects: &mut Vec<AgentEffect>,
    ) {
        for decision in decisions {
            let inputs = match &decision.result {
                Ok(revision) => format!("accepted=true revision={revision}"),
                Err(refusal) => format!("accepted=false reason=\"{refusal}\""),
            };
            effects.push(AgentEffect::Decide(DecisionRecord {
                at: now.wall,
                subject: format!("note:{}", decision.id).into(),
                rule: "note_acceptance",
                inputs: inputs.into(),
                revision: self.replica.revision(),
            }));
        }
    }
}

/// Replaces all wake-up requests by the earliest one, placed last.
fn merge_wakes(effects: Vec<AgentEffect>) -> Vec<AgentEffect> {
    let earliest = effects.iter().filter_map(wake_time).min();
    let mut merged: Vec<AgentEffect> = effects
        .into_iter()
        .filter(|effect| wake_time(effect).is_none())
        .collect();
    merged.extend(earliest.map(AgentEffect::WakeAt));
    merged
}

fn wake_time(effect: &AgentEffect) -> Option<MonoTime> {
    match effect {
        AgentEffect::WakeAt(at) => Some(*at),
        _ => None,
    }
}
