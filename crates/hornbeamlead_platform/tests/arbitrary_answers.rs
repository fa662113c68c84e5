//! Arbitrary bytes as answers of the platform: decoding never panics, and a batch that is
//! accepted is consistent.

use bytes::Bytes;
use hornbeamlead_core::event::EndpointAnnounce;
use hornbeamlead_core::record::LogBatch;
use hornbeamlead_core::task::WorkerReport;
use hornbeamlead_platform::announce_wire::AnnounceWire;
use hornbeamlead_platform::log_wire::{ReadAnswer, RecordWire};
use hornbeamlead_platform::worker_wire::ReportAnswer;
use proptest::prelude::*;

/// Arbitrary bytes, or tokens of JSON, which get further into the parser.
fn json_like() -> impl Strategy<Value = Vec<u8>> {
    let token = prop::sample::select(vec![
        "{",
        "}",
        "[",
        "]",
        ":",
        ",",
        "\"",
        "null",
        "true",
        "-1",
        "1e999",
        "\"oldest\"",
        "\"next\"",
        "\"records\"",
        "\"tasks\"",
        "\"attempt\"",
        "18446744073709551615",
        "\\u0000",
    ]);
    let text = prop::collection::vec(token, 0..40).prop_map(|tokens| tokens.concat().into());
    prop_oneof![prop::collection::vec(any::<u8>(), 0..400), text]
}

fn read_answer() -> impl Strategy<Value = ReadAnswer> {
    let record = (0..8_u64, "[A-Za-z0-9+/=]{0,8}")
        .prop_map(|(offset, payload)| RecordWire { offset, payload });
    let records = prop::collection::vec(record, 0..5);
    (0..8_u64, 0..8_u64, records).prop_map(|(oldest, next, records)| ReadAnswer {
        oldest,
        next,
        records,
    })
}

proptest! {
    #[test]
    fn bytes_never_panic(bytes in json_like()) {
        if let Ok(wire) = serde_json::from_slice::<ReadAnswer>(&bytes) {
            let _ = LogBatch::<Bytes>::try_from(wire);
        }
        if let Ok(wire) = serde_json::from_slice::<ReportAnswer>(&bytes) {
            let _ = WorkerReport::try_from(wire);
        }
        if let Ok(wire) = serde_json::from_slice::<AnnounceWire>(&bytes) {
            let _ = EndpointAnnounce::try_from(wire);
        }
    }

    #[test]
    fn batches_ordered(answer in read_answer()) {
        if let Ok(batch) = LogBatch::<Bytes>::try_from(answer) {
            let offsets: Vec<u64> = batch.records.iter().map(|it| it.offset.0).collect();
            prop_assert!(offsets.windows(2).all(|pair| pair[0] + 1 == pair[1]));
            prop_assert!(offsets.iter().all(|it| (batch.oldest.0..batch.next.0).contains(it)));
        }
    }
}
