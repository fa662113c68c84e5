//! Traits over the two roles, so that threads and links are written once.

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

/// Effect that both roles know.
pub(crate) enum SharedEffect {
    /// Sends a message over the link to an address.
    SendLink {
        /// Receiver.
        to: SocketAddr,
        /// Message.
        message: LinkMessage,
    },
    /// Answers on an incoming link.
    ReplyLink {
        /// Link.
        link: LinkId,
        /// Message.
        message: LinkMessage,
    },
    /// Sends a datagram.
    SendDatagram {
        /// Receiver.
        to: SocketAddr,
        /// Message.
        message: ControlMessage,
    },
    /// Counts a refusal.
    CountRefusal(RefusalReason),
    /// Counts a retry.
    CountRetry(RetryReason),
    /// Keeps and logs a decision.
    Decide(DecisionRecord),
    /// Replaces the time of the next wake-up.
    WakeAt(MonoTime),
    /// Ends the decision thread.
    Exit,
}

/// Effect, sorted by who performs it.
#[expect(
    clippy::large_enum_variant,
    reason = "it is taken apart at once; a box would cost each request an allocation"
)]
pub(crate) enum AnyEffect<A> {
    /// Known to both roles.
    Shared(SharedEffect),
    /// Known to one role only.
    Own(A),
}

/// State machine of a role with the rings that only this role uses.
pub(crate) trait DecisionRole {
    /// Event with what the driver adds to it.
    type Input: RoleInput;
    /// Effect of the state machine.
    type Effect;
    /// Effect that only this role knows.
    type Action;

    /// Takes one event and returns the effects.
    fn handle(&mut self, now: ClockReading, input: Self::Input) -> Vec<Self::Effect>;

    /// Sorts an effect.
    fn classify(effect: Self::Effect) -> AnyEffect<Self::Action>;

    /// Performs an effect of this role; a full ring gives the event that says so.
    fn perform(&mut self, action: Self::Action) -> Option<Self::Input>;

    /// Returns the configuration in force.
    fn fleet(&self) -> &FleetState;

    /// Returns the status for operators.
    fn status(&self, now: ClockReading) -> RoleWire;
}

/// Event of a role, made by the threads that both roles use.
///
/// Constructors that return an option give `None` where the role has no such event.
pub(crate) trait RoleInput: Sized + Send + 'static {
    /// The wake-up time came.
    fn timer_fired() -> Self;

    /// The process was asked to stop.
    fn stop_requested() -> Self;

    /// Returns whether it brings new work, rather than news of work in progress.
    fn is_new_work(&self) -> bool;

    /// A datagram came.
    fn datagram(from: SocketAddr, message: ControlMessage) -> Self;

    /// Another process passed notes on.
    fn notes_forwarded(records: Vec<LogRecord<NoteRecord>>) -> Self;

    /// A peer asks for notes.
    fn notes_requested(link: LinkId, from: Revision) -> Self;

    /// A message other than notes came on an incoming link.
    fn incoming(link: LinkId, message: LinkMessage) -> Option<Self>;

    /// A message other than notes came back on an outgoing link.
    fn outgoing(from: SocketAddr, message: LinkMessage) -> Option<Self>;

    /// An incoming link closed.
    fn link_closed(link: LinkId) -> Option<Self>;

    /// Messages were never sent.
    fn link_refused(to: SocketAddr, unsent: Vec<RequestId>) -> Self;

    /// An outgoing link broke.
    fn link_broken(to: SocketAddr) -> Self;

    /// A stream was read.
    fn log_read(
        stream: StreamName,
        began: MonoTime,
        result: Result<StreamBatch, LogError>,
    ) -> Option<Self>;
}
