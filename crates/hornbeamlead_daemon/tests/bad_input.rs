//! Bad input at every listener of running processes: it is answered with a clear error and counted,
//! and the process keeps serving.

mod common;

use common::await_revision;
use common::probes::{declare_service, raw_exchange, refusal_count, runs_by_path, small_fleet};
use hornbeamlead_standin::client::{TestRequest, send_blocking};
use hornbeamlead_standin::fleet::Fleet;
use hyper::Method;
use hyper::header::RETRY_AFTER;
use rstest::rstest;
use std::io::Write;
use std::net::{Shutdown, TcpStream, UdpSocket};

/// Maximum body size that the system accepts.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Asserts that a request still passes through entry and agent.
fn assert_serving(fleet: &Fleet) {
    let request = TestRequest::get(fleet.log.addr(), "/ledger/casks");
    let answer = fleet.call(0, request).unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text());
}

/// Waits until a refusal has been counted more than `before` times.
fn await_count(fleet: &Fleet, agent: bool, reason: &str, before: u64) {
    let what = format!("{reason} is counted");
    fleet.wait_until(&what, |fleet| {
        let member = if agent {
            &fleet.agents[0]
        } else {
            &fleet.entries[0]
        };
        refusal_count(member, reason) > before
    });
}

#[rstest]
#[case::not_http(b"\x00\x01\x02 no http\r\n\r\n".to_vec(), "400")]
#[case::no_colon(b"GET /ledger/a HTTP/1.1\r\nhost: x\r\nno colon\r\n\r\n".to_vec(), "400")]
#[case::bad_length(b"POST /ledger/a HTTP/1.1\r\nhost: x\r\ncontent-length: -1\r\n\r\n".to_vec(), "400")]
#[case::bad_chunk(b"POST /ledger/a HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n".to_vec(), "400")]
#[case::long_head([b"GET /ledger/a HTTP/1.1\r\nx: ".to_vec(), vec![b'x'; 1 << 20]].concat(), "431")]
fn broken_head(#[case] bytes: Vec<u8>, #[case] status: &str) {
    let fleet = small_fleet();
    let answer = raw_exchange(fleet.entries[0].process.address("callers"), &bytes);
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status}")),
        "{answer}"
    );
    await_count(&fleet, false, "bad_request", 0);
    assert_serving(&fleet);
}

#[rstest]
#[case::not_text(b"x-yard: \xff\xfe".to_vec())]
#[case::zero_timeout(b"request-timeout-ms: 0".to_vec())]
#[case::non_numeric_timeout(b"request-timeout-ms: soon".to_vec())]
#[case::two_timeouts(b"request-timeout-ms: 10\r\nrequest-timeout-ms: 20".to_vec())]
#[case::empty_key(b"idempotency-key:".to_vec())]
#[case::long_key([b"idempotency-key: ".to_vec(), vec![b'k'; 129]].concat())]
#[case::two_keys(b"idempotency-key: a\r\nidempotency-key: b".to_vec())]
fn broken_header(#[case] header: Vec<u8>) {
    let fleet = small_fleet();
    let request = [
        b"POST /ledger/a HTTP/1.1\r\nhost: x\r\n",
        &*header,
        b"\r\n\r\n",
    ]
    .concat();
    let answer = raw_exchange(fleet.entries[0].process.address("callers"), &request);
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert!(
        answer.contains(r#""outcome":"not_run","reason":"bad_request""#),
        "{answer}"
    );
    await_count(&fleet, false, "bad_request", 0);
    assert_eq!(runs_by_path(&fleet, "/a"), []);
    assert_serving(&fleet);
}

#[rstest]
#[case::unknown_service(Method::GET, "/cellar/a", 0, 404, "unknown_service")]
#[case::no_service(Method::GET, "/", 0, 404, "unknown_service")]
#[case::long_name(
    Method::GET,
    "/a_name_of_more_than_sixty_four_characters_is_no_name_of_a_service/a",
    0,
    404,
    "unknown_service"
)]
#[case::long_body(Method::POST, "/ledger/a", MAX_BODY_BYTES + 1, 413, "body_too_long")]
#[case::trace(Method::TRACE, "/ledger/a", 0, 400, "bad_request")]
fn refused_request(
    #[case] method: Method,
    #[case] path: &str,
    #[case] bytes: usize,
    #[case] status: u16,
    #[case] reason: &str,
) {
    let fleet = small_fleet();
    let mut request = TestRequest::post(fleet.log.addr(), path, vec![b'x'; bytes]);
    request.method = method;
    let answer = fleet.call(0, request).unwrap();
    assert_eq!(answer.status, status, "{}", answer.text());
    assert_eq!(answer.json()["outcome"], "not_run");
    assert_eq!(answer.json()["reason"], reason);
    assert!(answer.header(&RETRY_AFTER).is_some());
    await_count(&fleet, false, reason, 0);
    assert_eq!(runs_by_path(&fleet, "/a"), []);
    assert_serving(&fleet);
}

#[test]
fn longest_body() {
    let fleet = small_fleet();
    let body = vec![b'x'; MAX_BODY_BYTES];
    let answer = fleet.call(
        0,
        TestRequest::post(fleet.log.addr(), "/ledger/a?bytes=10", body),
    );
    assert_eq!(answer.unwrap().status, 200);
}

#[test]
fn endless_chunks() {
    let fleet = small_fleet();
    let mut stream = TcpStream::connect(fleet.entries[0].process.address("callers")).unwrap();
    let head = b"POST /ledger/a HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n";
    stream.write_all(head).unwrap();
    let chunk = [b"10000\r\n".to_vec(), vec![b'x'; 0x10000], b"\r\n".to_vec()].concat();
    // The process may close the connection before everything is written.
    let _ = (0..64).try_for_each(|_| stream.write_all(&chunk));
    await_count(&fleet, false, "body_too_long", 0);
    assert_eq!(runs_by_path(&fleet, "/a"), []);
    assert_serving(&fleet);
}

#[rstest]
#[case::wrong_method(Method::POST, "/status", 405)]
#[case::wrong_path(Method::GET, "/stat", 404)]
#[case::no_subject(Method::GET, "/explain", 400)]
#[case::bad_subject(Method::GET, "/explain?subject=%f", 400)]
#[case::bad_note(Method::GET, "/note/%20", 400)]
#[case::unknown_note(Method::GET, "/note/none", 404)]
fn bad_operator_request(#[case] method: Method, #[case] path: &str, #[case] status: u16) {
    let fleet = small_fleet();
    for member in [&fleet.entries[0], &fleet.agents[0]] {
        let mut request = TestRequest::get(member.process.address("operators"), path);
        request.method = method.clone();
        assert_eq!(send_blocking(&request).unwrap().status, status);
    }
    assert_serving(&fleet);
}

#[rstest]
#[case::not_json(Method::POST, "/announce", "{", 400)]
#[case::no_announcement(Method::POST, "/announce", "{}", 400)]
#[case::wrong_method(Method::GET, "/announce", "", 405)]
#[case::wrong_path(Method::POST, "/status", "", 404)]
fn bad_announcement(
    #[case] method: Method,
    #[case] path: &str,
    #[case] body: &'static str,
    #[case] status: u16,
) {
    let fleet = small_fleet();
    let mut request = TestRequest::post(fleet.agents[0].process.address("local"), path, body);
    request.method = method;
    assert_eq!(send_blocking(&request).unwrap().status, status);
    assert_serving(&fleet);
}

#[test]
fn long_announcement() {
    let fleet = small_fleet();
    let address = fleet.agents[0].process.address("local");
    let request = TestRequest::post(address, "/announce", vec![b' '; MAX_BODY_BYTES]);
    // The process may close the connection before everything is sent.
    if let Ok(answer) = send_blocking(&request) {
        assert!(answer.status.is_client_error());
    }
    await_count(&fleet, true, "bad_request", 0);
    assert_serving(&fleet);
}

#[rstest]
#[case::garbage(b"\x00\x00\x00\x05\xff\xff\xff\xff\xff".to_vec(), 1)]
#[case::empty_frame(b"\x00\x00\x00\x00".to_vec(), 1)]
#[case::endless_frame(b"\xff\xff\xff\xff\x00".to_vec(), 1)]
#[case::http(b"GET / HTTP/1.1\r\n\r\n".to_vec(), 1)]
#[case::cut_off(b"\x00\x00\x00\x05\xff".to_vec(), 0)]
fn bad_frame(#[case] bytes: Vec<u8>, #[case] counted: u64, #[values(false, true)] agent: bool) {
    let fleet = small_fleet();
    let member = if agent {
        &fleet.agents[0]
    } else {
        &fleet.entries[0]
    };
    let mut stream = TcpStream::connect(member.process.address("inner")).unwrap();
    stream.write_all(&bytes).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    if counted > 0 {
        await_count(&fleet, agent, "undecodable", 0);
    }
    assert_serving(&fleet);
    assert_eq!(refusal_count(member, "undecodable"), counted);
}

#[rstest]
fn bad_datagram(#[values(0, 1, 40, 60_000)] length: usize, #[values(false, true)] agent: bool) {
    let fleet = small_fleet();
    let member = if agent {
        &fleet.agents[0]
    } else {
        &fleet.entries[0]
    };
    let socket = UdpSocket::bind(("127.0.0.1", 0)).unwrap();
    let bytes = vec![0xff; length];
    socket
        .send_to(&bytes, member.process.address("inner"))
        .unwrap();
    await_count(&fleet, agent, "undecodable", 0);
    assert_serving(&fleet);
}

#[rstest]
#[case::callers(false, "callers", b"GET /ledger/a HTTP/1.1\r\nhost".as_slice())]
#[case::entry_operators(false, "operators", b"GET /status HT".as_slice())]
#[case::entry_links(false, "inner", b"\x00\x00".as_slice())]
#[case::agent_operators(true, "operators", b"".as_slice())]
#[case::agent_links(true, "inner", b"\x00\x00\x10\x00\x01".as_slice())]
#[case::announcements(true, "local", b"POST /announce HTTP/1.1\r\n".as_slice())]
fn half_open(#[case] agent: bool, #[case] listener: &str, #[case] prefix: &[u8]) {
    let fleet = small_fleet();
    let member = if agent {
        &fleet.agents[0]
    } else {
        &fleet.entries[0]
    };
    let address = member.process.address(listener);
    let held: Vec<TcpStream> = (0..300)
        .map(|_| {
            let mut stream = TcpStream::connect(address).unwrap();
            stream.write_all(prefix).unwrap();
            stream
        })
        .collect();
    assert_serving(&fleet);
    assert_eq!(
        member.status()["role"],
        if agent { "agent" } else { "entry" }
    );
    drop(held);
}

#[test]
fn slow_head_ends() {
    let fleet = small_fleet();
    let address = fleet.entries[0].process.address("callers");
    // Returns once the process has closed the connection.
    let answer = raw_exchange(address, b"GET /ledger/a HTTP/1.1\r\nhost");
    assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_serving(&fleet);
}

#[test]
fn unreadable_note() {
    let fleet = small_fleet();
    for payload in [&b"\xff\xfe"[..], b"", b"{}", br#"{"note":{"id":"x"}}"#] {
        fleet.log.append("notes", payload.into());
    }
    let offset = declare_service(&fleet, "cellar", "after");
    await_revision(&fleet, offset + 1);
    assert_serving(&fleet);
}
