//! HTTP client for the stand-ins and for tests.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::time::Duration;

/// Request sent by [`TestClient`].
#[derive(Clone, Debug)]
pub struct TestRequest {
    /// HTTP method.
    pub method: Method,
    /// Address of the server.
    pub address: SocketAddr,
    /// Path and query.
    pub path: String,
    /// Names and values of the headers; the content type is JSON unless it is among them.
    pub headers: Vec<(String, String)>,
    /// Request body.
    pub body: Bytes,
    /// Timeout of the whole exchange, including the response body.
    pub timeout: Duration,
}

impl TestRequest {
    /// Creates a GET request with a timeout of 5 s.
    #[must_use]
    pub fn get(address: SocketAddr, path: &str) -> Self {
        Self {
            method: Method::GET,
            address,
            path: path.to_owned(),
            headers: Vec::new(),
            body: Bytes::new(),
            timeout: Duration::from_secs(5),
        }
    }

    /// Creates a POST request with a timeout of 5 s.
    #[must_use]
    pub fn post(address: SocketAddr, path: &str, body: impl Into<Bytes>) -> Self {
        Self {
            method: Method::POST,
            body: body.into(),
            ..Self::get(address, path)
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sets the timeout of the whole exchange.
    #[must_use]
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    fn build(&self) -> Result<Request<Full<Bytes>>, TestError> {
        let uri = format!("http://{}{}", self.address, self.path);
        let mut request = Request::builder().method(self.method.clone()).uri(uri);
        for (name, value) in &self.headers {
            request = request.header(name, value);
        }
        let mut request = request
            .body(Full::new(self.body.clone()))
            .context(MalformedSnafu)?;
        let json = HeaderValue::from_static("application/json");
        request.headers_mut().entry(CONTENT_TYPE).or_insert(json);
        Ok(request)
    }
}

/// Complete response.
#[derive(Clone, Debug)]
pub struct TestAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl TestAnswer {
    /// Returns the value of a header, if it is present and valid text.
    #[must_use]
    pub fn header(&self, name: &HeaderName) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Parses the body as JSON; `Null` if it is not valid.
    #[must_use]
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the body as text; invalid UTF-8 is replaced.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Error of an exchange that did not yield a complete response.
#[derive(Debug, Snafu)]
pub enum TestError {
    /// The request has an invalid path or header.
    #[snafu(display("malformed request: {source}"))]
    Malformed {
        /// Cause.
        source: hyper::http::Error,
    },
    /// No connection could be opened, so that the request was not sent.
    #[snafu(display("connection failed: {source}"))]
    Unreachable {
        /// Cause.
        source: hyper_util::client::legacy::Error,
    },
    /// The connection ended before the response head was received.
    #[snafu(display("connection ended before the response: {source}"))]
    Disconnected {
        /// Cause.
        source: hyper_util::client::legacy::Error,
    },
    /// The connection ended within the response body.
    #[snafu(display("response body truncated: {source}"))]
    Truncated {
        /// Cause.
        source: hyper::Error,
    },
    /// No complete response was received within the timeout.
    #[snafu(display("request timed out"))]
    Timeout,
}

impl TestError {
    /// Returns whether no connection could be opened, so that the request had no effect.
    #[must_use]
    pub fn is_unreachable(&self) -> bool {
        matches!(self, Self::Unreachable { .. })
    }
}

/// HTTP client with a connection pool.
#[derive(Clone, Debug)]
pub struct TestClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for TestClient {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
        }
    }
}

impl TestClient {
    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    /// Returns [`TestError`] if no complete response was received in time.
    pub async fn send(&self, request: &TestRequest) -> Result<TestAnswer, TestError> {
        let exchange = self.exchange(request.build()?);
        let result = tokio::time::timeout(request.timeout, exchange).await;
        result.unwrap_or(Err(TestError::Timeout))
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<TestAnswer, TestError> {
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(source) if source.is_connect() => return Err(TestError::Unreachable { source }),
            Err(source) => return Err(TestError::Disconnected { source }),
        };
        let (head, body) = response.into_parts();
        let body = body.collect().await.context(TruncatedSnafu)?;
        Ok(TestAnswer {
            status: head.status,
            headers: head.headers,
            body: body.to_bytes(),
        })
    }
}

/// Sends one request from a thread outside of any async runtime.
///
/// # Errors
/// Returns [`TestError`] if no complete response was received in time.
///
/// # Panics
/// Panics if no runtime can be created.
pub fn send_blocking(request: &TestRequest) -> Result<TestAnswer, TestError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.expect("the runtime can be created");
    runtime.block_on(TestClient::default().send(request))
}
