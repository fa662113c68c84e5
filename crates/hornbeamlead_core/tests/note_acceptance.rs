//! Notes are accepted or refused alike everywhere, and nothing ever reverts.

use hornbeamlead_core::clock::WallTime;
use hornbeamlead_core::event::{NoteEntry, NoteRecord};
use hornbeamlead_core::fleet::{FleetState, ItemKind, NoteRefusal};
use hornbeamlead_core::ids::{LogOffset, Revision};
use hornbeamlead_core::note::{
    DataCentreSpec, DeliveryMode, JobSpec, NoteItems, NoteNames, ReleaseNote, TeamSpec,
};
use hornbeamlead_core::notes_keeper::{NotesReplica, RETAINED_RECORDS};
use hornbeamlead_core::record::{LogRecord, RawRecord};
use hornbeamlead_core::resource::ResourceSize;
use proptest::prelude::*;
use std::time::Duration;

fn blank(id: &str, based_on: Option<u64>) -> ReleaseNote {
    ReleaseNote {
        id: id.parse().unwrap(),
        based_on: based_on.map(Revision),
        author: "foreman".into(),
        added: NoteItems::default(),
        changed: NoteItems::default(),
        withdrawn: NoteNames::default(),
    }
}

fn centre(name: &str, in_service: bool) -> DataCentreSpec {
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
fn racing_operators() {
    let mut state = FleetState::default();
    let mut first = blank("a", Some(0));
    first.added.data_centres.push(centre("negombo", true));
    let mut second = blank("b", Some(0));
    second.added.data_centres.push(centre("colombo", true));
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
    let mut note = blank("a", None);
    note.added.teams.push(team("coopers"));
    assert_eq!(state.apply(LogOffset(0), &note), Ok(Revision(1)));
    let refusal = NoteRefusal::UsedId {
        id: note.id.clone(),
        earlier: Revision(1),
    };
    assert_eq!(state.apply(LogOffset(1), &note), Err(refusal));
}

#[test]
fn dangling_team() {
    let mut state = FleetState::default();
    let mut note = blank("a", None);
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
fn used_team() {
    let mut state = FleetState::default();
    let mut note = blank("a", None);
    note.added.teams.push(team("coopers"));
    note.added.jobs.push(job("casks", "coopers"));
    assert!(state.apply(LogOffset(0), &note).is_ok());
    let mut withdrawal = blank("b", None);
    withdrawal.withdrawn.teams.push("coopers".parse().unwrap());
    assert!(matches!(
        state.apply(LogOffset(1), &withdrawal),
        Err(NoteRefusal::InUse { .. })
    ));
    withdrawal.id = "c".parse().unwrap();
    withdrawal.withdrawn.jobs.push("casks".parse().unwrap());
    assert!(state.apply(LogOffset(2), &withdrawal).is_ok());
}

/// Passes everything that a keeper keeps to one that starts from nothing.
fn pass_all(peer: &NotesReplica, stream: &[LogRecord<NoteRecord>]) -> NotesReplica {
    let copies = peer.copies_from(LogOffset(0));
    let passed: Vec<_> = copies
        .iter()
        .map(|copy| stream[copy.offset.0 as usize].clone())
        .collect();
    let mut fresh = NotesReplica::default();
    fresh.apply_records(&passed);
    fresh
}

/// A wave of notes that is longer than what is kept still reaches a process that starts from
/// nothing, before and after a snapshot of it was read.
#[test]
fn long_wave_passed() {
    let mut stream = Vec::new();
    let mut keeper = NotesReplica::default();
    for offset in 0..RETAINED_RECORDS as u64 + 200 {
        let mut note = blank(&format!("n{offset}"), None);
        note.added.teams.push(team(&format!("t{offset}")));
        stream.push(placed(offset, NoteEntry::Note(note)));
    }
    keeper.apply_records(&stream);
    assert_eq!(pass_all(&keeper, &stream).fleet(), keeper.fleet());
    let snapshot = keeper.fleet().snapshot();
    stream.push(placed(stream.len() as u64, NoteEntry::Snapshot(snapshot)));
    keeper.apply_records(&stream[stream.len() - 1..]);
    assert!(keeper.copies_from(LogOffset(0)).len() <= RETAINED_RECORDS);
    assert_eq!(pass_all(&keeper, &stream).fleet(), keeper.fleet());
}

/// Makes a note out of three small numbers.
fn any_note() -> impl Strategy<Value = ReleaseNote> {
    (
        0..12u32,
        proptest::option::of(0..12u64),
        0..3u8,
        0..4u32,
        any::<bool>(),
    )
        .prop_map(|(id, based_on, action, item, flag)| {
            let mut note = blank(&format!("n{id}"), based_on);
            let name = format!("c{item}");
            match action {
                0 => note.added.data_centres.push(centre(&name, flag)),
                1 => note.changed.data_centres.push(centre(&name, flag)),
                _ => note.withdrawn.data_centres.push(name.parse().unwrap()),
            }
            note
        })
}

fn placed(offset: u64, entry: NoteEntry) -> LogRecord<NoteRecord> {
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
    /// Whatever is delivered again, late, or in pieces, each process ends with the same state and
    /// never goes back to an older revision.
    #[test]
    fn never_reverts(
        notes in proptest::collection::vec(any_note(), 1..30),
        reads in proptest::collection::vec((0..30usize, 0..30usize), 1..40),
    ) {
        let records: Vec<_> = notes
            .iter()
            .enumerate()
            .map(|(offset, note)| placed(offset as u64, NoteEntry::Note(note.clone())))
            .collect();
        let mut straight = NotesReplica::default();
        straight.apply_records(&records);
        let mut other = NotesReplica::default();
        let mut newest = Revision(0);
        for (from, to) in reads {
            let (from, to) = (from.min(records.len()), to.min(records.len()));
            other.apply_records(&records[from.min(to)..to.max(from)]);
            prop_assert!(other.revision() >= newest);
            newest = other.revision();
        }
        other.apply_records(&records);
        prop_assert_eq!(other.fleet(), straight.fleet());
    }

    /// A process that starts from a snapshot ends where one that read every record ends.
    #[test]
    fn snapshot_equals_replay(
        notes in proptest::collection::vec(any_note(), 1..30),
        cut in any::<prop::sample::Index>(),
    ) {
        let mut straight = FleetState::default();
        let cut = cut.index(notes.len());
        let mut snapshot = straight.snapshot();
        for (offset, note) in notes.iter().enumerate() {
            if offset == cut {
                snapshot = straight.snapshot();
            }
            let _ = straight.apply(LogOffset(offset as u64), note);
        }
        let mut late = FleetState::default();
        late.load(&snapshot);
        for (offset, note) in notes.iter().enumerate().skip(cut) {
            let _ = late.apply(LogOffset(offset as u64), note);
        }
        prop_assert_eq!(late, straight);
    }

    /// A reader whose place retention took finds the snapshot behind any number of other records,
    /// reads on from there, and serves a peer that starts from nothing.
    #[test]
    fn retention_passed(
        notes in proptest::collection::vec(any_note(), 2..30),
        cut in any::<prop::sample::Index>(),
        written in any::<prop::sample::Index>(),
        limit in 1..5usize,
    ) {
        let cut = cut.index(notes.len());
        let written = cut + written.index(notes.len() - cut);
        let mut straight = FleetState::default();
        let mut stream = Vec::new();
        let mut snapshot = straight.snapshot();
        for (index, note) in notes.iter().enumerate() {
            if index == cut {
                snapshot = straight.snapshot();
            }
            if index == written {
                let offset = stream.len() as u64;
                stream.push(placed(offset, NoteEntry::Snapshot(snapshot.clone())));
                straight.skip(LogOffset(offset));
            }
            let offset = stream.len() as u64;
            stream.push(placed(offset, NoteEntry::Note(note.clone())));
            let _ = straight.apply(LogOffset(offset), note);
        }
        let oldest = cut;
        let mut late = NotesReplica::default();
        late.skip_truncated(LogOffset(oldest as u64));
        for _ in 0..100 {
            let from = late.next_read_offset().0 as usize;
            prop_assert!(from >= oldest);
            let to = (from + limit).min(stream.len());
            late.apply_records(&stream[from..to]);
        }
        prop_assert_eq!(late.fleet(), &straight);
        let copies = late.copies_from(LogOffset(0));
        let passed: Vec<_> = copies.iter().map(|copy| stream[copy.offset.0 as usize].clone()).collect();
        let mut peer = NotesReplica::default();
        peer.apply_records(&passed);
        prop_assert_eq!(peer.fleet(), &straight);
    }

    /// The parts of a snapshot make up the whole in any order, with parts repeated, and none of
    /// them changes anything before the last has come.
    #[test]
    fn snapshot_parts(
        jobs in 0..20usize,
        per_part in 1..6usize,
        order in proptest::collection::vec(any::<prop::sample::Index>(), 0..40),
    ) {
        let mut straight = FleetState::default();
        let mut note = blank("a", None);
        note.added.teams.push(team("coopers"));
        note.added.jobs.extend((0..jobs).map(|number| job(&format!("j{number}"), "coopers")));
        prop_assert!(straight.apply(LogOffset(7), &note).is_ok());
        let parts = straight.snapshot().split(per_part);
        prop_assert!(parts.iter().all(|part| part.items.jobs.len() <= per_part));
        let mut late = NotesReplica::default();
        let mut seen = std::collections::BTreeSet::new();
        for index in order {
            let index = index.index(parts.len());
            late.apply_records(&[placed(20 + index as u64, NoteEntry::Snapshot(parts[index].clone()))]);
            seen.insert(index);
            let whole = seen.len() == parts.len();
            prop_assert_eq!(late.revision() == straight.revision(), whole);
        }
        for (index, part) in parts.iter().enumerate() {
            late.apply_records(&[placed(20 + index as u64, NoteEntry::Snapshot(part.clone()))]);
        }
        prop_assert_eq!(late.fleet(), &straight);
    }

    /// Peers bring a process that has lost the log up to date from the records they keep.
    #[test]
    fn peers_pass_notes(
        notes in proptest::collection::vec(any_note(), 1..30),
        have in any::<prop::sample::Index>(),
    ) {
        let records: Vec<_> = notes
            .iter()
            .enumerate()
            .map(|(offset, note)| placed(offset as u64, NoteEntry::Note(note.clone())))
            .collect();
        let mut peer = NotesReplica::default();
        peer.apply_records(&records);
        let have = have.index(records.len());
        let mut behind = NotesReplica::default();
        behind.apply_records(&records[..have]);
        let copies = peer.copies_from(behind.fleet().next());
        let passed: Vec<_> = copies
            .iter()
            .map(|copy| records[copy.offset.0 as usize].clone())
            .collect();
        behind.apply_records(&passed);
        prop_assert_eq!(behind.fleet(), peer.fleet());
    }
}
