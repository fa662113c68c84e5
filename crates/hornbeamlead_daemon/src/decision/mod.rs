//! Runs the state machine of a role on a thread of its own.

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

/// Decisions kept for explanations.
const DECISION_HISTORY_CAPACITY: usize = 4096;

/// Decisions returned to one question.
const MAX_EXPLAINED_DECISIONS: usize = 256;

/// Time without new work after which a state machine that was done ends.
///
/// Until then readiness fails, announcements say that the process is leaving, and requests that
/// were on their way are refused as not run, so that others turn away before a connection of
/// theirs is refused.
const STOP_QUIET_PERIOD: Duration = Duration::from_millis(1500);

/// Longest time for which new work puts the end off; a balancer has turned away long before.
const STOP_TIMEOUT: Duration = Duration::from_secs(12);

/// Item of the ring into the decisions.
pub(crate) enum InboxItem<I> {
    /// Event for the state machine.
    Input(I),
    /// Question of an operator.
    Query(OperatorQuery),
}

/// Question of an operator with the way back.
pub(crate) struct OperatorQuery {
    /// What is asked.
    pub(crate) query: StatusQuery,
    /// Where the answer goes.
    pub(crate) answer: oneshot::Sender<OperatorAnswer>,
}

/// Rings and counters that both roles use.
pub(crate) struct DecisionContext {
    /// Ring of the links.
    pub(crate) links: mpsc::Sender<LinkCommand>,
    /// Ring of the datagrams.
    pub(crate) control: mpsc::Sender<Datagram>,
    /// Counters.
    pub(crate) counters: Arc<ProcessCounters>,
    /// Log.
    pub(crate) log: Logger,
    /// Clocks.
    pub(crate) clock: HostClock,
    /// Facts of the process for `/status`.
    pub(crate) process: ProcessInfo,
}

/// Decision thread of a role.
pub(crate) struct DecisionLoop<R: DecisionRole> {
    role: R,
    inbox: Receiver<InboxItem<R::Input>>,
    context: DecisionContext,
    decisions: DecisionRing,
    wake_at: Option<MonoTime>,
    rejected_inputs: VecDeque<R::Input>,
    exit: Option<ScheduledExit>,
}

/// End of a state machine that is done.
#[derive(Clone, Copy, Debug)]
struct ScheduledExit {
    /// When it ends.
    at: MonoTime,
    /// When it ends at the latest.
    limit: MonoTime,
}

impl<R: DecisionRole> DecisionLoop<R> {
    /// Makes the loop; its first event is a wake-up.
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
            rejected_inputs: VecDeque::new(),
            exit: None,
        }
    }

    /// Runs until the state machine is done and has lingered, or all other threads have ended.
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

    /// Puts a planned end off: somebody has not turned away yet.
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

    /// Returns what is next: a refused effect, a due wake-up, or the next item of the ring.
    fn next_item(&mut self) -> Option<InboxItem<R::Input>> {
        if let Some(input) = self.rejected_inputs.pop_front() {
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
        if let Some(refused) = self.role.perform(action) {
            self.context.counters.refusal(RefusalReason::RingFull);
            self.rejected_inputs.push_back(refused);
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

    /// Hands a message to the links; one that finds no room was never sent, and is said so.
    fn send_link(&mut self, to: SocketAddr, message: LinkMessage) {
        let unsent = request_id(&message);
        if !self.send_command(LinkCommand::Send { to, message }) {
            let unsent = unsent.into_iter().collect();
            self.rejected_inputs
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

/// Returns the id of a request message.
pub(crate) fn request_id(message: &LinkMessage) -> Option<RequestId> {
    match message {
        LinkMessage::Request(request) => Some(request.id.clone()),
        _ => None,
    }
}
