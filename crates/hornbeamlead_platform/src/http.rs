//! One HTTP exchange with a timeout and a bounded answer.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::header::{CONTENT_TYPE, HeaderMap};
use hyper::{Method, Request, StatusCode, Uri};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::time::Duration;

/// Time after which an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Unused connections kept for one address.
const IDLE_CONNECTIONS: usize = 8;

/// Whole answer to an exchange.
#[derive(Debug)]
pub(crate) struct HttpAnswer {
    /// Status.
    pub(crate) status: StatusCode,
    /// Headers.
    pub(crate) headers: HeaderMap,
    /// Whole body.
    pub(crate) body: Bytes,
}

/// Why an exchange brought no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HttpFault {
    /// No whole answer came in time.
    NoAnswer,
    /// The answer is longer than allowed.
    AnswerTooLong,
}

/// Client with a pool of connections.
#[derive(Clone, Debug)]
pub(crate) struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// Makes a client whose connections are opened within `timeout`.
    pub(crate) fn new(timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeout));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(IDLE_CONNECTIONS)
            .build(connector);
        Self { client }
    }

    /// Sends a request and reads the whole answer of at most `max_bytes` within `timeout`.
    pub(crate) async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        max_bytes: usize,
        timeout: Duration,
    ) -> Result<HttpAnswer, HttpFault> {
        let answer = tokio::time::timeout(timeout, self.unbounded_exchange(request, max_bytes));
        answer.await.unwrap_or(Err(HttpFault::NoAnswer))
    }

    async fn unbounded_exchange(
        &self,
        request: Request<Full<Bytes>>,
        max_bytes: usize,
    ) -> Result<HttpAnswer, HttpFault> {
        let response = self.client.request(request).await;
        let (head, body) = response.map_err(|_| HttpFault::NoAnswer)?.into_parts();
        let body = Limited::new(body, max_bytes).collect().await;
        let body = body.map_err(|error| match error.is::<LengthLimitError>() {
            true => HttpFault::AnswerTooLong,
            false => HttpFault::NoAnswer,
        })?;
        Ok(HttpAnswer {
            status: head.status,
            headers: head.headers,
            body: body.to_bytes(),
        })
    }
}

/// Makes a request; the type of its content is that of `content_type`.
pub(crate) fn build_request(
    method: Method,
    uri: Uri,
    content_type: &'static str,
    body: Bytes,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = uri;
    let value = hyper::header::HeaderValue::from_static(content_type);
    request.headers_mut().insert(CONTENT_TYPE, value);
    request
}
