//! Clients that don't behave, on the listeners of an entry: large bodies, heads without end and
//! answers that nobody reads, on connections that stay open.

mod crowd;

use crowd::{BoundedProcess, Crowd, CrowdRequest, ENTRY_MACHINE, TIMEOUT, ask, ask_until};
use hornbeamlead_emulator::platform::PlatformHandle;
use hornbeamlead_emulator::process::{ProcessRole, SoakProcess};
use hornbeamlead_emulator::soak::serve_store;
use rstest::rstest;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use tokio::runtime::Runtime;

/// Clients of a crowd whose requests are large.
const CROWD: usize = 1500;

/// Clients of a crowd that takes all descriptors.
const WIDE_CROWD: usize = 4500;

/// Size of a large body, in bytes; the platform's configuration allows 262,144.
const BODY_BYTES: usize = 250_000;

/// Clients of a crowd that sends 1-byte chunks, and the number of chunks of each.
const TINY_CROWD: usize = 120;
const TINY_CHUNKS: usize = 100_000;

/// Size of a body of which many fit into memory, in bytes.
const SMALL_BODY_BYTES: usize = 1000;

/// Size of a head without end, in bytes; the platform's configuration allows 16,384.
const HEAD_BYTES: usize = 400_000;

/// Steps of a job with many more than a job may have.
const SMALL_STEPS: usize = 20_000;

/// Requests that a client sends without reading an answer.
const UNREAD_REQUESTS: usize = 4000;

/// Requests for metrics that a client sends without reading an answer.
const UNREAD_METRICS: usize = 400;

const READINESS_REQUEST: &[u8] = b"GET /-/readyz HTTP/1.1\r\nhost: h\r\n\r\n";

const METRICS_REQUEST: &[u8] = b"GET /metrics HTTP/1.1\r\nhost: h\r\n\r\n";

/// Entry with a store, ready for callers.
struct TestEntry {
    bounded: BoundedProcess,
    _store: Runtime,
}

impl TestEntry {
    fn start() -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime");
        let platform = PlatformHandle::new(1, 1, 1);
        let store = runtime.block_on(async { serve_store(&platform, 0).expect("served") });
        let bounded = BoundedProcess::start(ProcessRole::Entry, ENTRY_MACHINE, (store, None));
        let entry = Self {
            bounded,
            _store: runtime,
        };
        ask_until(entry.process().readiness_address(), READINESS_REQUEST, 200);
        entry
    }

    fn process(&self) -> &SoakProcess {
        &self.bounded.process
    }

    fn callers(&self) -> SocketAddr {
        self.process().callers_address()
    }

    /// Checks that ordinary callers and the platform are answered, and that the process stays within
    /// its bounds.
    fn check(&mut self) {
        for job in 1..=3 {
            let body = r#"{"spec":"work","steps":[{"count":1,"cpu":100,"memMb":10}]}"#;
            ask_until(self.callers(), &post(job, body.as_bytes()), 200);
            ask_until(self.callers(), &head("GET", job, ""), 200);
        }
        ask_until(self.process().readiness_address(), READINESS_REQUEST, 200);
        ask_until(self.process().metrics_address(), METRICS_REQUEST, 200);
        self.bounded.check();
    }

    /// Has a crowd send a request and checks the process while the crowd is there.
    fn meet(&mut self, address: SocketAddr, size: usize, request: &CrowdRequest) {
        let crowd = Crowd::open(address, size, request);
        crowd.settle();
        self.check();
        self.bounded.check_stop();
        crowd.close();
    }
}

fn head(method: &str, job: u64, fields: &str) -> Vec<u8> {
    format!("{method} /q/{job:016x} HTTP/1.1\r\nhost: h\r\n{fields}\r\n").into_bytes()
}

fn post(job: u64, body: &[u8]) -> Vec<u8> {
    let mut request = head("POST", job, &format!("content-length: {}\r\n", body.len()));
    request.extend_from_slice(body);
    request
}

/// Returns a request without its last byte.
fn cut(mut request: Vec<u8>) -> Vec<u8> {
    request.pop();
    request
}

/// Returns a job of a length, padded with spaces.
fn padded_job(length: usize) -> Vec<u8> {
    let mut body = br#"{"spec":"work","steps":[{"count":1,"cpu":100,"memMb":10}]"#.to_vec();
    body.resize(length - 1, b' ');
    body.push(b'}');
    body
}

fn chunked(body: &[u8], size: usize) -> Vec<u8> {
    let mut request = head("POST", 9, "transfer-encoding: chunked\r\n");
    for chunk in body.chunks(size) {
        request.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        request.extend_from_slice(chunk);
        request.extend_from_slice(b"\r\n");
    }
    request.extend_from_slice(b"0\r\n\r\n");
    request
}

fn long_header() -> Vec<u8> {
    let mut request = b"POST /q/0000000000000009 HTTP/1.1\r\nhost: h\r\nx: ".to_vec();
    request.resize(HEAD_BYTES, b'x');
    request
}

fn many_headers() -> Vec<u8> {
    let mut request = b"POST /q/0000000000000009 HTTP/1.1\r\nhost: h\r\n".to_vec();
    while request.len() < HEAD_BYTES {
        request.extend_from_slice(b"x: y\r\n");
    }
    request
}

fn steps_job() -> Vec<u8> {
    let steps = vec![r#"{"count":1}"#; SMALL_STEPS].join(",");
    post(9, format!(r#"{{"steps":[{steps}]}}"#).as_bytes())
}

/// Returns a request whose path has many parts.
fn segments_request() -> Vec<u8> {
    let path = "/a".repeat(7900);
    let head = format!("POST {path} HTTP/1.1\r\nhost: h\r\ncontent-length: 1000\r\n\r\n");
    [head.into_bytes(), padded_job(SMALL_BODY_BYTES)].concat()
}

/// Returns a valid job of many steps with long texts.
fn large_job() -> Vec<u8> {
    let label = "l".repeat(950);
    let step = format!(r#"{{"count":1,"requirements":"{label}"}}"#);
    let steps = vec![step; 250].join(",");
    post(9, format!(r#"{{"steps":[{steps}]}}"#).as_bytes())
}

/// Guards against memory that grows with what all connections have sent, and against connections
/// that keep their place without sending a request.
#[rstest]
#[case::whole_bodies(CROWD, CrowdRequest::whole(cut(post(9, &padded_job(BODY_BYTES)))))]
#[case::body_pieces(
    CROWD,
    CrowdRequest::in_pieces(cut(post(9, &padded_job(BODY_BYTES))), BODY_BYTES / 10)
)]
#[case::large_chunks(CROWD, CrowdRequest::whole(cut(chunked(&padded_job(BODY_BYTES), 65_536))))]
#[case::tiny_chunks(TINY_CROWD, CrowdRequest::long(cut(chunked(&padded_job(TINY_CHUNKS), 1))))]
#[case::long_header(CROWD, CrowdRequest::whole(long_header()))]
#[case::many_headers(CROWD, CrowdRequest::whole(many_headers()))]
#[case::empty_lines(CROWD, CrowdRequest::whole(b"\r\n".repeat(HEAD_BYTES / 2)))]
#[case::read_with_body(
    CROWD,
    CrowdRequest::whole(cut([
        head("GET", 9, &format!("content-length: {BODY_BYTES}\r\n")),
        padded_job(BODY_BYTES),
    ].concat()))
)]
#[case::small_steps(CROWD, CrowdRequest::whole(steps_job()))]
#[case::unread_answers(CROWD, CrowdRequest::whole(head("GET", 9, "").repeat(UNREAD_REQUESTS)))]
#[case::small_bodies(WIDE_CROWD, CrowdRequest::whole(cut(post(9, &padded_job(SMALL_BODY_BYTES)))))]
#[case::silent(WIDE_CROWD, CrowdRequest::whole(""))]
#[case::resting(WIDE_CROWD, CrowdRequest::whole(head("GET", 9, "")))]
#[case::path_segments(CROWD, CrowdRequest::whole(cut(segments_request())))]
#[case::large_jobs(CROWD, CrowdRequest::whole(large_job()))]
fn callers_crowd(#[case] size: usize, #[case] request: CrowdRequest) {
    let mut entry = TestEntry::start();
    let address = entry.callers();
    entry.meet(address, size, &request);
}

/// Guards against the same faults on the listeners for the platform's probes and for metrics.
#[rstest]
#[case::readiness_heads("readiness", CrowdRequest::whole(long_header()))]
#[case::readiness_bodies("readiness", CrowdRequest::whole(cut(post(9, &padded_job(BODY_BYTES)))))]
#[case::readiness_silent("readiness", CrowdRequest::whole(""))]
#[case::metrics_heads("metrics", CrowdRequest::whole(long_header()))]
#[case::metrics_silent("metrics", CrowdRequest::whole(""))]
#[case::metrics_unread("metrics", CrowdRequest::whole(METRICS_REQUEST.repeat(UNREAD_METRICS)))]
fn probes_crowd(#[case] listener: &str, #[case] request: CrowdRequest) {
    let mut entry = TestEntry::start();
    let address = match listener {
        "readiness" => entry.process().readiness_address(),
        _ => entry.process().metrics_address(),
    };
    entry.meet(address, CROWD, &request);
}

/// The largest requests that the platform's limits allow are served in calm, however they are cut.
#[rstest]
#[case::whole(post(1, &padded_job(262_144)))]
#[case::large_chunks(chunked(&padded_job(262_144), 65_536))]
#[case::tiny_chunks(chunked(&padded_job(262_144), 1))]
#[case::long_head(
    [
        head("POST", 1, &format!("content-length: 1000\r\nx: {}\r\n", "x".repeat(16_000))),
        padded_job(1000),
    ].concat()
)]
fn legal_requests_served(#[case] request: Vec<u8>) {
    let mut entry = TestEntry::start();
    assert_eq!(ask(entry.callers(), &request), 200);
    entry.check();
}

/// A connection that rests between two requests is served.
#[test]
fn resting_connection_served() {
    let entry = TestEntry::start();
    let body = padded_job(SMALL_BODY_BYTES);
    ask_until(entry.callers(), &post(1, &body), 200);
    let mut stream = BufReader::new(TcpStream::connect(entry.callers()).expect("connected"));
    let socket = stream.get_ref();
    socket.set_read_timeout(Some(TIMEOUT)).expect("set");
    for rest in [Duration::ZERO, Duration::from_secs(8)] {
        std::thread::sleep(rest);
        stream
            .get_ref()
            .write_all(&head("GET", 1, ""))
            .expect("sent");
        let mut answer = Vec::new();
        stream.read_until(b'}', &mut answer).expect("answered");
        assert!(answer.starts_with(b"HTTP/1.1 200"), "{answer:?}");
    }
}
