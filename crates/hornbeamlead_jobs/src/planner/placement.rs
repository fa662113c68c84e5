//! Chooses the host for a task.

use super::hosts::HostView;
use super::hosts::NO_LATENCY;
use super::impact::{FULL_PRESS, ImpactModel, ServingLevel};
use crate::ids::{RunName, StepName};
use crate::job::StepSpec;
use crate::worker::WorkerFacts;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Weights of the choice of a host; each is a share of a whole worker.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementPolicy {
    /// Cost to a filler of a worker that serves, for an image of which nothing is known; the more
    /// an image presses, the dearer.
    pub filler_beside_serving: f64,
    /// Cost to a filler of a worker whose fillers get nothing.
    pub filler_beside_starved: f64,
    /// Cost to a filler of taking the serving tasks of a worker over their targets.
    pub filler_harm: f64,
    /// Cost to a filler of a worker whose serving tasks are over their targets already.
    pub filler_beside_late: f64,
    /// Gain to a lasting task of the whole worker being taken by others of its kind.
    pub lasting_together: f64,
    /// Cost to a lasting task of the whole worker being taken by fillers.
    pub lasting_beside_filler: f64,
    /// Cost to a lasting task of each serving task of another image: fillers that press on some
    /// images leave others alone.
    pub lasting_mixed: f64,
    /// Tasks of one lasting step on one worker, where the job promises no fewer.
    pub lasting_per_host: u32,
    /// Cost of a rack that does not hold the data.
    pub remote_data: f64,
    /// Cost of a worker on which the task has failed.
    pub failed_before: f64,
}

impl Default for PlacementPolicy {
    fn default() -> Self {
        Self {
            filler_beside_serving: 2.0,
            filler_beside_starved: 0.5,
            filler_harm: 1.0,
            filler_beside_late: 0.5,
            lasting_together: 2.0,
            lasting_beside_filler: 2.0,
            lasting_mixed: 0.5,
            lasting_per_host: 3,
            remote_data: 1.0,
            failed_before: 2.0,
        }
    }
}

/// Stands for the name of an image: its hash.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ImageId(pub u64);

impl From<&str> for ImageId {
    fn from(name: &str) -> Self {
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        Self(hasher.finish())
    }
}

/// What an attempt takes of its worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TaskDemand {
    /// Step.
    pub step: StepName,
    /// Processors, in thousandths of a core.
    pub cpu: u32,
    /// Memory, in mebibytes.
    pub memory: u32,
    /// Accelerators.
    pub accelerators: u32,
    /// Whether it lives on what others leave unused.
    pub best_effort: bool,
    /// Whether it lasts.
    pub long_running: bool,
    /// Image.
    pub image: ImageId,
    /// Tail latency that a serving task must stay below, in milliseconds; 0 for none.
    pub target_ms: u32,
}

impl TaskDemand {
    pub(super) fn new(step: StepName, spec: &StepSpec) -> Self {
        Self {
            step,
            cpu: spec.cpu,
            memory: spec.memory,
            accelerators: spec.accelerators,
            best_effort: spec.best_effort,
            long_running: spec.long_running,
            image: ImageId::from(&*spec.image),
            target_ms: if spec.long_running { spec.target_ms } else { 0 },
        }
    }
}

/// What the attempts on a worker take together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct HostLoad {
    pub(super) cpu: u32,
    pub(super) memory: u32,
    pub(super) accelerators: u32,
    pub(super) filler_cpu: u32,
    pub(super) lasting_cpu: u32,
    pub(super) count: u32,
    pub(super) serving: u32,
}

impl HostLoad {
    pub(super) fn of(runs: &BTreeMap<RunName, TaskDemand>) -> Self {
        let mut load = Self::default();
        for demand in runs.values() {
            load.add(demand);
        }
        load
    }

    pub(super) fn add(&mut self, demand: &TaskDemand) {
        self.count += 1;
        self.memory += demand.memory;
        self.accelerators += demand.accelerators;
        match demand.best_effort {
            true => self.filler_cpu += demand.cpu,
            false => self.cpu += demand.cpu,
        }
        self.serving += u32::from(demand.target_ms > 0);
        if demand.long_running {
            self.lasting_cpu += demand.cpu;
        }
    }

    fn fits(&self, demand: &TaskDemand, worker: &WorkerFacts) -> bool {
        let cpu = if demand.best_effort { 0 } else { demand.cpu };
        self.cpu + cpu <= worker.cpu
            && self.memory + demand.memory <= worker.memory
            && self.accelerators + demand.accelerators <= worker.accelerators
    }
}

/// Host that may take tasks in a pass of the schedule.
#[derive(Clone, Debug)]
pub(super) struct Candidate<'a> {
    pub(super) view: &'a HostView,
    pub(super) worker: &'a WorkerFacts,
    pub(super) load: HostLoad,
    /// Tasks by step that were placed in this pass.
    pub(super) placed: BTreeMap<StepName, u32>,
    /// Cost of the worker's record of failures.
    pub(super) risk: f64,
    /// Most tasks that may run there.
    pub(super) limit: u32,
    /// Serving tasks by image, with what was placed in this pass.
    pub(super) serving: BTreeMap<ImageId, ServingLevel>,
}

/// How strongly a filler presses on each serving image of a worker.
#[derive(Clone, Debug, Default)]
pub(super) struct FillerPressure {
    presses: BTreeMap<ImageId, f64>,
    worst: f64,
}

impl FillerPressure {
    pub(super) fn new(
        model: &ImpactModel,
        serving: &BTreeMap<ImageId, ServingLevel>,
        best_effort: ImageId,
    ) -> Self {
        let coefficient = |&image: &ImageId| (image, model.coefficient(image, best_effort));
        Self {
            presses: serving.keys().map(coefficient).collect(),
            worst: model.worst_press(serving, best_effort),
        }
    }

    /// Returns the press on the most sensitive image.
    pub(super) fn worst(&self) -> f64 {
        self.worst
    }

    fn on(&self, image: ImageId) -> f64 {
        self.presses.get(&image).copied().unwrap_or(self.worst)
    }
}

impl Candidate<'_> {
    /// Returns how many tasks of a step run or are about to run there.
    pub(super) fn step_count(&self, step: StepName) -> u32 {
        let running = self.view.runs.values().filter(|demand| demand.step == step);
        running.count() as u32 + self.placed.get(&step).copied().unwrap_or(0)
    }

    pub(super) fn take(&mut self, demand: &TaskDemand, pressure: &FillerPressure) {
        if demand.best_effort {
            let share = f64::from(demand.cpu) / f64::from(self.worker.cpu.max(1));
            for (&image, level) in &mut self.serving {
                level.latency += pressure.on(image) * share;
            }
        }
        if demand.target_ms > 0 {
            let level = self.serving.entry(demand.image).or_insert(ServingLevel {
                tasks: 0,
                latency: NO_LATENCY,
            });
            level.tasks += 1;
        }
        self.load.add(demand);
        *self.placed.entry(demand.step).or_default() += 1;
    }

    /// Returns whether a task may run there.
    pub(super) fn admits(&self, demand: &TaskDemand, spec: &StepSpec, service: &str) -> bool {
        let labelled = spec
            .label
            .as_ref()
            .is_none_or(|label| self.worker.labels.contains(label));
        let spread = spec.spread_limit;
        *self.worker.service == *service
            && labelled
            && self.load.count < self.limit
            && self.load.fits(demand, self.worker)
            && spread.is_none_or(|limit| self.step_count(demand.step) < limit)
    }

    /// Returns whether a filler would get something there and leave the serving tasks below their
    /// targets. One that waits its turn runs at full speed later; many at once are all late.
    pub(super) fn spares(&self, demand: &TaskDemand, pressure: &FillerPressure) -> bool {
        if !demand.best_effort || self.load.filler_cpu == 0 {
            return true;
        }
        let share = f64::from(demand.cpu) / f64::from(self.worker.cpu.max(1));
        let spared = self
            .serving
            .iter()
            .all(|(&image, level)| level.latency + pressure.on(image) * share <= LATENCY_LIMIT);
        let used = f64::from(self.load.cpu) * USED_SHARE;
        let room = f64::from(self.worker.cpu) - used - f64::from(self.load.filler_cpu);
        let paced = self.view.filler_rate < LEAST_FILLER_RATE;
        spared && !paced && room >= f64::from(demand.cpu)
    }

    /// Returns the cost of running a task there; the least wins.
    pub(super) fn cost(
        &self,
        policy: &PlacementPolicy,
        demand: &TaskDemand,
        spec: &StepSpec,
        pressure: &FillerPressure,
    ) -> f64 {
        let whole = f64::from(self.worker.cpu.max(1));
        let share = |cpu: u32| f64::from(cpu) / whole;
        let long_running = share(self.load.lasting_cpu);
        let remote = spec
            .data_rack
            .as_ref()
            .is_some_and(|rack| !self.worker.labels.contains(rack));
        let base = match (demand.best_effort, demand.long_running) {
            (true, _) => {
                let busy = share(self.load.cpu + self.load.filler_cpu + demand.cpu);
                let (harm, late) = self.harm_of(pressure, share(demand.cpu));
                let serves = f64::from(self.load.serving.min(FULL_HARM_TASKS));
                let weight = serves / f64::from(FULL_HARM_TASKS);
                let late = policy.filler_beside_late * late;
                let beside = policy.filler_beside_serving * pressure.worst() / FULL_PRESS;
                let starved =
                    policy.filler_beside_starved * (1.0 - self.view.filler_rate).clamp(0.0, 1.0);
                busy + starved + weight * (beside + policy.filler_harm * harm + late)
            }
            (false, true) => {
                let crowd = self.step_count(demand.step);
                let crowded = crowd >= policy.lasting_per_host.max(spec.may_miss.unwrap_or(0));
                let full = if crowded {
                    10.0 + f64::from(crowd)
                } else {
                    0.0
                };
                let alike = self.serving.get(&demand.image);
                let alike = alike.map_or(0, |level| level.tasks);
                let others = self.load.serving.saturating_sub(alike);
                let mixed = policy.lasting_mixed * f64::from(others);
                full + mixed + policy.lasting_beside_filler * share(self.load.filler_cpu)
                    - policy.lasting_together * long_running
            }
            (false, false) => share(self.load.cpu + self.load.filler_cpu + demand.cpu),
        };
        base + self.risk + if remote { policy.remote_data } else { 0.0 }
    }

    /// Returns by how much a filler would raise the mean lateness of the serving tasks, and what
    /// it is now.
    fn harm_of(&self, pressure: &FillerPressure, share: f64) -> (f64, f64) {
        let whole = f64::from(self.load.serving.max(1));
        let rows = self.serving.iter().map(|(&image, level)| {
            let weight = f64::from(level.tasks) / whole;
            let before = lateness(level.latency);
            let after = lateness(level.latency + pressure.on(image) * share);
            (weight * (after - before), weight * before)
        });
        rows.fold((0.0, 0.0), |sum, row| (sum.0 + row.0, sum.1 + row.1))
    }
}

/// Logarithm of latency over target up to which fillers are added.
const LATENCY_LIMIT: f64 = -0.3;

/// Share of what they ask for that the fillers of a worker get, below which no more are added: more
/// of them would only make all of them late.
const LEAST_FILLER_RATE: f64 = 0.5;

/// Share of what serving tasks ask for that they use, as a rule.
const USED_SHARE: f64 = 0.5;

/// Serving tasks on a worker from which on their harm counts in full.
const FULL_HARM_TASKS: u32 = 3;

/// Room below the target that is kept: the load of serving tasks swings.
const LATENCY_MARGIN: f64 = 0.3;

/// Returns how far a latency, as a logarithm over target, is beyond what is kept free.
fn lateness(latency: f64) -> f64 {
    (latency + LATENCY_MARGIN).clamp(0.0, 1.5)
}
