//! Helpers of the tests of the platform's clients.
#![allow(dead_code, reason = "each test file uses some of them")]

use std::future::Future;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};

/// Address on a free port.
pub(crate) fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Runs a future to its end.
pub(crate) fn block_on<F: Future>(future: F) -> F::Output {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap()
        .block_on(future)
}

/// Answers each connection with `answer`, whatever is asked, and closes it.
pub(crate) fn answer_always(answer: impl Into<Vec<u8>>) -> SocketAddr {
    let answer = answer.into();
    answer_by(move |_| answer.clone())
}

/// Answers each connection by what is asked, and closes it.
pub(crate) fn answer_by(answer: impl Fn(&str) -> Vec<u8> + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind(any_port()).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            let mut asked = [0; 4096];
            let length = stream.read(&mut asked).unwrap_or(0);
            let text = String::from_utf8_lossy(&asked[..length]);
            let _ = stream.write_all(&answer(&text));
        }
    });
    address
}

/// Words an HTTP answer.
pub(crate) fn http(status: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}")
}
