//! Endpoint of the agent, as announced by itself.

use super::{GateTurn, RequestGate};
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::counter::RefusalReason;
use hornbeamlead_core::effect::AgentEffect;
use hornbeamlead_core::event::EndpointAnnounce;
use std::time::Duration;

/// Time without an announcement after which the endpoint is considered gone.
const ENDPOINT_TIMEOUT: Duration = Duration::from_millis(2500);

/// Endpoint with its newest announcement.
#[derive(Clone, Debug)]
pub(super) struct EndpointRecord {
    pub(super) announce: EndpointAnnounce,
    /// Time at which the endpoint is considered gone; `MonoTime::MAX` once it is.
    pub(super) expires_at: MonoTime,
}

impl EndpointRecord {
    /// Returns the number of requests that the endpoint can hold at once.
    pub(super) fn slots(&self) -> u16 {
        self.announce.slots.min(self.announce.connections)
    }
}

impl RequestGate {
    /// Applies an announcement, unless it is from an earlier incarnation of the endpoint.
    pub(super) fn handle_endpoint_announce(
        &mut self,
        turn: &mut GateTurn<'_>,
        announce: &EndpointAnnounce,
    ) {
        let known = self
            .endpoint
            .as_ref()
            .map(|endpoint| endpoint.announce.incarnation);
        if known.is_some_and(|incarnation| announce.incarnation < incarnation) {
            turn.push(AgentEffect::CountRefusal(RefusalReason::Fenced));
            return;
        }
        self.endpoint = Some(EndpointRecord {
            announce: announce.clone(),
            expires_at: turn.now.mono.plus(ENDPOINT_TIMEOUT),
        });
    }

    /// Removes the services of an endpoint that is gone; its incarnation stays known as a fence.
    pub(super) fn expire_endpoint(&mut self, now: MonoTime) {
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        if now >= endpoint.expires_at {
            endpoint.announce.services.clear();
            endpoint.expires_at = MonoTime::MAX;
        }
    }
}
