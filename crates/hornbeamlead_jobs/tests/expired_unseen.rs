//! Plan records that expire before an entry has read them: what they tell of its jobs is in the
//! snapshot.

mod entry;
mod world;

use entry::TestEntry;
use hornbeamlead_jobs::effect::CallerReply;
use hornbeamlead_jobs::entry::CallerOperation;
use hornbeamlead_jobs::ids::JobId;
use hornbeamlead_jobs::job::JobPhase;
use hornbeamlead_jobs::ledger::JobLedger;
use hornbeamlead_jobs::record::PlanRecord;
use hornbeamlead_jobs::snapshot::{SnapshotSet, snapshot_records};
use hornbeamlead_jobs::store::{ReadRecord, StoreCaller, StoreOutcome};

const APPENDED: StoreOutcome = StoreOutcome::Appended { offset: 6 };

/// Guards against accepted jobs that count as waiting for ever, since the records that tell of them
/// expired before they were read.
#[test]
fn waiting_again() {
    let mut entry = TestEntry::ready();
    let ticket = entry.submit();
    entry.stored(StoreCaller::Ticket(ticket), APPENDED);
    let waiting = |entry: &mut TestEntry| {
        let ticket = entry.send_request("/q/", CallerOperation::Read);
        entry.reply(ticket).cloned()
    };
    assert_eq!(waiting(&mut entry), Some(CallerReply::Waiting(1)));
    entry.stored(StoreCaller::Plan, StoreOutcome::Expired { first: 50 });
    let mut ledger = JobLedger::default();
    let (job, queue) = (JobId(0xaa), "h/q/".into());
    ledger.apply(&PlanRecord::Accepted { job, queue });
    let phase = JobPhase::Completed;
    ledger.apply(&PlanRecord::Closed { job, phase });
    let records = snapshot_records(&ledger, 60, SnapshotSet::First);
    let records = records
        .into_iter()
        .zip(0..)
        .map(|(record, offset)| ReadRecord {
            offset,
            key: record.key.unwrap_or_default(),
            value: record.value,
        });
    let page = StoreOutcome::Page {
        records: records.collect(),
        more: false,
        end: 1,
    };
    entry.now_ms += 1000;
    entry.tick();
    entry.stored(StoreCaller::Plan, page);
    for offset in [60, 61] {
        entry.now_ms += 200;
        entry.planner_heartbeat(offset);
    }
    assert_eq!(waiting(&mut entry), Some(CallerReply::Waiting(0)));
}
