//! Platform threads: one each for the log, the worker and the endpoint.
//!
//! Separate threads keep a slow log from delaying worker calls, and either from delaying requests.

mod endpoint;
mod lanes;
mod log;
mod notes;
mod worker;

pub(crate) use endpoint::{ENDPOINT_RING_CAPACITY, EndpointCommand, EndpointLoop};
pub(crate) use log::{AppendResult, LOG_RING_CAPACITY, LogCommand, LogLoop};
pub(crate) use notes::decode_note_record;
pub(crate) use worker::{WORKER_RING_CAPACITY, WorkerCommand, WorkerLoop};
