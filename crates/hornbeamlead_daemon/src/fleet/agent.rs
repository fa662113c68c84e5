//! Starts the threads of an agent and runs its event loop: supervisor, locator and, while elected,
//! planner.

mod threads;

use super::entry::check_reload;
use super::links::{LinkCommand, LinkEvent, PeerFrame};
use super::metrics::FleetMetrics;
use super::signals::{SignalHandlers, SignalRequest, spawn_signal_thread};
use super::sinks::EffectSinks;
use super::start::{ListenerParts, start_links, start_probe, start_store};
use super::store::StoreResult;
use super::{EndedSnafu, FleetError, StartSnafu, listen};
use crate::clock::{BootClock, new_incarnation};
use crate::ring::decision_ring;
use crossbeam_channel::{Receiver, RecvTimeoutError};
use hornbeamlead_adapter::OperatorRecordFormat;
use hornbeamlead_jobs::effect::{Effect, LinkId};
use hornbeamlead_jobs::locator::{LocatorEvent, LocatorPolicy, PlannerAddress, PlannerLocator};
use hornbeamlead_jobs::message::{AgentMessage, PlannerMessage};
use hornbeamlead_jobs::notice_board::{NoticeBoard, NoticeEvent};
use hornbeamlead_jobs::planner::{PlacementPolicy, PlannerEvent, PlannerMachine, PlannerPolicy};
use hornbeamlead_jobs::store::StoreCaller;
use hornbeamlead_jobs::supervisor::{
    ExpectedWorker, SupervisorEvent, SupervisorMachine, SupervisorPolicy, ThrottlePolicy,
};
use hornbeamlead_jobs::worker::{WorkerAnswer, WorkerCall, WorkerReply};
use hornbeamlead_settings::{FleetRole, FleetSettings};
use slog::{Logger, info};
use snafu::ResultExt;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;
use threads::{start_local, start_worker};
use tokio::sync::mpsc;

/// Maximum wait for an event while this process is the planner, whose batches and ticks are due by
/// time.
const PLANNER_TICK: Duration = Duration::from_millis(8);

/// Pause after each round of a planner, in which events collect. With hundreds of hosts, a round
/// for each event would cost more than the events.
const PLANNER_PAUSE: Duration = Duration::from_millis(3);

/// Maximum wait for an event while this process is not the planner.
const AGENT_TICK: Duration = Duration::from_millis(25);

/// Input of an agent's event loop.
#[derive(Debug)]
pub(super) enum AgentInput {
    /// Heartbeat, deregistration or reply of the worker.
    Supervisor(SupervisorEvent),
    /// Outcome of a store call.
    Stored(StoreResult),
    Link(LinkEvent),
    Signal(SignalRequest),
}

impl From<StoreResult> for AgentInput {
    fn from(result: StoreResult) -> Self {
        Self::Stored(result)
    }
}

impl From<LinkEvent> for AgentInput {
    fn from(event: LinkEvent) -> Self {
        Self::Link(event)
    }
}

/// Runs an agent until it stops or fails.
pub(super) fn run_agent(
    settings: &FleetSettings,
    path: &Path,
    signals: SignalHandlers,
    log: &Logger,
) -> Result<(), FleetError> {
    let FleetRole::Agent {
        local,
        worker_address,
        ref worker_service,
        lease,
        hold_max,
        throttle_grace,
        throttle_step,
        order,
        copies,
    } = settings.role
    else {
        return EndedSnafu { thread: "agent" }.fail();
    };
    let metrics = FleetMetrics::new();
    let (inbox, ring) = decision_ring();
    let parts = ListenerParts::new(settings.machine, log)?;
    start_local(local, &inbox, &parts, &metrics, log)?;
    let ready = Arc::new(AtomicBool::new(true));
    start_probe("metrics", settings.metrics, &parts, &ready, &metrics)?;
    let listener = listen("inner", settings.inner)?;
    let links = start_links(settings.store, Some(listener), &parts, &inbox)?;
    let worker = start_worker(&inbox, &metrics)?;
    let store = start_store(settings, &inbox, &metrics, log)?;
    let signal_inbox = inbox.clone();
    let notify = move |request| drop(signal_inbox.deliver(AgentInput::Signal(request)));
    spawn_signal_thread(signals, notify).context(StartSnafu { thread: "signals" })?;
    let host: Box<str> = settings.host.as_str().into();
    let incarnation = new_incarnation().0;
    let address = settings.inner;
    let supervisor_policy = SupervisorPolicy {
        host: host.clone(),
        address,
        lease_span: lease,
        hold_max,
        worker: ExpectedWorker {
            address: worker_address,
            service: worker_service.clone(),
        },
        throttle: ThrottlePolicy {
            grace_period: throttle_grace,
            step: throttle_step,
        },
    };
    let locator_policy = LocatorPolicy {
        host: host.clone(),
        incarnation,
        address,
        seed: settings.seed,
    };
    let event_loop = AgentLoop {
        supervisor: SupervisorMachine::new(supervisor_policy),
        locator: PlannerLocator::new(locator_policy),
        planner: None,
        notice_board: NoticeBoard::default(),
        policy: PlannerPolicy {
            host,
            incarnation,
            address,
            lease_span: lease,
            placement: PlacementPolicy::default(),
            order,
            copies,
        },
        sinks: EffectSinks::new(store, metrics, log.clone()),
        links,
        worker,
        path: path.into(),
        stopping: false,
    };
    event_loop.run(&ring)
}

/// Event loop of an agent: feeds the state machines and executes their effects.
struct AgentLoop {
    supervisor: SupervisorMachine,
    locator: PlannerLocator,
    planner: Option<PlannerMachine<OperatorRecordFormat>>,
    notice_board: NoticeBoard,
    policy: PlannerPolicy,
    sinks: EffectSinks,
    links: mpsc::Sender<LinkCommand>,
    worker: mpsc::Sender<WorkerCall>,
    path: Box<Path>,
    stopping: bool,
}

impl AgentLoop {
    fn run(mut self, ring: &Receiver<AgentInput>) -> Result<(), FleetError> {
        while !self.stopping {
            let tick = if self.planner.is_some() {
                PLANNER_TICK
            } else {
                AGENT_TICK
            };
            match ring.recv_timeout(tick) {
                Ok(input) => self.handle_input(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => {
                    return EndedSnafu { thread: "links" }.fail();
                }
            }
            while let Ok(input) = ring.try_recv() {
                self.handle_input(input);
            }
            self.tick();
            if self.planner.is_some() {
                std::thread::sleep(PLANNER_PAUSE);
            }
        }
        Ok(())
    }

    fn tick(&mut self) {
        self.handle_planner_event(PlannerEvent::Tick);
        self.handle_supervisor_event(SupervisorEvent::Tick);
        self.handle_notice_event(NoticeEvent::Tick);
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
        let metrics = &self.sinks.metrics;
        metrics.set_gauge("epoch", self.supervisor.epoch().0);
        metrics.set_gauge("is_planner", u64::from(self.planner.is_some()));
    }

    fn handle_input(&mut self, input: AgentInput) {
        match input {
            AgentInput::Supervisor(event) => self.handle_supervisor_event(event),
            AgentInput::Stored(result) => self.handle_stored(result),
            AgentInput::Link(event) => self.handle_link_event(event),
            AgentInput::Signal(SignalRequest::Reload) => check_reload(&self.path, &self.sinks.log),
            AgentInput::Signal(SignalRequest::Stop) => {
                info!(self.sinks.log, ""; "event" => "stop_asked");
                self.stopping = true;
            }
        }
    }

    fn handle_stored(&mut self, result: StoreResult) {
        let StoreResult { caller, outcome } = result;
        match caller {
            StoreCaller::Locator(_) | StoreCaller::Claim(_) | StoreCaller::PlanEnd => {
                self.locator.stored(BootClock.mono(), caller, outcome);
                self.drain_locator();
            }
            _ => self.handle_planner_event(PlannerEvent::Stored { caller, outcome }),
        }
    }

    fn handle_link_event(&mut self, event: LinkEvent) {
        let now = BootClock.mono();
        match event {
            LinkEvent::Opened(link) => self.locator.link_opened(now, link),
            LinkEvent::Closed { link, refused } => {
                self.locator.link_closed(now, link, refused);
                self.handle_planner_event(PlannerEvent::Closed(link));
                self.handle_notice_event(NoticeEvent::Closed(link));
            }
            LinkEvent::Frame(link, received) => match received.frame {
                PeerFrame::Agent(message) => self.handle_agent_message(link, message),
                PeerFrame::Planner(message) => self.handle_planner_message(link, message),
                PeerFrame::Notices(message) => {
                    self.handle_notice_event(NoticeEvent::Message { link, message });
                }
                // Relayed calls are executed by the links thread.
                PeerFrame::Relay(_) | PeerFrame::Relayed(_) => {}
            },
            LinkEvent::Unreadable { link, cause } => {
                let line = Effect::log("frame_unreadable", link.0, format!("cause={cause:?}"));
                self.apply_effect(line);
            }
        }
        self.drain_locator();
    }

    fn handle_agent_message(&mut self, link: LinkId, message: AgentMessage) {
        match message {
            AgentMessage::ConnectRequest { epoch, address } => {
                let planner = PlannerAddress { epoch, address };
                self.locator.learn_planner(BootClock.mono(), planner);
            }
            message if self.planner.is_some() => {
                self.handle_planner_event(PlannerEvent::Agent { link, message });
            }
            _ => {
                let message = PlannerMessage::NotPlanner;
                self.apply_effect(Effect::ToAgent { link, message });
            }
        }
    }

    fn handle_planner_message(&mut self, link: LinkId, message: PlannerMessage) {
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
        self.handle_supervisor_event(SupervisorEvent::Planner(message));
    }

    fn drain_locator(&mut self) {
        let (effects, events) = self.locator.drain();
        for effect in effects {
            self.apply_effect(effect);
        }
        for event in events {
            match event {
                LocatorEvent::LinkUp(link) => {
                    self.handle_supervisor_event(SupervisorEvent::LinkUp(link))
                }
                LocatorEvent::LinkDown => self.handle_supervisor_event(SupervisorEvent::LinkDown),
                LocatorEvent::Elected(election) => {
                    let (policy, now) = (self.policy.clone(), BootClock.mono());
                    let planner = PlannerMachine::new(policy, OperatorRecordFormat, election, now);
                    self.planner = Some(planner);
                }
            }
        }
    }

    fn handle_supervisor_event(&mut self, event: SupervisorEvent) {
        let effects = self.supervisor.handle(BootClock.mono(), event);
        for effect in effects {
            self.apply_effect(effect);
        }
    }

    fn handle_planner_event(&mut self, event: PlannerEvent) {
        let Some(planner) = &mut self.planner else {
            return;
        };
        let effects = planner.handle(BootClock.read(), event);
        for effect in effects {
            self.apply_effect(effect);
        }
    }

    fn handle_notice_event(&mut self, event: NoticeEvent) {
        let effects = self.notice_board.handle(BootClock.mono(), event);
        for effect in effects {
            self.apply_effect(effect);
        }
    }

    fn apply_effect(&mut self, effect: Effect) {
        match effect {
            Effect::AddRelay(address) => self.sinks.add_relay(address),
            Effect::Store(call) => {
                if let Some(result) = self.sinks.call_store(call) {
                    self.handle_stored(result);
                }
            }
            Effect::Worker(call) => self.call_worker(call),
            Effect::Dial {
                link,
                address,
                deadline,
            } => self.send_link_command(LinkCommand::Dial {
                link,
                address,
                timeout: deadline.since(BootClock.mono()),
            }),
            Effect::ToPlanner { link, message } => {
                let frame = PeerFrame::Agent(message);
                self.send_link_command(LinkCommand::Send { link, frame });
            }
            Effect::ToAgent { link, message } => {
                let frame = PeerFrame::Planner(message);
                self.send_link_command(LinkCommand::Send { link, frame });
            }
            Effect::Notices { link, message } => {
                let frame = PeerFrame::Notices(message);
                self.send_link_command(LinkCommand::Send { link, frame });
            }
            Effect::CloseLink { link } => self.send_link_command(LinkCommand::CloseLink { link }),
            Effect::Log(line) => self.sinks.write_line(&line),
            Effect::Count(event) => self.sinks.metrics.count(event),
            // An agent has no callers.
            Effect::Reply { .. } => {}
        }
    }

    fn call_worker(&mut self, call: WorkerCall) {
        if let Err(error) = self.worker.try_send(call) {
            self.sinks.metrics.count("worker_ring_full");
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
            self.handle_supervisor_event(event);
        }
    }

    fn send_link_command(&self, command: LinkCommand) {
        if self.links.try_send(command).is_err() {
            // The link then stays silent until its timeout closes it.
            self.sinks.metrics.count("link_ring_full");
        }
    }
}
