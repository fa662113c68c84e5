//! Connection limits of an HTTP listener that gotham itself does not enforce.

use futures_util::FutureExt;
use gotham::handler::HandlerFuture;
use gotham::helpers::http::response::create_response;
use gotham::hyper::{StatusCode, Uri};
use gotham::state::{FromState, State, client_addr};
use hornbeamlead_core::counter::RefusalReason;
use hornbeamlead_daemon::counters::ProcessCounters;
use hornbeamlead_daemon::web::{ConnectionLimits, ConnectionTable, serve};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::sync::Arc;
use std::thread::{JoinHandle, sleep};
use std::time::Duration;

/// Limit whose expiry a test waits for.
const SHORT_LIMIT: Duration = Duration::from_millis(300);

/// Run time of the slow handler, longer than any limit set by a test.
const SLOW_HANDLER_TIME: Duration = Duration::from_millis(900);

/// Timeout of all waits of a test; shorter than the timeout of closing a listener.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Body size that exceeds any socket buffer.
const LARGE_BODY_BYTES: usize = 32 * 1024 * 1024;

/// Listener on a dedicated thread.
struct TestListener {
    address: SocketAddr,
    table: Arc<ConnectionTable>,
    counters: Arc<ProcessCounters>,
    thread: JoinHandle<()>,
}

impl TestListener {
    fn start(limits: ConnectionLimits) -> Self {
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let counters = Arc::new(ProcessCounters::new(None, log).unwrap());
        let table = ConnectionTable::new(limits, Arc::clone(&counters));
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let serving = Arc::clone(&table);
        let thread = std::thread::spawn(move || run(listener, serving));
        Self {
            address,
            table,
            counters,
            thread,
        }
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        stream
    }

    fn refusals(&self) -> u64 {
        let counts = self.counters.refusals();
        let name = RefusalReason::QueueFull.as_str();
        counts.get(name).copied().unwrap_or(0)
    }
}

fn run(listener: std::net::TcpListener, table: Arc<ConnectionTable>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async move {
        let listener = tokio::net::TcpListener::from_std(listener).unwrap();
        let handling = Arc::clone(&table);
        let handler = move || {
            let table = Arc::clone(&handling);
            Ok(move |state| handle(table, state))
        };
        serve(listener, handler, table).await;
    });
}

fn handle(table: Arc<ConnectionTable>, state: State) -> Pin<Box<HandlerFuture>> {
    async move {
        let _guard = client_addr(&state).map(|peer| table.begin_request(peer));
        let path = Uri::borrow_from(&state).path().to_owned();
        let body = match &*path {
            "/slow" => {
                tokio::time::sleep(SLOW_HANDLER_TIME).await;
                vec![b's'; 4]
            }
            "/large" => vec![b'l'; LARGE_BODY_BYTES],
            "/panic" => panic!("a handler that panics"),
            _ => vec![b'o'; 2],
        };
        let response = create_response(&state, StatusCode::OK, mime::TEXT_PLAIN, body);
        Ok((state, response))
    }
    .boxed()
}

fn send_get(stream: &mut TcpStream, path: &str) {
    let head = format!("GET {path} HTTP/1.1\r\nhost: test\r\n\r\n");
    stream.write_all(head.as_bytes()).unwrap();
}

/// Reads until the peer closes the connection.
fn read_to_close(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    match stream.read_to_end(&mut text) {
        Ok(_) => {}
        Err(error) if error.kind() == ErrorKind::ConnectionReset => {}
        Err(error) => panic!("the connection was not closed: {error}"),
    }
    String::from_utf8_lossy(&text).into_owned()
}

/// Reads the next available bytes.
fn read_some(stream: &mut TcpStream) -> String {
    let mut buffer = [0; 4096];
    let length = stream.read(&mut buffer).unwrap();
    String::from_utf8_lossy(&buffer[..length]).into_owned()
}

fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let deadline = std::time::Instant::now() + TEST_TIMEOUT;
    while !holds() {
        assert!(
            std::time::Instant::now() < deadline,
            "timed out waiting for: {what}"
        );
        sleep(Duration::from_millis(10));
    }
}

#[test]
fn connections_capped() {
    let listener = TestListener::start(ConnectionLimits {
        max_connections: 2,
        ..ConnectionLimits::default()
    });
    let mut open: Vec<TcpStream> = (0..2).map(|_| listener.connect()).collect();
    for stream in &mut open {
        send_get(stream, "/");
        assert!(read_some(stream).starts_with("HTTP/1.1 200"));
    }
    assert_eq!(read_to_close(&mut listener.connect()), "");
    assert_eq!(listener.refusals(), 1);
    open.clear();
    wait_until("a free connection slot", || {
        let mut stream = listener.connect();
        send_get(&mut stream, "/");
        stream.read(&mut [0; 16]).is_ok_and(|length| length > 0)
    });
}

#[test]
fn slow_head_closed() {
    let listener = TestListener::start(ConnectionLimits {
        head_timeout: SHORT_LIMIT,
        ..ConnectionLimits::default()
    });
    let mut silent = listener.connect();
    let mut partial = listener.connect();
    partial.write_all(b"GET / HTTP/1.1\r\nhost: ").unwrap();
    let mut slow = listener.connect();
    send_get(&mut slow, "/slow");
    assert_eq!(read_to_close(&mut silent), "");
    assert_eq!(read_to_close(&mut partial), "");
    assert!(read_some(&mut slow).starts_with("HTTP/1.1 200"));
}

#[test]
fn idle_connection_closed() {
    let listener = TestListener::start(ConnectionLimits {
        idle_timeout: SHORT_LIMIT,
        ..ConnectionLimits::default()
    });
    let mut stream = listener.connect();
    send_get(&mut stream, "/");
    assert!(read_to_close(&mut stream).starts_with("HTTP/1.1 200"));
}

#[test]
fn unread_answer_dropped() {
    let listener = TestListener::start(ConnectionLimits {
        max_connections: 1,
        write_timeout: SHORT_LIMIT,
        ..ConnectionLimits::default()
    });
    let mut stream = listener.connect();
    send_get(&mut stream, "/large");
    wait_until("the slot of the client that does not read", || {
        let mut other = listener.connect();
        send_get(&mut other, "/");
        other.read(&mut [0; 16]).is_ok_and(|length| length > 0)
    });
    drop(stream);
}

#[test]
fn handler_panics() {
    let listener = TestListener::start(ConnectionLimits::default());
    let mut stream = listener.connect();
    send_get(&mut stream, "/panic");
    assert!(read_some(&mut stream).starts_with("HTTP/1.1 500"));
    let mut next = listener.connect();
    send_get(&mut next, "/");
    assert!(read_some(&mut next).starts_with("HTTP/1.1 200"));
}

#[test]
fn close_drains_requests() {
    let listener = TestListener::start(ConnectionLimits::default());
    let mut idle = listener.connect();
    send_get(&mut idle, "/");
    assert!(read_some(&mut idle).starts_with("HTTP/1.1 200"));
    let mut busy = listener.connect();
    send_get(&mut busy, "/slow");
    sleep(SHORT_LIMIT);
    listener.table.close();
    assert_eq!(read_to_close(&mut idle), "");
    assert!(read_to_close(&mut busy).ends_with("ssss"));
    listener.thread.join().unwrap();
    assert!(TcpStream::connect(listener.address).is_err());
}
