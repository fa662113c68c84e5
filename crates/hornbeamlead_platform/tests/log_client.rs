//! Client of the log against the stand-in and against invalid answers.

mod common;

use bytes::Bytes;
use common::{any_port, block_on, http_response, serve_fixed, serve_with};
use hornbeamlead_core::ids::{CellId, LogOffset};
use hornbeamlead_core::record::{LogError, StreamName};
use hornbeamlead_platform::log::{LogClient, MAX_LOG_ANSWER_BYTES, MAX_PAYLOAD_BYTES};
use hornbeamlead_standin::log::{LogControl, LogStandin, OutageMode};
use rstest::rstest;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

fn start_log(control: LogControl) -> (LogStandin, LogClient) {
    let log = LogStandin::start(any_port(), control).unwrap();
    let client = LogClient::new(log.addr());
    (log, client)
}

#[test]
fn append_then_read() {
    let (_log, client) = start_log(LogControl::default());
    let stream = StreamName::Cell(CellId(3));
    block_on(async {
        for text in ["one", "two", "three"] {
            client.append(&stream, Bytes::from(text)).await.unwrap();
        }
        let batch = client.read(&stream, LogOffset(1), 10).await.unwrap();
        let payloads: Vec<&[u8]> = batch.records.iter().map(|it| &*it.record).collect();
        assert_eq!(payloads, [b"two" as &[u8], b"three"]);
        assert_eq!((batch.oldest, batch.next), (LogOffset(0), LogOffset(3)));
        let tail = client.read(&stream, LogOffset(3), 10).await.unwrap();
        assert_eq!(tail.records, []);
    });
}

#[test]
fn retention_passed() {
    let (_log, client) = start_log(LogControl {
        retention_records: 2,
        ..LogControl::default()
    });
    block_on(async {
        for _ in 0..5 {
            let payload = Bytes::from_static(b"x");
            client.append(&StreamName::Jobs, payload).await.unwrap();
        }
        let error = client.read(&StreamName::Jobs, LogOffset(0), 10).await;
        let oldest = LogOffset(3);
        assert_eq!(error.unwrap_err(), LogError::Truncated { oldest });
    });
}

#[test]
fn lost_append_answer() {
    let (log, client) = start_log(LogControl {
        lost_answer_percent: 100,
        ..LogControl::default()
    });
    let append = client.append(&StreamName::Notes, Bytes::from_static(b"note"));
    assert_eq!(block_on(append), Err(LogError::Unavailable));
    assert_eq!(log.records("notes"), [Bytes::from_static(b"note")]);
}

#[rstest]
#[case::refusing(OutageMode::Refusing)]
#[case::silent(OutageMode::Silent)]
fn outage_recovers(#[case] outage: OutageMode) {
    let (log, client) = start_log(LogControl::default());
    let payload = Bytes::from_static(b"x");
    block_on(async {
        log.control(|control| control.outage = outage);
        let append = client.append(&StreamName::Notes, payload.clone()).await;
        assert_eq!(append, Err(LogError::Unavailable));
        log.control(|control| control.outage = OutageMode::None);
        let append = client.append(&StreamName::Notes, payload.clone()).await;
        assert_eq!(append, Ok(LogOffset(0)));
    });
}

#[test]
fn rate_exceeded() {
    let (_log, client) = start_log(LogControl {
        appends_per_second: 0,
        ..LogControl::default()
    });
    let append = client.append(&StreamName::Notes, Bytes::new());
    assert_eq!(block_on(append), Err(LogError::Unavailable));
}

#[test]
fn max_length_records() {
    let (_log, client) = start_log(LogControl::default());
    let payload = Bytes::from(vec![7; MAX_PAYLOAD_BYTES]);
    block_on(async {
        for _ in 0..3 {
            let appended = client.append(&StreamName::Jobs, payload.clone()).await;
            appended.unwrap();
        }
        let batch = client.read(&StreamName::Jobs, LogOffset(0), 100).await;
        assert_eq!(batch.unwrap().records.len(), 3);
    });
}

/// Number of records that fit in an answer whatever their length. Twice the maximum payload is
/// counted for each, as base64 adds a third.
const FITTING_RECORDS: usize = MAX_LOG_ANSWER_BYTES / (2 * MAX_PAYLOAD_BYTES);

#[rstest]
#[case::high_limit(100, 1)]
#[case::low_limit(3, 0)]
fn long_answer_retried(#[case] limit: usize, #[case] retried: usize) {
    let body = r#"{"oldest":0,"next":1,"records":[{"offset":0,"payload":"eA=="}]}"#;
    let requests = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&requests);
    let address = serve_with(move |request| {
        counter.fetch_add(1, Ordering::SeqCst);
        let fits = (1..=FITTING_RECORDS).any(|it| request.contains(&format!("&limit={it} ")));
        match fits {
            true => http_response("200 OK", body).into(),
            false => http_response("200 OK", &"x".repeat(MAX_LOG_ANSWER_BYTES + 1)).into(),
        }
    });
    let client = LogClient::new(address);
    let read = client.read(&StreamName::Jobs, LogOffset(0), limit);
    assert_eq!(&*block_on(read).unwrap().records[0].record, b"x");
    assert_eq!(requests.load(Ordering::SeqCst), 1 + retried);
}

#[rstest]
#[case::no_json(http_response("200 OK", "{"))]
#[case::wrong_start(http_response(
    "200 OK",
    r#"{"oldest":0,"next":2,"records":[{"offset":1,"payload":""}]}"#
))]
#[case::missing_records(http_response("200 OK", r#"{"oldest":0,"next":2,"records":[]}"#))]
#[case::skipped_offset(http_response(
    "200 OK",
    r#"{"oldest":0,"next":3,"records":[{"offset":0,"payload":""},{"offset":2,"payload":""}]}"#
))]
#[case::past_end(http_response(
    "200 OK",
    r#"{"oldest":0,"next":0,"records":[{"offset":0,"payload":""}]}"#
))]
#[case::no_base64(http_response(
    "200 OK",
    r#"{"oldest":0,"next":1,"records":[{"offset":0,"payload":"?"}]}"#
))]
#[case::cut_off("HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{\"oldest\":0".to_owned())]
#[case::endless(format!("HTTP/1.1 200 OK\r\n\r\n{}", "x".repeat(9 * 1024 * 1024)))]
#[case::gone_without_offset(http_response("410 Gone", "{}"))]
#[case::other_status(http_response("302 Found", ""))]
fn invalid_answer(#[case] answer: String) {
    let client = LogClient::new(serve_fixed(answer));
    let read = client.read(&StreamName::Notes, LogOffset(0), 1);
    assert_eq!(block_on(read), Err(LogError::Unavailable));
}
