//! The endpoint that the gate guards, as it announced itself.

use super::{GateTurn, RequestGate};
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::counter::RefusalReason;
use hornbeamlead_core::effect::AgentEffect;
use hornbeamlead_core::event::EndpointAnnounce;
use std::time::Duration;

/// Silence after which an endpoint counts as gone.
const ENDPOINT_SILENCE: Duration = Duration::from_millis(2500);

/// Endpoint with its last announcement.
#[derive(Clone, Debug)]
pub(super) struct EndpointRecord {
    /// Last announcement.
    pub(super) announce: EndpointAnnounce,
    /// When silence makes it count as gone.
    pub(super) silent_at: MonoTime,
}

impl EndpointRecord {
    /// Returns the requests that it may hold at once.
    pub(super) fn slots(&self) -> u16 {
        self.announce.slots.min(self.announce.connections)
    }
}

impl RequestGate {
    /// Takes an announcement; one of an earlier life of the endpoint is dropped.
    pub(super) fn take_endpoint(&mut self, turn: &mut GateTurn<'_>, announce: &EndpointAnnounce) {
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
            silent_at: turn.now.mono.plus(ENDPOINT_SILENCE),
        });
    }

    /// Takes the services of a silent endpoint out; its life stays known.
    pub(super) fn drop_silent_endpoint(&mut self, now: MonoTime) {
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        if now >= endpoint.silent_at {
            endpoint.announce.services.clear();
            endpoint.silent_at = MonoTime::MAX;
        }
    }
}
