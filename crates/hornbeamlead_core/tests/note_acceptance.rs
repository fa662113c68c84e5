//! Every replica accepts or refuses the same notes, and no replica goes back to an older revision.

use hornbeamlead_core::clock::WallTime;
use hornbeamlead_core::event::{NoteEntry, NoteRecord};
use hornbeamlead_core::fleet::{FleetState, ItemKind, NoteRefusal};
use hornbeamlead_core::ids::{LogOffset, Revision};
use hornbeamlead_core::note::{
    DataCentreSpec, DeliveryMode, JobSpec, NoteItems, NoteNames, ReleaseNote, TeamSpec,
};
use hornbeamlead_core::notes_replica::{NotesReplica, RETAINED_RECORDS};
use hornbeamlead_core::record::{LogRecord, RawRecord};
use hornbeamlead_core::resource::ResourceSize;
use proptest::prelude::*;
use std::time::Duration;

fn empty_note(id: &str, based_on: Option<u64>) -> ReleaseNote {
    ReleaseNote {
        id: id.parse().unwrap(),
        based_on: based_on.map(Revision),
        author: "foreman".into(),
        added: NoteItems::default(),
        changed: NoteItems::default(),
        withdrawn: NoteNames::default(),
    }
}

fn data_centre(name: &str, in_service: bool) -> DataCentreSpec {
    DataCentreSpec {
        name: name.parse().unwrap(),
        in_service,
    }
}

fn team(name: &str) -> TeamSpec {
    TeamSpec {
        name: name.parse().unwrap(),
        quota: ResourceSize::default(),
    }
}

fn job(name: &str, team: &str) -> JobSpec {
    JobSpec {
        name: name.parse().unwrap(),
        team: team.parse().unwrap(),
        kind: "report".parse().unwrap(),
        tasks: 1,
        size: ResourceSize::default(),
        run_time: Duration::from_secs(1),
        deadline: WallTime(1),
        priority: 1,
        urgent: false,
        delivery: DeliveryMode::Resumable,
        checkpoint_every: Duration::from_secs(1),
        data_centres: vec![],
    }
}

#[test]
fn concurrent_notes() {
    let mut state = FleetState::default();
    let mut first = empty_note("a", Some(0));
    first.added.data_centres.push(data_centre("negombo", true));
    let mut second = empty_note("b", Some(0));
    second.added.data_centres.push(data_centre("colombo", true));
    assert_eq!(state.apply(LogOffset(0), &first), Ok(Revision(1)));
    let refusal = NoteRefusal::Outdated {
        based_on: Revision(0),
        current: Revision(1),
    };
    assert_eq!(state.apply(LogOffset(1), &second), Err(refusal));
    assert_eq!(state.revision(), Revision(1));
    assert_eq!(state.data_centres().len(), 1);
}

#[test]
fn repeated_note() {
    let mut state = FleetState::default();
    let mut note = empty_note("a", None);
    note.added.teams.push(team("coopers"));
    assert_eq!(state.apply(LogOffset(0), &note), Ok(Revision(1)));
    let refusal = NoteRefusal::UsedId {
        id: note.id.clone(),
        earlier: Revision(1),
    };
    assert_eq!(state.apply(LogOffset(1), &note), Err(refusal));
}

#[test]
fn undeclared_team() {
    let mut state = FleetState::default();
    let mut note = empty_note("a", None);
    note.added.jobs.push(job("casks", "coopers"));
    let refusal = NoteRefusal::Dangling {
        job: "casks".parse().unwrap(),
        kind: ItemKind::Team,
        name: "coopers".into(),
    };
    assert_eq!(state.apply(LogOffset(0), &note), Err(refusal));
    assert!(state.jobs().is_empty());
}

#[test]
fn referenced_team() {
    let mut state = FleetState::default();
    let mut note = empty_note("a", None);
    note.added.teams.push(team("coopers"));
    note.added.jobs.push(job("casks", "coopers"));
    assert!(state.apply(LogOffset(0), &note).is_ok());
    let mut withdrawal = empty_note("b", None);
    withdrawal.withdrawn.teams.push("coopers".parse().unwrap());
    assert!(matches!(
        state.apply(LogOffset(1), &withdrawal),
        Err(NoteRefusal::InUse { .. })
    ));
    withdrawal.id = "c".parse().unwrap();
    withdrawal.withdrawn.jobs.push("casks".parse().unwrap());
    assert!(state.apply(LogOffset(2), &withdrawal).is_ok());
}

/// Returns a new replica after it applied all records that `peer` forwards to it.
fn forward_all(peer: &NotesReplica, stream: &[LogRecord<NoteRecord>]) -> NotesReplica {
    let copies = peer.copies_from(LogOffset(0));
    let forwarded: Vec<_> = copies
        .iter()
        .map(|copy| stream[copy.offset.0 as usize].clone())
        .collect();
    let mut fresh = NotesReplica::default();
    fresh.apply_records(&forwarded);
    fresh
}

/// More notes than the replica usually retains still reach a replica with empty state, before and
/// after a snapshot covers them.
#[test]
fn long_history_forwarded() {
    let mut stream = Vec::new();
    let mut replica = NotesReplica::default();
    for offset in 0..RETAINED_RECORDS as u64 + 200 {
        let mut note = empty_note(&format!("n{offset}"), None);
        note.added.teams.push(team(&format!("t{offset}")));
        stream.push(log_record(offset, NoteEntry::Note(note)));
    }
    replica.apply_records(&stream);
    assert_eq!(forward_all(&replica, &stream).fleet(), replica.fleet());
    let snapshot = replica.fleet().snapshot();
    stream.push(log_record(
        stream.len() as u64,
        NoteEntry::Snapshot(snapshot),
    ));
    replica.apply_records(&stream[stream.len() - 1..]);
    assert!(replica.copies_from(LogOffset(0)).len() <= RETAINED_RECORDS);
    assert_eq!(forward_all(&replica, &stream).fleet(), replica.fleet());
}

/// Generates notes over a few ids, revisions and data centres, so that conflicts are common.
fn any_note() -> impl Strategy<Value = ReleaseNote> {
    (
        0..12u32,
        proptest::option::of(0..12u64),
        0..3u8,
        0..4u32,
        any::<bool>(),
    )
        .prop_map(|(id, based_on, action, item, flag)| {
            let mut note = empty_note(&format!("n{id}"), based_on);
            let name = format!("c{item}");
            match action {
                0 => note.added.data_centres.push(data_centre(&name, flag)),
                1 => note.changed.data_centres.push(data_centre(&name, flag)),
                _ => note.withdrawn.data_centres.push(name.parse().unwrap()),
            }
            note
        })
}

fn log_record(offset: u64, entry: NoteEntry) -> LogRecord<NoteRecord> {
    let offset = LogOffset(offset);
    let raw = RawRecord {
        offset,
        payload: bytes::Bytes::from_static(b"payload"),
    };
    LogRecord {
        offset,
        record: NoteRecord {
            entry: Some(entry),
            raw,
        },
    }
}

proptest! {
    /// A replica that gets records repeatedly, late or out of order ends in the same state and
    /// never goes back to an older revision.
    #[test]
    fn never_reverts(
        notes in proptest::collection::vec(any_note(), 1..30),
        reads in proptest::collection::vec((0..30usize, 0..30usize), 1..40),
    ) {
        let records: Vec<_> = notes
            .iter()
            .enumerate()
            .map(|(offset, note)| log_record(offset as u64, NoteEntry::Note(note.clone())))
            .collect();
        let mut expected = NotesReplica::default();
        expected.apply_records(&records);
        let mut other = NotesReplica::default();
        let mut newest = Revision(0);
        for (from, to) in reads {
            let (from, to) = (from.min(records.len()), to.min(records.len()));
            other.apply_records(&records[from.min(to)..to.max(from)]);
            prop_assert!(other.revision() >= newest);
            newest = other.revision();
        }
        other.apply_records(&records);
        prop_assert_eq!(other.fleet(), expected.fleet());
    }

    /// A replica that starts from a snapshot ends in the same state as one that read all records.
    #[test]
    fn snapshot_equals_replay(
        notes in proptest::collection::vec(any_note(), 1..30),
        snapshot_index in any::<prop::sample::Index>(),
    ) {
        let mut expected = FleetState::default();
        let snapshot_index = snapshot_index.index(notes.len());
        let mut snapshot = expected.snapshot();
        for (offset, note) in notes.iter().enumerate() {
            if offset == snapshot_index {
                snapshot = expected.snapshot();
            }
            let _ = expected.apply(LogOffset(offset as u64), note);
        }
        let mut restored = FleetState::default();
        restored.load(&snapshot);
        for (offset, note) in notes.iter().enumerate().skip(snapshot_index) {
            let _ = restored.apply(LogOffset(offset as u64), note);
        }
        prop_assert_eq!(restored, expected);
    }

    /// A reader whose next record was removed by retention finds the snapshot behind other records,
    /// continues from it, and can then serve a peer with empty state.
    #[test]
    fn truncated_reader(
        notes in proptest::collection::vec(any_note(), 2..30),
        snapshot_index in any::<prop::sample::Index>(),
        write_index in any::<prop::sample::Index>(),
        limit in 1..5usize,
    ) {
        let snapshot_index = snapshot_index.index(notes.len());
        let write_index = snapshot_index + write_index.index(notes.len() - snapshot_index);
        let mut expected = FleetState::default();
        let mut stream = Vec::new();
        let mut snapshot = expected.snapshot();
        for (index, note) in notes.iter().enumerate() {
            if index == snapshot_index {
                snapshot = expected.snapshot();
            }
            if index == write_index {
                let offset = stream.len() as u64;
                stream.push(log_record(offset, NoteEntry::Snapshot(snapshot.clone())));
                expected.skip(LogOffset(offset));
            }
            let offset = stream.len() as u64;
            stream.push(log_record(offset, NoteEntry::Note(note.clone())));
            let _ = expected.apply(LogOffset(offset), note);
        }
        let oldest = snapshot_index;
        let mut restored = NotesReplica::default();
        restored.skip_truncated(LogOffset(oldest as u64));
        for _ in 0..100 {
            let from = restored.next_read_offset().0 as usize;
            prop_assert!(from >= oldest);
            let to = (from + limit).min(stream.len());
            restored.apply_records(&stream[from..to]);
        }
        prop_assert_eq!(restored.fleet(), &expected);
        let copies = restored.copies_from(LogOffset(0));
        let forwarded: Vec<_> = copies.iter().map(|copy| stream[copy.offset.0 as usize].clone()).collect();
        let mut peer = NotesReplica::default();
        peer.apply_records(&forwarded);
        prop_assert_eq!(peer.fleet(), &expected);
    }

    /// The parts of a snapshot may arrive in any order and repeatedly; the state changes only once
    /// all of them have arrived.
    #[test]
    fn snapshot_parts(
        jobs in 0..20usize,
        per_part in 1..6usize,
        order in proptest::collection::vec(any::<prop::sample::Index>(), 0..40),
    ) {
        let mut expected = FleetState::default();
        let mut note = empty_note("a", None);
        note.added.teams.push(team("coopers"));
        note.added.jobs.extend((0..jobs).map(|number| job(&format!("j{number}"), "coopers")));
        prop_assert!(expected.apply(LogOffset(7), &note).is_ok());
        let parts = expected.snapshot().split(per_part);
        prop_assert!(parts.iter().all(|part| part.items.jobs.len() <= per_part));
        let mut restored = NotesReplica::default();
        let mut seen = std::collections::BTreeSet::new();
        for index in order {
            let index = index.index(parts.len());
            restored.apply_records(&[log_record(20 + index as u64, NoteEntry::Snapshot(parts[index].clone()))]);
            seen.insert(index);
            let complete = seen.len() == parts.len();
            prop_assert_eq!(restored.revision() == expected.revision(), complete);
        }
        for (index, part) in parts.iter().enumerate() {
            restored.apply_records(&[log_record(20 + index as u64, NoteEntry::Snapshot(part.clone()))]);
        }
        prop_assert_eq!(restored.fleet(), &expected);
    }

    /// A replica that cannot read the log is brought up to date by a peer's retained records.
    #[test]
    fn peers_forward_notes(
        notes in proptest::collection::vec(any_note(), 1..30),
        applied in any::<prop::sample::Index>(),
    ) {
        let records: Vec<_> = notes
            .iter()
            .enumerate()
            .map(|(offset, note)| log_record(offset as u64, NoteEntry::Note(note.clone())))
            .collect();
        let mut peer = NotesReplica::default();
        peer.apply_records(&records);
        let applied = applied.index(records.len());
        let mut behind = NotesReplica::default();
        behind.apply_records(&records[..applied]);
        let copies = peer.copies_from(behind.fleet().next());
        let forwarded: Vec<_> = copies
            .iter()
            .map(|copy| records[copy.offset.0 as usize].clone())
            .collect();
        behind.apply_records(&forwarded);
        prop_assert_eq!(behind.fleet(), peer.fleet());
    }
}
