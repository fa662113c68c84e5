//! HTTP listeners for callers, operators and the endpoint of the host.
//!
//! gotham boxes its handlers; dynamic dispatch stays in this module and does not reach the decision
//! thread.

mod callers;
mod connection;
mod local;
mod operators;
mod reply;
mod server;
mod stream;

pub(crate) mod headers;

pub(crate) use callers::{CallerContext, call_handler};
pub use connection::{ConnectionLimits, ConnectionState, ConnectionTable, ReadWait, RequestGuard};
pub(crate) use local::{LocalContext, local_handler};
pub(crate) use operators::{OperatorContext, operator_handler};
pub(crate) use reply::{end_connection, plain};
pub use server::serve;
