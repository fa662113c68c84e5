//! Announcements of the endpoint to the agent of its host.

use super::state::WorkerState;
use super::{SharedState, lock};
use crate::client::{TestClient, TestRequest};
use hornbeamlead_platform::announce_wire::AnnounceWire;
use std::net::SocketAddr;
use std::time::Duration;

/// Interval between announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// Announces the endpoint forever; does nothing if the settings name no agent.
pub(crate) async fn run(worker: SocketAddr, endpoint: SocketAddr, state: SharedState) {
    let Some(agent) = lock(&state).settings.agent else {
        return std::future::pending().await;
    };
    let client = TestClient::default();
    let incarnation = lock(&state).clock.now_us();
    loop {
        let announcement = build_announcement(&lock(&state), worker, endpoint, incarnation);
        if let Some(announce) = announcement {
            let body = serde_json::to_vec(&announce).unwrap_or_default();
            let request = TestRequest::post(agent, "/announce", body).timeout(ANNOUNCE_INTERVAL);
            // A lost announcement is replaced by the next one.
            let _ = client.send(&request).await;
        }
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}

fn build_announcement(
    state: &WorkerState,
    worker: SocketAddr,
    endpoint: SocketAddr,
    incarnation: u64,
) -> Option<AnnounceWire> {
    if state.control.frozen || !state.control.announcing {
        return None;
    }
    Some(AnnounceWire {
        incarnation,
        address: endpoint,
        worker_address: worker,
        services: state.settings.services.clone(),
        slots: state.settings.slots,
        connections: state.settings.connections,
        capacity: state.settings.capacity,
        leaving: state.control.leaving,
    })
}
