//! HTTP client for the processes' operator listeners.

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::{StatusCode, Uri};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;

/// Default timeout of a request.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Body substituted for a 404 response.
const NOT_FOUND_BODY: &[u8] = b"null";

/// Maximum number of concurrent requests.
const MAX_PARALLEL_REQUESTS: usize = 64;

/// Queries processes through their operator listeners.
#[derive(Clone, Debug)]
pub(crate) struct OperatorClient {
    http: Client<HttpConnector, Empty<Bytes>>,
    timeout: Duration,
}

impl OperatorClient {
    /// Creates a client with the default timeout.
    pub(crate) fn new() -> Self {
        Self::with_timeout(RESPONSE_TIMEOUT)
    }

    /// Creates a client with a timeout for connecting and for the whole request.
    pub(crate) fn with_timeout(timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeout));
        Self {
            http: Client::builder(TokioExecutor::new()).build(connector),
            timeout,
        }
    }

    /// Fetches a JSON document from one process; `None` on an error, a time-out or invalid JSON.
    ///
    /// A 404 response reads as `null`.
    pub(crate) async fn get_json<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Option<T> {
        let uri: Uri = format!("http://{address}{path}").parse().ok()?;
        let response = tokio::time::timeout(self.timeout, self.fetch(uri)).await;
        let body = response.ok().flatten()?;
        serde_json::from_slice(&body).ok()
    }

    /// Fetches the same path from all processes with bounded concurrency; the order of the
    /// results is unspecified.
    pub(crate) async fn get_json_from_all<T>(
        &self,
        addresses: impl IntoIterator<Item = SocketAddr>,
        path: &str,
    ) -> Vec<(SocketAddr, Option<T>)>
    where
        T: DeserializeOwned + Send + 'static,
    {
        let mut responses = Vec::new();
        let mut requests = JoinSet::new();
        for address in addresses {
            if requests.len() >= MAX_PARALLEL_REQUESTS {
                responses.extend(requests.join_next().await.and_then(Result::ok));
            }
            let (client, path) = (self.clone(), path.to_owned());
            requests.spawn(async move { (address, client.get_json(address, &path).await) });
        }
        while let Some(response) = requests.join_next().await {
            responses.extend(response.ok());
        }
        responses
    }

    async fn fetch(&self, uri: Uri) -> Option<Bytes> {
        let response = self.http.get(uri).await.ok()?;
        match response.status() {
            StatusCode::NOT_FOUND => return Some(Bytes::from_static(NOT_FOUND_BODY)),
            status if !status.is_success() => return None,
            _ => {}
        }
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
        Some(body.collect().await.ok()?.to_bytes())
    }
}

/// Percent-encodes a text for the query of a URI.
pub(crate) fn encode_query(text: &str) -> String {
    let mut encoded = String::new();
    for byte in text.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' => {
                encoded.push(char::from(byte));
            }
            _ => encoded.push_str(&format!("%{byte:02X}")),
        }
    }
    encoded
}
