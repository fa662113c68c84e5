//! Decoding a record allocates no more than the documented bound, whatever its bytes.

#[path = "common/strategies.rs"]
mod strategies;

use hornbeamlead_settings::note::{
    DECODE_BYTES_FIXED, DECODE_BYTES_PER_BYTE, MAX_NOTE_BYTES, decode_entry, encode_note,
};
use hornbeamlead_settings::{MAX_FINDINGS, read_settings};
use proptest::collection::vec;
use proptest::prelude::*;
use rstest::rstest;
use strategies::{corrupted_record, note};

fn assert_bounded(payload: &[u8]) {
    let measured = allocation_counter::measure(|| drop(decode_entry(payload)));
    let bound = DECODE_BYTES_FIXED + DECODE_BYTES_PER_BYTE * payload.len();
    let length = payload.len();
    assert!(
        measured.bytes_max <= bound as u64,
        "{} bytes allocated for a payload of {length} bytes",
        measured.bytes_max
    );
}

proptest! {
    #[test]
    fn arbitrary_bytes(bytes in vec(any::<u8>(), 0..2000)) {
        assert_bounded(&bytes);
    }

    #[test]
    fn corrupted_bytes(bytes in corrupted_record()) {
        assert_bounded(&bytes);
    }

    #[test]
    fn valid_record(note in note()) {
        assert_bounded(&encode_note(&note));
    }
}

#[rstest]
#[case::short_names(
    r#"{"note":{"id":"a","based_on":null,"author":"","withdrawn":{"jobs":["#,
    r#""a","#
)]
#[case::empty_names(
    r#"{"note":{"id":"a","based_on":null,"author":"","withdrawn":{"jobs":["#,
    r#""","#
)]
#[case::note_results(
    r#"{"snapshot":{"up_to":1,"revision":1,"items":{},"fates":["#,
    r#"{"id":"a","revision":1},"#
)]
#[case::centres(
    r#"{"note":{"id":"a","based_on":null,"author":"","added":{"data_centres":["#,
    r#"{"name":"a","in_service":true},"#
)]
#[case::nesting("", "[")]
#[case::escapes(r#"{"note":{"id":""#, r"\u0041")]
fn longest_record(#[case] head: &str, #[case] repeated: &str) {
    let times = (MAX_NOTE_BYTES - head.len()) / repeated.len();
    let mut payload = format!("{head}{}", repeated.repeat(times));
    assert_bounded(payload.as_bytes());
    if payload.ends_with(',') {
        payload.pop();
        payload.truncate(payload.len() - 4 * repeated.len());
        payload.push_str("]}}}");
        assert_bounded(payload.as_bytes());
    }
}

#[test]
fn many_findings() {
    let text = format!("{{{}\"z\": 1}}", "\"a\": 1, ".repeat(20_000));
    let findings = read_settings("many.json", &text).unwrap_err();
    assert_eq!(findings.iter().count(), MAX_FINDINGS);
    assert!(findings.omitted() > 20_000);
}
