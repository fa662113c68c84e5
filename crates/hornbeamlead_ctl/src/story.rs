//! Tells from logs alone what became of a job, and why.

use crate::log_lines::EventLine;
use crate::report::{ExitStatus, ToolReport};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Span around the lines of a job in which other events may have to do with it, in seconds.
const NEARBY_S: f64 = 2.0;

/// Events that concern more than one job.
const SHARED_EVENTS: [&str; 9] = [
    "store_lost",
    "store_regained",
    "planner_claimed",
    "planner_active",
    "planner_lost",
    "planner_deposed",
    "planner_troubled",
    "worker_on_probation",
    "host_disconnected",
];

/// What became of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum JobOutcome {
    /// No line names it.
    Unseen,
    /// It was not accepted.
    Refused,
    /// Nobody knows whether it was accepted: the answer of the store is missing.
    Unknown,
    /// It was accepted and has not ended.
    Unfinished,
    /// All its tasks are done.
    Completed,
    /// A task has failed too often.
    Failed,
    /// It was cancelled.
    Cancelled,
}

/// Line of the story.
#[derive(Clone, Debug, Serialize)]
struct StoryLine {
    /// Seconds since the job's first line.
    after_s: f64,
    host: Box<str>,
    event: Box<str>,
    id: Box<str>,
    detail: Box<str>,
}

/// Story of a job.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct JobStory {
    subject: Box<str>,
    outcome: JobOutcome,
    causes: Vec<String>,
    lines: Vec<StoryLine>,
}

/// Attempt, as its lines tell.
#[derive(Clone, Debug, Default)]
struct AttemptTrace {
    host: Box<str>,
    placed: f64,
    ended: Option<f64>,
    end: Box<str>,
    least_percent: Option<u32>,
}

impl AttemptTrace {
    fn lasted(&self) -> f64 {
        self.ended.map_or(0.0, |ended| ended - self.placed)
    }
}

impl JobStory {
    /// Picks the lines that have to do with a job and names the causes that they show.
    pub(crate) fn new(subject: &str, mut lines: Vec<EventLine>) -> Self {
        lines.sort_by(|left, right| left.at.total_cmp(&right.at));
        let own: Vec<_> = lines
            .iter()
            .filter(|line| concerns(line, subject))
            .collect();
        let (Some(first), Some(last)) = (own.first(), own.last()) else {
            return Self {
                subject: subject.into(),
                outcome: JobOutcome::Unseen,
                causes: vec!["no line of these logs names it".into()],
                lines: Vec::new(),
            };
        };
        let (first, last) = (first.at, last.at);
        let outcome = outcome_of(&own);
        let near = |line: &&EventLine| {
            SHARED_EVENTS.contains(&&*line.event)
                && line.at >= first - NEARBY_S
                && line.at <= last + NEARBY_S
        };
        let shown = lines
            .iter()
            .filter(|line| concerns(line, subject) || near(line));
        let causes = match outcome {
            JobOutcome::Refused | JobOutcome::Unknown => explain_refusals(&own, &lines),
            JobOutcome::Failed => explain_failure(&own),
            _ => explain_time(subject, &own, &lines),
        };
        let story_line = |line: &EventLine| StoryLine {
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
            lines: shown.map(story_line).collect(),
        }
    }
}

fn concerns(line: &EventLine, subject: &str) -> bool {
    let rest = line.id.strip_prefix(subject);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
}

fn outcome_of(own: &[&EventLine]) -> JobOutcome {
    let has = |event: &str| own.iter().any(|line| &*line.event == event);
    let ended = own.iter().rfind(|line| &*line.event == "job_ended");
    let phase = ended.and_then(|line| line.field("phase"));
    match phase.as_deref() {
        Some("completed") => JobOutcome::Completed,
        Some("failed") => JobOutcome::Failed,
        _ if has("job_cancelled") => JobOutcome::Cancelled,
        _ if has("job_accepted") || has("job_taken") => JobOutcome::Unfinished,
        _ if has("append_unknown") => JobOutcome::Unknown,
        _ => JobOutcome::Refused,
    }
}

fn explain_refusals(own: &[&EventLine], all: &[EventLine]) -> Vec<String> {
    let refusals = own.iter().filter(|line| {
        matches!(
            &*line.event,
            "submit_refused" | "append_refused" | "append_unknown"
        )
    });
    let explain = |line: &&EventLine| {
        let before = all.iter().rfind(|other| {
            other.host == line.host
                && other.at <= line.at
                && matches!(&*other.event, "store_lost" | "store_regained")
        });
        let store = match before.filter(|other| &*other.event == "store_lost") {
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

fn explain_failure(own: &[&EventLine]) -> Vec<String> {
    let mut tasks = BTreeMap::<&str, Vec<Box<str>>>::new();
    for line in own.iter().filter(|line| &*line.event == "task_ended") {
        if line.field("end").as_deref() == Some("failed") {
            let task = line.id.split('#').next().unwrap_or_default();
            let hosts = tasks.entry(task).or_default();
            hosts.push(line.field("host").unwrap_or_default());
        }
    }
    let Some((task, hosts)) = tasks.into_iter().max_by_key(|(_, hosts)| hosts.len()) else {
        return vec!["no failed attempt is in these logs".into()];
    };
    let different: BTreeSet<_> = hosts.iter().collect();
    let verdict = match different.len() {
        1 => "all on one host: its worker is suspect",
        _ => "on different hosts: the task itself fails",
    };
    vec![format!(
        "task {task} failed {} times ({}), {verdict}",
        hosts.len(),
        hosts.join(", ")
    )]
}

/// Tells where the time of a job went, step by step.
fn explain_time(subject: &str, own: &[&EventLine], all: &[EventLine]) -> Vec<String> {
    let at = |event: &str| own.iter().find(|line| &*line.event == event);
    let mut causes = Vec::new();
    let accepted = at("job_accepted").map(|line| line.at);
    if let (Some(accepted), Some(taken)) = (accepted, at("job_taken")) {
        let wait = taken.at - accepted;
        causes.push(format!("the planner took it {wait:.2} s after acceptance"));
    }
    let origin = accepted.or(own.first().map(|line| line.at)).unwrap_or(0.0);
    let mut steps = BTreeMap::<u32, BTreeMap<&str, AttemptTrace>>::new();
    for (run, trace) in trace_attempts(own) {
        let step = step_of(subject, run);
        steps.entry(step).or_default().insert(run, trace);
    }
    for (step, runs) in &steps {
        causes.push(explain_step(origin, *step, runs, all));
    }
    causes
}

fn step_of(subject: &str, run: &str) -> u32 {
    let rest = run.strip_prefix(subject).unwrap_or_default();
    let step = rest.trim_start_matches('.').split('.').nth(1);
    step.and_then(|step| step.parse().ok()).unwrap_or(0)
}

fn trace_attempts<'a>(own: &[&'a EventLine]) -> BTreeMap<&'a str, AttemptTrace> {
    let mut traces = BTreeMap::<&str, AttemptTrace>::new();
    for line in own {
        match &*line.event {
            "task_placed" => {
                let trace = traces.entry(&line.id).or_default();
                trace.host = line.field("host").unwrap_or_default();
                trace.placed = line.at;
            }
            "task_ended" => {
                if let Some(trace) = traces.get_mut(&*line.id) {
                    trace.ended = Some(line.at);
                    trace.end = line.field("end").unwrap_or_default();
                }
            }
            "task_paced" => {
                let percent = line.field("percent").and_then(|text| text.parse().ok());
                if let (Some(trace), Some(percent)) = (traces.get_mut(&*line.id), percent) {
                    let least = trace
                        .least_percent
                        .map_or(percent, |least| least.min(percent));
                    trace.least_percent = Some(least);
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
    runs: &BTreeMap<&str, AttemptTrace>,
    all: &[EventLine],
) -> String {
    let placed = runs.values().map(|run| run.placed - origin);
    let (first, last) = placed.fold((f64::MAX, f64::MIN), |(first, last), at| {
        (first.min(at), last.max(at))
    });
    let failed = runs.values().filter(|run| &*run.end == "failed").count();
    let stopped = runs.values().filter(|run| &*run.end == "stopped").count();
    let longest = runs
        .iter()
        .max_by(|left, right| left.1.lasted().total_cmp(&right.1.lasted()));
    let longest = longest.map_or(String::new(), |(run, trace)| {
        let paced = trace.least_percent.map_or(String::new(), |percent| {
            let latency = worst_latency(trace, all);
            format!(", paced down to {percent} %{latency}")
        });
        format!(
            "; longest attempt {run} on {}: {:.1} s{paced}",
            trace.host,
            trace.lasted()
        )
    });
    format!(
        "step {step}: {} attempts ({failed} failed, {stopped} stopped), placed {first:.1} to \
         {last:.1} s after acceptance{longest}",
        runs.len()
    )
}

/// Returns how far the serving tasks beside an attempt were over their target.
fn worst_latency(trace: &AttemptTrace, all: &[EventLine]) -> String {
    let until = trace.ended.unwrap_or(f64::MAX);
    let beside = all.iter().filter(|line| {
        &*line.event == "serving_latency"
            && line.host == trace.host
            && line.at >= trace.placed - NEARBY_S
            && line.at <= until
    });
    let ratios = beside.filter_map(|line| line.field("of_target")?.parse::<f64>().ok());
    ratios
        .max_by(f64::total_cmp)
        .map_or(String::new(), |worst| {
            format!(" for a serving task at {worst:.1} of its target")
        })
}

impl ToolReport for JobStory {
    fn exit_status(&self) -> ExitStatus {
        match self.outcome {
            JobOutcome::Unseen => ExitStatus::Refused,
            _ => ExitStatus::Done,
        }
    }
}

impl fmt::Display for JobStory {
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
