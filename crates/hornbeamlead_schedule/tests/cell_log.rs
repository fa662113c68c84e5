//! Replay of a cell's stream: which claims take effect, and which changes are ignored.

use hornbeamlead_core::ids::{AttemptId, Epoch, HostId, Incarnation, LogOffset, TaskId};
use hornbeamlead_core::record::{
    AttemptChange, AttemptRecord, CellEntry, CellRecord, EpochClaim, LogRecord, SuccessorName,
};
use hornbeamlead_schedule::cell_log::{AttemptState, CellState};
use hornbeamlead_schedule::stream::StreamState;
use rstest::rstest;
use std::net::SocketAddr;

fn host(text: &str) -> HostId {
    text.parse().expect("valid name")
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000))
}

fn claim(text: &str, previous: u64, successor: Option<&str>, forced: bool) -> CellEntry {
    CellEntry::Claim(EpochClaim {
        host: host(text),
        incarnation: Incarnation(1),
        control_address: address(),
        previous: Epoch(previous),
        successor: successor.map(|text| SuccessorName {
            host: host(text),
            control_address: address(),
        }),
        forced,
    })
}

fn change(epoch: u64, number: u32, change: AttemptChange) -> CellEntry {
    let task = TaskId {
        job: "season".parse().expect("valid name"),
        index: 0,
    };
    CellEntry::Attempts {
        epoch: Epoch(epoch),
        changes: vec![AttemptRecord {
            attempt: AttemptId { task, number },
            change,
        }],
    }
}

fn started() -> AttemptChange {
    AttemptChange::Started {
        host: host("a"),
        resume_from: None,
    }
}

fn replay(entries: Vec<CellEntry>) -> CellState {
    let mut state = CellState::default();
    for (offset, entry) in (0..).zip(entries) {
        let id = format!("r{offset}").parse().expect("valid name");
        state.apply(&LogRecord {
            offset: LogOffset(offset),
            record: CellRecord { id, entry },
        });
    }
    state
}

#[rstest]
#[case::successor("b", 1, false, true)]
#[case::other("c", 1, false, false)]
#[case::forced("c", 1, true, true)]
#[case::outdated("b", 0, false, false)]
#[case::same_host("a", 1, false, true)]
fn next_claim(
    #[case] claimant: &str,
    #[case] previous: u64,
    #[case] forced: bool,
    #[case] in_force: bool,
) {
    let first = claim("a", 0, Some("b"), false);
    let state = replay(vec![first, claim(claimant, previous, None, forced)]);
    assert_eq!(state.epoch() == Epoch(2), in_force);
}

#[test]
fn old_epoch_ignored() {
    let first = claim("a", 0, Some("b"), false);
    let state = replay(vec![
        first,
        claim("b", 1, None, false),
        change(1, 1, started()),
    ]);
    assert!(state.attempts().is_empty());
}

#[test]
fn repeated_changes_ignored() {
    let released = || AttemptChange::Released { token: None };
    let state = replay(vec![
        claim("a", 0, None, false),
        change(1, 1, started()),
        change(1, 1, released()),
        change(1, 2, started()),
        change(1, 1, released()),
        change(1, 1, started()),
        change(1, 2, started()),
    ]);
    let latest = state.attempts().values().next().expect("an attempt");
    assert_eq!(latest.number, 2);
    assert_eq!(latest.state, AttemptState::Started { host: host("a") });
}
