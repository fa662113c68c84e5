//! Requests with an idempotency key: a single arbiter ensures that a key runs at most once.
//!
//! Rendezvous hashing assigns each key an agent of its home data centre as the arbiter. The arbiter
//! records the key and grants it to a runner, the agent whose endpoint executes the request.

pub(crate) mod arbiter;
pub(crate) mod history;
pub(crate) mod homes;
pub(crate) mod route;
pub(crate) mod runner;

use hornbeamlead_core::ids::{IdempotencyKey, ServiceName};
use hornbeamlead_core::message::request::CallerRequest;

/// Idempotency key within its service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct KeyName {
    /// Service of the request.
    pub(crate) service: ServiceName,
    /// Key chosen by the caller.
    pub(crate) key: IdempotencyKey,
}

impl KeyName {
    /// Returns the key of a request, if it has one.
    pub(crate) fn of(request: &CallerRequest) -> Option<Self> {
        Some(Self {
            service: request.service.clone(),
            key: request.key.clone()?,
        })
    }
}
