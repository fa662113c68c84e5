//! What log files tell of workers that crashed under the tasks of a job.

use crate::log_lines::EventLine;
use std::collections::BTreeMap;

/// Crashes under a task of a job, in whichever occurrence.
#[derive(Clone, Debug, Default)]
struct CrashTrace {
    hosts: Vec<Box<str>>,
    certain: Box<str>,
    isolated: bool,
    forgotten: bool,
}

/// Crashes in a row under a task of a job, as its latest line tells.
#[derive(Clone, Debug, Default)]
struct ChainTrace {
    hosts: Vec<Box<str>>,
    crashes: Box<str>,
    similar: Box<str>,
    chance: Box<str>,
}

/// Describes the crashes under each task of a job, those with the most crashes first.
pub(crate) fn explain_crashes(subject: &str, job_lines: &[&EventLine]) -> Vec<String> {
    let mut traces = BTreeMap::<String, CrashTrace>::new();
    let mut chains = BTreeMap::<String, ChainTrace>::new();
    for line in job_lines {
        let Some(task) = task_of(subject, &line.id) else {
            continue;
        };
        match &*line.event {
            "crash_counted" => {
                let trace = traces.entry(task).or_default();
                trace.hosts.extend(line.field("host"));
                trace.certain = line.field("certain").unwrap_or_default();
                trace.isolated |= line.field("isolated").as_deref() == Some("true");
                trace.forgotten = false;
            }
            "crash_weighed" => {
                let chain = chains.entry(task).or_default();
                let field = |name| line.field(name).unwrap_or_default();
                chain.hosts.extend(line.field("host"));
                (chain.crashes, chain.similar) = (field("crashes"), field("similar"));
                chain.chance = field("chance");
            }
            "crashes_outlived" => {
                chains.remove(&task);
            }
            "crashes_forgotten" => {
                if let Some(trace) = traces.get_mut(&task) {
                    trace.forgotten = true;
                }
            }
            _ => {}
        }
    }
    let mut traces: Vec<_> = traces.into_iter().collect();
    traces.sort_by_key(|(_, trace)| std::cmp::Reverse(trace.hosts.len()));
    let explain = |(task, trace): &(String, CrashTrace)| {
        let outcome = match trace {
            trace if trace.forgotten => ", then it ran for long",
            trace if trace.isolated => ", so it started apart from others",
            _ => "",
        };
        format!(
            "task {task}: {} workers crashed under it ({}), {} certainly through it{outcome}",
            trace.hosts.len(),
            trace.hosts.join(", "),
            trace.certain
        )
    };
    let explain_chain = |(task, chain): (&String, &ChainTrace)| {
        format!(
            "task {task}: {} crashes in a row under it (last on {}), {} at a similar age, by chance with {}",
            chain.crashes,
            chain.hosts.join(", "),
            chain.similar,
            chain.chance
        )
    };
    let crashes = traces.iter().map(explain);
    crashes.chain(chains.iter().map(explain_chain)).collect()
}

/// Returns the step and index of an attempt of a job.
fn task_of(subject: &str, attempt: &str) -> Option<String> {
    let rest = attempt.strip_prefix(subject)?.strip_prefix('.')?;
    let task = rest.split('#').next()?;
    let mut parts = task.split('.').skip(1);
    Some(format!("{}.{}", parts.next()?, parts.next()?))
}
