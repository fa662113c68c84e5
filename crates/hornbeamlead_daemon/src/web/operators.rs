//! Operators' listener: status, explanations and results of notes.

use super::reply;
use super::table::ConnectionTable;
use crate::decision::{InboxItem, OperatorAnswer, OperatorQuery};
use crate::ring::RingSender;
use bytes::Bytes;
use futures_util::FutureExt;
use gotham::handler::HandlerFuture;
use gotham::helpers::http::Body;
use gotham::state::{FromState, State};
use hornbeamlead_core::event::StatusQuery;
use hornbeamlead_core::ids::NoteId;
use hyper::{Method, Response, StatusCode, Uri};
use std::pin::Pin;
use std::sync::Arc;
use tokio::sync::oneshot;

/// State shared by the operators' handlers.
pub(crate) struct OperatorContext<I> {
    /// Sender to the decision thread.
    pub(crate) inbox: RingSender<InboxItem<I>>,
    pub(crate) table: Arc<ConnectionTable>,
}

/// Handles one request on the operators' listener.
pub(crate) fn operator_handler<I: Send + 'static>(
    context: Arc<OperatorContext<I>>,
    state: State,
) -> Pin<Box<HandlerFuture>> {
    async move {
        let guard = context.table.begin_call(&state);
        let mut response = match parse_query(&state) {
            Ok(query) => context.answer(query).await,
            Err(status) => reply::plain(status, Bytes::new()),
        };
        if context.table.is_stopping() {
            reply::end_connection(&mut response);
        }
        drop(guard);
        Ok((state, response))
    }
    .boxed()
}

impl<I> OperatorContext<I> {
    async fn answer(&self, query: StatusQuery) -> Response<Body> {
        let (sender, receiver) = oneshot::channel();
        let query = OperatorQuery {
            query,
            answer: sender,
        };
        let offered = self.inbox.offer(InboxItem::Query(query));
        let answer = match offered {
            Ok(()) => receiver.await.ok(),
            Err(_) => None,
        };
        match answer {
            Some(OperatorAnswer::Note(None)) => reply::plain(StatusCode::NOT_FOUND, Bytes::new()),
            Some(answer) => reply::json(StatusCode::OK, &answer),
            None => reply::plain(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
        }
    }
}

fn parse_query(state: &State) -> Result<StatusQuery, StatusCode> {
    if *Method::borrow_from(state) != Method::GET {
        return Err(StatusCode::METHOD_NOT_ALLOWED);
    }
    let uri = Uri::borrow_from(state);
    match uri.path() {
        "/status" => Ok(StatusQuery::Fleet),
        "/explain" => parse_subject(uri).map(StatusQuery::Explain),
        path => match path.strip_prefix("/note/") {
            Some(name) => NoteId::new(name)
                .map(StatusQuery::Note)
                .map_err(|_| StatusCode::BAD_REQUEST),
            None => Err(StatusCode::NOT_FOUND),
        },
    }
}

/// Returns the percent-decoded value of `?subject=`.
fn parse_subject(uri: &Uri) -> Result<Box<str>, StatusCode> {
    let query = uri.query().unwrap_or_default();
    let subject = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("subject="));
    let subject = subject.ok_or(StatusCode::BAD_REQUEST)?;
    percent_decode(subject).ok_or(StatusCode::BAD_REQUEST)
}

fn percent_decode(text: &str) -> Option<Box<str>> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let (byte, after) = match (first, tail) {
            (b'%', [high, low, after @ ..]) => (hex_byte(*high, *low)?, after),
            (b'%', _) => return None,
            (b'+', after) => (b' ', after),
            (plain, after) => (*plain, after),
        };
        bytes.push(byte);
        rest = after;
    }
    String::from_utf8(bytes).ok().map(Into::into)
}

fn hex_byte(high: u8, low: u8) -> Option<u8> {
    let high = char::from(high).to_digit(16)?;
    let low = char::from(low).to_digit(16)?;
    u8::try_from(high * 16 + low).ok()
}
