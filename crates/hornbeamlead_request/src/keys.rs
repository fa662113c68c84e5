//! Requests with an idempotency key: one arbiter decides that a key runs once.

pub(crate) mod route;
