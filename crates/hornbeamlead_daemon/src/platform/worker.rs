//! Worker thread: calls the worker's task interface, in order for each attempt.

use super::lanes::CallLanes;
use crate::clock::HostClock;
use crate::counters::ProcessCounters;
use crate::decision::InboxItem;
use crate::ring::RingSender;
use hornbeamlead_core::counter::RefusalReason;
use hornbeamlead_core::event::AgentEvent;
use hornbeamlead_core::ids::AttemptId;
use hornbeamlead_core::task::WorkerCall;
use hornbeamlead_platform::worker::WorkerClient;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::mpsc;

/// Maximum number of calls queued for the worker thread.
pub(crate) const WORKER_RING_CAPACITY: usize = 1024;

/// Call to the worker.
#[derive(Debug)]
pub(crate) struct WorkerCommand {
    pub(crate) address: SocketAddr,
    pub(crate) call: WorkerCall,
}

/// Key of calls that are made strictly in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum WorkerLane {
    /// Calls about one attempt.
    Attempt(AttemptId),
    Renewals,
    Reports,
}

/// I/O loop of the worker thread.
pub(crate) struct WorkerLoop {
    pub(crate) commands: mpsc::Receiver<WorkerCommand>,
    /// Sender to the decision thread.
    pub(crate) inbox: RingSender<InboxItem<AgentEvent>>,
    pub(crate) counters: Arc<ProcessCounters>,
    pub(crate) clock: HostClock,
}

impl WorkerLoop {
    /// Executes worker calls until the decision thread has terminated.
    pub(crate) async fn run(mut self) {
        let clock = self.clock;
        let executor = WorkerExecutor {
            client: WorkerClient::new(move || clock.mono()),
            inbox: self.inbox.clone(),
            counters: Arc::clone(&self.counters),
            clock,
        };
        let start = |lane, command| executor.clone().perform(lane, command);
        let mut lanes = CallLanes::new(WORKER_RING_CAPACITY);
        loop {
            tokio::select! {
                command = self.commands.recv(), if lanes.has_room() => match command {
                    Some(command) => lanes.add(lane_of(&command.call), command, start),
                    None => return,
                },
                () = lanes.advance(start) => {}
            }
        }
    }
}

fn lane_of(call: &WorkerCall) -> WorkerLane {
    match call {
        WorkerCall::Start { order, .. } => WorkerLane::Attempt(order.attempt.clone()),
        WorkerCall::Checkpoint { attempt }
        | WorkerCall::Throttle { attempt, .. }
        | WorkerCall::Stop { attempt, .. }
        | WorkerCall::Forget { attempt } => WorkerLane::Attempt(attempt.clone()),
        WorkerCall::Renew { .. } => WorkerLane::Renewals,
        WorkerCall::Report { .. } => WorkerLane::Reports,
    }
}

/// Executes a call and delivers its result to the decision thread.
#[derive(Clone)]
struct WorkerExecutor {
    client: WorkerClient,
    inbox: RingSender<InboxItem<AgentEvent>>,
    counters: Arc<ProcessCounters>,
    clock: HostClock,
}

impl WorkerExecutor {
    async fn perform(self, lane: WorkerLane, command: WorkerCommand) -> WorkerLane {
        let now = self.clock.mono();
        let result = self.client.call(command.address, &command.call, now).await;
        let event = AgentEvent::WorkerDone {
            call: command.call,
            result,
        };
        if self.inbox.deliver(InboxItem::Input(event)).is_err() {
            self.counters.refusal(RefusalReason::RingFull);
        }
        lane
    }
}
