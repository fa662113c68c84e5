//! Request gate of an agent: sole admission control for the requests to its endpoint.

mod admission;
mod announcer;
mod arbitrate;
mod endpoint;
mod fence;
mod grant;
mod limit;
mod resolve;
mod serve;

use crate::keys::arbiter::ArbiterTable;
use crate::keys::history::ViewHistory;
use crate::keys::homes::HomeHistory;
use crate::keys::runner::RunnerTable;
use admission::AdmissionQueue;
use announcer::EntryAnnouncer;
use endpoint::EndpointRecord;
use fence::FenceTable;
use grant::PeerLoad;
use hornbeamlead_core::clock::{ClockReading, MonoTime};
use hornbeamlead_core::counter::RefusalReason;
use hornbeamlead_core::effect::AgentEffect;
use hornbeamlead_core::event::AgentEvent;
use hornbeamlead_core::explain::DecisionRecord;
use hornbeamlead_core::fleet::FleetState;
use hornbeamlead_core::ids::{HostId, LinkId, RequestId, Revision};
use hornbeamlead_core::message::control::{AnnounceReply, CellView, ControlMessage};
use hornbeamlead_core::message::request::{LinkMessage, LoadSample, RequestOutcome, RequestReply};
use hornbeamlead_core::policy::{AgentPolicy, ProcessIdentity};
use hornbeamlead_core::status::{GateStatus, HostMembership};
use limit::ConcurrencyLimit;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Minimum time between two requests to entries for missing notes.
const NOTES_REQUEST_INTERVAL: Duration = Duration::from_secs(1);

/// State of the agent that the gate reads while it handles an event.
#[derive(Clone, Copy, Debug)]
pub struct GateContext<'a> {
    /// Fleet configuration in force.
    pub fleet: &'a FleetState,
    /// Lease and cell view of the host.
    pub membership: &'a HostMembership,
}

/// Admits, queues and refuses requests for the endpoint of an agent, and arbitrates keys.
#[derive(Debug)]
pub struct RequestGate {
    identity: ProcessIdentity,
    policy: AgentPolicy,
    endpoint: Option<EndpointRecord>,
    admission: AdmissionQueue,
    limit: ConcurrencyLimit,
    fences: FenceTable,
    arbiter: ArbiterTable,
    runner: RunnerTable,
    history: ViewHistory,
    homes: HomeHistory,
    peers: BTreeMap<HostId, PeerLoad>,
    announcer: EntryAnnouncer,
    random: SmallRng,
    next_notes_request: MonoTime,
    stopping: bool,
}

/// State of handling one event: its time, its context and the effects emitted so far.
#[derive(Debug)]
struct GateTurn<'a> {
    now: ClockReading,
    context: GateContext<'a>,
    effects: &'a mut Vec<AgentEffect>,
}

impl GateTurn<'_> {
    fn push(&mut self, effect: AgentEffect) {
        self.effects.push(effect);
    }
}

impl RequestGate {
    /// Creates the gate of a newly started process.
    #[must_use]
    pub fn new(identity: ProcessIdentity, policy: AgentPolicy) -> Self {
        Self {
            endpoint: None,
            admission: AdmissionQueue::new(policy.gate.queue),
            limit: ConcurrencyLimit::new(),
            fences: FenceTable::new(policy.gate.max_fenced, policy.gate.fence_lifetime),
            arbiter: ArbiterTable::new(&policy.gate),
            runner: RunnerTable::new(&policy.gate),
            history: ViewHistory::new(policy.gate.key_lifetime),
            homes: HomeHistory::new(policy.gate.key_lifetime),
            peers: BTreeMap::new(),
            announcer: EntryAnnouncer::new(&policy.entries),
            random: SmallRng::seed_from_u64(identity.seed),
            next_notes_request: MonoTime(0),
            stopping: false,
            identity,
            policy,
        }
    }

    /// Handles one event and appends the effects for the driver; the last one is the wake-up time.
    pub fn handle(
        &mut self,
        now: ClockReading,
        context: GateContext<'_>,
        event: &AgentEvent,
        effects: &mut Vec<AgentEffect>,
    ) {
        let mut turn = GateTurn {
            now,
            context,
            effects,
        };
        self.update_cell(&mut turn);
        self.dispatch(&mut turn, event);
        self.run_timers(&mut turn);
        let wake_at = self.wake_at();
        turn.push(AgentEffect::WakeAt(wake_at));
    }

    /// Returns whether no request is queued or in progress.
    #[must_use]
    pub fn idle(&self) -> bool {
        self.admission.idle() && self.arbiter.idle()
    }

    /// Returns the status shown to operators.
    #[must_use]
    pub fn status(&self) -> GateStatus {
        GateStatus {
            load: self.load(),
            services: self
                .endpoint
                .as_ref()
                .map(|endpoint| endpoint.announce.services.clone())
                .unwrap_or_default(),
            keys: self.arbiter.len() + self.runner.len(),
            fenced: self.fences.len(),
        }
    }

    fn dispatch(&mut self, turn: &mut GateTurn<'_>, event: &AgentEvent) {
        match event {
            AgentEvent::Requested { link, request } => self.handle_request(turn, *link, request),
            AgentEvent::Cancelled { id, .. } => self.cancel(turn, id),
            AgentEvent::EndpointDone { id, outcome } => self.handle_outcome(turn, id, outcome),
            AgentEvent::EndpointAnnounced(announce) => {
                self.handle_endpoint_announce(turn, announce)
            }
            AgentEvent::Datagram {
                from,
                message: ControlMessage::AnnounceReply(reply),
            } => self.handle_announce_reply(turn, *from, reply),
            AgentEvent::StopRequested => self.stopping = true,
            AgentEvent::Replied { from, reply } => self.handle_runner_reply(turn, *from, reply),
            AgentEvent::KeyQueried { link, query } => self.answer_query(turn, *link, query),
            AgentEvent::KeyAnswered { answer, .. } => self.handle_key_answer(turn, answer),
            AgentEvent::LinkRefused { to, unsent } => self.handle_peer_refused(turn, *to, unsent),
            AgentEvent::LinkBroken { to } => self.handle_peer_broken(turn, *to),
            AgentEvent::LinkClosed { .. }
            | AgentEvent::Datagram { .. }
            | AgentEvent::WorkerDone { .. }
            | AgentEvent::LogRead { .. }
            | AgentEvent::LogAppended { .. }
            | AgentEvent::NotesForwarded(_)
            | AgentEvent::NotesRequested { .. }
            | AgentEvent::TimerFired => {}
        }
    }

    /// Applies the current cell view and the data centres in service.
    fn update_cell(&mut self, turn: &mut GateTurn<'_>) {
        let now = turn.now.mono;
        self.homes.update(now, turn.context.fleet);
        let view = turn.context.membership.view.as_ref();
        let previous = self.history.number();
        if self.history.update(now, view) {
            self.log_view_jump(turn, previous);
            self.resolve_under_new_view(turn);
        }
    }

    /// Logs a view that does not follow the previous one: without the first view, or after a gap,
    /// keys may be answered as unknown.
    fn log_view_jump(&self, turn: &mut GateTurn<'_>, previous: u64) {
        let view = self.history.number();
        if view == previous + 1 {
            return;
        }
        let first = view == CellView::FIRST_NUMBER;
        let revision = turn.context.fleet.revision();
        turn.push(AgentEffect::Decide(DecisionRecord {
            at: turn.now.wall,
            subject: format!("cell:{}", self.policy.cell).into(),
            rule: "views_followed",
            inputs: format!("view={view} previous={previous} first={first}").into(),
            revision,
        }));
    }

    /// Runs every timer that is due.
    fn run_timers(&mut self, turn: &mut GateTurn<'_>) {
        let now = turn.now.mono;
        self.fences.expire(now);
        self.runner.expire(now);
        while let Some(name) = self.arbiter.pop_check(now) {
            self.check_key(turn, &name);
        }
        self.arbiter.expire(now);
        self.expire_endpoint(now);
        self.refuse_queued_if_closed(turn);
        self.refuse_expired(turn);
        self.fill_slots(turn);
        self.announce(turn);
    }

    fn wake_at(&self) -> MonoTime {
        let endpoint = self.endpoint.as_ref();
        endpoint
            .map_or(MonoTime::MAX, |endpoint| endpoint.expires_at)
            .min(self.admission.wake_at())
            .min(self.arbiter.wake_at())
            .min(self.announcer.wake_at())
    }

    /// Returns why the gate accepts no new requests, if it does not.
    fn closed_reason(&self, fleet: &FleetState) -> Option<RefusalReason> {
        let centre_in_service =
            fleet.revision() == Revision(0) || fleet.in_service(&self.identity.data_centre);
        match &self.endpoint {
            _ if self.stopping || !centre_in_service => Some(RefusalReason::Leaving),
            Some(endpoint) if endpoint.announce.leaving => Some(RefusalReason::Leaving),
            Some(_) => None,
            None => Some(RefusalReason::NoWorker),
        }
    }

    fn load(&self) -> LoadSample {
        let slots = self.endpoint.as_ref().map_or(0, EndpointRecord::slots);
        LoadSample {
            in_flight: self.admission.running(),
            queued: self.admission.queued(),
            slots: self.limit.allowed(slots),
            service_time_us: self.limit.service_time_us(),
            leaving: self.stopping
                || self
                    .endpoint
                    .as_ref()
                    .is_some_and(|endpoint| endpoint.announce.leaving),
        }
    }

    fn reply(
        &self,
        turn: &mut GateTurn<'_>,
        link: LinkId,
        id: &RequestId,
        outcome: RequestOutcome,
    ) {
        let mut load = self.load();
        load.leaving |= self.closed_reason(turn.context.fleet) == Some(RefusalReason::Leaving);
        turn.push(AgentEffect::ReplyLink {
            link,
            message: LinkMessage::Reply(RequestReply {
                id: id.clone(),
                outcome,
                load,
            }),
        });
    }

    fn handle_announce_reply(
        &mut self,
        turn: &mut GateTurn<'_>,
        from: SocketAddr,
        reply: &AnnounceReply,
    ) {
        let now = turn.now.mono;
        self.announcer.handle_reply(now, from, reply);
        let behind = reply.revision > turn.context.fleet.revision();
        if !behind || now < self.next_notes_request {
            return;
        }
        self.next_notes_request = now.plus(NOTES_REQUEST_INTERVAL);
        let from_revision = Revision(turn.context.fleet.next().0);
        turn.push(AgentEffect::SendLink {
            to: reply.link_address,
            message: LinkMessage::NotesRequest(from_revision),
        });
    }

    fn announce(&mut self, turn: &mut GateTurn<'_>) {
        let open = self.closed_reason(turn.context.fleet).is_none();
        let leaving = self.closed_reason(turn.context.fleet) == Some(RefusalReason::Leaving);
        let services = match (&self.endpoint, open || leaving) {
            (Some(endpoint), true) => endpoint.announce.services.clone(),
            (Some(_) | None, _) => Vec::new(),
        };
        let mut load = self.load();
        load.leaving |= leaving;
        let input = announcer::AnnounceInput {
            identity: &self.identity,
            cell: self.policy.cell,
            services,
            load,
            revision: turn.context.fleet.revision(),
            view: turn.context.membership.view.as_ref(),
        };
        let effects = self.announcer.send_due(turn.now.mono, input);
        turn.effects.extend(effects);
    }
}
