//! What was sent, answered and run, with the time in milliseconds since the start of the case.

use std::fs;
use std::path::Path;
use std::sync::Mutex;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Run of a task on a worker.
#[derive(Clone, Debug)]
pub struct Run {
    pub worker: String,
    pub task: String,
    pub run: u64,
    pub began: u64,
    pub ended: Option<(u64, &'static str)>,
}

impl Run {
    pub fn is_of(&self, job: &str) -> bool {
        self.task.starts_with(job)
    }
}

pub struct Record {
    origin: Instant,
    lines: Mutex<Vec<String>>,
    runs: Mutex<Vec<Run>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            origin: Instant::now(),
            lines: Mutex::default(),
            runs: Mutex::default(),
        }
    }

    pub fn now(&self) -> u64 {
        self.origin.elapsed().as_millis() as u64
    }

    pub fn note(&self, line: impl AsRef<str>) {
        let mut lines = self.lines.lock().unwrap();
        lines.push(format!("{:>7} ms  {}", self.now(), line.as_ref()));
    }

    pub fn started(&self, worker: &str, task: &str, run: u64) {
        let mut runs = self.runs.lock().unwrap();
        let began = self.now();
        runs.push(Run {
            worker: worker.into(),
            task: task.into(),
            run,
            began,
            ended: None,
        });
        self.note(format!("run     {task} run {run} began on {worker}"));
    }

    pub fn ended(&self, worker: &str, task: &str, run: u64, how: &'static str) {
        let mut runs = self.runs.lock().unwrap();
        let at = self.now();
        let is_it = |it: &&mut Run| {
            it.worker == worker && it.task == task && it.run == run && it.ended.is_none()
        };
        if let Some(it) = runs.iter_mut().find(is_it) {
            it.ended = Some((at, how));
        }
        self.note(format!("run     {task} run {run} ended {how} on {worker}"));
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Runs of one task that were at work at the same time.
    pub fn overlaps(&self) -> Vec<String> {
        let (runs, now) = (self.runs(), self.now());
        let mut found = Vec::new();
        for (index, one) in runs.iter().enumerate() {
            for other in &runs[index + 1..] {
                let end = |run: &Run| run.ended.map_or(now, |(at, _)| at);
                let both = one.began.max(other.began)..end(one).min(end(other));
                if one.task == other.task && !both.is_empty() {
                    found.push(format!(
                        "{} ran twice from {} to {} ms: run {} on {}, run {} on {}",
                        one.task,
                        both.start,
                        both.end,
                        one.run,
                        one.worker,
                        other.run,
                        other.worker
                    ));
                }
            }
        }
        found
    }

    pub fn write(&self, path: &Path) {
        let lines = self.lines.lock().unwrap();
        fs::write(path, lines.join("\n") + "\n").expect("the record is written");
    }
}

/// Milliseconds since 1970.
pub fn wall_ms() -> u64 {
    let span = SystemTime::now().duration_since(UNIX_EPOCH);
    span.map_or(0, |span| span.as_millis() as u64)
}
