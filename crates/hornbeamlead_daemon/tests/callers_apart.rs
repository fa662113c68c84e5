//! Isolation of callers: they cannot reach the operators' interface or set reserved headers.

mod common;

use common::probes::{raw_exchange, runs_by_path, small_fleet};
use hornbeamlead_standin::client::TestRequest;
use rstest::rstest;

#[rstest]
#[case::status("/status")]
#[case::explain("/explain?subject=note")]
#[case::note("/note/base")]
#[case::announce("/announce")]
#[case::double_slash("//status")]
#[case::dot_segments("/ledger/../status")]
#[case::escaped("/%73tatus")]
fn operators_unreachable(#[case] path: &str) {
    let fleet = small_fleet();
    let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    let answer = raw_exchange(
        fleet.entries[0].process.address("callers"),
        request.as_bytes(),
    );
    assert!(!answer.contains("counters"), "{answer}");
    assert!(!answer.contains("\"rule\""), "{answer}");
}

#[test]
fn operators_by_host() {
    let fleet = small_fleet();
    let operators = fleet.entries[0].process.address("operators");
    for request in [
        format!(
            "GET http://{operators}/status HTTP/1.1\r\nhost: {operators}\r\nconnection: close\r\n\r\n"
        ),
        format!("GET /status HTTP/1.1\r\nhost: {operators}\r\nconnection: close\r\n\r\n"),
        format!("CONNECT {operators} HTTP/1.1\r\nhost: {operators}\r\nconnection: close\r\n\r\n"),
    ] {
        let callers = fleet.entries[0].process.address("callers");
        let answer = raw_exchange(callers, request.as_bytes());
        assert!(answer.starts_with("HTTP/1.1 4"), "{answer}");
        assert!(!answer.contains("counters"), "{answer}");
    }
}

#[test]
fn reserved_headers_stripped() {
    let fleet = small_fleet();
    let request = TestRequest::post(fleet.log.addr(), "/ledger/casks", "hoop")
        .header("hornbeamlead-request", "forged/1/1")
        .header("Hornbeamlead-Key", "forged")
        .header("connection", "keep-alive, x-dropped")
        .header("x-dropped", "1")
        .header("x-yard", "negombo");
    assert_eq!(fleet.call(0, request).unwrap().status, 200);
    let run = runs_by_path(&fleet, "/casks").remove(0);
    assert_eq!(run.own_headers.len(), 1, "{:?}", run.own_headers);
    assert!(run.request.starts_with("entry-01/"), "{}", run.request);
}
