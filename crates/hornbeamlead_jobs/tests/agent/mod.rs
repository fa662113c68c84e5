//! Supervisor of a host, driven without a platform: its planner and its worker are the test.

#![allow(dead_code, reason = "each test file uses some of the items")]

use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_jobs::effect::{Effect, LinkId};
use hornbeamlead_jobs::ids::{PlannerEpoch, RunName, WorkerIncarnation};
use hornbeamlead_jobs::message::{AgentMessage, AgentStamp, PlannerMessage};
use hornbeamlead_jobs::supervisor::{
    ExpectedWorker, SupervisorEvent, SupervisorMachine, SupervisorPolicy, ThrottlePolicy,
};
use hornbeamlead_jobs::worker::{
    RunningRow, WorkerAnnouncement, WorkerAnswer, WorkerCall, WorkerFacts, WorkerLists,
    WorkerOperation, WorkerReply,
};
use std::net::SocketAddr;
use std::time::Duration;

/// Time between the answers to two holds.
const HOLD_INTERVAL: Duration = Duration::from_millis(300);

fn policy() -> SupervisorPolicy {
    SupervisorPolicy {
        host: "h1".into(),
        address: SocketAddr::from(([10, 0, 0, 1], 7000)),
        lease_span: Duration::from_millis(8500),
        hold_max: Duration::from_secs(6),
        worker: ExpectedWorker::default(),
        throttle: ThrottlePolicy {
            grace_period: Duration::ZERO,
            step: Duration::from_millis(500),
        },
    }
}

/// Incarnation of the worker.
pub(crate) fn incarnation() -> WorkerIncarnation {
    WorkerIncarnation {
        id: "w-1".into(),
        born: 7,
    }
}

/// Supervisor and the calls that it has made.
pub(crate) struct TestAgent {
    supervisor: SupervisorMachine,
    now: MonoTime,
    hold: Option<WorkerCall>,
    /// Calls that wait for an answer, without holds.
    pub(crate) calls: Vec<WorkerCall>,
    /// Messages to the planner.
    pub(crate) messages: Vec<AgentMessage>,
}

impl TestAgent {
    /// Starts a supervisor that has a link to its planner.
    pub(crate) fn new(now: MonoTime) -> Self {
        Self::expecting(now, ExpectedWorker::default())
    }

    /// The same, with what is known of the worker beforehand.
    pub(crate) fn expecting(now: MonoTime, worker: ExpectedWorker) -> Self {
        let policy = SupervisorPolicy { worker, ..policy() };
        let mut agent = Self {
            supervisor: SupervisorMachine::new(policy),
            now,
            hold: None,
            calls: Vec::new(),
            messages: Vec::new(),
        };
        agent.handle(SupervisorEvent::LinkUp(LinkId(1)));
        agent
    }

    /// Hands the supervisor an event.
    pub(crate) fn handle(&mut self, event: SupervisorEvent) {
        for effect in self.supervisor.handle(self.now, event) {
            match effect {
                Effect::Worker(call) if matches!(call.operation, WorkerOperation::Hold { .. }) => {
                    self.hold = Some(call);
                }
                Effect::Worker(call) => self.calls.push(call),
                Effect::ToPlanner { message, .. } => self.messages.push(message),
                _ => {}
            }
        }
    }

    /// Passes a message of the planner.
    pub(crate) fn tell(&mut self, message: PlannerMessage) {
        self.handle(SupervisorEvent::Planner(message));
    }

    /// Passes a grant for a report of now, with the given stamp.
    pub(crate) fn grant(&mut self, stamp: Option<AgentStamp>) {
        self.tell(PlannerMessage::Grant {
            epoch: PlannerEpoch(3),
            stamp,
            seen: AgentStamp(self.now.0),
        });
    }

    /// Has the worker announce itself.
    pub(crate) fn announce(&mut self) {
        self.announce_life(incarnation());
    }

    /// Has a life of the worker announce itself.
    pub(crate) fn announce_life(&mut self, incarnation: WorkerIncarnation) {
        let facts = WorkerFacts {
            incarnation,
            cpu: 16_000,
            ..WorkerFacts::default()
        };
        self.handle(SupervisorEvent::Announced(WorkerAnnouncement {
            facts,
            address: SocketAddr::from(([10, 0, 0, 1], 8000)),
            sequence: 1,
        }));
    }

    /// Returns whether the hold in flight renews the lease.
    pub(crate) fn renews(&self) -> bool {
        let hold = self.hold.as_ref().map(|call| &call.operation);
        matches!(
            hold,
            Some(WorkerOperation::Hold {
                lease_until_ms: Some(_),
                ..
            })
        )
    }

    /// Answers a call.
    pub(crate) fn answer(&mut self, call: WorkerCall, answer: WorkerAnswer) {
        self.handle(SupervisorEvent::Replied {
            tag: call.tag,
            incarnation: call.incarnation,
            reply: WorkerReply {
                answer,
                clock_ms: Some(self.now.0 / 1000),
                sent: self.now,
            },
        });
    }

    /// Leaves the hold in flight without an answer. Returns the number that it acknowledges.
    pub(crate) fn lose_hold(&mut self) -> u64 {
        self.now = self.now.plus(HOLD_INTERVAL);
        if self.hold.is_none() {
            self.handle(SupervisorEvent::Tick);
        }
        let call = self.hold.take().expect("a hold is in flight");
        let WorkerOperation::Hold { acknowledged, .. } = call.operation else {
            panic!("the call is a hold");
        };
        self.answer(call, WorkerAnswer::Unanswered);
        acknowledged
    }

    /// Lets time pass.
    pub(crate) fn wait(&mut self, span: Duration) {
        self.now = self.now.plus(span);
        self.handle(SupervisorEvent::Tick);
    }

    /// Answers the hold in flight some time later with a list of running attempts.
    pub(crate) fn answer_hold(&mut self, running: &[RunningRow]) {
        self.answer_lists(WorkerLists {
            running: running.to_vec(),
            ..WorkerLists::default()
        });
    }

    /// Answers the hold in flight some time later.
    pub(crate) fn answer_lists(&mut self, lists: WorkerLists) {
        self.now = self.now.plus(HOLD_INTERVAL);
        if self.hold.is_none() {
            self.handle(SupervisorEvent::Tick);
        }
        let call = self.hold.take().expect("a hold is in flight");
        self.answer(call, WorkerAnswer::Lists(lists));
    }

    /// Returns the stamp of a report of now.
    pub(crate) fn stamp(&self) -> AgentStamp {
        AgentStamp(self.now.0)
    }

    /// Answers all throttling calls and returns them.
    pub(crate) fn answer_throttling(&mut self, answer: &WorkerAnswer) -> Vec<(RunName, u8)> {
        let mut shares = Vec::new();
        for call in std::mem::take(&mut self.calls) {
            match call.operation {
                WorkerOperation::Throttle { run, percent } => {
                    shares.push((run, percent));
                    self.answer(call, answer.clone());
                }
                _ => self.calls.push(call),
            }
        }
        shares
    }
}
