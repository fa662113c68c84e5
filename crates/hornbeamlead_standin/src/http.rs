//! Minimal HTTP/1.1 server for the stand-ins.

use crate::body::ReplyBody;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::net::{TcpListener, TcpStream};

/// Response of a stand-in.
pub type HttpReply = Response<ReplyBody>;

/// Request with its complete body.
#[derive(Debug)]
pub struct HttpRequest {
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: Box<str>,
    /// Query; empty if there is none.
    pub query: Box<str>,
    /// Request headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl HttpRequest {
    /// Returns the number in a query parameter, if it is present and valid.
    pub fn query_number(&self, name: &str) -> Option<u64> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .and_then(|(_, value)| value.parse().ok())
    }
}

/// Limit of the open connections of a listener, with counters.
#[derive(Clone, Debug)]
pub struct ConnectionLimit {
    /// Maximum number of open connections.
    pub max: usize,
    /// Current number of open connections.
    pub open: Arc<AtomicUsize>,
    /// Number of connections that were closed because the limit was reached.
    pub refused: Arc<AtomicUsize>,
}

impl ConnectionLimit {
    /// Creates a limit of `max` open connections.
    pub fn new(max: usize) -> Self {
        Self {
            max,
            open: Arc::default(),
            refused: Arc::default(),
        }
    }

    fn acquire(&self) -> Option<OpenConnection> {
        if self.open.fetch_add(1, Ordering::SeqCst) >= self.max {
            self.open.fetch_sub(1, Ordering::SeqCst);
            self.refused.fetch_add(1, Ordering::SeqCst);
            return None;
        }
        Some(OpenConnection(Arc::clone(&self.open)))
    }
}

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
struct OpenConnection(Arc<AtomicUsize>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Binds a nonblocking listener, as [`serve`] requires.
///
/// # Errors
/// Returns an error if the address cannot be bound.
pub fn bind(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Serves connections forever; if `answer` returns `None`, the connection is closed without a
/// response.
///
/// # Errors
/// Returns an error if the listener cannot be registered with the runtime.
pub async fn serve<A, F>(
    listener: std::net::TcpListener,
    limit: ConnectionLimit,
    answer: A,
) -> io::Result<()>
where
    A: Fn(HttpRequest) -> F + Clone + Send + 'static,
    F: Future<Output = Option<HttpReply>> + Send + 'static,
{
    let listener = TcpListener::from_std(listener)?;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        if let Some(open) = limit.acquire() {
            let answer = answer.clone();
            tokio::spawn(async move {
                serve_connection(stream, answer).await;
                drop(open);
            });
        }
    }
}

async fn serve_connection<A, F>(stream: TcpStream, answer: A)
where
    A: Fn(HttpRequest) -> F + Clone + Send + 'static,
    F: Future<Output = Option<HttpReply>> + Send + 'static,
{
    // Fails only if the socket is already closed.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| answer_one(request, answer.clone()));
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    // An error means that the client closed the connection or that `answer` left it unanswered.
    let _ = connection.await;
}

async fn answer_one<A, F>(request: Request<Incoming>, answer: A) -> io::Result<HttpReply>
where
    A: Fn(HttpRequest) -> F,
    F: Future<Output = Option<HttpReply>>,
{
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let request = HttpRequest {
        method: head.method,
        path: head.uri.path().into(),
        query: head.uri.query().unwrap_or_default().into(),
        headers: head.headers,
        body,
    };
    let unanswered = || io::Error::other("closed without a response");
    answer(request).await.ok_or_else(unanswered)
}

/// Returns a response without a body.
pub fn empty_reply(status: StatusCode) -> HttpReply {
    let mut reply = Response::new(ReplyBody::default());
    *reply.status_mut() = status;
    reply
}

/// Returns a response with a JSON body; status 500 if `body` cannot be serialized.
pub fn json_reply<T: Serialize>(status: StatusCode, body: &T) -> HttpReply {
    let Ok(text) = serde_json::to_vec(body) else {
        return empty_reply(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let mut reply = Response::new(ReplyBody::complete(Bytes::from(text)));
    *reply.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, json);
    reply
}

/// Returns a response whose body is an error message.
pub fn error_reply(status: StatusCode, text: &str) -> HttpReply {
    let mut reply = Response::new(ReplyBody::complete(Bytes::copy_from_slice(text.as_bytes())));
    *reply.status_mut() = status;
    reply
}
