//! Store thread: makes calls side by side and delivers their outcomes.

use super::metrics::FleetMetrics;
use crate::clock::BootClock;
use crate::ring::RingSender;
use hornbeamlead_adapter::StoreClient;
use hornbeamlead_jobs::store::{StoreAsk, StoreCall, StoreCaller, StoreOutcome};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc;

/// Calls that wait for the store thread.
pub(super) const STORE_RING: usize = 1024;

/// Outcome of a call, for the decisions.
#[derive(Clone, Debug)]
pub(super) struct StoreResult {
    /// Who asked.
    pub(super) caller: StoreCaller,
    /// Outcome.
    pub(super) outcome: StoreOutcome,
}

/// Store thread.
pub(super) struct StoreDuty<T> {
    pub(super) address: SocketAddr,
    pub(super) calls: mpsc::Receiver<StoreCall>,
    pub(super) inbox: RingSender<T>,
    pub(super) metrics: FleetMetrics,
}

impl<T: From<StoreResult> + 'static> StoreDuty<T> {
    /// Makes calls until the decisions end.
    pub(super) async fn run(mut self) {
        let client = Rc::new(StoreClient::new(self.address));
        let local = tokio::task::LocalSet::new();
        local
            .run_until(async move {
                while let Some(call) = self.calls.recv().await {
                    let client = Rc::clone(&client);
                    let inbox = self.inbox.clone();
                    let metrics = self.metrics.clone();
                    tokio::task::spawn_local(async move {
                        let outcome = timed_call(&client, &metrics, &call).await;
                        let caller = call.caller;
                        // Fails only once the decisions have ended.
                        let _ = inbox.deliver(StoreResult { caller, outcome }.into());
                    });
                }
            })
            .await;
    }
}

async fn timed_call(
    client: &StoreClient,
    metrics: &FleetMetrics,
    call: &StoreCall,
) -> StoreOutcome {
    let sent = BootClock.mono();
    let outcome = client.call(sent, call).await;
    let name = match call.ask {
        StoreAsk::Append { .. } => "store_append",
        StoreAsk::Read { .. } => "store_read",
        StoreAsk::Newest { .. } => "store_newest",
    };
    metrics.time(name, BootClock.mono().since(sent));
    metrics.count(match outcome {
        StoreOutcome::Refused { .. } => "store_refused",
        StoreOutcome::Unanswered { .. } => "store_unanswered",
        StoreOutcome::Fenced | StoreOutcome::Moved { .. } => "store_condition_failed",
        StoreOutcome::Expired { .. } => "store_expired",
        _ => "store_answered",
    });
    outcome
}
