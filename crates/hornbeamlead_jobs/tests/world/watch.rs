//! Watch over the rule that long-running tasks run while there is room for them.

use super::*;

/// Time after a disturbance until its hosts count as calm, in milliseconds.
const CONTACT_MS: u64 = 3000;

/// Calm time before a task that does not run counts as lost, in milliseconds.
const CALM_MS: u64 = 4000;

/// Time after the last attempt of a task before it counts as lost, in milliseconds.
const RESTART_MS: u64 = 6000;

/// Time for which a task does not run, with room for it, until it counts as lost, in milliseconds.
const LOST_MS: u64 = 3000;

/// Multiple of the demand of a task that has to be free.
const ROOM_FACTOR: usize = 2;

/// What the watch knows of a task.
#[derive(Debug)]
struct WatchedTask {
    /// When the last attempt ran; before the first, when the task was first seen.
    ran_at: u64,
    /// Since when the task does not run although there is room.
    idle_since: Option<u64>,
    reported: bool,
}

/// Finds long-running tasks that do not run.
#[derive(Debug, Default)]
pub(crate) struct RunWatch {
    disturbed_until: u64,
    tasks: BTreeMap<TaskName, WatchedTask>,
}

impl RunWatch {
    /// Returns when the last disturbance ends.
    pub(super) fn disturbed_until(&self) -> u64 {
        self.disturbed_until
    }
}

impl World {
    /// Records a disturbance that lasts for `span_ms` from now.
    pub(super) fn disturb(&mut self, span_ms: u64) {
        let until = self.now + span_ms;
        let watch = self.watch.iter_mut();
        watch.for_each(|watch| watch.disturbed_until = watch.disturbed_until.max(until));
    }

    /// Has the platform report long-running tasks that are lost.
    pub(crate) fn watch_runs(&mut self) {
        self.watch = Some(RunWatch::default());
    }

    pub(super) fn step_watch(&mut self) {
        let Some(mut watch) = self.watch.take() else {
            return;
        };
        let attempts = self
            .hosts
            .iter()
            .flat_map(|host| host.worker.running.keys());
        let running: BTreeSet<TaskName> = attempts.map(|run| run.task).collect();
        let calm_from = watch.disturbed_until + CONTACT_MS + CALM_MS;
        for (task, spec) in self.lasting_tasks() {
            let watched = watch.tasks.entry(task).or_insert(WatchedTask {
                ran_at: self.now,
                idle_since: None,
                reported: false,
            });
            if running.contains(&task) {
                watched.ran_at = self.now;
                watched.idle_since = None;
                watched.reported = false;
                continue;
            }
            watched.idle_since = match self.has_room(&spec) {
                true => watched.idle_since.or(Some(self.now)),
                false => None,
            };
            let counts_from = calm_from.max(watched.ran_at + RESTART_MS);
            let idle_from = watched.idle_since.map(|at| at.max(counts_from));
            if !watched.reported && idle_from.is_some_and(|from| self.now >= from + LOST_MS) {
                watched.reported = true;
                let idle_ms = self.now - watched.ran_at;
                let violation = format!("{task} is lost at {}, idle for {idle_ms} ms", self.now);
                println!("{} watch lost {task}", self.now);
                self.judge.violations.push(violation);
            }
        }
        self.watch = Some(watch);
    }

    /// Returns the long-running tasks of accepted jobs that no caller has cancelled and that may not
    /// have been given up.
    fn lasting_tasks(&self) -> Vec<(TaskName, StepSpec)> {
        let mut tasks = Vec::new();
        for &job in &self.accepted {
            if self
                .cancel_tickets
                .values()
                .any(|cancelled| *cancelled == job)
                || self.judge.deadly.may_fail(job)
            {
                continue;
            }
            let mut run = RunName::default();
            run.task.step.job = job;
            while let Some(spec) = self.judge.step(run).cloned() {
                for index in (0..spec.tasks).filter(|_| spec.long_running) {
                    tasks.push((TaskName { index, ..run.task }, spec.clone()));
                }
                run.task.step.step += 1;
            }
        }
        tasks
    }

    /// Returns whether workers that can be reached have room for a task, several times over.
    fn has_room(&self, spec: &StepSpec) -> bool {
        let slots = (0..self.hosts.len()).map(|host| self.free_slots(host, spec));
        slots.sum::<usize>() >= ROOM_FACTOR
    }

    fn free_slots(&self, host: usize, spec: &StepSpec) -> usize {
        let world_host = &self.hosts[host];
        let usable = world_host.worker.alive
            && world_host.agent.is_some()
            && !world_host.draining
            && !self.is_partitioned(host)
            && !self.is_frozen(host);
        if !usable {
            return 0;
        }
        let facts = self.announcement(host).facts;
        let steps = world_host.worker.running.keys();
        let steps = steps.filter_map(|run| self.judge.step(*run));
        let used = steps.fold((0, 0), |used, step| {
            (used.0 + step.cpu, used.1 + step.memory)
        });
        let cpu = facts.cpu.saturating_sub(used.0) / spec.cpu.max(1);
        let memory = facts.memory.saturating_sub(used.1) / spec.memory.max(1);
        cpu.min(memory) as usize
    }
}
