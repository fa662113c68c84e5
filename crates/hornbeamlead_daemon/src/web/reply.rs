//! Answers of the system itself.

use bytes::Bytes;
use gotham::helpers::http::Body;
use hornbeamlead_core::counter::RefusalReason;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;
use std::time::Duration;

/// Body of an answer of the system itself.
#[derive(Debug, Serialize)]
pub(crate) struct OutcomeWire {
    /// `not_run` or `unknown`.
    pub(crate) outcome: &'static str,
    /// Reason.
    pub(crate) reason: &'static str,
    /// Request, as it is named in logs and explanations.
    pub(crate) request: Box<str>,
}

/// Makes the answer to a request that did not run.
pub(crate) fn not_run(reason: RefusalReason, after: Duration, request: &str) -> Response<Body> {
    let wire = OutcomeWire {
        outcome: "not_run",
        reason: reason.as_str(),
        request: request.into(),
    };
    let mut response = json(not_run_status(reason), &wire);
    let seconds = after.as_millis().div_ceil(1000).max(1).to_string();
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Makes the answer to a request that may have run.
pub(crate) fn unknown(reason: RefusalReason, request: &str) -> Response<Body> {
    let wire = OutcomeWire {
        outcome: "unknown",
        reason: reason.as_str(),
        request: request.into(),
    };
    json(StatusCode::GATEWAY_TIMEOUT, &wire)
}

/// Makes a JSON answer.
pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let mut response = match serde_json::to_vec(value) {
        Ok(bytes) => plain(status, bytes.into()),
        Err(_) => plain(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()),
    };
    let value = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}

/// Makes an answer of a status and a body.
pub(crate) fn plain(status: StatusCode, body: Bytes) -> Response<Body> {
    let body = Full::new(body).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response
}

/// Has an answer end its connection.
pub(crate) fn end_connection(response: &mut Response<Body>) {
    let value = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, value);
}

fn not_run_status(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::UnknownService => StatusCode::NOT_FOUND,
        RefusalReason::BadRequest => StatusCode::BAD_REQUEST,
        RefusalReason::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
        RefusalReason::FairShare => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::DeadlineUnreachable | RefusalReason::DeadlinePassed => {
            StatusCode::GATEWAY_TIMEOUT
        }
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}
