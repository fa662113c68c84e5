//! State machine of an entry: forwards each caller's request to an agent that it chooses.

mod announce;
mod budget;
mod caller;
mod choice;
mod directory;
mod health;
mod latency;
mod member;
mod reply;
mod requests;
mod ring;
mod send;

use crate::notes_reader::NotesReader;
use budget::RetryBudget;
use directory::AgentDirectory;
use hornbeamlead_core::clock::{ClockReading, MonoTime};
use hornbeamlead_core::counter::RetryReason;
use hornbeamlead_core::effect::EntryEffect;
use hornbeamlead_core::event::{EntryEvent, NoteRecord};
use hornbeamlead_core::explain::DecisionRecord;
use hornbeamlead_core::fleet::FleetState;
use hornbeamlead_core::ids::{LogOffset, ServiceName};
use hornbeamlead_core::message::request::LinkMessage;
use hornbeamlead_core::notes_replica::{NoteDecision, NotesReplica};
use hornbeamlead_core::policy::{EntryPolicy, ProcessIdentity};
use hornbeamlead_core::record::{LogBatch, LogError};
use hornbeamlead_core::status::EntryStatus;
use latency::LatencyWindow;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use requests::RequestTable;
use std::collections::BTreeMap;

/// State machine of an entry; performs no I/O itself.
#[derive(Debug)]
pub struct EntryMachine {
    identity: ProcessIdentity,
    policy: EntryPolicy,
    notes: NotesReplica,
    reader: NotesReader,
    directory: AgentDirectory,
    requests: RequestTable,
    traffic: BTreeMap<ServiceName, ServiceTraffic>,
    next_notes_request: MonoTime,
    random: SmallRng,
    stopping: bool,
    exited: bool,
}

/// Retry budget and latencies of a service that this entry has forwarded requests for.
#[derive(Debug)]
struct ServiceTraffic {
    budget: RetryBudget,
    latency: LatencyWindow,
}

/// State of handling one event: its time and the effects emitted so far.
#[derive(Debug)]
struct EntryTurn {
    now: ClockReading,
    effects: Vec<EntryEffect>,
}

impl EntryTurn {
    fn push(&mut self, effect: EntryEffect) {
        self.effects.push(effect);
    }
}

impl EntryMachine {
    /// Creates the machine of a newly started process.
    #[must_use]
    pub fn new(identity: ProcessIdentity, policy: EntryPolicy) -> Self {
        Self {
            notes: NotesReplica::default(),
            reader: NotesReader::new(policy.notes_interval),
            directory: AgentDirectory::new(&identity),
            requests: RequestTable::new(),
            traffic: BTreeMap::new(),
            next_notes_request: MonoTime(0),
            random: SmallRng::seed_from_u64(identity.seed),
            stopping: false,
            exited: false,
            identity,
            policy,
        }
    }

    /// Handles one event and returns the effects for the driver to perform, in order.
    ///
    /// The last effect is always the single wake-up time.
    pub fn handle(&mut self, now: ClockReading, event: EntryEvent) -> Vec<EntryEffect> {
        let mut turn = EntryTurn {
            now,
            effects: Vec::new(),
        };
        self.dispatch(&mut turn, event);
        self.run_timers(&mut turn);
        if self.stopping && self.requests.len() == 0 && !self.exited {
            self.exited = true;
            turn.push(EntryEffect::Exit);
        }
        turn.push(EntryEffect::WakeAt(self.wake_at()));
        turn.effects
    }

    /// Returns the fleet configuration in force.
    #[must_use]
    pub fn fleet(&self) -> &FleetState {
        self.notes.fleet()
    }

    /// Returns the status shown to operators.
    #[must_use]
    pub fn status(&self, _now: ClockReading) -> EntryStatus {
        EntryStatus {
            revision: self.notes.revision(),
            log_up: self.reader.log_up(),
            members: self
                .directory
                .members()
                .map(member::MemberRecord::status)
                .collect(),
            in_progress: self.requests.len(),
            stopping: self.stopping,
        }
    }

    fn dispatch(&mut self, turn: &mut EntryTurn, event: EntryEvent) {
        match event {
            EntryEvent::CallerRequested {
                ticket,
                request,
                deadline,
            } => self.accept_request(turn, ticket, request, deadline),
            EntryEvent::CallerDisconnected { ticket } => self.cancel_request(turn, ticket),
            EntryEvent::Replied { from, reply } => self.handle_reply(turn, from, reply),
            EntryEvent::LinkRefused { to, unsent } => self.handle_link_refused(turn, to, &unsent),
            EntryEvent::LinkBroken { to } => self.handle_link_broken(turn, to),
            EntryEvent::Datagram { from, message } => self.handle_datagram(turn, from, message),
            EntryEvent::NotesRead { result, .. } => self.handle_notes(turn, &result),
            EntryEvent::NotesForwarded(records) => {
                let decisions = self.notes.apply_records(&records);
                self.record_decisions(turn, &decisions);
            }
            EntryEvent::NotesRequested { link, from } => {
                let copies = self.notes.copies_from(LogOffset(from.0));
                turn.push(EntryEffect::ReplyLink {
                    link,
                    message: LinkMessage::Notes(copies),
                });
            }
            EntryEvent::TimerFired => {}
            EntryEvent::StopRequested => self.stopping = true,
        }
    }

    /// Runs every timer that is due.
    fn run_timers(&mut self, turn: &mut EntryTurn) {
        let now = turn.now.mono;
        while let Some(ticket) = self.requests.pop_due(now) {
            self.handle_timer(turn, ticket);
        }
        self.check_silence(turn);
        if self.reader.start_due(now) {
            let from = self.notes.next_read_offset();
            turn.push(EntryEffect::ReadNotes { from });
        }
    }

    fn wake_at(&self) -> MonoTime {
        self.requests
            .wake_at()
            .min(self.directory.wake_at())
            .min(self.reader.wake_at())
    }

    fn handle_notes(
        &mut self,
        turn: &mut EntryTurn,
        result: &Result<LogBatch<NoteRecord>, LogError>,
    ) {
        match result {
            Ok(batch) => {
                let decisions = self.notes.apply_batch(batch);
                self.record_decisions(turn, &decisions);
            }
            Err(LogError::Unavailable) => turn.push(EntryEffect::CountRetry(RetryReason::LogRead)),
            Err(LogError::Truncated { oldest }) => self.notes.skip_truncated(*oldest),
        }
        self.reader.finish(turn.now.mono, result);
    }

    fn record_decisions(&self, turn: &mut EntryTurn, decisions: &[NoteDecision]) {
        for decision in decisions {
            let inputs = match &decision.result {
                Ok(revision) => format!("accepted=true revision={revision}"),
                Err(refusal) => format!("accepted=false reason=\"{refusal}\""),
            };
            let record = DecisionRecord {
                at: turn.now.wall,
                subject: format!("note:{}", decision.id).into(),
                rule: "note_acceptance",
                inputs: inputs.into(),
                revision: self.notes.revision(),
            };
            turn.push(EntryEffect::Decide(record));
        }
    }

    fn traffic_of(&mut self, service: &ServiceName) -> &mut ServiceTraffic {
        let percent = self.policy.retry_percent;
        self.traffic
            .entry(service.clone())
            .or_insert_with(|| ServiceTraffic {
                budget: RetryBudget::new(percent),
                latency: LatencyWindow::default(),
            })
    }
}
