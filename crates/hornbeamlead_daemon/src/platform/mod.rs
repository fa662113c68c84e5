//! Platform threads: one each for the log, the worker and the endpoint.
//!
//! A slow log never delays a call to the worker, and neither delays a request.

mod endpoint;
mod lanes;
mod log;
mod notes;
mod worker;

pub(crate) use endpoint::{ENDPOINT_RING_CAPACITY, EndpointCommand, EndpointLoop};
pub(crate) use log::{AppendResult, LOG_RING_CAPACITY, LogCommand, LogLoop};
pub(crate) use notes::decode_note_record;
pub(crate) use worker::{WORKER_RING_CAPACITY, WorkerCommand, WorkerLoop};
