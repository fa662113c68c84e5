//! Worker thread: sends calls to the worker on the same host and delivers the replies.

use super::agent::AgentInput;
use super::metrics::FleetMetrics;
use crate::clock::BootClock;
use crate::ring::RingSender;
use hornbeamlead_adapter::WorkerClient;
use hornbeamlead_jobs::supervisor::SupervisorEvent;
use hornbeamlead_jobs::worker::{WorkerCall, WorkerOperation};
use std::rc::Rc;
use tokio::sync::{Semaphore, mpsc};

/// Maximum number of calls queued for the worker thread.
pub(super) const WORKER_CALL_CAPACITY: usize = 1024;

/// Maximum concurrent start, stop and throttle calls; a worker accepts 64 connections. Holds, which
/// renew the lease and poll, are not counted and never wait for a permit.
const MAX_CONCURRENT_COMMANDS: usize = 16;

pub(super) struct WorkerThread {
    pub(super) calls: mpsc::Receiver<WorkerCall>,
    pub(super) inbox: RingSender<AgentInput>,
    pub(super) metrics: FleetMetrics,
}

impl WorkerThread {
    /// Makes calls until the event loop has ended.
    pub(super) async fn run(mut self) {
        let client = Rc::new(WorkerClient::default());
        let permits = Rc::new(Semaphore::new(MAX_CONCURRENT_COMMANDS));
        let local = tokio::task::LocalSet::new();
        local
            .run_until(async move {
                while let Some(call) = self.calls.recv().await {
                    let client = Rc::clone(&client);
                    let permits = Rc::clone(&permits);
                    let inbox = self.inbox.clone();
                    let metrics = self.metrics.clone();
                    tokio::task::spawn_local(async move {
                        let event = timed_call(&client, &permits, &metrics, call).await;
                        // Lost if the event loop has ended or its ring stays full.
                        let _ = inbox.deliver(AgentInput::Supervisor(event));
                    });
                }
            })
            .await;
    }
}

async fn timed_call(
    client: &WorkerClient,
    permits: &Semaphore,
    metrics: &FleetMetrics,
    call: WorkerCall,
) -> SupervisorEvent {
    let is_hold = matches!(call.operation, WorkerOperation::Hold { .. });
    // The semaphore is never closed, so `acquire` does not fail.
    let permit = if is_hold {
        None
    } else {
        permits.acquire().await.ok()
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
    metrics.observe_call(name, BootClock.mono().since(sent));
    SupervisorEvent::Replied {
        tag: call.tag,
        incarnation: call.incarnation,
        reply,
    }
}
