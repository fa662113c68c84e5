//! Questions to the processes' listeners for operators.

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

/// Time after which a process counts as silent.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// JSON that stands for what a process does not know.
const ABSENT: &[u8] = b"null";

/// Processes asked at the same time.
const PARALLEL_QUESTIONS: usize = 64;

/// Asks processes over their listeners for operators.
#[derive(Clone, Debug)]
pub(crate) struct OperatorsClient {
    http: Client<HttpConnector, Empty<Bytes>>,
    patience: Duration,
}

impl OperatorsClient {
    /// Makes a client.
    pub(crate) fn new() -> Self {
        Self::with_patience(ANSWER_TIMEOUT)
    }

    /// Makes a client for which a process counts as silent after `patience`.
    pub(crate) fn with_patience(patience: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(patience));
        Self {
            http: Client::builder(TokioExecutor::new()).build(connector),
            patience,
        }
    }

    /// Asks one process; `None` without a sound answer in time.
    ///
    /// What the process does not know reads as `null`.
    pub(crate) async fn ask<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Option<T> {
        let uri: Uri = format!("http://{address}{path}").parse().ok()?;
        let answer = tokio::time::timeout(self.patience, self.fetch(uri)).await;
        let body = answer.ok().flatten()?;
        serde_json::from_slice(&body).ok()
    }

    /// Asks all processes the same, a bounded number at a time; answers come in any order.
    pub(crate) async fn ask_all<T>(
        &self,
        addresses: impl IntoIterator<Item = SocketAddr>,
        path: &str,
    ) -> Vec<(SocketAddr, Option<T>)>
    where
        T: DeserializeOwned + Send + 'static,
    {
        let mut answers = Vec::new();
        let mut questions = JoinSet::new();
        for address in addresses {
            if questions.len() >= PARALLEL_QUESTIONS {
                answers.extend(questions.join_next().await.and_then(Result::ok));
            }
            let (client, path) = (self.clone(), path.to_owned());
            questions.spawn(async move { (address, client.ask(address, &path).await) });
        }
        while let Some(answer) = questions.join_next().await {
            answers.extend(answer.ok());
        }
        answers
    }

    async fn fetch(&self, uri: Uri) -> Option<Bytes> {
        let response = self.http.get(uri).await.ok()?;
        match response.status() {
            StatusCode::NOT_FOUND => return Some(Bytes::from_static(ABSENT)),
            status if !status.is_success() => return None,
            _ => {}
        }
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
        Some(body.collect().await.ok()?.to_bytes())
    }
}

/// Encodes a text for the query of a URI.
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
