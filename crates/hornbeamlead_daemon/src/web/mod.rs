//! HTTP listeners for callers, operators and the endpoint of the host.
//!
//! gotham boxes its handlers; dynamic dispatch stays in this module and does not reach the decision
//! thread.

mod body;
mod callers;
mod connection;
mod local;
mod operators;
mod places;
mod reply;
mod server;
mod stream;
mod table;

pub(crate) mod headers;

pub use body::{HeldBody, RequestError, read_body};
pub(crate) use callers::{CallerContext, call_handler};
pub(crate) use connection::lock;
pub use connection::{ConnectionLimits, ConnectionState, ReadWait};
pub(crate) use local::{LocalContext, MAX_ANNOUNCE_BYTES, local_handler};
pub(crate) use operators::{OperatorContext, operator_handler};
pub(crate) use reply::{end_connection, plain};
pub use server::serve;
pub use table::{ConnectionTable, RequestGuard};
