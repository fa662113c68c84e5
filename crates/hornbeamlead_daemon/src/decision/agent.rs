//! Agent role: passes work to the endpoint, the worker and the log.

use super::role::{AnyEffect, DecisionRole, RoleInput, SharedEffect};
use super::status::{AgentWire, RoleWire};
use crate::platform::{EndpointCommand, LogCommand, WorkerCommand};
use hornbeamlead_agent::AgentMachine;
use hornbeamlead_core::clock::{ClockReading, MonoTime};
use hornbeamlead_core::effect::{AgentEffect, AppendRecord};
use hornbeamlead_core::event::{AgentEvent, EndpointOutcome, NoteRecord, StreamBatch};
use hornbeamlead_core::fleet::FleetState;
use hornbeamlead_core::ids::{LinkId, LogOffset, RecordId, RequestId, Revision};
use hornbeamlead_core::message::control::ControlMessage;
use hornbeamlead_core::message::request::{ForwardedRequest, LinkMessage};
use hornbeamlead_core::record::{LogError, LogRecord, StreamName};
use hornbeamlead_core::task::{WorkerCall, WorkerError};
use std::net::SocketAddr;
use tokio::sync::mpsc;

/// Channels that only an agent uses.
pub(crate) struct AgentChannels {
    pub(crate) log: mpsc::Sender<LogCommand>,
    pub(crate) worker: mpsc::Sender<WorkerCommand>,
    pub(crate) endpoint: mpsc::Sender<EndpointCommand>,
}

/// Agent's state machine with its channels.
pub(crate) struct AgentRole {
    machine: AgentMachine,
    channels: AgentChannels,
}

/// Effect that only an agent has.
pub(crate) enum AgentAction {
    /// Sends a request to the endpoint.
    CallEndpoint(SocketAddr, ForwardedRequest),
    /// Aborts an exchange with the endpoint.
    AbandonEndpoint(RequestId),
    CallWorker(SocketAddr, WorkerCall),
    /// Reads a stream from an offset.
    ReadLog(StreamName, LogOffset),
    AppendLog(StreamName, AppendRecord),
}

impl AgentRole {
    pub(crate) fn new(machine: AgentMachine, channels: AgentChannels) -> Self {
        Self { machine, channels }
    }

    fn call_endpoint(&self, address: SocketAddr, request: ForwardedRequest) -> Option<AgentEvent> {
        let id = request.id.clone();
        let command = EndpointCommand::Call { address, request };
        let refused = self.channels.endpoint.try_send(command).is_err();
        refused.then_some(AgentEvent::EndpointDone {
            id,
            outcome: EndpointOutcome::Unreachable,
        })
    }

    fn call_worker(&self, address: SocketAddr, call: WorkerCall) -> Option<AgentEvent> {
        let command = WorkerCommand {
            address,
            call: call.clone(),
        };
        let refused = self.channels.worker.try_send(command).is_err();
        refused.then_some(AgentEvent::WorkerDone {
            call,
            result: Err(WorkerError::Refused {
                reason: RING_FULL.into(),
            }),
        })
    }

    fn read_log(&self, stream: StreamName, from: LogOffset) -> Option<AgentEvent> {
        let command = LogCommand::Read {
            stream: stream.clone(),
            from,
        };
        let refused = self.channels.log.try_send(command).is_err();
        refused.then_some(AgentEvent::LogRead {
            stream,
            began: MonoTime::default(),
            result: Err(LogError::Unavailable),
        })
    }

    fn append_log(&self, stream: StreamName, record: AppendRecord) -> Option<AgentEvent> {
        let id = record_id(&record);
        let command = LogCommand::Append {
            stream: stream.clone(),
            record,
        };
        let refused = self.channels.log.try_send(command).is_err();
        refused.then_some(AgentEvent::LogAppended {
            stream,
            id: id?,
            result: Err(LogError::Unavailable),
        })
    }
}

/// Reason reported for a call that was refused because the worker's channel was full.
const RING_FULL: &str = "ring_full";

/// Returns the id of a record; snapshots of the notes have none.
pub(crate) fn record_id(record: &AppendRecord) -> Option<RecordId> {
    match record {
        AppendRecord::NotesSnapshot(_) => None,
        AppendRecord::Job(record) => Some(record.id.clone()),
        AppendRecord::Cell(record) => Some(record.id.clone()),
    }
}

impl DecisionRole for AgentRole {
    type Input = AgentEvent;
    type Effect = AgentEffect;
    type Action = AgentAction;

    fn handle(&mut self, now: ClockReading, input: AgentEvent) -> Vec<AgentEffect> {
        self.machine.handle(now, &input)
    }

    fn classify(effect: AgentEffect) -> AnyEffect<AgentAction> {
        let shared = match effect {
            AgentEffect::CallEndpoint { address, request } => {
                return AnyEffect::Own(AgentAction::CallEndpoint(address, request));
            }
            AgentEffect::AbandonEndpoint { id } => {
                return AnyEffect::Own(AgentAction::AbandonEndpoint(id));
            }
            AgentEffect::CallWorker { address, call } => {
                return AnyEffect::Own(AgentAction::CallWorker(address, call));
            }
            AgentEffect::ReadLog { stream, from } => {
                return AnyEffect::Own(AgentAction::ReadLog(stream, from));
            }
            AgentEffect::AppendLog { stream, record } => {
                return AnyEffect::Own(AgentAction::AppendLog(stream, record));
            }
            AgentEffect::ReplyLink { link, message } => SharedEffect::ReplyLink { link, message },
            AgentEffect::SendLink { to, message } => SharedEffect::SendLink { to, message },
            AgentEffect::SendDatagram { to, message } => SharedEffect::SendDatagram { to, message },
            AgentEffect::CountRefusal(reason) => SharedEffect::CountRefusal(reason),
            AgentEffect::CountRetry(reason) => SharedEffect::CountRetry(reason),
            AgentEffect::Decide(record) => SharedEffect::Decide(record),
            AgentEffect::WakeAt(at) => SharedEffect::WakeAt(at),
            AgentEffect::Exit => SharedEffect::Exit,
        };
        AnyEffect::Shared(shared)
    }

    fn perform(&mut self, action: AgentAction) -> Option<AgentEvent> {
        match action {
            AgentAction::CallEndpoint(address, request) => self.call_endpoint(address, request),
            AgentAction::CallWorker(address, call) => self.call_worker(address, call),
            AgentAction::ReadLog(stream, from) => self.read_log(stream, from),
            AgentAction::AppendLog(stream, record) => self.append_log(stream, record),
            AgentAction::AbandonEndpoint(id) => {
                // An exchange that is not aborted ends at its own deadline.
                let _ = self
                    .channels
                    .endpoint
                    .try_send(EndpointCommand::Abandon(id));
                None
            }
        }
    }

    fn fleet(&self) -> &FleetState {
        self.machine.fleet()
    }

    fn status(&self, now: ClockReading) -> RoleWire {
        RoleWire::Agent(Box::new(AgentWire::new(&self.machine.status(), now.mono)))
    }
}

impl RoleInput for AgentEvent {
    fn timer_fired() -> Self {
        Self::TimerFired
    }

    fn stop_requested() -> Self {
        Self::StopRequested
    }

    fn is_new_work(&self) -> bool {
        matches!(self, Self::Requested { .. })
    }

    fn datagram(from: SocketAddr, message: ControlMessage) -> Self {
        Self::Datagram { from, message }
    }

    fn notes_forwarded(records: Vec<LogRecord<NoteRecord>>) -> Self {
        Self::NotesForwarded(records)
    }

    fn notes_requested(link: LinkId, from: Revision) -> Self {
        Self::NotesRequested { link, from }
    }

    fn incoming(link: LinkId, message: LinkMessage) -> Option<Self> {
        match message {
            LinkMessage::Request(request) => Some(Self::Requested { link, request }),
            LinkMessage::Cancel(id) => Some(Self::Cancelled { link, id }),
            LinkMessage::KeyQuery(query) => Some(Self::KeyQueried { link, query }),
            LinkMessage::Reply(_)
            | LinkMessage::KeyAnswer(_)
            | LinkMessage::NotesRequest(_)
            | LinkMessage::Notes(_) => None,
        }
    }

    fn outgoing(from: SocketAddr, message: LinkMessage) -> Option<Self> {
        match message {
            LinkMessage::Reply(reply) => Some(Self::Replied { from, reply }),
            LinkMessage::KeyAnswer(answer) => Some(Self::KeyAnswered { from, answer }),
            LinkMessage::Request(_)
            | LinkMessage::Cancel(_)
            | LinkMessage::KeyQuery(_)
            | LinkMessage::NotesRequest(_)
            | LinkMessage::Notes(_) => None,
        }
    }

    fn link_closed(link: LinkId) -> Option<Self> {
        Some(Self::LinkClosed { link })
    }

    fn link_refused(to: SocketAddr, unsent: Vec<RequestId>) -> Self {
        Self::LinkRefused { to, unsent }
    }

    fn link_broken(to: SocketAddr) -> Self {
        Self::LinkBroken { to }
    }

    fn log_read(
        stream: StreamName,
        began: MonoTime,
        result: Result<StreamBatch, LogError>,
    ) -> Option<Self> {
        Some(Self::LogRead {
            stream,
            began,
            result,
        })
    }
}
