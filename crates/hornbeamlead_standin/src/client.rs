//! HTTP client of the stand-ins and of tests.

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

/// Request to send.
#[derive(Clone, Debug)]
pub struct TestRequest {
    /// Method.
    pub method: Method,
    /// Address of the server.
    pub address: SocketAddr,
    /// Path with its query.
    pub path: String,
    /// Headers by name and value.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
    /// Time allowed to the whole exchange.
    pub timeout: Duration,
}

impl TestRequest {
    /// Makes a GET request.
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

    /// Makes a POST request.
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

    /// Sets the time allowed.
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

/// Whole answer.
#[derive(Clone, Debug)]
pub struct TestAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

impl TestAnswer {
    /// Returns a header's value.
    #[must_use]
    pub fn header(&self, name: &HeaderName) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Reads the body as JSON; `Null` when it is none.
    #[must_use]
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the body as text.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Why no whole answer came.
#[derive(Debug, Snafu)]
pub enum TestError {
    /// The request could not be worded.
    #[snafu(display("malformed request: {source}"))]
    Malformed {
        /// Cause.
        source: hyper::http::Error,
    },
    /// No connection could be opened.
    #[snafu(display("no connection: {source}"))]
    Unreachable {
        /// Cause.
        source: hyper_util::client::legacy::Error,
    },
    /// The exchange broke off before the answer began.
    #[snafu(display("broken off: {source}"))]
    Broken {
        /// Cause.
        source: hyper_util::client::legacy::Error,
    },
    /// The answer was cut off.
    #[snafu(display("answer cut off: {source}"))]
    CutOff {
        /// Cause.
        source: hyper::Error,
    },
    /// The time allowed is over.
    #[snafu(display("no answer in time"))]
    Timeout,
}

impl TestError {
    /// Returns whether no connection was there, so that nothing can have arrived.
    #[must_use]
    pub fn is_unreachable(&self) -> bool {
        matches!(self, Self::Unreachable { .. })
    }
}

/// Client with a pool of connections.
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
    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    /// Returns [`TestError`] when no whole answer came in time.
    pub async fn send(&self, request: &TestRequest) -> Result<TestAnswer, TestError> {
        let exchange = self.exchange(request.build()?);
        let result = tokio::time::timeout(request.timeout, exchange).await;
        result.unwrap_or(Err(TestError::Timeout))
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<TestAnswer, TestError> {
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(source) if source.is_connect() => return Err(TestError::Unreachable { source }),
            Err(source) => return Err(TestError::Broken { source }),
        };
        let (head, body) = response.into_parts();
        let body = body.collect().await.context(CutOffSnafu)?;
        Ok(TestAnswer {
            status: head.status,
            headers: head.headers,
            body: body.to_bytes(),
        })
    }
}

/// Sends one request from a thread without a runtime.
///
/// # Errors
/// Returns [`TestError`] when no whole answer came in time.
///
/// # Panics
/// Panics when no runtime can be made.
pub fn send_blocking(request: &TestRequest) -> Result<TestAnswer, TestError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.expect("a runtime can be made");
    runtime.block_on(TestClient::default().send(request))
}
