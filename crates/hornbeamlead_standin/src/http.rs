//! Small HTTP server for the stand-ins.

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

/// Answer of a stand-in.
pub type HttpReply = Response<ReplyBody>;

/// Request with its whole body.
#[derive(Debug)]
pub struct HttpRequest {
    /// Method.
    pub method: Method,
    /// Path without the query.
    pub path: Box<str>,
    /// Query, empty if there is none.
    pub query: Box<str>,
    /// Headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

impl HttpRequest {
    /// Returns a number out of the query.
    pub fn query_number(&self, name: &str) -> Option<u64> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .and_then(|(_, value)| value.parse().ok())
    }
}

/// Connections of a listener that are open, and the most that may be.
#[derive(Clone, Debug)]
pub struct ConnectionLimit {
    /// Most connections at a time.
    pub most: usize,
    /// Open connections.
    pub open: Arc<AtomicUsize>,
    /// Connections closed at once for being too many.
    pub refused: Arc<AtomicUsize>,
}

impl ConnectionLimit {
    /// Makes a cap.
    pub fn new(most: usize) -> Self {
        Self {
            most,
            open: Arc::default(),
            refused: Arc::default(),
        }
    }

    fn take(&self) -> Option<OpenConnection> {
        if self.open.fetch_add(1, Ordering::SeqCst) >= self.most {
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

/// Binds a listener whose connections the runtime can drive.
///
/// # Errors
/// Returns the error of binding.
pub fn bind(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Serves connections without an end; `None` from `answer` closes the connection unanswered.
///
/// # Errors
/// Returns the error of handing the listener to the runtime.
pub async fn serve<A, F>(
    listener: std::net::TcpListener,
    cap: ConnectionLimit,
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
        if let Some(open) = cap.take() {
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
    // Fails only on a socket that is closed already.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| answer_one(request, answer.clone()));
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    // A connection that the client broke off is of no interest here.
    let _ = connection.await;
}

async fn answer_one<A, F>(request: Request<Incoming>, answer: A) -> io::Result<HttpReply>
where
    A: Fn(HttpRequest) -> F,
    F: Future<Output = Option<HttpReply>>,
{
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let ask = HttpRequest {
        method: head.method,
        path: head.uri.path().into(),
        query: head.uri.query().unwrap_or_default().into(),
        headers: head.headers,
        body,
    };
    let unanswered = || io::Error::other("left unanswered");
    answer(ask).await.ok_or_else(unanswered)
}

/// Makes an answer without a body.
pub fn empty_reply(status: StatusCode) -> HttpReply {
    let mut reply = Response::new(ReplyBody::default());
    *reply.status_mut() = status;
    reply
}

/// Makes an answer with a JSON body.
pub fn json_reply<T: Serialize>(status: StatusCode, body: &T) -> HttpReply {
    let Ok(text) = serde_json::to_vec(body) else {
        return empty_reply(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let mut reply = Response::new(ReplyBody::whole(Bytes::from(text)));
    *reply.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, json);
    reply
}

/// Makes an answer with a text that tells what was wrong.
pub fn error_reply(status: StatusCode, text: &str) -> HttpReply {
    let mut reply = Response::new(ReplyBody::whole(Bytes::copy_from_slice(text.as_bytes())));
    *reply.status_mut() = status;
    reply
}
