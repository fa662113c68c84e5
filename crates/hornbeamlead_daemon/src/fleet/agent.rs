//! Puts an agent together and runs its decisions: keeper, locator, and planner while elected.

use super::entry::{check_reload, start_listener, start_probe, start_store};
use super::links::{LINK_RING, LinkCommand, LinkEvent, LinksDuty, PeerFrame};
use super::local::{LocalDesk, handle_local};
use super::metrics::FleetMetrics;
use super::outlets::FleetOutlets;
use super::signals::{SignalAsk, TakenSignals, on_signal};
use super::store::StoreResult;
use super::worker::{WORKER_RING, WorkerDuty};
use super::{EndedSnafu, FleetError, StartSnafu, listen};
use crate::clock::{BootClock, new_incarnation};
use crate::launch::duty::start_duty;
use crate::ring::{RingSender, decision_ring};
use crossbeam_channel::{Receiver, RecvTimeoutError};
use hornbeamlead_adapter::OperatorRecordFormat;
use hornbeamlead_jobs::effect::{Effect, LinkId};
use hornbeamlead_jobs::locator::{LocatorEvent, LocatorPolicy, PlannerAddress, PlannerLocator};
use hornbeamlead_jobs::message::{AgentMessage, PlannerMessage};
use hornbeamlead_jobs::planner::{PlacementPolicy, PlannerEvent, PlannerMachine, PlannerPolicy};
use hornbeamlead_jobs::store::StoreCaller;
use hornbeamlead_jobs::supervisor::{
    SupervisorEvent, SupervisorMachine, SupervisorPolicy, ThrottlePolicy,
};
use hornbeamlead_jobs::worker::{WorkerAnswer, WorkerCall, WorkerReply};
use hornbeamlead_settings::{FleetRole, FleetSettings};
use slog::{Logger, info};
use snafu::ResultExt;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;
use tokio::sync::mpsc;

/// Longest wait for an event while this process is planner; batches and ticks are due by time.
const PLANNER_TICK: Duration = Duration::from_millis(8);

/// Longest wait for an event otherwise.
const KEEPER_TICK: Duration = Duration::from_millis(25);

/// Item of the ring into an agent's decisions.
#[derive(Clone, Debug)]
pub(super) enum AgentInput {
    /// Something about the worker.
    Keeper(SupervisorEvent),
    /// The store answered.
    Stored(StoreResult),
    /// Something about a link.
    Link(LinkEvent),
    /// A signal came.
    Signal(SignalAsk),
}

impl From<StoreResult> for AgentInput {
    fn from(result: StoreResult) -> Self {
        Self::Stored(result)
    }
}

/// Runs an agent to its end.
pub(super) fn run_agent(
    settings: &FleetSettings,
    path: &Path,
    signals: TakenSignals,
    log: &Logger,
) -> Result<(), FleetError> {
    let FleetRole::Agent {
        local,
        lease,
        hold_max,
        throttle_grace,
        throttle_step,
    } = settings.role
    else {
        return EndedSnafu { duty: "agent" }.fail();
    };
    let metrics = FleetMetrics::new();
    let (inbox, ring) = decision_ring();
    start_local(local, &inbox, &metrics, log)?;
    let ready = Arc::new(AtomicBool::new(true));
    start_probe("metrics", settings.metrics, &ready, &metrics, log)?;
    let links = start_links(settings, &inbox)?;
    let worker = start_worker(&inbox, &metrics)?;
    let store = start_store(settings, &inbox, &metrics, log)?;
    let told = inbox.clone();
    let tell = move |ask| drop(told.deliver(AgentInput::Signal(ask)));
    on_signal(signals, tell).context(StartSnafu { duty: "signals" })?;
    let host: Box<str> = settings.host.as_str().into();
    let incarnation = new_incarnation().0;
    let address = settings.inner;
    let keeper = SupervisorPolicy {
        host: host.clone(),
        address,
        lease_span: lease,
        hold_max,
        throttle: ThrottlePolicy {
            grace_period: throttle_grace,
            step: throttle_step,
        },
    };
    let locator = LocatorPolicy {
        host: host.clone(),
        incarnation,
        address,
        seed: settings.seed,
    };
    let desk = AgentDesk {
        keeper: SupervisorMachine::new(keeper),
        locator: PlannerLocator::new(locator),
        planner: None,
        policy: PlannerPolicy {
            host,
            incarnation,
            address,
            lease_span: lease,
            placement: PlacementPolicy::default(),
        },
        outlets: FleetOutlets::new(store, metrics, log.clone()),
        links,
        worker,
        path: path.into(),
        stopping: false,
    };
    desk.run(&ring)
}

fn start_local(
    address: std::net::SocketAddr,
    inbox: &RingSender<AgentInput>,
    metrics: &FleetMetrics,
    log: &Logger,
) -> Result<(), FleetError> {
    let listener = listen("local", address)?;
    let desk = Arc::new(LocalDesk {
        inbox: inbox.clone(),
        metrics: metrics.clone(),
        log: log.clone(),
    });
    let handler = move || {
        let desk = Arc::clone(&desk);
        Ok(move |state| handle_local(desk, state))
    };
    start_listener("local", listener, handler, log)
}

fn start_links(
    settings: &FleetSettings,
    inbox: &RingSender<AgentInput>,
) -> Result<mpsc::Sender<LinkCommand>, FleetError> {
    let listener = listen("inner", settings.inner)?;
    let (sender, commands) = mpsc::channel(LINK_RING);
    let (inbox, store) = (inbox.clone(), settings.store);
    let run = move || async move {
        if let Ok(listener) = tokio::net::TcpListener::from_std(listener) {
            let duty = LinksDuty {
                listener,
                commands,
                inbox,
                store,
            };
            duty.run().await;
        }
    };
    start_duty("links", run).context(StartSnafu { duty: "links" })?;
    Ok(sender)
}

fn start_worker(
    inbox: &RingSender<AgentInput>,
    metrics: &FleetMetrics,
) -> Result<mpsc::Sender<WorkerCall>, FleetError> {
    let (sender, calls) = mpsc::channel(WORKER_RING);
    let duty = WorkerDuty {
        calls,
        inbox: inbox.clone(),
        metrics: metrics.clone(),
    };
    start_duty("worker", move || duty.run()).context(StartSnafu { duty: "worker" })?;
    Ok(sender)
}

/// Decisions of an agent, with what they reach.
struct AgentDesk {
    keeper: SupervisorMachine,
    locator: PlannerLocator,
    planner: Option<PlannerMachine<OperatorRecordFormat>>,
    policy: PlannerPolicy,
    outlets: FleetOutlets,
    links: mpsc::Sender<LinkCommand>,
    worker: mpsc::Sender<WorkerCall>,
    path: Box<Path>,
    stopping: bool,
}

impl AgentDesk {
    fn run(mut self, ring: &Receiver<AgentInput>) -> Result<(), FleetError> {
        while !self.stopping {
            let tick = if self.planner.is_some() {
                PLANNER_TICK
            } else {
                KEEPER_TICK
            };
            match ring.recv_timeout(tick) {
                Ok(input) => self.take(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => {
                    return EndedSnafu { duty: "links" }.fail();
                }
            }
            while let Ok(input) = ring.try_recv() {
                self.take(input);
            }
            self.tick();
        }
        Ok(())
    }

    fn tick(&mut self) {
        self.tell_planner(PlannerEvent::Tick);
        self.tell_keeper(SupervisorEvent::Tick);
        self.locator.tick(BootClock.mono());
        self.drain_locator();
        if self
            .planner
            .as_ref()
            .is_some_and(PlannerMachine::is_deposed)
        {
            self.planner = None;
            self.locator.step_down(BootClock.mono());
        }
        let metrics = &self.outlets.metrics;
        metrics.set("epoch", self.keeper.epoch().0);
        metrics.set("is_planner", u64::from(self.planner.is_some()));
    }

    fn take(&mut self, input: AgentInput) {
        match input {
            AgentInput::Keeper(event) => self.tell_keeper(event),
            AgentInput::Stored(result) => self.take_stored(result),
            AgentInput::Link(event) => self.take_link(event),
            AgentInput::Signal(SignalAsk::Reload) => check_reload(&self.path, &self.outlets.log),
            AgentInput::Signal(SignalAsk::Stop) => {
                info!(self.outlets.log, ""; "event" => "stop_asked");
                self.stopping = true;
            }
        }
    }

    fn take_stored(&mut self, result: StoreResult) {
        let StoreResult { caller, outcome } = result;
        match caller {
            StoreCaller::Locator | StoreCaller::Claim => {
                self.locator.stored(BootClock.mono(), caller, outcome);
                self.drain_locator();
            }
            _ => self.tell_planner(PlannerEvent::Stored { caller, outcome }),
        }
    }

    fn take_link(&mut self, event: LinkEvent) {
        let now = BootClock.mono();
        match event {
            LinkEvent::Opened(link) => self.locator.link_opened(now, link),
            LinkEvent::Closed { link, refused } => {
                self.locator.link_closed(now, link, refused);
                self.tell_planner(PlannerEvent::Closed(link));
            }
            LinkEvent::Frame(link, frame) => match *frame {
                PeerFrame::Agent(message) => self.take_agent(link, message),
                PeerFrame::Planner(message) => self.take_planner(link, message),
                // The links thread carries relayed calls out itself.
                PeerFrame::Relay(_) | PeerFrame::Relayed(_) => {}
            },
            LinkEvent::Unreadable { link, cause } => {
                let line = Effect::log("frame_unreadable", link.0, format!("cause={cause:?}"));
                self.obey(line);
            }
        }
        self.drain_locator();
    }

    fn take_agent(&mut self, link: LinkId, message: AgentMessage) {
        match message {
            AgentMessage::ConnectRequest { epoch, address } => {
                let seat = PlannerAddress { epoch, address };
                self.locator.learn_planner(BootClock.mono(), seat);
            }
            message if self.planner.is_some() => {
                self.tell_planner(PlannerEvent::Agent { link, message });
            }
            _ => {
                let message = PlannerMessage::NotPlanner;
                self.obey(Effect::ToAgent { link, message });
            }
        }
    }

    fn take_planner(&mut self, link: LinkId, message: PlannerMessage) {
        let now = BootClock.mono();
        if self.locator.link() != Some(link) {
            return;
        }
        match &message {
            PlannerMessage::NotPlanner => return self.locator.not_planner(now, link),
            PlannerMessage::Grant { stamp, .. } => {
                self.locator.on_planner_message(now, stamp.is_none())
            }
            _ => {}
        }
        self.tell_keeper(SupervisorEvent::Planner(message));
    }

    fn drain_locator(&mut self) {
        let (effects, news) = self.locator.drain();
        for effect in effects {
            self.obey(effect);
        }
        for news in news {
            match news {
                LocatorEvent::LinkUp(link) => self.tell_keeper(SupervisorEvent::LinkUp(link)),
                LocatorEvent::LinkDown => self.tell_keeper(SupervisorEvent::LinkDown),
                LocatorEvent::Elected { epoch, claim } => {
                    let (policy, now) = (self.policy.clone(), BootClock.mono());
                    let planner =
                        PlannerMachine::new(policy, OperatorRecordFormat, epoch, claim, now);
                    self.planner = Some(planner);
                }
            }
        }
    }

    fn tell_keeper(&mut self, event: SupervisorEvent) {
        let effects = self.keeper.handle(BootClock.mono(), event);
        for effect in effects {
            self.obey(effect);
        }
    }

    fn tell_planner(&mut self, event: PlannerEvent) {
        let Some(planner) = &mut self.planner else {
            return;
        };
        let effects = planner.handle(BootClock.read(), event);
        for effect in effects {
            self.obey(effect);
        }
    }

    fn obey(&mut self, effect: Effect) {
        match effect {
            Effect::AddRelay(address) => self.outlets.add_relay(address),
            Effect::Store(call) => {
                if let Some(result) = self.outlets.call_store(call) {
                    self.take_stored(result);
                }
            }
            Effect::Worker(call) => self.call_worker(call),
            Effect::Dial {
                link,
                address,
                deadline,
            } => self.link(LinkCommand::Dial {
                link,
                address,
                timeout: deadline.since(BootClock.mono()),
            }),
            Effect::ToPlanner { link, message } => {
                let frame = PeerFrame::Agent(message);
                self.link(LinkCommand::Send { link, frame });
            }
            Effect::ToAgent { link, message } => {
                let frame = PeerFrame::Planner(message);
                self.link(LinkCommand::Send { link, frame });
            }
            Effect::CloseLink { link } => self.link(LinkCommand::CloseLink { link }),
            Effect::Log(line) => self.outlets.write_line(&line),
            Effect::Count(event) => self.outlets.metrics.count(event),
            // An agent has no callers.
            Effect::Reply { .. } => {}
        }
    }

    fn call_worker(&mut self, call: WorkerCall) {
        if let Err(error) = self.worker.try_send(call) {
            self.outlets.metrics.count("worker_ring_full");
            let call = error.into_inner();
            let event = SupervisorEvent::Replied {
                tag: call.tag,
                incarnation: call.incarnation,
                reply: WorkerReply {
                    answer: WorkerAnswer::Unanswered,
                    clock_ms: None,
                    sent: BootClock.mono(),
                },
            };
            self.tell_keeper(event);
        }
    }

    fn link(&self, command: LinkCommand) {
        if self.links.try_send(command).is_err() {
            // The link stays silent, and its deadline ends it.
            self.outlets.metrics.count("link_ring_full");
        }
    }
}
