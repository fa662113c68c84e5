//! `explain --log`: reconstructs a job's outcome and its causes from log files.

use crate::crash_story::explain_crashes;
use crate::log_lines::EventLine;
use crate::report::{ExitStatus, ToolReport};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Margin before and after the lines of a job within which shared events are included, in seconds.
const CONTEXT_WINDOW_S: f64 = 2.0;

/// Events that may affect several jobs.
const SHARED_EVENTS: [&str; 10] = [
    "store_lost",
    "store_regained",
    "planner_claimed",
    "planner_active",
    "planner_lost",
    "planner_deposed",
    "planner_troubled",
    "worker_on_probation",
    "worker_crashed",
    "host_disconnected",
];

/// Outcome of a job according to the logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum JobOutcome {
    /// No line contains the job's id.
    Unseen,
    /// The job was not accepted.
    Refused,
    /// The store did not answer the append, so the job may have been accepted.
    Unknown,
    /// The job was accepted and has not ended.
    Unfinished,
    /// All tasks are done.
    Completed,
    /// A task failed too many times.
    Failed,
    /// The job was cancelled.
    Cancelled,
}

/// Event of the timeline.
#[derive(Clone, Debug, Serialize)]
struct TimelineEntry {
    /// Seconds since the job's first line.
    after_s: f64,
    host: Box<str>,
    event: Box<str>,
    id: Box<str>,
    detail: Box<str>,
}

/// Events of a job in order of time, with its outcome and the causes found.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct JobTimeline {
    subject: Box<str>,
    outcome: JobOutcome,
    causes: Vec<String>,
    lines: Vec<TimelineEntry>,
}

/// Attempt of a task, assembled from its log lines; times in seconds.
#[derive(Clone, Debug, Default)]
struct AttemptTrace {
    host: Box<str>,
    placed_at: f64,
    ended_at: Option<f64>,
    end: Box<str>,
    min_percent: Option<u32>,
}

impl AttemptTrace {
    fn duration(&self) -> f64 {
        self.ended_at
            .map_or(0.0, |ended_at| ended_at - self.placed_at)
    }
}

impl JobTimeline {
    /// Selects the lines of a job and the shared events around them, and derives the outcome and
    /// its causes.
    pub(crate) fn new(subject: &str, mut lines: Vec<EventLine>) -> Self {
        lines.sort_by(|left, right| left.at.total_cmp(&right.at));
        let job_lines: Vec<_> = lines
            .iter()
            .filter(|line| concerns_job(line, subject))
            .collect();
        let (Some(first), Some(last)) = (job_lines.first(), job_lines.last()) else {
            return Self {
                subject: subject.into(),
                outcome: JobOutcome::Unseen,
                causes: vec!["no line of these logs names it".into()],
                lines: Vec::new(),
            };
        };
        let (first, last) = (first.at, last.at);
        let outcome = outcome_of(&job_lines);
        let is_nearby = |line: &&EventLine| {
            SHARED_EVENTS.contains(&&*line.event)
                && line.at >= first - CONTEXT_WINDOW_S
                && line.at <= last + CONTEXT_WINDOW_S
        };
        let shown = lines
            .iter()
            .filter(|line| concerns_job(line, subject) || is_nearby(line));
        let mut causes = match outcome {
            JobOutcome::Refused | JobOutcome::Unknown => explain_refusals(&job_lines, &lines),
            JobOutcome::Failed => explain_failure(&job_lines),
            _ => explain_duration(subject, &job_lines, &lines),
        };
        causes.extend(explain_crashes(subject, &job_lines));
        let entry = |line: &EventLine| TimelineEntry {
            after_s: line.at - first,
            host: line.host.clone(),
            event: line.event.clone(),
            id: line.id.clone(),
            detail: line.detail.clone(),
        };
        Self {
            subject: subject.into(),
            outcome,
            causes,
            lines: shown.map(entry).collect(),
        }
    }
}

fn concerns_job(line: &EventLine, subject: &str) -> bool {
    let rest = line.id.strip_prefix(subject);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
}

fn outcome_of(job_lines: &[&EventLine]) -> JobOutcome {
    let has = |event: &str| job_lines.iter().any(|line| &*line.event == event);
    let end_line = job_lines.iter().rfind(|line| &*line.event == "job_ended");
    let phase = end_line.and_then(|line| line.field("phase"));
    match phase.as_deref() {
        Some("completed") => JobOutcome::Completed,
        Some("failed") => JobOutcome::Failed,
        _ if has("job_cancelled") => JobOutcome::Cancelled,
        _ if has("job_accepted") || has("job_taken") => JobOutcome::Unfinished,
        _ if has("append_unknown") => JobOutcome::Unknown,
        _ => JobOutcome::Refused,
    }
}

fn explain_refusals(job_lines: &[&EventLine], all_lines: &[EventLine]) -> Vec<String> {
    let refusals = job_lines.iter().filter(|line| {
        matches!(
            &*line.event,
            "submit_refused" | "append_refused" | "append_unknown"
        )
    });
    let explain = |line: &&EventLine| {
        let last_store_event = all_lines.iter().rfind(|other| {
            other.host == line.host
                && other.at <= line.at
                && matches!(&*other.event, "store_lost" | "store_regained")
        });
        let store = match last_store_event.filter(|other| &*other.event == "store_lost") {
            Some(lost) => format!(
                "; it had lost the store {:.1} s before ({})",
                line.at - lost.at,
                lost.detail
            ),
            None => String::new(),
        };
        format!("{}: {} {}{store}", line.host, line.event, line.detail)
    };
    refusals.map(explain).collect()
}

fn explain_failure(job_lines: &[&EventLine]) -> Vec<String> {
    let end_line = job_lines.iter().rfind(|line| &*line.event == "job_ended");
    if let Some(line) = end_line.filter(|line| is_given_up(line)) {
        let field = |name| line.field(name).unwrap_or_default();
        return vec![format!(
            "given up, as task {}.{} crashes its workers",
            field("step"),
            field("index")
        )];
    }
    let mut tasks = BTreeMap::<&str, Vec<Box<str>>>::new();
    for line in job_lines.iter().filter(|line| &*line.event == "task_ended") {
        if line.field("end").as_deref() == Some("failed") {
            let task = line.id.split('#').next().unwrap_or_default();
            let hosts = tasks.entry(task).or_default();
            hosts.push(line.field("host").unwrap_or_default());
        }
    }
    let Some((task, hosts)) = tasks.into_iter().max_by_key(|(_, hosts)| hosts.len()) else {
        return vec!["these logs contain no failed attempt".into()];
    };
    let distinct_hosts: BTreeSet<_> = hosts.iter().collect();
    let verdict = match distinct_hosts.len() {
        1 => "all on one host: its worker is suspect",
        _ => "on different hosts: the task itself fails",
    };
    vec![format!(
        "task {task} failed {} times ({}), {verdict}",
        hosts.len(),
        hosts.join(", ")
    )]
}

fn is_given_up(end_line: &EventLine) -> bool {
    end_line.field("cause").as_deref() == Some("crashed_workers")
}

/// Breaks down the duration of a job into its steps.
fn explain_duration(
    subject: &str,
    job_lines: &[&EventLine],
    all_lines: &[EventLine],
) -> Vec<String> {
    let first_event = |event: &str| job_lines.iter().find(|line| &*line.event == event);
    let mut causes = Vec::new();
    let accepted = first_event("job_accepted").map(|line| line.at);
    if let (Some(accepted), Some(taken)) = (accepted, first_event("job_taken")) {
        let wait = taken.at - accepted;
        causes.push(format!("planning started {wait:.2} s after acceptance"));
    }
    let origin = accepted
        .or(job_lines.first().map(|line| line.at))
        .unwrap_or(0.0);
    let mut steps = BTreeMap::<u32, BTreeMap<&str, AttemptTrace>>::new();
    for (attempt, trace) in trace_attempts(job_lines) {
        let step = step_of(subject, attempt);
        steps.entry(step).or_default().insert(attempt, trace);
    }
    for (step, attempts) in &steps {
        causes.push(explain_step(origin, *step, attempts, all_lines));
    }
    causes
}

fn step_of(subject: &str, attempt: &str) -> u32 {
    let rest = attempt.strip_prefix(subject).unwrap_or_default();
    let step = rest.trim_start_matches('.').split('.').nth(1);
    step.and_then(|step| step.parse().ok()).unwrap_or(0)
}

fn trace_attempts<'a>(job_lines: &[&'a EventLine]) -> BTreeMap<&'a str, AttemptTrace> {
    let mut traces = BTreeMap::<&str, AttemptTrace>::new();
    for line in job_lines {
        match &*line.event {
            "task_placed" => {
                let trace = traces.entry(&line.id).or_default();
                trace.host = line.field("host").unwrap_or_default();
                trace.placed_at = line.at;
            }
            "task_ended" => {
                if let Some(trace) = traces.get_mut(&*line.id) {
                    trace.ended_at = Some(line.at);
                    trace.end = line.field("end").unwrap_or_default();
                }
            }
            "task_paced" => {
                let percent = line.field("percent").and_then(|text| text.parse().ok());
                if let (Some(trace), Some(percent)) = (traces.get_mut(&*line.id), percent) {
                    let lowest = trace
                        .min_percent
                        .map_or(percent, |lowest| lowest.min(percent));
                    trace.min_percent = Some(lowest);
                }
            }
            _ => {}
        }
    }
    traces
}

fn explain_step(
    origin: f64,
    step: u32,
    attempts: &BTreeMap<&str, AttemptTrace>,
    all_lines: &[EventLine],
) -> String {
    let placement_times = attempts.values().map(|attempt| attempt.placed_at - origin);
    let (first, last) = placement_times.fold((f64::MAX, f64::MIN), |(first, last), at| {
        (first.min(at), last.max(at))
    });
    let failed = attempts
        .values()
        .filter(|attempt| &*attempt.end == "failed")
        .count();
    let stopped = attempts
        .values()
        .filter(|attempt| &*attempt.end == "stopped")
        .count();
    let longest = attempts
        .iter()
        .max_by(|left, right| left.1.duration().total_cmp(&right.1.duration()));
    let longest = longest.map_or(String::new(), |(attempt, trace)| {
        let throttling = trace.min_percent.map_or(String::new(), |percent| {
            let latency = worst_latency(trace, all_lines);
            format!(", paced down to {percent} %{latency}")
        });
        format!(
            "; longest attempt {attempt} on {}: {:.1} s{throttling}",
            trace.host,
            trace.duration()
        )
    });
    format!(
        "step {step}: {} attempts ({failed} failed, {stopped} stopped), placed {first:.1} to \
         {last:.1} s after acceptance{longest}",
        attempts.len()
    )
}

/// Describes the highest ratio of latency to target among the serving tasks on the attempt's host
/// while it ran; empty if there is none.
fn worst_latency(trace: &AttemptTrace, all_lines: &[EventLine]) -> String {
    let until = trace.ended_at.unwrap_or(f64::MAX);
    let latency_lines = all_lines.iter().filter(|line| {
        &*line.event == "serving_latency"
            && line.host == trace.host
            && line.at >= trace.placed_at - CONTEXT_WINDOW_S
            && line.at <= until
    });
    let ratios = latency_lines.filter_map(|line| line.field("of_target")?.parse::<f64>().ok());
    ratios
        .max_by(f64::total_cmp)
        .map_or(String::new(), |worst| {
            format!(" for a serving task at {worst:.1} of its target")
        })
}

impl ToolReport for JobTimeline {
    fn exit_status(&self) -> ExitStatus {
        match self.outcome {
            JobOutcome::Unseen => ExitStatus::Refused,
            _ => ExitStatus::Done,
        }
    }
}

impl fmt::Display for JobTimeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            writeln!(
                f,
                "{:9.3} {} {} {} {}",
                line.after_s, line.host, line.event, line.id, line.detail
            )?;
        }
        let outcome = format!("{:?}", self.outcome).to_lowercase();
        writeln!(f, "{} {outcome}", self.subject)?;
        for cause in &self.causes {
            writeln!(f, "  {cause}")?;
        }
        Ok(())
    }
}
