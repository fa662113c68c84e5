//! Bytes that another writer or an earlier version has left are decoded or refused, and end nobody.

use bytes::Bytes;
use hornbeamlead_jobs::job::JobRecord;
use hornbeamlead_jobs::journal::JournalEntry;
use hornbeamlead_jobs::locator::PlannerAddress;
use hornbeamlead_jobs::message::{AgentMessage, PlannerMessage};
use hornbeamlead_jobs::notice::NoticeMessage;
use hornbeamlead_jobs::record::{decode, decode_heartbeat};
use hornbeamlead_jobs::relay::RelayedCall;
use hornbeamlead_jobs::snapshot::read_snapshot;
use hornbeamlead_jobs::store::{ReadRecord, StoreOutcome};
use proptest::prelude::*;

/// Length of the longest frame, in bytes.
const LONG: usize = 4 * 1024 * 1024;

fn decode_all(bytes: &[u8]) {
    let _ = decode::<AgentMessage>(bytes);
    let _ = decode::<PlannerMessage>(bytes);
    let _ = decode::<NoticeMessage>(bytes);
    let _ = decode::<RelayedCall>(bytes);
    let _ = decode::<StoreOutcome>(bytes);
    let _ = decode::<JobRecord>(bytes);
    let _ = decode::<JournalEntry>(bytes);
    let _ = decode::<PlannerAddress>(bytes);
    let _ = decode_heartbeat(bytes);
    let record = ReadRecord {
        offset: 0,
        key: "part/0".into(),
        value: Some(Bytes::copy_from_slice(bytes)),
    };
    let _ = read_snapshot(&[record]);
}

proptest! {
    #[test]
    fn any_bytes(mut bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        decode_all(&bytes);
        bytes.insert(0, 1);
        decode_all(&bytes);
    }
}

/// Lengths that the content does not reach reserve no memory for it.
#[test]
fn long_bytes() {
    for byte in [0, 1, 2, 0x7f, 0x80, 0xff] {
        let mut bytes = vec![byte; LONG];
        bytes[0] = 1;
        for variant in 0..16 {
            bytes[1] = variant;
            decode_all(&bytes);
        }
    }
}
