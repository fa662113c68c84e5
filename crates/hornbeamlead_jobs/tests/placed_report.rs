//! Placed report of a heartbeat: who can read it, and how long it counts.

mod entry;
mod world;

use entry::TestEntry;
use hornbeamlead_emulator::store::EmulatedStore;
use hornbeamlead_jobs::effect::CallerReply;
use hornbeamlead_jobs::entry::CallerOperation;
use hornbeamlead_jobs::ids::{JobId, RunName, WorkerIncarnation};
use hornbeamlead_jobs::load::{CoreMillis, LoadReport, LoadRow};
use hornbeamlead_jobs::placed::{MAX_PLACED_ROWS, PlacedReport, PlacedRow, QueueHash};
use hornbeamlead_jobs::record::{
    HeartbeatReports, PlanRecord, PlannerClaim, decode, decode_first, decode_heartbeat, encode,
    encode_heartbeat,
};
use hornbeamlead_jobs::store::{AppendCondition, NewRecord, StoreOperation, StreamName};
use rstest::rstest;
use std::net::SocketAddr;
use world::lone::LonePlanner;

const HEARTBEAT: PlanRecord = PlanRecord::Tick { jobs_read: 7 };

fn rows(queues: u32) -> Vec<PlacedRow> {
    let name = |index| format!("team-{index}.example/jobs/");
    let row = |index| PlacedRow {
        queue: QueueHash::of(&name(index)),
        jobs: index + 1,
    };
    (0..queues).map(row).collect()
}

fn reports(load: bool, rows: Vec<PlacedRow>) -> HeartbeatReports {
    HeartbeatReports {
        load: load.then(LoadReport::default),
        placed: Some(PlacedReport::new(rows)),
    }
}

fn queue_length(entry: &mut TestEntry) -> usize {
    let ticket = entry.send_request("/q/", CallerOperation::Read);
    match entry.reply(ticket) {
        Some(CallerReply::Waiting(waiting)) => *waiting,
        reply => panic!("no length: {reply:?}"),
    }
}

/// The version before reads the heartbeat and the load report that follows, or finds none.
#[rstest]
fn other_versions(#[values(false, true)] load: bool) {
    let reports = reports(load, rows(3));
    let bytes = encode_heartbeat(&HEARTBEAT, &reports);
    let (record, rest) = decode_first::<PlanRecord>(&bytes).expect("a heartbeat");
    assert_eq!(record, HEARTBEAT);
    assert_eq!(decode::<LoadReport>(rest).ok(), reports.load);
    assert_eq!(decode_heartbeat(&bytes), Ok((HEARTBEAT, reports.clone())));
    let cut = decode_heartbeat(&bytes[..bytes.len() - 1]);
    let placed = None;
    assert_eq!(cut, Ok((HEARTBEAT, HeartbeatReports { placed, ..reports })));
}

/// All versions have to agree on the hash.
#[test]
fn stable_hash() {
    assert_eq!(QueueHash::of(""), QueueHash(0x811c_9dc5));
    assert_eq!(QueueHash::of("foobar"), QueueHash(0xbf9c_f968));
}

/// Queues with most jobs are stated first, and what is left out in one sum.
#[test]
fn cut_rows() {
    let count = MAX_PLACED_ROWS as u32 + 2;
    let report = PlacedReport::new(rows(count));
    assert_eq!(report.rows.len(), MAX_PLACED_ROWS);
    assert_eq!((report.rest_rows, report.rest_jobs), (2, 1 + 2));
    assert_eq!(report.rows[0].jobs, count);
}

/// Delivers a heartbeat that states five jobs, then five records without a report each 900 ms, and returns
/// the length of the queue before each of these and after the last.
fn lengths_without_report(entry: &mut TestEntry, takeover: Option<u64>) -> Vec<usize> {
    let row = PlacedRow {
        queue: QueueHash::of("h/q/"),
        jobs: 5,
    };
    entry.plan_record(1, encode_heartbeat(&HEARTBEAT, &reports(true, vec![row])));
    let mut lengths = Vec::new();
    for offset in 2..7 {
        lengths.push(queue_length(entry));
        entry.now_ms += 900;
        entry.tick();
        let record = match takeover == Some(offset) {
            true => PlanRecord::Takeover(PlannerClaim {
                host: "h1".into(),
                incarnation: 2,
                address: SocketAddr::from(([10, 0, 0, 1], 7000)),
            }),
            false => HEARTBEAT,
        };
        entry.plan_record(offset, encode(&record));
    }
    lengths.push(queue_length(entry));
    lengths
}

/// A planner of an earlier version that takes over states nothing; the last report must not count
/// for ever.
#[test]
fn report_expires() {
    let lengths = lengths_without_report(&mut TestEntry::ready(), None);
    assert_eq!(lengths, [5, 5, 5, 5, 5, 0]);
}

/// Guards against a report that expires as planners change, each too soon for a report of its own.
#[test]
fn planners_change() {
    let lengths = lengths_without_report(&mut TestEntry::ready(), Some(4));
    assert_eq!(lengths, [5; 6]);
}

/// Returns the placed reports of the heartbeats that a planner has sent.
fn sent_reports(planner: &LonePlanner) -> Vec<Option<PlacedReport>> {
    let plan_records = planner.calls.iter().filter_map(|call| match call {
        StoreOperation::Append {
            stream: StreamName::Plan,
            records,
            ..
        } => Some(records),
        _ => None,
    });
    let values = plan_records
        .flatten()
        .filter_map(|new| new.value.as_deref());
    let decoded = values.filter_map(|value| decode_heartbeat(value).ok());
    let heartbeats = decoded.filter(|(record, _)| matches!(record, PlanRecord::Tick { .. }));
    heartbeats.map(|(_, reports)| reports.placed).collect()
}

/// A planner that follows one of the version before waits for its hosts, which know what runs.
#[test]
fn earlier_planner() {
    let mut store = EmulatedStore::default();
    let mut run = RunName::default();
    run.task.step.job = JobId(1);
    let records = [
        PlanRecord::Accepted {
            job: JobId(1),
            queue: "h/q/".into(),
        },
        PlanRecord::Started {
            run,
            host: "h0".into(),
            incarnation: WorkerIncarnation {
                id: "w-0".into(),
                born: 1,
            },
        },
        HEARTBEAT,
    ];
    let records = records.map(|record| NewRecord {
        key: None,
        value: Some(encode(&record)),
    });
    store.append(10_000, StreamName::Plan, &records, AppendCondition::Always);
    let mut planner = LonePlanner::new(store, 10_000);
    planner.run(1500);
    let early = sent_reports(&planner);
    assert!(early.len() > 3 && early.iter().all(Option::is_none));
    planner.run(1000);
    let row = PlacedRow {
        queue: QueueHash::of("h/q/"),
        jobs: 1,
    };
    let report = PlacedReport::new(vec![row]);
    assert_eq!(sent_reports(&planner).pop(), Some(Some(report)));
}

/// Control traffic of a node, in bytes per second.
const NODE_BYTES_PER_S: usize = 9 * 1024;

/// Heartbeats per second.
const HEARTBEATS_PER_S: usize = 4;

fn load_row(index: u32) -> LoadRow {
    LoadRow {
        service: format!("team-{}", index / 3).into(),
        priority: (index % 3) as u8,
        best_effort: false,
        jobs: 1,
        work: CoreMillis(u64::from(index) * 1000),
        late_work: CoreMillis(0),
        room: 64_000,
        rate: 60_000,
        speed: 60_000,
        wait_ms: 5000,
    }
}

/// A heartbeat fits into a node's traffic while work of all 180 teams waits and jobs of all of them
/// are placed and have not begun.
#[test]
fn many_teams() {
    let load = Some(LoadReport::new((0..540).map(load_row).collect()));
    let size = |placed| {
        let load = load.clone();
        encode_heartbeat(&HEARTBEAT, &HeartbeatReports { load, placed }).len()
    };
    let before = size(None);
    let empty = size(Some(PlacedReport::default()));
    let all = size(Some(PlacedReport::new(rows(180))));
    println!("{before} bytes without report, {empty} with an empty one, {all} with 180 rows");
    assert!(all * HEARTBEATS_PER_S <= NODE_BYTES_PER_S, "{all} bytes");
}
