//! Reads a caller's complete request and validates it.

use crate::budget::ByteLease;
use crate::clock::HostClock;
use crate::web::{HeldBody, RequestError, RequestGuard, headers, read_body};
use gotham::helpers::http::Body;
use gotham::state::{FromState, State};
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::counter::RefusalReason;
use hornbeamlead_core::ids::{IdempotencyKey, ServiceName};
use hornbeamlead_core::message::request::{CallerRequest, MAX_BODY_BYTES, RequestSafety};
use hyper::header::CONTENT_LENGTH;
use hyper::{HeaderMap, Method, Uri};
use std::time::Duration;
use tokio::time::Instant;

/// Header with the caller's timeout in milliseconds.
const TIMEOUT_HEADER: &str = "request-timeout-ms";

/// Header with the caller's idempotency key.
const KEY_HEADER: &str = "idempotency-key";

/// Maximum time to receive a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Memory of a request besides its body, in multiples of the length of its path and fields.
const FIELDS_FACTOR: usize = 2;

/// Request that was read completely.
pub(super) struct ParsedCall {
    pub(super) request: CallerRequest,
    /// Deadline from the caller's timeout header, if any.
    pub(super) deadline: Option<MonoTime>,
    /// Lease for the memory of the request.
    pub(super) lease: ByteLease,
}

/// Why a request is refused before it reaches the decision thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CallRefusal {
    pub(super) reason: RefusalReason,
    /// Whether the connection must be closed because unread bytes may follow.
    pub(super) ends_connection: bool,
    /// Whether the refusal was counted where it was found.
    pub(super) is_counted: bool,
}

impl From<RefusalReason> for CallRefusal {
    fn from(reason: RefusalReason) -> Self {
        Self {
            reason,
            ends_connection: true,
            is_counted: false,
        }
    }
}

impl From<RequestError> for CallRefusal {
    fn from(error: RequestError) -> Self {
        Self {
            reason: error.into(),
            ends_connection: true,
            is_counted: true,
        }
    }
}

pub(super) async fn read_call(
    state: &mut State,
    guard: &RequestGuard,
    clock: &HostClock,
) -> Result<ParsedCall, CallRefusal> {
    let method = Method::borrow_from(state).clone();
    let uri = Uri::borrow_from(state).clone();
    let header_map = HeaderMap::take_from(state);
    let body = Body::take_from(state);
    let (service, path) = split_path(&uri)?;
    let safety = safety_of(&method)?;
    let timeout = read_timeout(&header_map)?;
    let key = read_key(&header_map)?;
    let fields = headers::request_fields(&header_map).map_err(|_| RefusalReason::BadRequest)?;
    let deadline = timeout.map(|span| clock.mono().plus(span));
    if announced_length(&header_map) > MAX_BODY_BYTES as u64 {
        return Err(RefusalReason::BodyTooLong.into());
    }
    // Both keep the buffer of the head, and the body is still to come.
    drop((header_map, uri));
    let HeldBody { bytes, mut lease } =
        read_body(guard, body, Instant::now() + BODY_TIMEOUT).await?;
    let field_bytes: usize = fields
        .iter()
        .map(|field| field.name.len() + field.value.len())
        .sum();
    let held_bytes = lease.bytes() + FIELDS_FACTOR * (path.len() + field_bytes);
    guard.grow_lease(&mut lease, held_bytes).await?;
    guard.begin_handling()?;
    let request = CallerRequest {
        service,
        method: method.as_str().into(),
        path,
        headers: fields,
        body: bytes.into(),
        safety,
        key,
    };
    Ok(ParsedCall {
        request,
        deadline,
        lease,
    })
}

/// Splits `/{service}/{rest}` and keeps the query with the rest.
fn split_path(uri: &Uri) -> Result<(ServiceName, Box<str>), RefusalReason> {
    let path = uri.path().strip_prefix('/');
    let path = path.ok_or(RefusalReason::BadRequest)?;
    let end = path.find('/').unwrap_or(path.len());
    let (name, rest) = path.split_at(end);
    let service = ServiceName::new(name).map_err(|_| RefusalReason::UnknownService)?;
    let rest = match rest {
        "" => "/",
        rest => rest,
    };
    let path_and_query = match uri.query() {
        Some(query) => format!("{rest}?{query}"),
        None => rest.to_owned(),
    };
    Ok((service, path_and_query.into()))
}

fn safety_of(method: &Method) -> Result<RequestSafety, RefusalReason> {
    match *method {
        Method::CONNECT | Method::TRACE => Err(RefusalReason::BadRequest),
        Method::GET | Method::HEAD | Method::PUT | Method::DELETE | Method::OPTIONS => {
            Ok(RequestSafety::Idempotent)
        }
        _ => Ok(RequestSafety::NonIdempotent),
    }
}

/// Returns the value of a header; a header that occurs more than once is malformed.
fn only_value<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, RefusalReason> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        (Some(value), None) => value
            .to_str()
            .map(Some)
            .map_err(|_| RefusalReason::BadRequest),
        (Some(_), Some(_)) => Err(RefusalReason::BadRequest),
    }
}

fn read_timeout(headers: &HeaderMap) -> Result<Option<Duration>, RefusalReason> {
    let Some(text) = only_value(headers, TIMEOUT_HEADER)? else {
        return Ok(None);
    };
    match text.trim().parse::<u64>() {
        Ok(0) | Err(_) => Err(RefusalReason::BadRequest),
        Ok(millis) => Ok(Some(Duration::from_millis(millis))),
    }
}

fn read_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, RefusalReason> {
    match only_value(headers, KEY_HEADER)? {
        None => Ok(None),
        Some(text) => IdempotencyKey::new(text)
            .map(Some)
            .ok_or(RefusalReason::BadRequest),
    }
}

/// Returns the `Content-Length`; the HTTP library has already checked that it is a number.
fn announced_length(headers: &HeaderMap) -> u64 {
    headers
        .get(CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
}
