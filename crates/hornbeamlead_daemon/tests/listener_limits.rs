//! Connection limits of an HTTP listener that gotham itself does not enforce.

use futures_util::FutureExt;
use gotham::handler::HandlerFuture;
use gotham::helpers::http::Body;
use gotham::helpers::http::response::create_response;
use gotham::hyper::{StatusCode, Uri};
use gotham::state::{FromState, State, client_addr};
use hornbeamlead_core::counter::RefusalReason;
use hornbeamlead_daemon::budget::ByteBudget;
use hornbeamlead_daemon::counters::ProcessCounters;
use hornbeamlead_daemon::web::{ConnectionLimits, ConnectionTable, read_body, serve};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::sync::Arc;
use std::thread::{JoinHandle, sleep};
use std::time::Duration;
use tokio::time::Instant;

/// Limit whose expiry a test waits for.
const SHORT_LIMIT: Duration = Duration::from_millis(300);

/// Run time of the slow handler, longer than any limit set by a test.
const SLOW_HANDLER_TIME: Duration = Duration::from_millis(900);

/// Timeout of all waits of a test; shorter than the timeout of closing a listener.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Budget for bodies; the handlers of these tests read none.
const BUDGET_BYTES: usize = 1024;

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
        let table =
            ConnectionTable::new(limits, ByteBudget::new(BUDGET_BYTES), Arc::clone(&counters));
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

    fn refusals(&self, reason: RefusalReason) -> u64 {
        let counts = self.counters.refusals();
        counts.get(reason.as_str()).copied().unwrap_or(0)
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

fn handle(table: Arc<ConnectionTable>, mut state: State) -> Pin<Box<HandlerFuture>> {
    async move {
        let guard = table.begin_request(client_addr(&state).unwrap());
        let path = Uri::borrow_from(&state).path().to_owned();
        let body = match &*path {
            "/body" => {
                let deadline = Instant::now() + table.limits().body_timeout;
                let body = read_body(&guard, Body::take_from(&mut state), deadline).await;
                format!("{:?}", body.map(|body| body.bytes.len())).into_bytes()
            }
            _ if guard.begin_handling().is_err() => vec![b'b'; 4],
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

fn send_post(stream: &mut TcpStream, length: usize, body: &str) {
    let head = format!("POST /body HTTP/1.1\r\nhost: test\r\ncontent-length: {length}\r\n\r\n");
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(body.as_bytes()).unwrap();
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

/// A connection whose request is being handled keeps the only place.
#[test]
fn connections_capped() {
    let listener = TestListener::start(ConnectionLimits {
        max_connections: 1,
        ..ConnectionLimits::default()
    });
    let mut busy = listener.connect();
    send_get(&mut busy, "/slow");
    sleep(SHORT_LIMIT);
    assert_eq!(read_to_close(&mut listener.connect()), "");
    assert_eq!(listener.refusals(RefusalReason::QueueFull), 1);
    assert!(read_some(&mut busy).ends_with("ssss"));
    drop(busy);
    wait_until("a free connection slot", || {
        let mut stream = listener.connect();
        send_get(&mut stream, "/");
        stream.read(&mut [0; 16]).is_ok_and(|length| length > 0)
    });
}

/// The connection that has waited longest for its client gives its place to a new one.
#[test]
fn oldest_evicted() {
    let listener = TestListener::start(ConnectionLimits {
        max_connections: 3,
        ..ConnectionLimits::default()
    });
    let mut busy = listener.connect();
    send_get(&mut busy, "/slow");
    let mut open: Vec<TcpStream> = (0..2).map(|_| listener.connect()).collect();
    for stream in &mut open {
        send_get(stream, "/");
        assert!(read_some(stream).starts_with("HTTP/1.1 200"));
    }
    let mut new = listener.connect();
    send_get(&mut new, "/");
    assert!(read_some(&mut new).starts_with("HTTP/1.1 200"));
    assert_eq!(read_to_close(&mut open[0]), "");
    assert_eq!(listener.refusals(RefusalReason::ConnectionEvicted), 1);
    for stream in [&mut open[1], &mut new] {
        send_get(stream, "/");
        assert!(read_some(stream).starts_with("HTTP/1.1 200"));
    }
    assert!(read_some(&mut busy).ends_with("ssss"));
}

/// Requests on connections that have had an answer leave places to first requests.
#[test]
fn repeated_requests_last() {
    let listener = TestListener::start(ConnectionLimits {
        max_connections: 4,
        ..ConnectionLimits::default()
    });
    let mut open: Vec<TcpStream> = (0..3).map(|_| listener.connect()).collect();
    for stream in &mut open {
        send_get(stream, "/");
        assert!(read_some(stream).starts_with("HTTP/1.1 200"));
        send_get(stream, "/slow");
    }
    let mut repeated = listener.connect();
    send_get(&mut repeated, "/");
    assert!(read_some(&mut repeated).ends_with("bbbb"));
    assert_eq!(listener.refusals(RefusalReason::QueueFull), 1);
    for stream in &mut open {
        assert!(read_some(stream).ends_with("ssss"));
    }
}

/// A body has to be complete in time, and its client is told so.
#[test]
fn slow_body_refused() {
    let listener = TestListener::start(ConnectionLimits {
        body_timeout: SHORT_LIMIT,
        ..ConnectionLimits::default()
    });
    let mut stream = listener.connect();
    send_post(&mut stream, 8, "cut");
    assert!(read_some(&mut stream).ends_with("Err(TimedOut)"));
    assert_eq!(listener.refusals(RefusalReason::RequestTimeout), 1);
}

/// A body that would exceed the budget takes the memory of the one that has waited longest.
#[test]
fn oldest_body_evicted() {
    let listener = TestListener::start(ConnectionLimits::default());
    let mut cut = listener.connect();
    send_post(&mut cut, BUDGET_BYTES, "cut");
    wait_until("the first body", || listener.table.budget().used() > 0);
    let mut whole = listener.connect();
    send_post(&mut whole, 5, "whole");
    assert!(read_some(&mut whole).ends_with("Ok(5)"));
    assert_eq!(read_to_close(&mut cut), "");
    assert_eq!(listener.refusals(RefusalReason::ConnectionEvicted), 1);
    let mut long = listener.connect();
    send_post(&mut long, 2 * BUDGET_BYTES, &"x".repeat(2 * BUDGET_BYTES));
    assert!(read_some(&mut long).ends_with("Err(NoMemory)"));
    assert_eq!(listener.refusals(RefusalReason::MemoryFull), 1);
    wait_until("all memory", || listener.table.budget().used() == 0);
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
