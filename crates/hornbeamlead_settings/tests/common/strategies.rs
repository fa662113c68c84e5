//! Strategies that generate release notes, snapshots and corrupted records.

#![allow(dead_code, reason = "each test file uses some of them")]

use hornbeamlead_core::clock::WallTime;
use hornbeamlead_core::fleet::{FleetSnapshot, NoteResult};
use hornbeamlead_core::ids::{LogOffset, Revision};
use hornbeamlead_core::note::{
    DataCentreSpec, DeliveryMode, JobSpec, NoteItems, NoteNames, ReleaseNote, ServiceSpec, TeamSpec,
};
use hornbeamlead_core::resource::{AcceleratorCount, CpuMillis, MemoryMebibytes, ResourceSize};
use hornbeamlead_settings::note::encode_note;
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::*;
use std::str::FromStr;
use std::time::Duration;

fn name<T: FromStr + std::fmt::Debug>() -> impl Strategy<Value = T> {
    "[a-zA-Z0-9._-]{1,64}".prop_map(|text| text.parse().ok().expect("the name is valid"))
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
    pub(crate) fn note()(
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
    pub(crate) fn snapshot()(
        up_to in any::<u64>().prop_map(LogOffset),
        revision in any::<u64>().prop_map(Revision),
        (part, parts) in any::<(u16, u16)>(),
        items in items(),
        note_results in vec((name(), option::of(any::<u64>().prop_map(Revision))), 0..4),
    ) -> FleetSnapshot {
        let note_results = note_results.into_iter().map(|(id, revision)| NoteResult { id, revision }).collect();
        FleetSnapshot { up_to, revision, part, parts, items, note_results }
    }
}

/// Generates encoded notes with up to three bytes changed, so that parsing fails late as well.
pub(crate) fn corrupted_record() -> impl Strategy<Value = Vec<u8>> {
    (
        note(),
        vec((any::<prop::sample::Index>(), any::<u8>()), 1..4),
    )
        .prop_map(|(note, changes)| {
            let mut bytes = encode_note(&note).to_vec();
            for (index, byte) in changes {
                let position = index.index(bytes.len());
                bytes[position] = byte;
            }
            bytes
        })
}
