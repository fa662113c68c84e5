//! Check of announcements: an agent takes only those of its own worker.

use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::counter::RefusalReason;
use hornbeamlead_core::event::EndpointAnnounce;
use std::net::SocketAddr;
use std::time::Duration;

/// Time without an announcement after which a worker at another address may take over.
const SILENCE_LIMIT: Duration = Duration::from_millis(2500);

/// Announcement that was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RefusedAnnounce {
    pub(crate) reason: RefusalReason,
    /// Address of the agent's own worker.
    pub(crate) own: SocketAddr,
    /// Whether no other announcement has been refused since the last one from this address.
    pub(crate) repeated: bool,
}

/// Worker whose announcements are taken.
#[derive(Debug)]
pub(crate) struct WorkerGuard {
    /// Address of the worker according to the settings.
    configured: Option<SocketAddr>,
    known: Option<EndpointAnnounce>,
    /// Time at which the known worker counts as silent.
    silent_at: MonoTime,
    last_refused: Option<SocketAddr>,
}

impl WorkerGuard {
    pub(crate) fn new(configured: Option<SocketAddr>) -> Self {
        Self {
            configured,
            known: None,
            silent_at: MonoTime(0),
            last_refused: None,
        }
    }

    /// Takes an announcement, or returns why it is not from the agent's own worker.
    pub(crate) fn check(
        &mut self,
        now: MonoTime,
        announce: &EndpointAnnounce,
    ) -> Result<(), RefusedAnnounce> {
        let address = announce.worker_address;
        let refusal = match (self.configured, &self.known) {
            (Some(own), _) if own != address => Some((RefusalReason::ForeignWorker, own)),
            (_, Some(known)) if announce.incarnation < known.incarnation => {
                Some((RefusalReason::Fenced, known.worker_address))
            }
            (None, Some(known)) if known.worker_address != address && now < self.silent_at => {
                Some((RefusalReason::ForeignWorker, known.worker_address))
            }
            _ => None,
        };
        if let Some((reason, own)) = refusal {
            let repeated = self.last_refused.replace(address) == Some(address);
            return Err(RefusedAnnounce {
                reason,
                own,
                repeated,
            });
        }
        self.known = Some(announce.clone());
        self.silent_at = now.plus(SILENCE_LIMIT);
        Ok(())
    }
}
