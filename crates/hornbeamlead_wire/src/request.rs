//! Forms of requests, replies and what is known of keys.

use crate::announce::ViewForm;
use crate::convert::{forms, key, micros, name, names, optional, text, values};
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

/// Form of [`RequestId`].
#[derive(Serialize, Deserialize)]
pub(crate) struct IdForm {
    entry: Box<str>,
    incarnation: u64,
    counter: u64,
}

impl From<&RequestId> for IdForm {
    fn from(id: &RequestId) -> Self {
        Self {
            entry: text(&id.entry),
            incarnation: id.incarnation.0,
            counter: id.counter,
        }
    }
}

impl TryFrom<IdForm> for RequestId {
    type Error = WireError;

    fn try_from(form: IdForm) -> Result<Self, WireError> {
        Ok(Self {
            entry: name(&form.entry)?,
            incarnation: Incarnation(form.incarnation),
            counter: form.counter,
        })
    }
}

/// Form of [`HeaderField`].
#[derive(Serialize, Deserialize)]
struct HeaderForm {
    name: Box<str>,
    value: Box<str>,
}

impl From<&HeaderField> for HeaderForm {
    fn from(field: &HeaderField) -> Self {
        Self {
            name: field.name.clone(),
            value: field.value.clone(),
        }
    }
}

impl From<HeaderForm> for HeaderField {
    fn from(form: HeaderForm) -> Self {
        Self {
            name: form.name,
            value: form.value,
        }
    }
}

fn headers(forms: Vec<HeaderForm>) -> Vec<HeaderField> {
    forms.into_iter().map(HeaderField::from).collect()
}

/// Form of [`CallerRequest`].
#[derive(Serialize, Deserialize)]
struct CallerForm {
    service: Box<str>,
    method: Box<str>,
    path: Box<str>,
    headers: Vec<HeaderForm>,
    body: Bytes,
    idempotent: bool,
    key: Option<Box<str>>,
}

impl From<&CallerRequest> for CallerForm {
    fn from(request: &CallerRequest) -> Self {
        Self {
            service: text(&request.service),
            method: request.method.clone(),
            path: request.path.clone(),
            headers: forms(&request.headers),
            body: request.body.clone(),
            idempotent: request.safety == RequestSafety::Idempotent,
            key: request.key.as_ref().map(|key| key.as_str().into()),
        }
    }
}

impl TryFrom<CallerForm> for CallerRequest {
    type Error = WireError;

    fn try_from(form: CallerForm) -> Result<Self, WireError> {
        let safety = match form.idempotent {
            true => RequestSafety::Idempotent,
            false => RequestSafety::NonIdempotent,
        };
        Ok(Self {
            service: name(&form.service)?,
            method: form.method,
            path: form.path,
            headers: headers(form.headers),
            body: form.body,
            safety,
            key: form.key.as_deref().map(key).transpose()?,
        })
    }
}

/// Form of [`KeyGrant`].
#[derive(Serialize, Deserialize)]
struct GrantForm {
    arbiter: Box<str>,
    view: u64,
}

impl From<&KeyGrant> for GrantForm {
    fn from(grant: &KeyGrant) -> Self {
        Self {
            arbiter: text(&grant.arbiter),
            view: grant.view,
        }
    }
}

impl TryFrom<GrantForm> for KeyGrant {
    type Error = WireError;

    fn try_from(form: GrantForm) -> Result<Self, WireError> {
        Ok(Self {
            arbiter: name(&form.arbiter)?,
            view: form.view,
        })
    }
}

/// Form of [`ForwardedRequest`]; the deadline is the time left when it is encoded.
#[derive(Serialize, Deserialize)]
pub(crate) struct ForwardForm {
    id: IdForm,
    request: CallerForm,
    left_us: u64,
    granted: Option<GrantForm>,
}

impl ForwardForm {
    /// Converts a request, with the time left at `now`.
    pub(crate) fn new(request: &ForwardedRequest, now: MonoTime) -> Self {
        Self {
            id: (&request.id).into(),
            request: (&request.request).into(),
            left_us: micros(request.deadline.since(now)),
            granted: request.granted.as_ref().map(GrantForm::from),
        }
    }

    /// Converts back, with the deadline counted from `now`.
    pub(crate) fn resolve(self, now: MonoTime) -> Result<ForwardedRequest, WireError> {
        Ok(ForwardedRequest {
            id: self.id.try_into()?,
            request: self.request.try_into()?,
            deadline: now.plus(Duration::from_micros(self.left_us)),
            granted: optional(self.granted)?,
        })
    }
}

/// Form of [`EndpointAnswer`].
#[derive(Serialize, Deserialize)]
struct AnswerForm {
    status: u16,
    headers: Vec<HeaderForm>,
    body: Bytes,
}

impl From<&EndpointAnswer> for AnswerForm {
    fn from(answer: &EndpointAnswer) -> Self {
        Self {
            status: answer.status,
            headers: forms(&answer.headers),
            body: answer.body.clone(),
        }
    }
}

impl From<AnswerForm> for EndpointAnswer {
    fn from(form: AnswerForm) -> Self {
        Self {
            status: form.status,
            headers: headers(form.headers),
            body: form.body,
        }
    }
}

fn reason(number: u8) -> Result<RefusalReason, WireError> {
    RefusalReason::from_number(number).ok_or(WireError::BadField { field: "reason" })
}

/// Form of [`RequestOutcome`].
#[derive(Serialize, Deserialize)]
enum VerdictForm {
    Answered(AnswerForm),
    NotRun { reason: u8, retry_after_us: u64 },
    Unknown { reason: u8 },
}

impl From<&RequestOutcome> for VerdictForm {
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

impl TryFrom<VerdictForm> for RequestOutcome {
    type Error = WireError;

    fn try_from(form: VerdictForm) -> Result<Self, WireError> {
        Ok(match form {
            VerdictForm::Answered(answer) => Self::Answered(answer.into()),
            VerdictForm::NotRun {
                reason: number,
                retry_after_us,
            } => Self::NotRun {
                reason: reason(number)?,
                retry_after: Duration::from_micros(retry_after_us),
            },
            VerdictForm::Unknown { reason: number } => Self::Unknown {
                reason: reason(number)?,
            },
        })
    }
}

/// Form of [`LoadSample`].
#[derive(Serialize, Deserialize)]
pub(crate) struct LoadForm {
    in_flight: u16,
    queued: u16,
    slots: u16,
    service_time_us: u32,
    leaving: bool,
}

impl From<&LoadSample> for LoadForm {
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

impl From<LoadForm> for LoadSample {
    fn from(form: LoadForm) -> Self {
        Self {
            in_flight: form.in_flight,
            queued: form.queued,
            slots: form.slots,
            service_time_us: form.service_time_us,
            leaving: form.leaving,
        }
    }
}

/// Form of [`RequestReply`].
#[derive(Serialize, Deserialize)]
pub(crate) struct ReplyForm {
    id: IdForm,
    outcome: VerdictForm,
    load: LoadForm,
}

impl From<&RequestReply> for ReplyForm {
    fn from(reply: &RequestReply) -> Self {
        Self {
            id: (&reply.id).into(),
            outcome: (&reply.outcome).into(),
            load: (&reply.load).into(),
        }
    }
}

impl TryFrom<ReplyForm> for RequestReply {
    type Error = WireError;

    fn try_from(form: ReplyForm) -> Result<Self, WireError> {
        Ok(Self {
            id: form.id.try_into()?,
            outcome: form.outcome.try_into()?,
            load: form.load.into(),
        })
    }
}

/// Form of [`KeyQuery`].
#[derive(Serialize, Deserialize)]
pub(crate) struct QueryForm {
    query: u64,
    arbiter: Box<str>,
    incarnation: u64,
    service: Box<str>,
    key: Box<str>,
    view: u64,
}

impl From<&KeyQuery> for QueryForm {
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

impl TryFrom<QueryForm> for KeyQuery {
    type Error = WireError;

    fn try_from(form: QueryForm) -> Result<Self, WireError> {
        Ok(Self {
            query: form.query,
            arbiter: name(&form.arbiter)?,
            incarnation: Incarnation(form.incarnation),
            service: name(&form.service)?,
            key: key(&form.key)?,
            view: form.view,
        })
    }
}

/// Form of [`KeyState`].
#[derive(Serialize, Deserialize)]
enum KnowledgeForm {
    Absent,
    Running,
    Answered(AnswerForm),
    Unknown,
}

impl From<&KeyState> for KnowledgeForm {
    fn from(key_state: &KeyState) -> Self {
        match key_state {
            KeyState::Absent => Self::Absent,
            KeyState::Running => Self::Running,
            KeyState::Answered(answer) => Self::Answered(answer.into()),
            KeyState::Unknown => Self::Unknown,
        }
    }
}

impl From<KnowledgeForm> for KeyState {
    fn from(form: KnowledgeForm) -> Self {
        match form {
            KnowledgeForm::Absent => Self::Absent,
            KnowledgeForm::Running => Self::Running,
            KnowledgeForm::Answered(answer) => Self::Answered(answer.into()),
            KnowledgeForm::Unknown => Self::Unknown,
        }
    }
}

/// Form of [`KeyAnswer`].
#[derive(Serialize, Deserialize)]
pub(crate) struct KeyAnswerForm {
    query: u64,
    host: Box<str>,
    incarnation: u64,
    key_state: KnowledgeForm,
    watched_us: Option<u64>,
    past: Vec<ViewForm>,
    homes: Vec<Vec<Box<str>>>,
}

impl From<&KeyAnswer> for KeyAnswerForm {
    fn from(answer: &KeyAnswer) -> Self {
        Self {
            query: answer.query,
            host: text(&answer.host),
            incarnation: answer.incarnation.0,
            key_state: (&answer.key_state).into(),
            watched_us: (answer.observed_for != Duration::MAX).then(|| micros(answer.observed_for)),
            past: forms(&answer.past),
            homes: answer
                .homes
                .iter()
                .map(|centres| centres.iter().map(text).collect())
                .collect(),
        }
    }
}

impl TryFrom<KeyAnswerForm> for KeyAnswer {
    type Error = WireError;

    fn try_from(form: KeyAnswerForm) -> Result<Self, WireError> {
        Ok(Self {
            query: form.query,
            host: name(&form.host)?,
            incarnation: Incarnation(form.incarnation),
            key_state: form.key_state.into(),
            observed_for: form.watched_us.map_or(Duration::MAX, Duration::from_micros),
            past: values(form.past)?,
            homes: form
                .homes
                .iter()
                .map(|centres| names(centres))
                .collect::<Result<_, _>>()?,
        })
    }
}
