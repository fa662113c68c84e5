//! Wire types of forwarded requests, their replies and queries about idempotency keys.

use crate::announce::WireCellView;
use crate::convert::{
    from_wire, from_wire_option, micros, parse_key, parse_name, parse_names, text, to_wire,
};
use crate::error::WireError;
use bytes::Bytes;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::counter::RefusalReason;
use hornbeamlead_core::ids::{Incarnation, RequestId};
use hornbeamlead_core::message::request::{
    CallerRequest, EndpointAnswer, ForwardedRequest, HeaderField, KeyAnswer, KeyGrant, KeyQuery,
    KeyState, LoadSample, RequestOutcome, RequestReply, RequestSafety,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Wire type of [`RequestId`].
#[derive(Serialize, Deserialize)]
pub(crate) struct WireRequestId {
    entry: Box<str>,
    incarnation: u64,
    counter: u64,
}

impl From<&RequestId> for WireRequestId {
    fn from(id: &RequestId) -> Self {
        Self {
            entry: text(&id.entry),
            incarnation: id.incarnation.0,
            counter: id.counter,
        }
    }
}

impl TryFrom<WireRequestId> for RequestId {
    type Error = WireError;

    fn try_from(wire: WireRequestId) -> Result<Self, WireError> {
        Ok(Self {
            entry: parse_name(&wire.entry)?,
            incarnation: Incarnation(wire.incarnation),
            counter: wire.counter,
        })
    }
}

/// Wire type of [`HeaderField`].
#[derive(Serialize, Deserialize)]
struct WireHeaderField {
    name: Box<str>,
    value: Box<str>,
}

impl From<&HeaderField> for WireHeaderField {
    fn from(field: &HeaderField) -> Self {
        Self {
            name: field.name.clone(),
            value: field.value.clone(),
        }
    }
}

impl From<WireHeaderField> for HeaderField {
    fn from(wire: WireHeaderField) -> Self {
        Self {
            name: wire.name,
            value: wire.value,
        }
    }
}

fn headers(fields: Vec<WireHeaderField>) -> Vec<HeaderField> {
    fields.into_iter().map(HeaderField::from).collect()
}

/// Wire type of [`CallerRequest`].
#[derive(Serialize, Deserialize)]
struct WireCallerRequest {
    service: Box<str>,
    method: Box<str>,
    path: Box<str>,
    headers: Vec<WireHeaderField>,
    body: Bytes,
    idempotent: bool,
    key: Option<Box<str>>,
}

impl From<&CallerRequest> for WireCallerRequest {
    fn from(request: &CallerRequest) -> Self {
        Self {
            service: text(&request.service),
            method: request.method.clone(),
            path: request.path.clone(),
            headers: to_wire(&request.headers),
            body: request.body.clone(),
            idempotent: request.safety == RequestSafety::Idempotent,
            key: request.key.as_ref().map(|key| key.as_str().into()),
        }
    }
}

impl TryFrom<WireCallerRequest> for CallerRequest {
    type Error = WireError;

    fn try_from(wire: WireCallerRequest) -> Result<Self, WireError> {
        let safety = match wire.idempotent {
            true => RequestSafety::Idempotent,
            false => RequestSafety::NonIdempotent,
        };
        Ok(Self {
            service: parse_name(&wire.service)?,
            method: wire.method,
            path: wire.path,
            headers: headers(wire.headers),
            body: wire.body,
            safety,
            key: wire.key.as_deref().map(parse_key).transpose()?,
        })
    }
}

/// Wire type of [`KeyGrant`].
#[derive(Serialize, Deserialize)]
struct WireKeyGrant {
    arbiter: Box<str>,
    view: u64,
}

impl From<&KeyGrant> for WireKeyGrant {
    fn from(grant: &KeyGrant) -> Self {
        Self {
            arbiter: text(&grant.arbiter),
            view: grant.view,
        }
    }
}

impl TryFrom<WireKeyGrant> for KeyGrant {
    type Error = WireError;

    fn try_from(wire: WireKeyGrant) -> Result<Self, WireError> {
        Ok(Self {
            arbiter: parse_name(&wire.arbiter)?,
            view: wire.view,
        })
    }
}

/// Wire type of [`ForwardedRequest`]; carries the time remaining in place of the deadline, because
/// the clocks of sender and receiver are unrelated.
#[derive(Serialize, Deserialize)]
pub(crate) struct WireForwardedRequest {
    id: WireRequestId,
    request: WireCallerRequest,
    remaining_us: u64,
    granted: Option<WireKeyGrant>,
}

impl WireForwardedRequest {
    /// Converts a request; its deadline becomes the time remaining at `now`.
    pub(crate) fn new(request: &ForwardedRequest, now: MonoTime) -> Self {
        Self {
            id: (&request.id).into(),
            request: (&request.request).into(),
            remaining_us: micros(request.deadline.since(now)),
            granted: request.granted.as_ref().map(WireKeyGrant::from),
        }
    }

    /// Converts back to a request, with the deadline counted from `now`.
    pub(crate) fn resolve(self, now: MonoTime) -> Result<ForwardedRequest, WireError> {
        Ok(ForwardedRequest {
            id: self.id.try_into()?,
            request: self.request.try_into()?,
            deadline: now.plus(Duration::from_micros(self.remaining_us)),
            granted: from_wire_option(self.granted)?,
        })
    }
}

/// Wire type of [`EndpointAnswer`].
#[derive(Serialize, Deserialize)]
struct WireEndpointAnswer {
    status: u16,
    headers: Vec<WireHeaderField>,
    body: Bytes,
}

impl From<&EndpointAnswer> for WireEndpointAnswer {
    fn from(answer: &EndpointAnswer) -> Self {
        Self {
            status: answer.status,
            headers: to_wire(&answer.headers),
            body: answer.body.clone(),
        }
    }
}

impl From<WireEndpointAnswer> for EndpointAnswer {
    fn from(wire: WireEndpointAnswer) -> Self {
        Self {
            status: wire.status,
            headers: headers(wire.headers),
            body: wire.body,
        }
    }
}

fn reason(number: u8) -> Result<RefusalReason, WireError> {
    RefusalReason::from_number(number).ok_or(WireError::BadField { field: "reason" })
}

/// Wire type of [`RequestOutcome`].
#[derive(Serialize, Deserialize)]
enum WireRequestOutcome {
    Answered(WireEndpointAnswer),
    NotRun { reason: u8, retry_after_us: u64 },
    Unknown { reason: u8 },
}

impl From<&RequestOutcome> for WireRequestOutcome {
    fn from(outcome: &RequestOutcome) -> Self {
        match outcome {
            RequestOutcome::Answered(answer) => Self::Answered(answer.into()),
            RequestOutcome::NotRun {
                reason,
                retry_after,
            } => Self::NotRun {
                reason: reason.number(),
                retry_after_us: micros(*retry_after),
            },
            RequestOutcome::Unknown { reason } => Self::Unknown {
                reason: reason.number(),
            },
        }
    }
}

impl TryFrom<WireRequestOutcome> for RequestOutcome {
    type Error = WireError;

    fn try_from(wire: WireRequestOutcome) -> Result<Self, WireError> {
        Ok(match wire {
            WireRequestOutcome::Answered(answer) => Self::Answered(answer.into()),
            WireRequestOutcome::NotRun {
                reason: number,
                retry_after_us,
            } => Self::NotRun {
                reason: reason(number)?,
                retry_after: Duration::from_micros(retry_after_us),
            },
            WireRequestOutcome::Unknown { reason: number } => Self::Unknown {
                reason: reason(number)?,
            },
        })
    }
}

/// Wire type of [`LoadSample`].
#[derive(Serialize, Deserialize)]
pub(crate) struct WireLoadSample {
    in_flight: u16,
    queued: u16,
    slots: u16,
    service_time_us: u32,
    leaving: bool,
}

impl From<&LoadSample> for WireLoadSample {
    fn from(load: &LoadSample) -> Self {
        Self {
            in_flight: load.in_flight,
            queued: load.queued,
            slots: load.slots,
            service_time_us: load.service_time_us,
            leaving: load.leaving,
        }
    }
}

impl From<WireLoadSample> for LoadSample {
    fn from(wire: WireLoadSample) -> Self {
        Self {
            in_flight: wire.in_flight,
            queued: wire.queued,
            slots: wire.slots,
            service_time_us: wire.service_time_us,
            leaving: wire.leaving,
        }
    }
}

/// Wire type of [`RequestReply`].
#[derive(Serialize, Deserialize)]
pub(crate) struct WireRequestReply {
    id: WireRequestId,
    outcome: WireRequestOutcome,
    load: WireLoadSample,
}

impl From<&RequestReply> for WireRequestReply {
    fn from(reply: &RequestReply) -> Self {
        Self {
            id: (&reply.id).into(),
            outcome: (&reply.outcome).into(),
            load: (&reply.load).into(),
        }
    }
}

impl TryFrom<WireRequestReply> for RequestReply {
    type Error = WireError;

    fn try_from(wire: WireRequestReply) -> Result<Self, WireError> {
        Ok(Self {
            id: wire.id.try_into()?,
            outcome: wire.outcome.try_into()?,
            load: wire.load.into(),
        })
    }
}

/// Wire type of [`KeyQuery`].
#[derive(Serialize, Deserialize)]
pub(crate) struct WireKeyQuery {
    query: u64,
    arbiter: Box<str>,
    incarnation: u64,
    service: Box<str>,
    key: Box<str>,
    view: u64,
}

impl From<&KeyQuery> for WireKeyQuery {
    fn from(query: &KeyQuery) -> Self {
        Self {
            query: query.query,
            arbiter: text(&query.arbiter),
            incarnation: query.incarnation.0,
            service: text(&query.service),
            key: query.key.as_str().into(),
            view: query.view,
        }
    }
}

impl TryFrom<WireKeyQuery> for KeyQuery {
    type Error = WireError;

    fn try_from(wire: WireKeyQuery) -> Result<Self, WireError> {
        Ok(Self {
            query: wire.query,
            arbiter: parse_name(&wire.arbiter)?,
            incarnation: Incarnation(wire.incarnation),
            service: parse_name(&wire.service)?,
            key: parse_key(&wire.key)?,
            view: wire.view,
        })
    }
}

/// Wire type of [`KeyState`].
#[derive(Serialize, Deserialize)]
enum WireKeyState {
    Absent,
    Running,
    Answered(WireEndpointAnswer),
    Unknown,
}

impl From<&KeyState> for WireKeyState {
    fn from(key_state: &KeyState) -> Self {
        match key_state {
            KeyState::Absent => Self::Absent,
            KeyState::Running => Self::Running,
            KeyState::Answered(answer) => Self::Answered(answer.into()),
            KeyState::Unknown => Self::Unknown,
        }
    }
}

impl From<WireKeyState> for KeyState {
    fn from(wire: WireKeyState) -> Self {
        match wire {
            WireKeyState::Absent => Self::Absent,
            WireKeyState::Running => Self::Running,
            WireKeyState::Answered(answer) => Self::Answered(answer.into()),
            WireKeyState::Unknown => Self::Unknown,
        }
    }
}

/// Wire type of [`KeyAnswer`].
#[derive(Serialize, Deserialize)]
pub(crate) struct WireKeyAnswer {
    query: u64,
    host: Box<str>,
    incarnation: u64,
    key_state: WireKeyState,
    /// `None` stands for [`Duration::MAX`].
    observed_us: Option<u64>,
    past: Vec<WireCellView>,
    homes: Vec<Vec<Box<str>>>,
}

impl From<&KeyAnswer> for WireKeyAnswer {
    fn from(answer: &KeyAnswer) -> Self {
        Self {
            query: answer.query,
            host: text(&answer.host),
            incarnation: answer.incarnation.0,
            key_state: (&answer.key_state).into(),
            observed_us: (answer.observed_for != Duration::MAX)
                .then(|| micros(answer.observed_for)),
            past: to_wire(&answer.past),
            homes: answer
                .homes
                .iter()
                .map(|centres| centres.iter().map(text).collect())
                .collect(),
        }
    }
}

impl TryFrom<WireKeyAnswer> for KeyAnswer {
    type Error = WireError;

    fn try_from(wire: WireKeyAnswer) -> Result<Self, WireError> {
        Ok(Self {
            query: wire.query,
            host: parse_name(&wire.host)?,
            incarnation: Incarnation(wire.incarnation),
            key_state: wire.key_state.into(),
            observed_for: wire
                .observed_us
                .map_or(Duration::MAX, Duration::from_micros),
            past: from_wire(wire.past)?,
            homes: wire
                .homes
                .iter()
                .map(|centres| parse_names(centres))
                .collect::<Result<_, _>>()?,
        })
    }
}
