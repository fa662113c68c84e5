//! Conversions between release notes and their wire types.

use super::codec::NoteDecodeError;
use super::wire::{
    WireDataCentre, WireDelivery, WireEntry, WireItems, WireJob, WireNames, WireNote,
    WireNoteResult, WireService, WireSize, WireSnapshot, WireTeam,
};
use hornbeamlead_core::clock::WallTime;
use hornbeamlead_core::event::NoteEntry;
use hornbeamlead_core::fleet::{FleetSnapshot, NoteResult};
use hornbeamlead_core::ids::{LogOffset, Revision};
use hornbeamlead_core::note::{
    DataCentreSpec, DeliveryMode, JobSpec, NoteItems, NoteNames, ReleaseNote, ServiceSpec, TeamSpec,
};
use hornbeamlead_core::resource::{AcceleratorCount, CpuMillis, MemoryMebibytes, ResourceSize};
use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

impl TryFrom<WireEntry> for NoteEntry {
    type Error = NoteDecodeError;

    fn try_from(wire: WireEntry) -> Result<Self, Self::Error> {
        match wire {
            WireEntry::Note(note) => note.try_into().map(Self::Note),
            WireEntry::Snapshot(snapshot) => snapshot.try_into().map(Self::Snapshot),
        }
    }
}

impl From<&ReleaseNote> for WireNote {
    fn from(note: &ReleaseNote) -> Self {
        Self {
            id: note.id.as_str().into(),
            based_on: note.based_on.map(|revision| revision.0),
            author: note.author.clone(),
            added: (&note.added).into(),
            changed: (&note.changed).into(),
            withdrawn: (&note.withdrawn).into(),
        }
    }
}

impl TryFrom<WireNote> for ReleaseNote {
    type Error = NoteDecodeError;

    fn try_from(wire: WireNote) -> Result<Self, Self::Error> {
        Ok(Self {
            id: parse(&wire.id)?,
            based_on: wire.based_on.map(Revision),
            author: wire.author,
            added: wire.added.try_into()?,
            changed: wire.changed.try_into()?,
            withdrawn: wire.withdrawn.try_into()?,
        })
    }
}

impl From<&FleetSnapshot> for WireSnapshot {
    fn from(snapshot: &FleetSnapshot) -> Self {
        Self {
            up_to: snapshot.up_to.0,
            revision: snapshot.revision.0,
            part: snapshot.part,
            parts: snapshot.parts,
            items: (&snapshot.items).into(),
            note_results: snapshot
                .note_results
                .iter()
                .map(WireNoteResult::from)
                .collect(),
        }
    }
}

impl TryFrom<WireSnapshot> for FleetSnapshot {
    type Error = NoteDecodeError;

    fn try_from(wire: WireSnapshot) -> Result<Self, Self::Error> {
        Ok(Self {
            up_to: LogOffset(wire.up_to),
            revision: Revision(wire.revision),
            part: wire.part,
            parts: wire.parts,
            items: wire.items.try_into()?,
            note_results: convert_all(wire.note_results)?,
        })
    }
}

impl From<&NoteResult> for WireNoteResult {
    fn from(result: &NoteResult) -> Self {
        Self {
            id: result.id.as_str().into(),
            revision: result.revision.map(|revision| revision.0),
        }
    }
}

impl TryFrom<WireNoteResult> for NoteResult {
    type Error = NoteDecodeError;

    fn try_from(wire: WireNoteResult) -> Result<Self, Self::Error> {
        Ok(Self {
            id: parse(&wire.id)?,
            revision: wire.revision.map(Revision),
        })
    }
}

impl From<&NoteItems> for WireItems {
    fn from(items: &NoteItems) -> Self {
        Self {
            data_centres: items.data_centres.iter().map(Into::into).collect(),
            teams: items.teams.iter().map(Into::into).collect(),
            services: items.services.iter().map(Into::into).collect(),
            jobs: items.jobs.iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<WireItems> for NoteItems {
    type Error = NoteDecodeError;

    fn try_from(wire: WireItems) -> Result<Self, Self::Error> {
        Ok(Self {
            data_centres: convert_all(wire.data_centres)?,
            teams: convert_all(wire.teams)?,
            services: convert_all(wire.services)?,
            jobs: convert_all(wire.jobs)?,
        })
    }
}

impl From<&NoteNames> for WireNames {
    fn from(names: &NoteNames) -> Self {
        Self {
            data_centres: texts(&names.data_centres),
            teams: texts(&names.teams),
            services: texts(&names.services),
            jobs: texts(&names.jobs),
        }
    }
}

impl TryFrom<WireNames> for NoteNames {
    type Error = NoteDecodeError;

    fn try_from(wire: WireNames) -> Result<Self, Self::Error> {
        Ok(Self {
            data_centres: parse_all(&wire.data_centres)?,
            teams: parse_all(&wire.teams)?,
            services: parse_all(&wire.services)?,
            jobs: parse_all(&wire.jobs)?,
        })
    }
}

impl From<&DataCentreSpec> for WireDataCentre {
    fn from(spec: &DataCentreSpec) -> Self {
        Self {
            name: spec.name.as_str().into(),
            in_service: spec.in_service,
        }
    }
}

impl TryFrom<WireDataCentre> for DataCentreSpec {
    type Error = NoteDecodeError;

    fn try_from(wire: WireDataCentre) -> Result<Self, Self::Error> {
        Ok(Self {
            name: parse(&wire.name)?,
            in_service: wire.in_service,
        })
    }
}

impl From<&TeamSpec> for WireTeam {
    fn from(spec: &TeamSpec) -> Self {
        Self {
            name: spec.name.as_str().into(),
            quota: spec.quota.into(),
        }
    }
}

impl TryFrom<WireTeam> for TeamSpec {
    type Error = NoteDecodeError;

    fn try_from(wire: WireTeam) -> Result<Self, Self::Error> {
        Ok(Self {
            name: parse(&wire.name)?,
            quota: wire.quota.into(),
        })
    }
}

impl From<&ServiceSpec> for WireService {
    fn from(spec: &ServiceSpec) -> Self {
        Self {
            name: spec.name.as_str().into(),
            reserve: spec.reserve.into(),
            default_timeout_ms: millis(spec.default_timeout),
            max_timeout_ms: millis(spec.max_timeout),
        }
    }
}

impl TryFrom<WireService> for ServiceSpec {
    type Error = NoteDecodeError;

    fn try_from(wire: WireService) -> Result<Self, Self::Error> {
        Ok(Self {
            name: parse(&wire.name)?,
            reserve: wire.reserve.into(),
            default_timeout: Duration::from_millis(wire.default_timeout_ms),
            max_timeout: Duration::from_millis(wire.max_timeout_ms),
        })
    }
}

impl From<&JobSpec> for WireJob {
    fn from(spec: &JobSpec) -> Self {
        Self {
            name: spec.name.as_str().into(),
            team: spec.team.as_str().into(),
            kind: spec.kind.as_str().into(),
            tasks: spec.tasks,
            size: spec.size.into(),
            run_time_ms: millis(spec.run_time),
            deadline_unix_ms: spec.deadline.0,
            priority: spec.priority,
            urgent: spec.urgent,
            delivery: spec.delivery.into(),
            checkpoint_every_ms: millis(spec.checkpoint_every),
            data_centres: texts(&spec.data_centres),
        }
    }
}

impl TryFrom<WireJob> for JobSpec {
    type Error = NoteDecodeError;

    fn try_from(wire: WireJob) -> Result<Self, Self::Error> {
        Ok(Self {
            name: parse(&wire.name)?,
            team: parse(&wire.team)?,
            kind: parse(&wire.kind)?,
            tasks: wire.tasks,
            size: wire.size.into(),
            run_time: Duration::from_millis(wire.run_time_ms),
            deadline: WallTime(wire.deadline_unix_ms),
            priority: wire.priority,
            urgent: wire.urgent,
            delivery: wire.delivery.into(),
            checkpoint_every: Duration::from_millis(wire.checkpoint_every_ms),
            data_centres: parse_all(&wire.data_centres)?,
        })
    }
}

impl From<ResourceSize> for WireSize {
    fn from(size: ResourceSize) -> Self {
        Self {
            cpu_millis: size.cpu.0,
            memory_mebibytes: size.memory.0,
            accelerators: size.accelerators.0,
        }
    }
}

impl From<WireSize> for ResourceSize {
    fn from(wire: WireSize) -> Self {
        Self {
            cpu: CpuMillis(wire.cpu_millis),
            memory: MemoryMebibytes(wire.memory_mebibytes),
            accelerators: AcceleratorCount(wire.accelerators),
        }
    }
}

impl From<DeliveryMode> for WireDelivery {
    fn from(mode: DeliveryMode) -> Self {
        match mode {
            DeliveryMode::Resumable => Self::Resumable,
            DeliveryMode::AtMostOnce => Self::AtMostOnce,
        }
    }
}

impl From<WireDelivery> for DeliveryMode {
    fn from(wire: WireDelivery) -> Self {
        match wire {
            WireDelivery::Resumable => Self::Resumable,
            WireDelivery::AtMostOnce => Self::AtMostOnce,
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn texts<T: Display>(names: &[T]) -> Vec<Box<str>> {
    names.iter().map(|name| name.to_string().into()).collect()
}

fn parse<T>(text: &str) -> Result<T, NoteDecodeError>
where
    T: FromStr,
    T::Err: Display,
{
    text.parse()
        .map_err(|error: T::Err| NoteDecodeError::BadValue {
            cause: error.to_string().into(),
        })
}

fn parse_all<T>(texts: &[Box<str>]) -> Result<Vec<T>, NoteDecodeError>
where
    T: FromStr,
    T::Err: Display,
{
    texts.iter().map(|text| parse(text)).collect()
}

fn convert_all<W, T>(wire_items: Vec<W>) -> Result<Vec<T>, NoteDecodeError>
where
    T: TryFrom<W, Error = NoteDecodeError>,
{
    wire_items.into_iter().map(T::try_from).collect()
}
