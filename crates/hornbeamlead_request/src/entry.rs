//! State machine of an entry: takes callers' requests and chooses an agent for each.

mod announce;
mod ask;
mod budget;
mod choice;
mod desk;
mod directory;
mod health;
mod latency;
mod member;
mod reply;
mod ring;
mod send;

use crate::notes_reader::NotesReader;
use budget::RetryBudget;
use desk::RequestDesk;
use directory::AgentDirectory;
use hornbeamlead_core::clock::{ClockReading, MonoTime};
use hornbeamlead_core::counter::RetryReason;
use hornbeamlead_core::effect::EntryEffect;
use hornbeamlead_core::event::{EntryEvent, NoteRecord};
use hornbeamlead_core::explain::DecisionRecord;
use hornbeamlead_core::fleet::FleetState;
use hornbeamlead_core::ids::{LogOffset, ServiceName};
use hornbeamlead_core::message::request::LinkMessage;
use hornbeamlead_core::notes_keeper::{NoteDecision, NotesReplica};
use hornbeamlead_core::policy::{EntryPolicy, ProcessIdentity};
use hornbeamlead_core::record::{LogBatch, LogError};
use hornbeamlead_core::status::EntryStatus;
use latency::LatencyWindow;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::BTreeMap;

/// State machine of an entry.
#[derive(Debug)]
pub struct EntryMachine {
    place: ProcessIdentity,
    policy: EntryPolicy,
    keeper: NotesReplica,
    reader: NotesReader,
    directory: AgentDirectory,
    desk: RequestDesk,
    traffic: BTreeMap<ServiceName, ServiceTraffic>,
    notes_asked_until: MonoTime,
    random: SmallRng,
    stopping: bool,
    exited: bool,
}

/// What an entry keeps for each service that it has forwarded requests of.
#[derive(Debug)]
struct ServiceTraffic {
    budget: RetryBudget,
    latency: LatencyWindow,
}

/// Clock of one event and the effects gathered for it.
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
    /// Makes the machine of a process that has just started.
    #[must_use]
    pub fn new(place: ProcessIdentity, policy: EntryPolicy) -> Self {
        Self {
            keeper: NotesReplica::default(),
            reader: NotesReader::new(policy.notes_interval),
            directory: AgentDirectory::new(&place),
            desk: RequestDesk::new(),
            traffic: BTreeMap::new(),
            notes_asked_until: MonoTime(0),
            random: SmallRng::seed_from_u64(place.seed),
            stopping: false,
            exited: false,
            place,
            policy,
        }
    }

    /// Takes one event and returns what the driver is to do, in order.
    ///
    /// The last effect is the one wake-up wish.
    pub fn handle(&mut self, now: ClockReading, event: EntryEvent) -> Vec<EntryEffect> {
        let mut turn = EntryTurn {
            now,
            effects: Vec::new(),
        };
        self.take(&mut turn, event);
        self.pass_time(&mut turn);
        if self.stopping && self.desk.len() == 0 && !self.exited {
            self.exited = true;
            turn.push(EntryEffect::Exit);
        }
        turn.push(EntryEffect::WakeAt(self.wake_at()));
        turn.effects
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn fleet(&self) -> &FleetState {
        self.keeper.fleet()
    }

    /// Returns the status for operators.
    #[must_use]
    pub fn status(&self, _now: ClockReading) -> EntryStatus {
        EntryStatus {
            revision: self.keeper.revision(),
            log_up: self.reader.log_up(),
            members: self
                .directory
                .members()
                .map(member::MemberRecord::standing)
                .collect(),
            in_progress: self.desk.len(),
            stopping: self.stopping,
        }
    }

    fn take(&mut self, turn: &mut EntryTurn, event: EntryEvent) {
        match event {
            EntryEvent::CallerRequested {
                ticket,
                request,
                deadline,
            } => self.ask(turn, ticket, request, deadline),
            EntryEvent::CallerDisconnected { ticket } => self.forget_caller(turn, ticket),
            EntryEvent::Replied { from, reply } => self.take_reply(turn, from, reply),
            EntryEvent::LinkRefused { to, unsent } => self.take_refusal(turn, to, &unsent),
            EntryEvent::LinkBroken { to } => self.take_break(turn, to),
            EntryEvent::Datagram { from, message } => self.take_datagram(turn, from, message),
            EntryEvent::NotesRead { result, .. } => self.take_notes(turn, &result),
            EntryEvent::NotesForwarded(records) => {
                let verdicts = self.keeper.apply_records(&records);
                self.report(turn, &verdicts);
            }
            EntryEvent::NotesRequested { link, from } => {
                let copies = self.keeper.copies_from(LogOffset(from.0));
                turn.push(EntryEffect::ReplyLink {
                    link,
                    message: LinkMessage::Notes(copies),
                });
            }
            EntryEvent::TimerFired => {}
            EntryEvent::StopRequested => self.stopping = true,
        }
    }

    /// Does all that is due by the clock.
    fn pass_time(&mut self, turn: &mut EntryTurn) {
        let now = turn.now.mono;
        while let Some(ticket) = self.desk.pop_due(now) {
            self.look_at(turn, ticket);
        }
        self.pass_silence(turn);
        if self.reader.start_due(now) {
            let from = self.keeper.next_read_offset();
            turn.push(EntryEffect::ReadNotes { from });
        }
    }

    fn wake_at(&self) -> MonoTime {
        self.desk
            .wake_at()
            .min(self.directory.wake_at())
            .min(self.reader.wake_at())
    }

    fn take_notes(
        &mut self,
        turn: &mut EntryTurn,
        result: &Result<LogBatch<NoteRecord>, LogError>,
    ) {
        match result {
            Ok(batch) => {
                let verdicts = self.keeper.apply_batch(batch);
                self.report(turn, &verdicts);
            }
            Err(LogError::Unavailable) => turn.push(EntryEffect::CountRetry(RetryReason::LogRead)),
            Err(LogError::Truncated { oldest }) => self.keeper.skip_truncated(*oldest),
        }
        self.reader.finish(turn.now.mono, result);
    }

    fn report(&self, turn: &mut EntryTurn, verdicts: &[NoteDecision]) {
        for outcome in verdicts {
            let inputs = match &outcome.result {
                Ok(revision) => format!("accepted=true revision={revision}"),
                Err(refusal) => format!("accepted=false reason=\"{refusal}\""),
            };
            let note = DecisionRecord {
                at: turn.now.wall,
                subject: format!("note:{}", outcome.id).into(),
                rule: "note_acceptance",
                inputs: inputs.into(),
                revision: self.keeper.revision(),
            };
            turn.push(EntryEffect::Decide(note));
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
