//! Sample values of typical size for the fleet expected in two years.

use crate::report::MeasureError;
use hornbeamlead_core::clock::{MonoTime, WallTime};
use hornbeamlead_core::ids::{AttemptId, Incarnation, ServiceName, TaskId};
use hornbeamlead_core::message::control::{CellView, ViewMember};
use hornbeamlead_core::note::{DeliveryMode, JobSpec, NoteItems, NoteNames, ReleaseNote, TeamSpec};
use hornbeamlead_core::resource::{AcceleratorCount, CpuMillis, MemoryMebibytes, ResourceSize};
use hornbeamlead_core::task::{CheckpointToken, TaskOrder, TaskPhase, TaskStatus};
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

/// Wall time of all samples, in milliseconds since the Unix epoch: a day in 2026.
pub(crate) const SAMPLE_WALL: WallTime = WallTime(1_780_000_000_000);

/// Monotonic clock of a host with an uptime of some weeks, in microseconds.
pub(crate) const SAMPLE_CLOCK: MonoTime = MonoTime(3_000_000_000_000);

/// Incarnation of a process started in 2026.
pub(crate) const SAMPLE_INCARNATION: Incarnation = Incarnation(1_780_000_000_000_000);

/// Parses a name.
///
/// # Panics
/// Panics if the text is not a valid name.
pub(crate) fn name<N: FromStr>(text: &str) -> N
where
    N::Err: std::fmt::Debug,
{
    text.parse().expect("sample names are well formed")
}

/// Returns the address of a host in the private range.
pub(crate) fn address(number: usize) -> SocketAddr {
    let [_, _, high, low] = u32::try_from(number).unwrap_or_default().to_be_bytes();
    SocketAddr::from(([10, 1, high, low], 7400))
}

/// Returns the name of a host.
pub(crate) fn host(number: usize) -> Box<str> {
    format!("host-{number:05}").into()
}

/// Returns the name of a service.
pub(crate) fn service(number: usize) -> ServiceName {
    name(&format!("service-{number}"))
}

/// Returns a size of some cores with their memory, and one accelerator.
pub(crate) fn size(cores: u32) -> ResourceSize {
    ResourceSize {
        cpu: CpuMillis(cores * 1000),
        memory: MemoryMebibytes(cores * 4096),
        accelerators: AcceleratorCount(1),
    }
}

/// Returns the id of a first attempt.
pub(crate) fn attempt(number: usize) -> AttemptId {
    let index = u32::try_from(number).unwrap_or_default();
    AttemptId {
        task: TaskId {
            job: name("seasoning-report-0412"),
            index,
        },
        number: 1,
    }
}

/// Returns a running attempt as a worker reports it.
pub(crate) fn status(number: usize) -> TaskStatus {
    let attempt = attempt(number);
    TaskStatus {
        checkpoint: Some(CheckpointToken {
            attempt: attempt.clone(),
            progress_ms: 600_000,
        }),
        attempt,
        phase: TaskPhase::Running,
        size: size(1),
        kind: name("seasoning-report"),
        speed_percent: 100,
        usage: Some(size(1)),
    }
}

/// Returns an order to start an attempt.
pub(crate) fn order(number: usize) -> TaskOrder {
    TaskOrder {
        attempt: attempt(number),
        kind: name("seasoning-report"),
        size: size(1),
        run_time: Duration::from_secs(600),
        checkpoint_every: Duration::from_secs(60),
        delivery: DeliveryMode::Resumable,
        resume_from: None,
    }
}

/// Returns the view of a cell with some members.
pub(crate) fn view(members: usize) -> CellView {
    let member = |number| ViewMember {
        host: name(&host(number)),
        incarnation: SAMPLE_INCARNATION,
        link_address: address(number),
    };
    CellView {
        number: 1 << 40,
        members: (0..members).map(member).collect(),
    }
}

/// Returns a job of 50 tasks.
pub(crate) fn job(number: usize) -> JobSpec {
    JobSpec {
        name: name(&format!("seasoning-report-{number:06}")),
        team: name(&format!("team-{:03}", number % 180)),
        kind: name("seasoning-report"),
        tasks: 50,
        size: size(1),
        run_time: Duration::from_secs(600),
        deadline: SAMPLE_WALL,
        priority: 5,
        urgent: false,
        delivery: DeliveryMode::Resumable,
        checkpoint_every: Duration::from_secs(60),
        data_centres: Vec::new(),
    }
}

/// Returns a note without items.
pub(crate) fn note(id: &str) -> ReleaseNote {
    ReleaseNote {
        id: name(id),
        based_on: None,
        author: "operators".into(),
        added: NoteItems::default(),
        changed: NoteItems::default(),
        withdrawn: NoteNames::default(),
    }
}

/// Returns a note that adds 180 teams.
pub(crate) fn team_note() -> ReleaseNote {
    let mut note = note("teams");
    let team = |number| TeamSpec {
        name: name(&format!("team-{number:03}")),
        quota: size(1000),
    };
    note.added.teams = (0..180).map(team).collect();
    note
}

/// Returns the error of an experiment with this cause.
pub(crate) fn measure_error(cause: impl std::fmt::Display) -> MeasureError {
    MeasureError::new(cause)
}
