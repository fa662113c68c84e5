//! Records of the notes stream: round trip, and arbitrary bytes.

use hornbeamlead_core::clock::WallTime;
use hornbeamlead_core::event::NoteEntry;
use hornbeamlead_core::fleet::{FleetSnapshot, NoteFate};
use hornbeamlead_core::ids::{LogOffset, Revision};
use hornbeamlead_core::note::{
    DataCentreSpec, DeliveryMode, JobSpec, NoteItems, NoteNames, ReleaseNote, ServiceSpec, TeamSpec,
};
use hornbeamlead_core::resource::{AcceleratorCount, CpuMillis, MemoryMebibytes, ResourceSize};
use hornbeamlead_settings::note::{
    MAX_NOTE_BYTES, NoteDecodeError, decode_entry, encode_note, encode_snapshot, read_note,
};
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::*;
use std::str::FromStr;
use std::time::Duration;

fn name<T: FromStr + std::fmt::Debug>() -> impl Strategy<Value = T> {
    "[a-zA-Z0-9._-]{1,64}".prop_map(|text| text.parse().ok().expect("the name is well spelt"))
}

fn millis() -> impl Strategy<Value = Duration> {
    any::<u64>().prop_map(Duration::from_millis)
}

fn size() -> impl Strategy<Value = ResourceSize> {
    (any::<u32>(), any::<u32>(), any::<u16>()).prop_map(|(cpu, memory, accelerators)| {
        ResourceSize {
            cpu: CpuMillis(cpu),
            memory: MemoryMebibytes(memory),
            accelerators: AcceleratorCount(accelerators),
        }
    })
}

prop_compose! {
    fn service()(
        name in name(),
        reserve in size(),
        default_timeout in millis(),
        max_timeout in millis(),
    ) -> ServiceSpec {
        ServiceSpec { name, reserve, default_timeout, max_timeout }
    }
}

prop_compose! {
    fn job()(
        (name, team, kind) in (name(), name(), name()),
        tasks in any::<u32>(),
        size in size(),
        (run_time, checkpoint_every) in (millis(), millis()),
        deadline in any::<u64>().prop_map(WallTime),
        priority in any::<u8>(),
        urgent in any::<bool>(),
        at_most_once in any::<bool>(),
        data_centres in vec(name(), 0..3),
    ) -> JobSpec {
        let delivery = match at_most_once {
            true => DeliveryMode::AtMostOnce,
            false => DeliveryMode::Resumable,
        };
        JobSpec {
            name, team, kind, tasks, size, run_time, deadline, priority, urgent, delivery,
            checkpoint_every, data_centres,
        }
    }
}

fn items() -> impl Strategy<Value = NoteItems> {
    let centre =
        (name(), any::<bool>()).prop_map(|(name, in_service)| DataCentreSpec { name, in_service });
    let team = (name(), size()).prop_map(|(name, quota)| TeamSpec { name, quota });
    let lists = (
        vec(centre, 0..3),
        vec(team, 0..3),
        vec(service(), 0..3),
        vec(job(), 0..3),
    );
    lists.prop_map(|(data_centres, teams, services, jobs)| NoteItems {
        data_centres,
        teams,
        services,
        jobs,
    })
}

fn names() -> impl Strategy<Value = NoteNames> {
    let lists = (
        vec(name(), 0..3),
        vec(name(), 0..3),
        vec(name(), 0..3),
        vec(name(), 0..3),
    );
    lists.prop_map(|(data_centres, teams, services, jobs)| NoteNames {
        data_centres,
        teams,
        services,
        jobs,
    })
}

prop_compose! {
    fn note()(
        id in name(),
        based_on in option::of(any::<u64>().prop_map(Revision)),
        author in ".{0,40}",
        added in items(),
        changed in items(),
        withdrawn in names(),
    ) -> ReleaseNote {
        ReleaseNote { id, based_on, author: author.into(), added, changed, withdrawn }
    }
}

prop_compose! {
    fn snapshot()(
        up_to in any::<u64>().prop_map(LogOffset),
        revision in any::<u64>().prop_map(Revision),
        items in items(),
        fates in vec((name(), option::of(any::<u64>().prop_map(Revision))), 0..4),
        part in any::<u16>(),
        parts in any::<u16>(),
    ) -> FleetSnapshot {
        let fates = fates.into_iter().map(|(id, revision)| NoteFate { id, revision }).collect();
        FleetSnapshot { up_to, revision, part, parts, items, fates }
    }
}

/// Returns a record with some bytes changed, so that the parser is reached in depth.
fn damaged() -> impl Strategy<Value = Vec<u8>> {
    (
        note(),
        vec((any::<prop::sample::Index>(), any::<u8>()), 1..4),
    )
        .prop_map(|(note, changes)| {
            let mut bytes = encode_note(&note).to_vec();
            for (index, byte) in changes {
                let place = index.index(bytes.len());
                bytes[place] = byte;
            }
            bytes
        })
}

proptest! {
    #[test]
    fn note_round_trip(note in note()) {
        let decoded = decode_entry(&encode_note(&note));
        prop_assert_eq!(decoded, Ok(NoteEntry::Note(note)));
    }

    #[test]
    fn snapshot_round_trip(snapshot in snapshot()) {
        let decoded = decode_entry(&encode_snapshot(&snapshot));
        prop_assert_eq!(decoded, Ok(NoteEntry::Snapshot(snapshot)));
    }

    #[test]
    fn arbitrary_bytes(bytes in vec(any::<u8>(), 0..2000)) {
        let _ = decode_entry(&bytes);
    }

    #[test]
    fn damaged_bytes(bytes in damaged()) {
        let _ = decode_entry(&bytes);
    }

    #[test]
    fn arbitrary_text(text in ".{0,400}") {
        let _ = read_note("note.json", &text);
        let _ = hornbeamlead_settings::read_settings("settings.json", &text);
        let _ = hornbeamlead_settings::read_tool_settings("tool.json", &text);
    }
}

#[test]
fn long_record() {
    let payload = vec![b' '; MAX_NOTE_BYTES + 1];
    let length = payload.len();
    assert_eq!(
        decode_entry(&payload),
        Err(NoteDecodeError::TooLong { length })
    );
}

#[test]
fn deep_nesting() {
    let payload = "[".repeat(MAX_NOTE_BYTES);
    assert!(decode_entry(payload.as_bytes()).is_err());
    assert!(read_note("note.json", &payload).is_err());
}
