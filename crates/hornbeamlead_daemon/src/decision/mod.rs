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
use role::{SharedEffect, SortedEffect};
use slog::{Logger, info};
use status::{DecisionWire, NoteWire, ProcessWire};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Decisions kept for explanations.
const KEPT_DECISIONS: usize = 4096;

/// Decisions returned to one question.
const TOLD_DECISIONS: usize = 256;

/// Time without new work after which a state machine that was done ends.
///
/// Until then readiness fails, announcements say that the process is leaving, and requests that
/// were on their way are refused as not run, so that others turn away before a connection of
/// theirs is refused.
const STOP_QUIET: Duration = Duration::from_millis(1500);

/// Longest time for which new work puts the end off; a balancer has turned away long before.
const STOP_LIMIT: Duration = Duration::from_secs(12);

/// Item of the ring into the decisions.
pub(crate) enum InboxItem<I> {
    /// Event for the state machine.
    Input(I),
    /// Question of an operator.
    Question(OperatorQuestion),
}

/// Question of an operator with the way back.
pub(crate) struct OperatorQuestion {
    /// What is asked.
    pub(crate) ask: StatusQuery,
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
    outlets: DecisionContext,
    decisions: DecisionRing,
    wake_at: Option<MonoTime>,
    undelivered: VecDeque<R::Input>,
    exit: Option<PlannedExit>,
}

/// End of a state machine that is done.
#[derive(Clone, Copy, Debug)]
struct PlannedExit {
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
        outlets: DecisionContext,
    ) -> Self {
        Self {
            role,
            inbox,
            outlets,
            decisions: DecisionRing::new(KEPT_DECISIONS),
            wake_at: Some(MonoTime::default()),
            undelivered: VecDeque::new(),
            exit: None,
        }
    }

    /// Runs until the state machine is done and has lingered, or all other threads have ended.
    pub(crate) fn run(mut self) {
        while !self.is_over() {
            match self.next_item() {
                Some(item) => self.take(item),
                None => return,
            }
        }
        while let Ok(item) = self.inbox.try_recv() {
            self.take(item);
        }
    }

    fn plan_exit(&mut self) {
        let now = self.outlets.clock.mono();
        self.exit.get_or_insert(PlannedExit {
            at: now.plus(STOP_QUIET),
            limit: now.plus(STOP_LIMIT),
        });
    }

    /// Puts a planned end off: somebody has not turned away yet.
    fn put_off_exit(&mut self, now: MonoTime) {
        if let Some(exit) = &mut self.exit {
            exit.at = now.plus(STOP_QUIET).min(exit.limit);
        }
    }

    fn is_over(&self) -> bool {
        let now = self.outlets.clock.mono();
        self.exit.is_some_and(|exit| exit.at <= now)
    }

    fn take(&mut self, item: InboxItem<R::Input>) {
        match item {
            InboxItem::Input(input) => self.handle(input),
            InboxItem::Question(question) => self.answer(question),
        }
    }

    /// Returns what is next: a refused effect, a due wake-up, or the next item of the ring.
    fn next_item(&mut self) -> Option<InboxItem<R::Input>> {
        if let Some(input) = self.undelivered.pop_front() {
            return Some(InboxItem::Input(input));
        }
        let exit_at = self.exit.map(|exit| exit.at);
        let Some(wake_at) = self.wake_at.into_iter().chain(exit_at).min() else {
            return self.inbox.recv().ok();
        };
        let patience = self.outlets.clock.until(wake_at);
        if patience.is_zero() {
            return Some(self.woken());
        }
        match self.inbox.recv_timeout(patience) {
            Ok(item) => Some(item),
            Err(RecvTimeoutError::Timeout) => Some(self.woken()),
            Err(RecvTimeoutError::Disconnected) => None,
        }
    }

    fn woken(&mut self) -> InboxItem<R::Input> {
        self.wake_at = None;
        InboxItem::Input(R::Input::woke())
    }

    fn handle(&mut self, input: R::Input) {
        let now = self.outlets.clock.read();
        if input.is_new_work() {
            self.put_off_exit(now.mono);
        }
        for effect in self.role.handle(now, input) {
            match R::sort(effect) {
                SortedEffect::Shared(shared) => self.perform(shared),
                SortedEffect::Own(own) => self.perform_own(own),
            }
        }
    }

    fn perform_own(&mut self, own: R::Own) {
        if let Some(refused) = self.role.perform(own) {
            self.outlets.counters.refusal(RefusalReason::RingFull);
            self.undelivered.push_back(refused);
        }
    }

    fn perform(&mut self, effect: SharedEffect) {
        match effect {
            SharedEffect::SendLink { to, message } => self.send_link(to, message),
            SharedEffect::ReplyLink { link, message } => {
                self.hand_over(LinkCommand::Reply { link, message });
            }
            SharedEffect::SendDatagram { to, message } => {
                let datagram = Datagram { to, message };
                if self.outlets.control.try_send(datagram).is_err() {
                    self.outlets.counters.refusal(RefusalReason::RingFull);
                }
            }
            SharedEffect::CountRefusal(reason) => self.outlets.counters.refusal(reason),
            SharedEffect::CountRetry(reason) => self.outlets.counters.retry(reason),
            SharedEffect::Decide(note) => self.keep_decision(note),
            SharedEffect::WakeAt(at) => self.wake_at = Some(at),
            SharedEffect::Exit => self.plan_exit(),
        }
    }

    /// Hands a message to the links; one that finds no room was never sent, and is said so.
    fn send_link(&mut self, to: SocketAddr, message: LinkMessage) {
        let unsent = request_id(&message);
        if !self.hand_over(LinkCommand::Send { to, message }) {
            let unsent = unsent.into_iter().collect();
            self.undelivered
                .push_back(R::Input::link_refused(to, unsent));
        }
    }

    fn hand_over(&self, command: LinkCommand) -> bool {
        let accepted = self.outlets.links.try_send(command).is_ok();
        if !accepted {
            self.outlets.counters.refusal(RefusalReason::RingFull);
        }
        accepted
    }

    fn keep_decision(&mut self, note: DecisionRecord) {
        info!(self.outlets.log, ""; "event" => "decision",
            "subject" => &*note.subject, "rule" => note.rule,
            "inputs" => &*note.inputs, "revision" => note.revision.0);
        self.decisions.push(note);
    }

    fn answer(&self, question: OperatorQuestion) {
        let answer = match &question.ask {
            StatusQuery::Fleet => self.status(),
            StatusQuery::Explain(subject) => self.explain(subject),
            StatusQuery::Note(id) => {
                OperatorAnswer::Note(self.role.fleet().note_result(id).map(NoteWire::from))
            }
            StatusQuery::Key(key) => self.explain(&format!("key:{}", key.as_str())),
        };
        let _ = question.answer.send(answer);
    }

    fn status(&self) -> OperatorAnswer {
        let now = self.outlets.clock.read();
        OperatorAnswer::Status(Box::new(ProcessWire::new(
            &self.outlets.process,
            &self.outlets.counters,
            self.role.fleet(),
            self.role.status(now),
        )))
    }

    fn explain(&self, subject: &str) -> OperatorAnswer {
        let told = self.decisions.for_subject(subject).take(TOLD_DECISIONS);
        OperatorAnswer::Decisions(told.map(DecisionWire::from).collect())
    }
}

/// Returns the id of a request message.
pub(crate) fn request_id(message: &LinkMessage) -> Option<RequestId> {
    match message {
        LinkMessage::Request(request) => Some(request.id.clone()),
        _ => None,
    }
}
