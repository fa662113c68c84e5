//! Streams whose records run out are followed from their snapshots.

mod common;

use common::{World, job, name, plans};
use hornbeamlead_core::effect::AppendRecord;
use hornbeamlead_core::ids::{CellId, LogOffset};
use hornbeamlead_core::policy::SchedulePolicy;
use hornbeamlead_core::record::{CellEntry, JobEntry, StreamName};
use hornbeamlead_core::task::TaskPhase;
use hornbeamlead_schedule::job_log::JobState;
use hornbeamlead_schedule::stream::StreamReader;
use std::time::Duration;

const TASKS: u32 = 30;

fn world() -> World {
    let policy = SchedulePolicy {
        snapshot_records: 6,
        ..SchedulePolicy::default()
    };
    let mut world = World::new(4, &plans(&["negombo"], 3), policy);
    world.add_jobs("jobs", vec![job("season", TASKS, Duration::from_secs(6))]);
    for index in 0..6 {
        world.add_jobs(
            &format!("more-{index}"),
            vec![job(&format!("more-{index}"), 1, Duration::from_secs(2))],
        );
    }
    world.run(Duration::from_secs(12));
    world
}

/// Drops all that the newest snapshot of each stream contains.
fn expire(world: &mut World) {
    let cell = StreamName::Cell(CellId(1));
    let kept = world.log.cells[&cell]
        .iter()
        .filter_map(|placed| match &placed.record.entry {
            CellEntry::Snapshot(snapshot) => Some(snapshot.up_to.0),
            _ => None,
        });
    let cell_from = kept.max().expect("a snapshot of the cell");
    let kept = world
        .log
        .jobs
        .iter()
        .filter_map(|placed| match &placed.record.entry {
            JobEntry::Snapshot(snapshot) => Some(snapshot.up_to.0),
            _ => None,
        });
    let jobs_from = kept.max().expect("a snapshot of the jobs");
    let whole = world.log.fleet.snapshot();
    let notes_from = whole.up_to.0;
    world
        .log
        .append(&StreamName::Notes, AppendRecord::NotesSnapshot(whole));
    world.log.oldest.insert(cell, cell_from);
    world.log.oldest.insert(StreamName::Jobs, jobs_from);
    world.log.oldest.insert(StreamName::Notes, notes_from);
}

#[test]
fn fleet_restarts() {
    let mut world = world();
    expire(&mut world);
    for host in 0..3 {
        world.start_agent(host);
    }
    let done = world.run_until(Duration::from_secs(60), |world| {
        world.ended("season", TaskPhase::Finished) == TASKS as usize
    });
    assert!(done, "{:#?}", world.trace);
    assert_eq!(world.violations, Vec::<String>::new());
    assert!(world.started.values().all(|count| *count == 1));
}

#[test]
fn same_state() {
    let mut world = world();
    let mut whole: StreamReader<JobState> = StreamReader::default();
    let mut late: StreamReader<JobState> = StreamReader::default();
    follow(&world, &mut whole);
    expire(&mut world);
    late.skip_truncated(LogOffset(world.log.oldest[&StreamName::Jobs]));
    follow(&world, &mut late);
    assert!(!late.has_gap());
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
    assert_eq!(owners(&late), owners(&whole));
    assert_eq!(late.state().mark(CellId(1)), whole.state().mark(CellId(1)));
}

fn follow(world: &World, reader: &mut StreamReader<JobState>) {
    loop {
        let read = world.log.read(&StreamName::Jobs, reader.cursor());
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
