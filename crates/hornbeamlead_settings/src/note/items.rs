//! Items of a release note: data centres, teams, services and jobs.

use crate::finding::FindingLog;
use crate::section::Section;
use hornbeamlead_core::note::{
    DataCentreSpec, DeliveryMode, JobSpec, NoteItems, NoteNames, ServiceSpec, TeamSpec,
};
use hornbeamlead_core::resource::{AcceleratorCount, ResourceSize};
use std::time::Duration;

/// Maximum number of tasks of a job.
const MAX_TASKS: u32 = 1_000_000;

/// Longest request timeout that a service may set.
const MAX_TIMEOUT: Duration = Duration::from_secs(300);

/// Default time between checkpoints of a job.
const DEFAULT_CHECKPOINT_EVERY: Duration = Duration::from_secs(10);

/// Default priority of a job.
const DEFAULT_PRIORITY: u8 = 5;

/// Valid resource size, shown in findings.
const SIZE_EXAMPLE: &str = r#"{"cpu": "500m", "memory": "1GiB", "accelerators": 0}"#;

/// Reads the items under `added` or `changed`.
pub(super) fn read_items(
    parent: &mut Section<'_>,
    key: &'static str,
    log: &mut FindingLog<'_>,
) -> NoteItems {
    let Some(mut section) = parent.section(key, log) else {
        return NoteItems::default();
    };
    let data_centres = section.sections("data_centres", log);
    let teams = section.sections("teams", log);
    let services = section.sections("services", log);
    let jobs = section.sections("jobs", log);
    section.finish(log);
    NoteItems {
        data_centres: read_each(data_centres, read_data_centre, log),
        teams: read_each(teams, read_team, log),
        services: read_each(services, read_service, log),
        jobs: read_each(jobs, read_job, log),
    }
}

/// Reads the names under `withdrawn`.
pub(super) fn read_names(parent: &mut Section<'_>, log: &mut FindingLog<'_>) -> NoteNames {
    let Some(mut section) = parent.section("withdrawn", log) else {
        return NoteNames::default();
    };
    let names = NoteNames {
        data_centres: section.list("data_centres", log),
        teams: section.list("teams", log),
        services: section.list("services", log),
        jobs: section.list("jobs", log),
    };
    section.finish(log);
    names
}

/// Reads a required resource size.
pub(crate) fn read_size(
    parent: &mut Section<'_>,
    key: &'static str,
    log: &mut FindingLog<'_>,
) -> Option<ResourceSize> {
    let mut section = parent.required_section(key, SIZE_EXAMPLE, log)?;
    let cpu = section.required("cpu", log);
    let memory = section.required("memory", log);
    let accelerators = section.or_default("accelerators", AcceleratorCount(0), log);
    section.finish(log);
    Some(ResourceSize {
        cpu: cpu?,
        memory: memory?,
        accelerators,
    })
}

fn read_each<'a, T>(
    sections: Vec<Section<'a>>,
    read: impl Fn(&mut Section<'a>, &mut FindingLog<'_>) -> Option<T>,
    log: &mut FindingLog<'_>,
) -> Vec<T> {
    let mut items = Vec::new();
    for mut section in sections {
        items.extend(read(&mut section, log));
        section.finish(log);
    }
    items
}

fn read_data_centre(section: &mut Section<'_>, log: &mut FindingLog<'_>) -> Option<DataCentreSpec> {
    let name = section.required("name", log);
    let in_service = section.or_default("in_service", true, log);
    Some(DataCentreSpec {
        name: name?,
        in_service,
    })
}

fn read_team(section: &mut Section<'_>, log: &mut FindingLog<'_>) -> Option<TeamSpec> {
    let name = section.required("name", log);
    let quota = read_size(section, "quota", log);
    Some(TeamSpec {
        name: name?,
        quota: quota?,
    })
}

fn read_service(section: &mut Section<'_>, log: &mut FindingLog<'_>) -> Option<ServiceSpec> {
    let name = section.required("name", log);
    let reserve = read_size(section, "reserve", log);
    let default_timeout = section.required("default_timeout", log);
    let max_timeout = section.required("max_timeout", log);
    let spec = ServiceSpec {
        name: name?,
        reserve: reserve?,
        default_timeout: default_timeout?,
        max_timeout: max_timeout?,
    };
    check_service(section, &spec, log);
    Some(spec)
}

fn check_service(section: &Section<'_>, spec: &ServiceSpec, log: &mut FindingLog<'_>) {
    section.check(
        !spec.default_timeout.is_zero(),
        &["default_timeout"],
        || "default_timeout is 0".to_owned(),
        "write a time above 0",
        log,
    );
    section.check(
        spec.default_timeout <= spec.max_timeout,
        &["default_timeout", "max_timeout"],
        || "default_timeout is greater than max_timeout".to_owned(),
        "lower default_timeout or raise max_timeout",
        log,
    );
    section.check(
        spec.max_timeout <= MAX_TIMEOUT,
        &["max_timeout"],
        || "max_timeout is too long".to_owned(),
        "write at most 5m",
        log,
    );
}

fn read_job(section: &mut Section<'_>, log: &mut FindingLog<'_>) -> Option<JobSpec> {
    let name = section.required("name", log);
    let team = section.required("team", log);
    let kind = section.required("kind", log);
    let tasks = section.required("tasks", log);
    let size = read_size(section, "size", log);
    let run_time = section.required("run_time", log);
    let deadline = section.required("deadline", log);
    let priority = section.or_default("priority", DEFAULT_PRIORITY, log);
    let urgent = section.or_default("urgent", false, log);
    let delivery = section.or_default("delivery", DeliveryMode::Resumable, log);
    let checkpoint_every = section.or_default("checkpoint_every", DEFAULT_CHECKPOINT_EVERY, log);
    let data_centres = section.list("data_centres", log);
    let spec = JobSpec {
        name: name?,
        team: team?,
        kind: kind?,
        tasks: tasks?,
        size: size?,
        run_time: run_time?,
        deadline: deadline?,
        priority,
        urgent,
        delivery,
        checkpoint_every,
        data_centres,
    };
    check_job(section, &spec, log);
    Some(spec)
}

fn check_job(section: &Section<'_>, spec: &JobSpec, log: &mut FindingLog<'_>) {
    section.check(
        (1..=MAX_TASKS).contains(&spec.tasks),
        &["tasks"],
        || format!("tasks is {}", spec.tasks),
        "write a number from 1 to 1000000",
        log,
    );
    section.check(
        spec.size != ResourceSize::default(),
        &["size"],
        || "size is empty".to_owned(),
        "write the resources that one task needs",
        log,
    );
    for (key, duration) in [
        ("run_time", spec.run_time),
        ("checkpoint_every", spec.checkpoint_every),
    ] {
        section.check(
            !duration.is_zero(),
            &[key],
            || format!("{key} is 0"),
            "write a time above 0",
            log,
        );
    }
}
