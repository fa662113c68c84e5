//! Request side of an agent: sole admission authority for the requests of its worker.

mod admission;
mod announcer;
mod arbitrate;
mod endpoint;
mod fence;
mod grant;
mod limit;
mod serve;
mod settle;

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
use hornbeamlead_core::fleet::FleetState;
use hornbeamlead_core::ids::{HostId, LinkId, RequestId, Revision};
use hornbeamlead_core::message::control::{AnnounceReply, ControlMessage};
use hornbeamlead_core::message::request::{LinkMessage, LoadSample, RequestOutcome, RequestReply};
use hornbeamlead_core::policy::{AgentPolicy, ProcessIdentity};
use hornbeamlead_core::status::{GateStatus, HostMembership};
use limit::ConcurrencyLimit;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time between two questions for missing notes.
const NOTES_ASK_INTERVAL: Duration = Duration::from_secs(1);

/// What the gate may look at while it handles an event.
#[derive(Clone, Copy, Debug)]
pub struct GateContext<'a> {
    /// Configuration in force.
    pub fleet: &'a FleetState,
    /// Lease and view of the host.
    pub membership: &'a HostMembership,
}

/// Request side of an agent.
#[derive(Debug)]
pub struct RequestGate {
    place: ProcessIdentity,
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
    notes_asked_until: MonoTime,
    stopping: bool,
}

/// Clock, context and effects of one event.
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
    /// Makes the gate of a process that has just started.
    #[must_use]
    pub fn new(place: ProcessIdentity, policy: AgentPolicy) -> Self {
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
            random: SmallRng::seed_from_u64(place.seed),
            notes_asked_until: MonoTime(0),
            stopping: false,
            place,
            policy,
        }
    }

    /// Takes one event; adds what the driver is to do, with one wake-up wish at the end.
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
        self.follow_cell(&mut turn);
        self.take(&mut turn, event);
        self.pass_time(&mut turn);
        let wake_at = self.wake_at();
        turn.push(AgentEffect::WakeAt(wake_at));
    }

    /// Returns whether no request is queued or in progress.
    #[must_use]
    pub fn idle(&self) -> bool {
        self.admission.idle() && self.arbiter.idle()
    }

    /// Returns the status for operators.
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

    fn take(&mut self, turn: &mut GateTurn<'_>, event: &AgentEvent) {
        match event {
            AgentEvent::Requested { link, request } => self.take_request(turn, *link, request),
            AgentEvent::Cancelled { id, .. } => self.cancel(turn, id),
            AgentEvent::EndpointDone { id, outcome } => self.take_outcome(turn, id, outcome),
            AgentEvent::EndpointAnnounced(announce) => self.take_endpoint(turn, announce),
            AgentEvent::Datagram {
                from,
                message: ControlMessage::AnnounceReply(reply),
            } => self.take_announce_reply(turn, *from, reply),
            AgentEvent::StopRequested => self.stopping = true,
            AgentEvent::Replied { from, reply } => self.take_runner_reply(turn, *from, reply),
            AgentEvent::KeyQueried { link, query } => self.answer_query(turn, *link, query),
            AgentEvent::KeyAnswered { answer, .. } => self.take_key_answer(turn, answer),
            AgentEvent::LinkRefused { to, unsent } => self.take_peer_refusal(turn, *to, unsent),
            AgentEvent::LinkBroken { to } => self.take_peer_break(turn, *to),
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

    /// Takes the view and the data centres in service as they are now.
    fn follow_cell(&mut self, turn: &mut GateTurn<'_>) {
        let now = turn.now.mono;
        self.homes.follow(now, turn.context.fleet);
        let view = turn.context.membership.view.as_ref();
        if self.history.follow(now, view) {
            self.settle_under_new_view(turn);
        }
    }

    /// Does all that is due by the clock.
    fn pass_time(&mut self, turn: &mut GateTurn<'_>) {
        let now = turn.now.mono;
        self.fences.expire(now);
        self.runner.expire(now);
        while let Some(name) = self.arbiter.pop_look(now) {
            self.look_at_key(turn, &name);
        }
        self.arbiter.expire(now);
        self.drop_silent_endpoint(now);
        self.refuse_queued_if_closed(turn);
        self.refuse_expired(turn);
        self.fill_slots(turn);
        self.announce(turn);
    }

    fn wake_at(&self) -> MonoTime {
        let endpoint = self.endpoint.as_ref();
        endpoint
            .map_or(MonoTime::MAX, |endpoint| endpoint.silent_at)
            .min(self.admission.wake_at())
            .min(self.arbiter.wake_at())
            .min(self.announcer.wake_at())
    }

    /// Returns why no new work is taken at all, if so.
    fn closed(&self, fleet: &FleetState) -> Option<RefusalReason> {
        let centre_open =
            fleet.revision() == Revision(0) || fleet.in_service(&self.place.data_centre);
        match &self.endpoint {
            _ if self.stopping || !centre_open => Some(RefusalReason::Leaving),
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
        load.leaving |= self.closed(turn.context.fleet) == Some(RefusalReason::Leaving);
        turn.push(AgentEffect::ReplyLink {
            link,
            message: LinkMessage::Reply(RequestReply {
                id: id.clone(),
                outcome,
                load,
            }),
        });
    }

    fn take_announce_reply(
        &mut self,
        turn: &mut GateTurn<'_>,
        from: SocketAddr,
        reply: &AnnounceReply,
    ) {
        let now = turn.now.mono;
        self.announcer.answered(now, from, reply);
        let behind = reply.revision > turn.context.fleet.revision();
        if !behind || now < self.notes_asked_until {
            return;
        }
        self.notes_asked_until = now.plus(NOTES_ASK_INTERVAL);
        let wanted = Revision(turn.context.fleet.next().0);
        turn.push(AgentEffect::SendLink {
            to: reply.link_address,
            message: LinkMessage::NotesRequest(wanted),
        });
    }

    fn announce(&mut self, turn: &mut GateTurn<'_>) {
        let open = self.closed(turn.context.fleet).is_none();
        let leaving = self.closed(turn.context.fleet) == Some(RefusalReason::Leaving);
        let services = match (&self.endpoint, open || leaving) {
            (Some(endpoint), true) => endpoint.announce.services.clone(),
            (Some(_) | None, _) => Vec::new(),
        };
        let mut load = self.load();
        load.leaving |= leaving;
        let due = announcer::AnnounceInput {
            place: &self.place,
            cell: self.policy.cell,
            services,
            load,
            revision: turn.context.fleet.revision(),
            view: turn.context.membership.view.as_ref(),
        };
        let effects = self.announcer.send_due(turn.now.mono, due);
        turn.effects.extend(effects);
    }
}
