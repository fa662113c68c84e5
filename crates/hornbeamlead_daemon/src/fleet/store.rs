//! Store thread: makes calls concurrently and delivers their outcomes.

use super::metrics::FleetMetrics;
use super::relay::relay_call;
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

/// Maximum number of commands queued for the store thread.
pub(super) const STORE_COMMAND_CAPACITY: usize = 1024;

/// Command to the store thread.
#[derive(Clone, Debug)]
pub(super) enum StoreCommand {
    Call(StoreCall),
    /// Register a host that can relay calls.
    AddRelay(SocketAddr),
}

/// Outcome of a call, for the event loop.
#[derive(Clone, Debug)]
pub(super) struct StoreResult {
    pub(super) caller: StoreCaller,
    pub(super) outcome: StoreOutcome,
}

pub(super) struct StoreThread<T> {
    pub(super) address: SocketAddr,
    pub(super) commands: mpsc::Receiver<StoreCommand>,
    pub(super) inbox: RingSender<T>,
    pub(super) metrics: FleetMetrics,
    pub(super) log: Logger,
}

impl<T: From<StoreResult> + 'static> StoreThread<T> {
    /// Makes calls until the event loop has ended.
    pub(super) async fn run(mut self) {
        let router = Rc::new(StoreRouter {
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
                            router.route.borrow_mut().add_relay(address);
                            continue;
                        }
                    };
                    let router = Rc::clone(&router);
                    let inbox = self.inbox.clone();
                    tokio::task::spawn_local(async move {
                        let outcome = router.call(&call).await;
                        let caller = call.caller;
                        // Lost if the event loop has ended or its ring stays full.
                        let _ = inbox.deliver(StoreResult { caller, outcome }.into());
                    });
                }
            })
            .await;
    }
}

/// Sends calls to the store, directly or through another host.
struct StoreRouter {
    client: StoreClient,
    route: RefCell<RelayRoute>,
    metrics: FleetMetrics,
    log: Logger,
}

impl StoreRouter {
    /// Makes a call on the current route. A direct call that the store refuses is repeated at once
    /// through a relay, if one is available.
    async fn call(&self, call: &StoreCall) -> StoreOutcome {
        let route = self
            .route
            .borrow_mut()
            .choose(BootClock.mono(), &call.operation);
        let outcome = self.call_on(route, call).await;
        let relay = self.route.borrow().relay(BootClock.mono());
        match (route, &outcome, relay) {
            (StoreRoute::Direct, StoreOutcome::Refused { .. }, Some(relay)) => {
                self.call_on(StoreRoute::Relay(relay), call).await
            }
            _ => outcome,
        }
    }

    async fn call_on(&self, route: StoreRoute, call: &StoreCall) -> StoreOutcome {
        let outcome = match route {
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
            .record_outcome(now, route, &outcome)
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
    metrics.observe_call(name, BootClock.mono().since(sent));
    metrics.count(match outcome {
        StoreOutcome::Refused { .. } => "store_refused",
        StoreOutcome::Unanswered { .. } => "store_unanswered",
        StoreOutcome::Fenced | StoreOutcome::Moved { .. } => "store_condition_failed",
        StoreOutcome::Expired { .. } => "store_expired",
        _ => "store_answered",
    });
    outcome
}
