//! Client of the worker of a host.

use crate::worker_clock::WorkerClocks;
use crate::worker_wire::{
    AttemptCall, AttemptWire, COUNTED_FROM_HEADER, REFUSED_SEEN, RefusedAnswer, RenewCall,
    ReportAnswer, StartCall, StopCall, ThrottleCall, WORKER_CLOCK_HEADER,
};
use bytes::Bytes;
use hornbeamlead_adapter::{HttpAnswer, HttpClient, build_request};
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::counter::RefusalReason;
use hornbeamlead_core::event::PLATFORM_TIMEOUT;
use hornbeamlead_core::task::{WorkerAnswer, WorkerCall, WorkerError, WorkerReport};
use http_body_util::Full;
use hyper::header::HeaderValue;
use hyper::{Method, Request, StatusCode};
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::Arc;

/// Largest answer of a worker that is read, in bytes.
pub const MAX_WORKER_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Reads the clock in which the deadlines of calls are given.
type CallClock = Arc<dyn Fn() -> MonoTime + Send + Sync>;

/// Calls workers over HTTP.
#[derive(Clone)]
pub struct WorkerClient {
    http: HttpClient,
    clock: CallClock,
    worker_clocks: WorkerClocks,
}

impl WorkerClient {
    /// Makes a client; `clock` reads the clock in which the deadlines of calls are given.
    #[must_use]
    pub fn new(clock: impl Fn() -> MonoTime + Send + Sync + 'static) -> Self {
        Self {
            http: HttpClient::new(PLATFORM_TIMEOUT),
            clock: Arc::new(clock),
            worker_clocks: WorkerClocks::default(),
        }
    }

    /// Calls the worker at `address`; deadlines become the spans left at `now`.
    ///
    /// The worker is asked for its clock first where that is not known yet.
    ///
    /// # Errors
    /// Returns [`WorkerError::Refused`] only where it is proven that the call had no effect: the
    /// worker said so, or a start was too late to be sent. Everything else is
    /// [`WorkerError::NoAnswer`], also a start refused because the attempt was seen before: the
    /// earlier copy may run.
    pub async fn call(
        &self,
        address: SocketAddr,
        call: &WorkerCall,
        now: MonoTime,
    ) -> Result<WorkerAnswer, WorkerError> {
        if has_deadline(call) && self.worker_clocks.passed_at(address, now).is_none() {
            self.exchange(address, &WorkerCall::Report, now).await?;
        }
        check_start_time(call, now)?;
        let answer = self.exchange(address, call, now).await?;
        match answer.status {
            StatusCode::OK if *call == WorkerCall::Report => read_report(&answer),
            StatusCode::OK | StatusCode::NO_CONTENT => Ok(WorkerAnswer::Done),
            StatusCode::CONFLICT => Err(read_refusal(&answer)),
            _ => Err(WorkerError::NoAnswer),
        }
    }

    /// Sends one call and remembers the worker's clock from the answer.
    async fn exchange(
        &self,
        address: SocketAddr,
        call: &WorkerCall,
        now: MonoTime,
    ) -> Result<HttpAnswer, WorkerError> {
        let mut request = word_call(address, call, now).ok_or(WorkerError::NoAnswer)?;
        if let Some(passed_us) = self.worker_clocks.passed_at(address, now) {
            let value = HeaderValue::from(passed_us);
            request.headers_mut().insert(COUNTED_FROM_HEADER, value);
        }
        let exchange = self
            .http
            .exchange(request, MAX_WORKER_ANSWER_BYTES, PLATFORM_TIMEOUT);
        let answer = exchange.await.map_err(|_| WorkerError::NoAnswer)?;
        if let Some(worker_us) = read_clock(&answer) {
            let received = (self.clock)();
            self.worker_clocks.note(address, worker_us, received);
        }
        Ok(answer)
    }
}

/// Returns whether spans of the call are counted by the worker's clock.
fn has_deadline(call: &WorkerCall) -> bool {
    matches!(call, WorkerCall::Start { .. } | WorkerCall::Renew { .. })
}

fn read_clock(answer: &HttpAnswer) -> Option<u64> {
    let value = answer.headers.get(WORKER_CLOCK_HEADER)?;
    value.to_str().ok()?.parse().ok()
}

/// Refuses a start whose last moment has come before a byte is sent.
fn check_start_time(call: &WorkerCall, now: MonoTime) -> Result<(), WorkerError> {
    match call {
        WorkerCall::Start { start_by, .. } if now >= *start_by => Err(WorkerError::Refused {
            reason: RefusalReason::StartTooLate.as_str().into(),
        }),
        _ => Ok(()),
    }
}

fn word_call(
    address: SocketAddr,
    call: &WorkerCall,
    now: MonoTime,
) -> Option<Request<Full<Bytes>>> {
    match call {
        WorkerCall::Start {
            order,
            lease_until,
            start_by,
        } => {
            let body = StartCall::new(order, *lease_until, *start_by, now);
            post(address, "start", &body)
        }
        WorkerCall::Renew {
            attempts,
            lease_until,
        } => post(
            address,
            "renew",
            &RenewCall::new(attempts, *lease_until, now),
        ),
        WorkerCall::Checkpoint { attempt } => {
            let attempt = AttemptWire::from(attempt);
            post(address, "checkpoint", &AttemptCall { attempt })
        }
        WorkerCall::Throttle {
            attempt,
            speed_percent,
        } => {
            let body = ThrottleCall {
                attempt: AttemptWire::from(attempt),
                speed_percent: *speed_percent,
            };
            post(address, "throttle", &body)
        }
        WorkerCall::Stop {
            attempt,
            checkpoint,
        } => {
            let body = StopCall {
                attempt: AttemptWire::from(attempt),
                checkpoint: *checkpoint,
            };
            post(address, "stop", &body)
        }
        WorkerCall::Forget { attempt } => {
            let attempt = AttemptWire::from(attempt);
            post(address, "forget", &AttemptCall { attempt })
        }
        WorkerCall::Report => {
            let uri = format!("http://{address}/tasks").parse().ok()?;
            Some(build_request(
                Method::GET,
                uri,
                "application/json",
                Bytes::new(),
            ))
        }
    }
}

fn post<T: Serialize>(address: SocketAddr, verb: &str, body: &T) -> Option<Request<Full<Bytes>>> {
    let uri = format!("http://{address}/tasks/{verb}").parse().ok()?;
    let body = serde_json::to_vec(body).ok()?;
    Some(build_request(
        Method::POST,
        uri,
        "application/json",
        body.into(),
    ))
}

fn read_report(answer: &HttpAnswer) -> Result<WorkerAnswer, WorkerError> {
    let wire: ReportAnswer =
        serde_json::from_slice(&answer.body).map_err(|_| WorkerError::NoAnswer)?;
    let report = WorkerReport::try_from(wire).map_err(|_| WorkerError::NoAnswer)?;
    Ok(WorkerAnswer::Report(report))
}

fn read_refusal(answer: &HttpAnswer) -> WorkerError {
    match serde_json::from_slice::<RefusedAnswer>(&answer.body) {
        Ok(body) if &*body.refused == REFUSED_SEEN => WorkerError::NoAnswer,
        Ok(body) => WorkerError::Refused {
            reason: body.refused,
        },
        Err(_) => WorkerError::NoAnswer,
    }
}
