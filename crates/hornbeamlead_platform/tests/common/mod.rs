//! Helpers for tests of the platform's clients.
#![allow(dead_code, reason = "each test file uses some of them")]

use std::future::Future;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};

/// Loopback address that binds a free port.
pub(crate) fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Runs a future to completion on a new runtime.
pub(crate) fn block_on<F: Future>(future: F) -> F::Output {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap()
        .block_on(future)
}

/// Starts a server that sends `answer` on each connection and closes it.
pub(crate) fn serve_fixed(answer: impl Into<Vec<u8>>) -> SocketAddr {
    let answer = answer.into();
    serve_with(move |_| answer.clone())
}

/// Starts a server that passes each request to `answer`, sends the result and closes.
pub(crate) fn serve_with(answer: impl Fn(&str) -> Vec<u8> + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind(any_port()).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            let mut buffer = [0; 4096];
            let length = stream.read(&mut buffer).unwrap_or(0);
            let text = String::from_utf8_lossy(&buffer[..length]);
            let _ = stream.write_all(&answer(&text));
        }
    });
    address
}

/// Formats an HTTP answer.
pub(crate) fn http_response(status: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}")
}
