//! Streams whose older records were truncated are replayed from their snapshots.

mod common;

use common::{SimCluster, host_specs, job, name};
use hornbeamlead_core::effect::AppendRecord;
use hornbeamlead_core::ids::{CellId, LogOffset};
use hornbeamlead_core::policy::SchedulePolicy;
use hornbeamlead_core::record::{CellEntry, JobEntry, StreamName};
use hornbeamlead_core::task::TaskPhase;
use hornbeamlead_schedule::job_log::JobState;
use hornbeamlead_schedule::stream::StreamReader;
use std::time::Duration;

const TASKS: u32 = 30;

fn cluster() -> SimCluster {
    let policy = SchedulePolicy {
        snapshot_records: 6,
        ..SchedulePolicy::default()
    };
    let mut cluster = SimCluster::new(4, &host_specs(&["negombo"], 3), policy);
    cluster.add_jobs("jobs", vec![job("season", TASKS, Duration::from_secs(6))]);
    for index in 0..6 {
        cluster.add_jobs(
            &format!("more-{index}"),
            vec![job(&format!("more-{index}"), 1, Duration::from_secs(2))],
        );
    }
    cluster.run(Duration::from_secs(12));
    cluster
}

/// Truncates each stream up to its newest snapshot.
fn expire(cluster: &mut SimCluster) {
    let cell = StreamName::Cell(CellId(1));
    let kept =
        cluster.log.cells[&cell]
            .iter()
            .filter_map(|log_record| match &log_record.record.entry {
                CellEntry::Snapshot(snapshot) => Some(snapshot.up_to.0),
                _ => None,
            });
    let cell_from = kept.max().expect("a snapshot of the cell");
    let kept = cluster
        .log
        .jobs
        .iter()
        .filter_map(|log_record| match &log_record.record.entry {
            JobEntry::Snapshot(snapshot) => Some(snapshot.up_to.0),
            _ => None,
        });
    let jobs_from = kept.max().expect("a snapshot of the jobs");
    let full = cluster.log.fleet.snapshot();
    let notes_from = full.up_to.0;
    cluster
        .log
        .append(&StreamName::Notes, AppendRecord::NotesSnapshot(full));
    cluster.log.oldest.insert(cell, cell_from);
    cluster.log.oldest.insert(StreamName::Jobs, jobs_from);
    cluster.log.oldest.insert(StreamName::Notes, notes_from);
}

#[test]
fn fleet_restarts() {
    let mut cluster = cluster();
    expire(&mut cluster);
    for host in 0..3 {
        cluster.start_agent(host);
    }
    let done = cluster.run_until(Duration::from_secs(60), |cluster| {
        cluster.ended("season", TaskPhase::Finished) == TASKS as usize
    });
    assert!(done, "{:#?}", cluster.trace);
    assert_eq!(cluster.violations, Vec::<String>::new());
    assert!(cluster.started.values().all(|count| *count == 1));
}

#[test]
fn snapshot_matches_replay() {
    let mut cluster = cluster();
    let mut full: StreamReader<JobState> = StreamReader::default();
    let mut truncated: StreamReader<JobState> = StreamReader::default();
    follow(&cluster, &mut full);
    expire(&mut cluster);
    truncated.skip_truncated(LogOffset(cluster.log.oldest[&StreamName::Jobs]));
    follow(&cluster, &mut truncated);
    assert!(!truncated.has_gap());
    let owners = |reader: &StreamReader<JobState>| {
        let ledgers = &reader.state().jobs()[&name("season")];
        let cells = ledgers.iter().map(|(index, ledger)| {
            (
                *index,
                ledger.owner.map(|owner| owner.cell),
                ledger.ended.clone(),
            )
        });
        cells.collect::<Vec<_>>()
    };
    assert_eq!(owners(&truncated), owners(&full));
    assert_eq!(
        truncated.state().position(CellId(1)),
        full.state().position(CellId(1))
    );
}

fn follow(cluster: &SimCluster, reader: &mut StreamReader<JobState>) {
    loop {
        let read = cluster.log.read(&StreamName::Jobs, reader.cursor());
        match read {
            Ok(hornbeamlead_core::event::StreamBatch::Jobs(batch)) => {
                if reader.take(&batch) || batch.records.is_empty() {
                    return;
                }
            }
            other => panic!("unexpected {other:?}"),
        }
    }
}
