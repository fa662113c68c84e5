//! Client of the worker of a host.

use crate::http::{HttpAnswer, HttpClient, build_request};
use crate::worker_wire::{
    AttemptCall, AttemptWire, REFUSED_SEEN, RefusedAnswer, RenewCall, ReportAnswer, StartCall,
    StopCall, ThrottleCall,
};
use bytes::Bytes;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::counter::RefusalReason;
use hornbeamlead_core::event::PLATFORM_TIMEOUT;
use hornbeamlead_core::task::{WorkerAnswer, WorkerCall, WorkerFault, WorkerReport};
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use serde::Serialize;
use std::net::SocketAddr;

/// Largest answer of a worker that is read, in bytes.
pub const MAX_WORKER_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Calls workers over HTTP.
#[derive(Clone, Debug)]
pub struct WorkerClient {
    http: HttpClient,
}

impl Default for WorkerClient {
    fn default() -> Self {
        Self {
            http: HttpClient::new(PLATFORM_TIMEOUT),
        }
    }
}

impl WorkerClient {
    /// Calls the worker at `address`; deadlines become the spans left at `now`.
    ///
    /// # Errors
    /// Returns [`WorkerFault::Refused`] only where it is proven that the call had no effect: the
    /// worker said so, or a start was too late to be sent. Everything else is
    /// [`WorkerFault::NoAnswer`], also a start refused because the attempt was seen before: the
    /// earlier copy may run.
    pub async fn call(
        &self,
        address: SocketAddr,
        call: &WorkerCall,
        now: MonoTime,
    ) -> Result<WorkerAnswer, WorkerFault> {
        check_start_time(call, now)?;
        let request = word_call(address, call, now).ok_or(WorkerFault::NoAnswer)?;
        let answer = self
            .http
            .exchange(request, MAX_WORKER_ANSWER_BYTES, PLATFORM_TIMEOUT)
            .await
            .map_err(|_| WorkerFault::NoAnswer)?;
        match answer.status {
            StatusCode::OK if *call == WorkerCall::Report => read_report(&answer),
            StatusCode::OK | StatusCode::NO_CONTENT => Ok(WorkerAnswer::Done),
            StatusCode::CONFLICT => Err(read_refusal(&answer)),
            _ => Err(WorkerFault::NoAnswer),
        }
    }
}

/// Refuses a start whose last moment has come before a byte is sent.
fn check_start_time(call: &WorkerCall, now: MonoTime) -> Result<(), WorkerFault> {
    match call {
        WorkerCall::Start { start_by, .. } if now >= *start_by => Err(WorkerFault::Refused {
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

fn read_report(answer: &HttpAnswer) -> Result<WorkerAnswer, WorkerFault> {
    let wire: ReportAnswer =
        serde_json::from_slice(&answer.body).map_err(|_| WorkerFault::NoAnswer)?;
    let report = WorkerReport::try_from(wire).map_err(|_| WorkerFault::NoAnswer)?;
    Ok(WorkerAnswer::Report(report))
}

fn read_refusal(answer: &HttpAnswer) -> WorkerFault {
    match serde_json::from_slice::<RefusedAnswer>(&answer.body) {
        Ok(body) if &*body.refused == REFUSED_SEEN => WorkerFault::NoAnswer,
        Ok(body) => WorkerFault::Refused {
            reason: body.refused,
        },
        Err(_) => WorkerFault::NoAnswer,
    }
}
