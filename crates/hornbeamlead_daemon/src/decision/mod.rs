//! Runs the state machine of a role on a dedicated thread.

mod agent;
mod entry;
mod role;
mod status;

pub(crate) use agent::{AgentChannels, AgentRole};
pub(crate) use entry::{CallerCall, EntryChannels, EntryInput, EntryRole};
pub(crate) use role::{DecisionRole, RoleInput};
pub(crate) use status::{OperatorAnswer, ProcessInfo};

use crate::clock::HostClock;
use crate::control::Datagram;
use crate::counters::ProcessCounters;
use crate::links::LinkCommand;
use crossbeam_channel::{Receiver, RecvTimeoutError};
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::counter::RefusalReason;
use hornbeamlead_core::event::StatusQuery;
use hornbeamlead_core::explain::{DecisionRecord, DecisionRing};
use hornbeamlead_core::ids::RequestId;
use hornbeamlead_core::message::request::LinkMessage;
use role::{AnyEffect, SharedEffect};
use slog::{Logger, info};
use status::{DecisionWire, NoteWire, ProcessWire};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Number of recent decisions kept for `/explain`.
const DECISION_HISTORY_CAPACITY: usize = 4096;

/// Maximum number of decisions returned by one `/explain` query.
const MAX_EXPLAINED_DECISIONS: usize = 256;

/// Time without new work after which a stopped state machine exits.
///
/// During it readiness fails, announcements mark the process as leaving, and requests already in
/// flight are refused as not run. Peers and balancers thus redirect their traffic before they see a
/// refused connection.
const STOP_QUIET_PERIOD: Duration = Duration::from_millis(1500);

/// Maximum time for which new work can postpone the exit. Balancers have redirected their traffic
/// well before that.
const STOP_TIMEOUT: Duration = Duration::from_secs(12);

/// Item of the ring into the decision thread.
pub(crate) enum InboxItem<I> {
    Input(I),
    Query(OperatorQuery),
}

/// Operator's query with the channel for its answer.
pub(crate) struct OperatorQuery {
    pub(crate) query: StatusQuery,
    pub(crate) answer: oneshot::Sender<OperatorAnswer>,
}

/// Channels, counters and process information that both roles use.
pub(crate) struct DecisionContext {
    pub(crate) links: mpsc::Sender<LinkCommand>,
    pub(crate) control: mpsc::Sender<Datagram>,
    pub(crate) counters: Arc<ProcessCounters>,
    pub(crate) log: Logger,
    pub(crate) clock: HostClock,
    /// Shown in `/status`.
    pub(crate) process: ProcessInfo,
}

/// Loop of the decision thread of a role.
pub(crate) struct DecisionLoop<R: DecisionRole> {
    role: R,
    inbox: Receiver<InboxItem<R::Input>>,
    context: DecisionContext,
    decisions: DecisionRing,
    wake_at: Option<MonoTime>,
    failure_inputs: VecDeque<R::Input>,
    exit: Option<ScheduledExit>,
}

/// Scheduled exit of a state machine that has stopped.
#[derive(Clone, Copy, Debug)]
struct ScheduledExit {
    /// Current exit time; new work postpones it.
    at: MonoTime,
    /// Latest exit time.
    limit: MonoTime,
}

impl<R: DecisionRole> DecisionLoop<R> {
    /// Creates a loop whose first input is a timer event.
    pub(crate) fn new(
        role: R,
        inbox: Receiver<InboxItem<R::Input>>,
        context: DecisionContext,
    ) -> Self {
        Self {
            role,
            inbox,
            context,
            decisions: DecisionRing::new(DECISION_HISTORY_CAPACITY),
            wake_at: Some(MonoTime::default()),
            failure_inputs: VecDeque::new(),
            exit: None,
        }
    }

    /// Runs until the scheduled exit is due, then processes the rest of the inbox; also ends when
    /// all senders of the inbox are gone.
    pub(crate) fn run(mut self) {
        while !self.is_exit_due() {
            match self.next_item() {
                Some(item) => self.process_item(item),
                None => return,
            }
        }
        while let Ok(item) = self.inbox.try_recv() {
            self.process_item(item);
        }
    }

    fn schedule_exit(&mut self) {
        let now = self.context.clock.mono();
        self.exit.get_or_insert(ScheduledExit {
            at: now.plus(STOP_QUIET_PERIOD),
            limit: now.plus(STOP_TIMEOUT),
        });
    }

    /// Postpones a scheduled exit, because a sender has not redirected its traffic yet.
    fn postpone_exit(&mut self, now: MonoTime) {
        if let Some(exit) = &mut self.exit {
            exit.at = now.plus(STOP_QUIET_PERIOD).min(exit.limit);
        }
    }

    fn is_exit_due(&self) -> bool {
        let now = self.context.clock.mono();
        self.exit.is_some_and(|exit| exit.at <= now)
    }

    fn process_item(&mut self, item: InboxItem<R::Input>) {
        match item {
            InboxItem::Input(input) => self.handle(input),
            InboxItem::Query(query) => self.answer(query),
        }
    }

    /// Returns the next item: the failure of a refused effect, a due timer, or the next item of the
    /// inbox.
    fn next_item(&mut self) -> Option<InboxItem<R::Input>> {
        if let Some(input) = self.failure_inputs.pop_front() {
            return Some(InboxItem::Input(input));
        }
        let exit_at = self.exit.map(|exit| exit.at);
        let Some(wake_at) = self.wake_at.into_iter().chain(exit_at).min() else {
            return self.inbox.recv().ok();
        };
        let timeout = self.context.clock.until(wake_at);
        if timeout.is_zero() {
            return Some(self.timer_item());
        }
        match self.inbox.recv_timeout(timeout) {
            Ok(item) => Some(item),
            Err(RecvTimeoutError::Timeout) => Some(self.timer_item()),
            Err(RecvTimeoutError::Disconnected) => None,
        }
    }

    fn timer_item(&mut self) -> InboxItem<R::Input> {
        self.wake_at = None;
        InboxItem::Input(R::Input::timer_fired())
    }

    fn handle(&mut self, input: R::Input) {
        let now = self.context.clock.read();
        if input.is_new_work() {
            self.postpone_exit(now.mono);
        }
        for effect in self.role.handle(now, input) {
            match R::classify(effect) {
                AnyEffect::Shared(shared) => self.perform(shared),
                AnyEffect::Own(action) => self.perform_action(action),
            }
        }
    }

    fn perform_action(&mut self, action: R::Action) {
        if let Some(input) = self.role.perform(action) {
            self.context.counters.refusal(RefusalReason::RingFull);
            self.failure_inputs.push_back(input);
        }
    }

    fn perform(&mut self, effect: SharedEffect) {
        match effect {
            SharedEffect::SendLink { to, message } => self.send_link(to, message),
            SharedEffect::ReplyLink { link, message } => {
                self.send_command(LinkCommand::Reply { link, message });
            }
            SharedEffect::SendDatagram { to, message } => {
                let datagram = Datagram { to, message };
                if self.context.control.try_send(datagram).is_err() {
                    self.context.counters.refusal(RefusalReason::RingFull);
                }
            }
            SharedEffect::CountRefusal(reason) => self.context.counters.refusal(reason),
            SharedEffect::CountRetry(reason) => self.context.counters.retry(reason),
            SharedEffect::Decide(record) => self.record_decision(record),
            SharedEffect::WakeAt(at) => self.wake_at = Some(at),
            SharedEffect::Exit => self.schedule_exit(),
        }
    }

    /// Passes a message to the links thread; if its channel is full, the request is reported as
    /// unsent.
    fn send_link(&mut self, to: SocketAddr, message: LinkMessage) {
        let unsent = request_id(&message);
        if !self.send_command(LinkCommand::Send { to, message }) {
            let unsent = unsent.into_iter().collect();
            self.failure_inputs
                .push_back(R::Input::link_refused(to, unsent));
        }
    }

    fn send_command(&self, command: LinkCommand) -> bool {
        let accepted = self.context.links.try_send(command).is_ok();
        if !accepted {
            self.context.counters.refusal(RefusalReason::RingFull);
        }
        accepted
    }

    fn record_decision(&mut self, record: DecisionRecord) {
        info!(self.context.log, ""; "event" => "decision",
            "subject" => &*record.subject, "rule" => record.rule,
            "inputs" => &*record.inputs, "revision" => record.revision.0);
        self.decisions.push(record);
    }

    fn answer(&self, query: OperatorQuery) {
        let answer = match &query.query {
            StatusQuery::Fleet => self.status(),
            StatusQuery::Explain(subject) => self.explain(subject),
            StatusQuery::Note(id) => {
                OperatorAnswer::Note(self.role.fleet().note_result(id).map(NoteWire::from))
            }
            StatusQuery::Key(key) => self.explain(&format!("key:{}", key.as_str())),
        };
        let _ = query.answer.send(answer);
    }

    fn status(&self) -> OperatorAnswer {
        let now = self.context.clock.read();
        OperatorAnswer::Status(Box::new(ProcessWire::new(
            &self.context.process,
            &self.context.counters,
            self.role.fleet(),
            self.role.status(now),
        )))
    }

    fn explain(&self, subject: &str) -> OperatorAnswer {
        let recent = self
            .decisions
            .for_subject(subject)
            .take(MAX_EXPLAINED_DECISIONS);
        OperatorAnswer::Decisions(recent.map(DecisionWire::from).collect())
    }
}

/// Returns the id if the message is a request.
pub(crate) fn request_id(message: &LinkMessage) -> Option<RequestId> {
    match message {
        LinkMessage::Request(request) => Some(request.id.clone()),
        _ => None,
    }
}
