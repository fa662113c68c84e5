//! Worker thread: calls the worker of the host.

use super::agent::AgentInput;
use super::metrics::FleetMetrics;
use crate::clock::BootClock;
use crate::ring::RingSender;
use hornbeamlead_adapter::WorkerClient;
use hornbeamlead_jobs::keeper::SupervisorEvent;
use hornbeamlead_jobs::worker::{WorkerCall, WorkerOperation};
use std::rc::Rc;
use tokio::sync::{Semaphore, mpsc};

/// Calls that wait for the worker thread.
pub(super) const WORKER_RING: usize = 1024;

/// Orders under way at a time; a worker takes 64 connections.
const MAX_ORDERS: usize = 16;

/// Worker thread.
pub(super) struct WorkerDuty {
    pub(super) calls: mpsc::Receiver<WorkerCall>,
    pub(super) inbox: RingSender<AgentInput>,
    pub(super) metrics: FleetMetrics,
}

impl WorkerDuty {
    /// Makes calls until the decisions end.
    pub(super) async fn run(mut self) {
        let client = Rc::new(WorkerClient::default());
        let orders = Rc::new(Semaphore::new(MAX_ORDERS));
        let local = tokio::task::LocalSet::new();
        local
            .run_until(async move {
                while let Some(call) = self.calls.recv().await {
                    let client = Rc::clone(&client);
                    let orders = Rc::clone(&orders);
                    let inbox = self.inbox.clone();
                    let metrics = self.metrics.clone();
                    tokio::task::spawn_local(async move {
                        let event = timed_call(&client, &orders, &metrics, call).await;
                        // Fails only once the decisions have ended.
                        let _ = inbox.deliver(AgentInput::Keeper(event));
                    });
                }
            })
            .await;
    }
}

async fn timed_call(
    client: &WorkerClient,
    orders: &Semaphore,
    metrics: &FleetMetrics,
    call: WorkerCall,
) -> SupervisorEvent {
    let is_hold = matches!(call.operation, WorkerOperation::Hold { .. });
    // The semaphore is never closed, so a permit always comes.
    let permit = if is_hold {
        None
    } else {
        orders.acquire().await.ok()
    };
    let sent = BootClock.mono();
    let reply = client.call(sent, &call).await;
    drop(permit);
    let name = match call.operation {
        WorkerOperation::Start { .. } => "worker_start",
        WorkerOperation::Stop { .. } => "worker_stop",
        WorkerOperation::Hold { .. } => "worker_hold",
        WorkerOperation::Throttle { .. } => "worker_pace",
    };
    metrics.time(name, BootClock.mono().since(sent));
    SupervisorEvent::Replied {
        tag: call.tag,
        incarnation: call.incarnation,
        reply,
    }
}
