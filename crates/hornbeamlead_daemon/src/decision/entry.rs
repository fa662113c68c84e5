//! Entry role: passes callers' requests to the state machine and returns its answers.

use super::role::{AnyEffect, DecisionRole, RoleInput, SharedEffect};
use super::status::{EntryWire, RoleWire};
use crate::platform::LogCommand;
use hornbeamlead_core::clock::{ClockReading, MonoTime};
use hornbeamlead_core::effect::{CallerAnswer, EntryEffect};
use hornbeamlead_core::event::{EntryEvent, NoteRecord, StreamBatch};
use hornbeamlead_core::fleet::FleetState;
use hornbeamlead_core::ids::{CallerTicket, LinkId, LogOffset, RequestId, Revision};
use hornbeamlead_core::message::control::ControlMessage;
use hornbeamlead_core::message::request::{CallerRequest, LinkMessage};
use hornbeamlead_core::record::{LogError, LogRecord, StreamName};
use hornbeamlead_request::entry::EntryMachine;
use std::collections::HashMap;
use std::net::SocketAddr;
use tokio::sync::{mpsc, oneshot};

/// Caller's request with the channel for its answer.
pub(crate) struct CallerCall {
    /// Unique within the process.
    pub(crate) ticket: CallerTicket,
    pub(crate) request: CallerRequest,
    /// Deadline set by the caller, if any.
    pub(crate) deadline: Option<MonoTime>,
    /// Receives the answer; dropped without one if the caller disconnects first.
    pub(crate) answer: oneshot::Sender<CallerAnswer>,
}

/// Input of an entry.
pub(crate) enum EntryInput {
    /// Event that is passed to the state machine unchanged.
    Event(EntryEvent),
    /// Request whose answer channel is kept outside the state machine.
    Call(CallerCall),
}

/// Channels that only an entry uses.
pub(crate) struct EntryChannels {
    pub(crate) log: mpsc::Sender<LogCommand>,
}

/// Entry's state machine with the answer channels of pending callers.
pub(crate) struct EntryRole {
    machine: EntryMachine,
    answer_senders: HashMap<CallerTicket, oneshot::Sender<CallerAnswer>>,
    channels: EntryChannels,
}

/// Effect that only an entry has.
pub(crate) enum EntryAction {
    /// Sends a caller its answer.
    AnswerCaller(CallerTicket, CallerAnswer),
    /// Reads the notes stream from an offset.
    ReadNotes(LogOffset),
}

impl EntryRole {
    pub(crate) fn new(machine: EntryMachine, channels: EntryChannels) -> Self {
        Self {
            machine,
            answer_senders: HashMap::new(),
            channels,
        }
    }

    fn convert_input(&mut self, input: EntryInput) -> EntryEvent {
        match input {
            EntryInput::Event(EntryEvent::CallerDisconnected { ticket }) => {
                self.answer_senders.remove(&ticket);
                EntryEvent::CallerDisconnected { ticket }
            }
            EntryInput::Event(event) => event,
            EntryInput::Call(call) => {
                self.answer_senders.insert(call.ticket, call.answer);
                EntryEvent::CallerRequested {
                    ticket: call.ticket,
                    request: call.request,
                    deadline: call.deadline,
                }
            }
        }
    }

    fn answer(&mut self, ticket: CallerTicket, answer: CallerAnswer) {
        if let Some(sender) = self.answer_senders.remove(&ticket) {
            let _ = sender.send(answer);
        }
    }
}

impl DecisionRole for EntryRole {
    type Input = EntryInput;
    type Effect = EntryEffect;
    type Action = EntryAction;

    fn handle(&mut self, now: ClockReading, input: EntryInput) -> Vec<EntryEffect> {
        let event = self.convert_input(input);
        self.machine.handle(now, event)
    }

    fn classify(effect: EntryEffect) -> AnyEffect<EntryAction> {
        let shared = match effect {
            EntryEffect::AnswerCaller { ticket, answer } => {
                return AnyEffect::Own(EntryAction::AnswerCaller(ticket, answer));
            }
            EntryEffect::ReadNotes { from } => return AnyEffect::Own(EntryAction::ReadNotes(from)),
            EntryEffect::SendLink { to, message } => SharedEffect::SendLink { to, message },
            EntryEffect::ReplyLink { link, message } => SharedEffect::ReplyLink { link, message },
            EntryEffect::SendDatagram { to, message } => SharedEffect::SendDatagram { to, message },
            EntryEffect::CountRefusal(reason) => SharedEffect::CountRefusal(reason),
            EntryEffect::CountRetry(reason) => SharedEffect::CountRetry(reason),
            EntryEffect::Decide(record) => SharedEffect::Decide(record),
            EntryEffect::WakeAt(at) => SharedEffect::WakeAt(at),
            EntryEffect::Exit => SharedEffect::Exit,
        };
        AnyEffect::Shared(shared)
    }

    fn perform(&mut self, action: EntryAction) -> Option<EntryInput> {
        match action {
            EntryAction::AnswerCaller(ticket, answer) => {
                self.answer(ticket, answer);
                None
            }
            EntryAction::ReadNotes(from) => {
                let stream = StreamName::Notes;
                let refused = self
                    .channels
                    .log
                    .try_send(LogCommand::Read { stream, from })
                    .is_err();
                refused.then_some(EntryInput::Event(EntryEvent::NotesRead {
                    began: MonoTime::default(),
                    result: Err(LogError::Unavailable),
                }))
            }
        }
    }

    fn fleet(&self) -> &FleetState {
        self.machine.fleet()
    }

    fn status(&self, now: ClockReading) -> RoleWire {
        RoleWire::Entry(EntryWire::from(&self.machine.status(now)))
    }
}

impl RoleInput for EntryInput {
    fn timer_fired() -> Self {
        Self::Event(EntryEvent::TimerFired)
    }

    fn stop_requested() -> Self {
        Self::Event(EntryEvent::StopRequested)
    }

    fn is_new_work(&self) -> bool {
        matches!(self, Self::Call(_))
    }

    fn datagram(from: SocketAddr, message: ControlMessage) -> Self {
        Self::Event(EntryEvent::Datagram { from, message })
    }

    fn notes_forwarded(records: Vec<LogRecord<NoteRecord>>) -> Self {
        Self::Event(EntryEvent::NotesForwarded(records))
    }

    fn notes_requested(link: LinkId, from: Revision) -> Self {
        Self::Event(EntryEvent::NotesRequested { link, from })
    }

    fn incoming(_link: LinkId, _message: LinkMessage) -> Option<Self> {
        None
    }

    fn outgoing(from: SocketAddr, message: LinkMessage) -> Option<Self> {
        match message {
            LinkMessage::Reply(reply) => Some(Self::Event(EntryEvent::Replied { from, reply })),
            _ => None,
        }
    }

    fn link_closed(_link: LinkId) -> Option<Self> {
        None
    }

    fn link_refused(to: SocketAddr, unsent: Vec<RequestId>) -> Self {
        Self::Event(EntryEvent::LinkRefused { to, unsent })
    }

    fn link_broken(to: SocketAddr) -> Self {
        Self::Event(EntryEvent::LinkBroken { to })
    }

    fn log_read(
        _stream: StreamName,
        began: MonoTime,
        result: Result<StreamBatch, LogError>,
    ) -> Option<Self> {
        let result = match result {
            Ok(StreamBatch::Notes(batch)) => Ok(batch),
            Ok(StreamBatch::Jobs(_) | StreamBatch::Cell(_)) => return None,
            Err(error) => Err(error),
        };
        Some(Self::Event(EntryEvent::NotesRead { began, result }))
    }
}
