//! Client of the workers of hosts.

use crate::worker_clock::WorkerClocks;
use crate::worker_wire::{
    ALREADY_SEEN_REASON, AttemptCall, AttemptWire, COUNTED_FROM_HEADER, RefusedAnswer, RenewCall,
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

/// Maximum answer that is read from a worker, in bytes.
pub const MAX_WORKER_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Reads the clock against which the deadlines of calls are measured.
type CallClock = Arc<dyn Fn() -> MonoTime + Send + Sync>;

/// Calls workers over HTTP.
#[derive(Clone)]
pub struct WorkerClient {
    http: HttpClient,
    clock: CallClock,
    worker_clocks: WorkerClocks,
}

impl WorkerClient {
    /// Creates a client; `clock` reads the clock against which the deadlines of calls are measured.
    #[must_use]
    pub fn new(clock: impl Fn() -> MonoTime + Send + Sync + 'static) -> Self {
        Self {
            http: HttpClient::new(PLATFORM_TIMEOUT),
            clock: Arc::new(clock),
            worker_clocks: WorkerClocks::default(),
        }
    }

    /// Calls the worker at `address`; deadlines are sent as the time left at `now`.
    ///
    /// A call with a deadline is preceded by a report if the worker's clock is not known yet.
    ///
    /// # Errors
    /// Returns [`WorkerError::Refused`] only if the call certainly had no effect: the worker
    /// refused it, or the deadline of a start had passed before it was sent. All other failures are
    /// [`WorkerError::NoAnswer`]. So is a start refused as a duplicate, since the attempt may be
    /// running from an earlier start.
    pub async fn call(
        &self,
        address: SocketAddr,
        call: &WorkerCall,
        now: MonoTime,
    ) -> Result<WorkerAnswer, WorkerError> {
        if has_deadline(call) && self.worker_clocks.lower_bound_at(address, now).is_none() {
            let report = WorkerCall::Report { number: 0 };
            self.exchange(address, &report, now).await?;
        }
        check_start_deadline(call, now)?;
        let answer = self.exchange(address, call, now).await?;
        match answer.status {
            StatusCode::OK if matches!(call, WorkerCall::Report { .. }) => read_report(&answer),
            StatusCode::OK | StatusCode::NO_CONTENT => Ok(WorkerAnswer::Done),
            StatusCode::CONFLICT => Err(read_refusal(&answer)),
            _ => Err(WorkerError::NoAnswer),
        }
    }

    /// Sends one call and records the worker's clock from the answer.
    async fn exchange(
        &self,
        address: SocketAddr,
        call: &WorkerCall,
        now: MonoTime,
    ) -> Result<HttpAnswer, WorkerError> {
        let mut request = encode_call(address, call, now).ok_or(WorkerError::NoAnswer)?;
        if let Some(lower_bound_us) = self.worker_clocks.lower_bound_at(address, now) {
            let value = HeaderValue::from(lower_bound_us);
            request.headers_mut().insert(COUNTED_FROM_HEADER, value);
        }
        let exchange = self
            .http
            .exchange(request, MAX_WORKER_ANSWER_BYTES, PLATFORM_TIMEOUT);
        let answer = exchange.await.map_err(|_| WorkerError::NoAnswer)?;
        if let Some(worker_us) = read_clock(&answer) {
            let received = (self.clock)();
            self.worker_clocks.record(address, worker_us, received);
        }
        Ok(answer)
    }
}

/// Returns whether the call carries durations that the worker measures by its clock.
fn has_deadline(call: &WorkerCall) -> bool {
    matches!(call, WorkerCall::Start { .. } | WorkerCall::Renew { .. })
}

fn read_clock(answer: &HttpAnswer) -> Option<u64> {
    let value = answer.headers.get(WORKER_CLOCK_HEADER)?;
    value.to_str().ok()?.parse().ok()
}

/// Refuses a start whose deadline has passed, before anything is sent.
fn check_start_deadline(call: &WorkerCall, now: MonoTime) -> Result<(), WorkerError> {
    match call {
        WorkerCall::Start { start_by, .. } if now >= *start_by => Err(WorkerError::Refused {
            reason: RefusalReason::StartTooLate.as_str().into(),
        }),
        _ => Ok(()),
    }
}

fn encode_call(
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
        WorkerCall::Report { .. } => {
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
        Ok(body) if &*body.refused == ALREADY_SEEN_REASON => WorkerError::NoAnswer,
        Ok(body) => WorkerError::Refused {
            reason: body.refused,
        },
        Err(_) => WorkerError::NoAnswer,
    }
}
