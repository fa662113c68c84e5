//! Traits that make the decision loop and the I/O threads generic over the two roles.

use hornbeamlead_core::clock::{ClockReading, MonoTime};
use hornbeamlead_core::counter::{RefusalReason, RetryReason};
use hornbeamlead_core::event::{NoteRecord, StreamBatch};
use hornbeamlead_core::explain::DecisionRecord;
use hornbeamlead_core::fleet::FleetState;
use hornbeamlead_core::ids::{LinkId, RequestId, Revision};
use hornbeamlead_core::message::control::ControlMessage;
use hornbeamlead_core::message::request::LinkMessage;
use hornbeamlead_core::record::{LogError, LogRecord, StreamName};
use std::net::SocketAddr;

use super::status::RoleWire;

/// Effect common to both roles.
pub(crate) enum SharedEffect {
    /// Sends a message over the link to an address, which is opened if necessary.
    SendLink {
        to: SocketAddr,
        message: LinkMessage,
    },
    /// Replies on an incoming link.
    ReplyLink {
        link: LinkId,
        message: LinkMessage,
    },
    SendDatagram {
        to: SocketAddr,
        message: ControlMessage,
    },
    CountRefusal(RefusalReason),
    CountRetry(RetryReason),
    /// Records and logs a decision.
    Decide(DecisionRecord),
    /// Sets the next timer, replacing the previous one.
    WakeAt(MonoTime),
    /// Terminates the decision thread.
    Exit,
}

/// Effect of a state machine, classified by whether both roles have it.
#[expect(
    clippy::large_enum_variant,
    reason = "it is destructured at once; a box would cost each request an allocation"
)]
pub(crate) enum AnyEffect<A> {
    Shared(SharedEffect),
    Own(A),
}

/// State machine of a role together with the channels that only this role uses.
pub(crate) trait DecisionRole {
    /// Input of the decision loop: an event, or data from which the role makes one.
    type Input: RoleInput;
    /// Effect of the state machine.
    type Effect;
    /// Effect that only this role has.
    type Action;

    /// Processes one input and returns its effects.
    fn handle(&mut self, now: ClockReading, input: Self::Input) -> Vec<Self::Effect>;

    /// Separates shared effects from those of this role.
    fn classify(effect: Self::Effect) -> AnyEffect<Self::Action>;

    /// Performs an effect of this role; returns the failure event if the target channel is full.
    fn perform(&mut self, action: Self::Action) -> Option<Self::Input>;

    /// Returns the configuration currently applied.
    fn fleet(&self) -> &FleetState;

    /// Returns the part of `/status` that is specific to the role.
    fn status(&self, now: ClockReading) -> RoleWire;
}

/// Input of a role, constructed by the threads that both roles share.
///
/// Constructors that return an `Option` return `None` if the role has no such event.
pub(crate) trait RoleInput: Sized + Send + 'static {
    /// The timer fired.
    fn timer_fired() -> Self;

    /// A planned stop of the process was requested.
    fn stop_requested() -> Self;

    /// Returns whether the input is new work rather than an update on work in progress.
    fn is_new_work(&self) -> bool;

    /// A datagram was received.
    fn datagram(from: SocketAddr, message: ControlMessage) -> Self;

    /// Another process forwarded release notes.
    fn notes_forwarded(records: Vec<LogRecord<NoteRecord>>) -> Self;

    /// A peer requested release notes.
    fn notes_requested(link: LinkId, from: Revision) -> Self;

    /// A message other than notes was received on an incoming link.
    fn incoming(link: LinkId, message: LinkMessage) -> Option<Self>;

    /// A message other than notes was received on an outgoing link.
    fn outgoing(from: SocketAddr, message: LinkMessage) -> Option<Self>;

    /// An incoming link closed.
    fn link_closed(link: LinkId) -> Option<Self>;

    /// Messages were discarded before any byte of them was sent; `unsent` names the requests among
    /// them.
    fn link_refused(to: SocketAddr, unsent: Vec<RequestId>) -> Self;

    /// An outgoing link broke.
    fn link_broken(to: SocketAddr) -> Self;

    /// A read of a log stream completed or failed.
    fn log_read(
        stream: StreamName,
        began: MonoTime,
        result: Result<StreamBatch, LogError>,
    ) -> Option<Self>;
}
