//! Store thread: makes calls side by side and delivers their outcomes.

use super::links::relay_call;
use super::metrics::FleetMetrics;
use crate::clock::BootClock;
use crate::ring::RingSender;
use hornbeamlead_adapter::StoreClient;
use hornbeamlead_jobs::relay::{RelayRoute, StoreRoute};
use hornbeamlead_jobs::store::{StoreCall, StoreCaller, StoreOperation, StoreOutcome};
use slog::{Logger, info};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc;

/// Calls that wait for the store thread.
pub(super) const STORE_RING: usize = 1024;

/// Command to the store thread.
#[derive(Clone, Debug)]
pub(super) enum StoreCommand {
    /// Make a call.
    Call(StoreCall),
    /// Remember a host through which calls can go.
    AddRelay(SocketAddr),
}

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
    pub(super) commands: mpsc::Receiver<StoreCommand>,
    pub(super) inbox: RingSender<T>,
    pub(super) metrics: FleetMetrics,
    pub(super) log: Logger,
}

impl<T: From<StoreResult> + 'static> StoreDuty<T> {
    /// Makes calls until the decisions end.
    pub(super) async fn run(mut self) {
        let desk = Rc::new(StoreDesk {
            client: StoreClient::new(self.address),
            route: RefCell::default(),
            metrics: self.metrics.clone(),
            log: self.log.clone(),
        });
        let local = tokio::task::LocalSet::new();
        local
            .run_until(async move {
                while let Some(command) = self.commands.recv().await {
                    let call = match command {
                        StoreCommand::Call(call) => call,
                        StoreCommand::AddRelay(address) => {
                            desk.route.borrow_mut().add_relay(address);
                            continue;
                        }
                    };
                    let desk = Rc::clone(&desk);
                    let inbox = self.inbox.clone();
                    tokio::task::spawn_local(async move {
                        let outcome = desk.call(&call).await;
                        let caller = call.caller;
                        // Fails only once the decisions have ended.
                        let _ = inbox.deliver(StoreResult { caller, outcome }.into());
                    });
                }
            })
            .await;
    }
}

/// What the calls of a process share.
struct StoreDesk {
    client: StoreClient,
    route: RefCell<RelayRoute>,
    metrics: FleetMetrics,
    log: Logger,
}

impl StoreDesk {
    /// Makes a call on the way that is open; one that the store refuses to this host goes on
    /// through another at once.
    async fn call(&self, call: &StoreCall) -> StoreOutcome {
        let way = self
            .route
            .borrow_mut()
            .choose(BootClock.mono(), &call.operation);
        let outcome = self.call_on(way, call).await;
        let relay = self.route.borrow().relay(BootClock.mono());
        match (way, &outcome, relay) {
            (StoreRoute::Direct, StoreOutcome::Refused { .. }, Some(relay)) => {
                self.call_on(StoreRoute::Relay(relay), call).await
            }
            _ => outcome,
        }
    }

    async fn call_on(&self, way: StoreRoute, call: &StoreCall) -> StoreOutcome {
        let outcome = match way {
            StoreRoute::Direct => timed_call(&self.client, &self.metrics, call).await,
            StoreRoute::Relay(address) => {
                self.metrics.count("store_relayed");
                relay_call(address, BootClock.mono(), call).await
            }
        };
        let now = BootClock.mono();
        if self
            .route
            .borrow_mut()
            .record_outcome(now, way, &outcome)
            .is_some()
        {
            let detail = match &outcome {
                StoreOutcome::Refused { cause } | StoreOutcome::Unanswered { cause } => {
                    format!("direct=false cause={cause:?}")
                }
                _ => "direct=true".to_owned(),
            };
            info!(self.log, ""; "event" => "store_way", "id" => "store", "detail" => detail);
        }
        outcome
    }
}

async fn timed_call(
    client: &StoreClient,
    metrics: &FleetMetrics,
    call: &StoreCall,
) -> StoreOutcome {
    let sent = BootClock.mono();
    let outcome = client.call(sent, call).await;
    let name = match call.operation {
        StoreOperation::Append { .. } => "store_append",
        StoreOperation::Read { .. } => "store_read",
        StoreOperation::Newest { .. } => "store_newest",
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
