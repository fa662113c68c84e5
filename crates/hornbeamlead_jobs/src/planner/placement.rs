//! Admission and cost of a task on a host.

use super::hosts::HostView;
use super::hosts::UNMEASURED_LOG_LATENCY;
use super::interference::{FULL_THROTTLE_COEFFICIENT, InterferenceModel, ServingGroup};
use super::isolation::{HostAccess, SuspectLoad};
use crate::ids::StepName;
use crate::job::StepSpec;
use crate::worker::WorkerFacts;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Cost weights for the choice of a host. A cost of 1.0 equals the CPU of a whole worker.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementPolicy {
    /// Best-effort tasks: cost of a worker with serving tasks, multiplied by the ratio of the
    /// image's interference coefficient to the one from which a task is fully throttled.
    pub best_effort_interference: f64,
    /// Best-effort tasks: cost of a worker whose best-effort tasks get no CPU.
    pub best_effort_starvation: f64,
    /// Best-effort tasks: cost of pushing the worker's serving tasks over their latency targets.
    pub best_effort_added_lateness: f64,
    /// Best-effort tasks: cost of a worker whose serving tasks are already over their targets.
    pub best_effort_present_lateness: f64,
    /// Long-running tasks: bonus for a worker fully allocated to long-running tasks.
    pub long_running_affinity: f64,
    /// Long-running tasks: cost of a worker fully used by best-effort tasks.
    pub long_running_contention: f64,
    /// Long-running tasks: cost of each serving task of another image. A best-effort image slows
    /// down some serving images and not others, so workers with a single serving image suit more of
    /// them.
    pub long_running_image_mix: f64,
    /// Long-running tasks: cost of another image that the same best-effort images slow down.
    pub long_running_similar_image: f64,
    /// Most tasks of a long-running step on one worker before the worker counts as crowded. A job
    /// that tolerates more missing tasks raises it to that number.
    pub long_running_per_host: u32,
    /// Cost of a worker outside the rack that holds the data.
    pub remote_data: f64,
    /// Cost of a worker on which the task has failed before.
    pub previous_failure: f64,
}

impl Default for PlacementPolicy {
    fn default() -> Self {
        Self {
            best_effort_interference: 2.0,
            best_effort_starvation: 0.5,
            best_effort_added_lateness: 1.0,
            best_effort_present_lateness: 0.5,
            long_running_affinity: 2.0,
            long_running_contention: 2.0,
            long_running_image_mix: 2.0,
            long_running_similar_image: 0.1,
            long_running_per_host: 8,
            remote_data: 1.0,
            previous_failure: 2.0,
        }
    }
}

/// Hash of an image name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ImageId(pub u64);

impl ImageId {
    /// Returns the short form used in messages to agents.
    #[must_use]
    pub fn short(self) -> u32 {
        (self.0 >> 32) as u32
    }
}

impl From<&str> for ImageId {
    fn from(name: &str) -> Self {
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        Self(hasher.finish())
    }
}

/// Resources and scheduling class of an attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TaskDemand {
    /// Step that the task belongs to.
    pub step: StepName,
    /// CPU, in thousandths of a core.
    pub cpu: u32,
    /// Memory, in mebibytes.
    pub memory: u32,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Whether the task is best-effort: it runs only on CPU that other tasks leave unused.
    pub best_effort: bool,
    /// Whether the task runs until it is stopped.
    pub long_running: bool,
    /// Image that the task runs.
    pub image: ImageId,
    /// Tail latency target in milliseconds. A task with a target is a serving task; 0 for none.
    pub target_ms: u32,
    /// Whether the task belongs to the backlog of a late schedule.
    pub is_overdue: bool,
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
            is_overdue: false,
        }
    }
}

/// Amounts of the resources of workers, in the units of [`TaskDemand`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ResourceSum {
    pub(super) cpu: u64,
    pub(super) memory: u64,
    pub(super) accelerators: u64,
}

impl ResourceSum {
    pub(super) fn add(&mut self, other: Self) {
        self.cpu += other.cpu;
        self.memory += other.memory;
        self.accelerators += other.accelerators;
    }

    pub(super) fn subtract(&mut self, other: Self) {
        self.cpu -= other.cpu;
        self.memory -= other.memory;
        self.accelerators -= other.accelerators;
    }
}

impl From<&TaskDemand> for ResourceSum {
    fn from(demand: &TaskDemand) -> Self {
        Self {
            cpu: demand.cpu.into(),
            memory: demand.memory.into(),
            accelerators: demand.accelerators.into(),
        }
    }
}

impl From<&WorkerFacts> for ResourceSum {
    fn from(worker: &WorkerFacts) -> Self {
        Self {
            cpu: worker.cpu.into(),
            memory: worker.memory.into(),
            accelerators: worker.accelerators.into(),
        }
    }
}

/// Total demand of the attempts on a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct HostLoad {
    pub(super) cpu: u32,
    pub(super) memory: u32,
    pub(super) accelerators: u32,
    pub(super) best_effort_cpu: u32,
    pub(super) long_running_cpu: u32,
    pub(super) count: u32,
    pub(super) serving: u32,
}

impl HostLoad {
    pub(super) fn add(&mut self, demand: &TaskDemand) {
        self.count += 1;
        self.memory = self.memory.saturating_add(demand.memory);
        self.accelerators = self.accelerators.saturating_add(demand.accelerators);
        let cpu = match demand.best_effort {
            true => &mut self.best_effort_cpu,
            false => &mut self.cpu,
        };
        *cpu = cpu.saturating_add(demand.cpu);
        self.serving += u32::from(demand.target_ms > 0);
        if demand.long_running {
            self.long_running_cpu = self.long_running_cpu.saturating_add(demand.cpu);
        }
    }

    fn fits(&self, demand: &TaskDemand, worker: &WorkerFacts) -> bool {
        let mut total = *self;
        total.add(demand);
        total.fits_within(worker)
    }

    /// Returns whether a worker has the capacity for the load. Best-effort tasks use the processor
    /// time that others leave.
    pub(super) fn fits_within(&self, worker: &WorkerFacts) -> bool {
        self.cpu <= worker.cpu
            && self.memory <= worker.memory
            && self.accelerators <= worker.accelerators
    }
}

/// Host that can get tasks in a scheduling pass.
#[derive(Clone, Debug)]
pub(super) struct Candidate<'a> {
    pub(super) view: &'a HostView,
    pub(super) worker: &'a WorkerFacts,
    pub(super) load: HostLoad,
    /// Number of tasks placed in this pass, by step.
    pub(super) placed: BTreeMap<StepName, u32>,
    /// Cost added for recent failures on the worker.
    pub(super) failure_cost: f64,
    /// Most tasks that may run on the worker.
    pub(super) max_tasks: u32,
    /// Which tasks may start on the host.
    pub(super) access: HostAccess,
    /// Number of attempts that had just started when the pass began.
    pub(super) fresh: u32,
    /// Suspects that run or are placed there.
    pub(super) suspects: SuspectLoad,
    /// Serving tasks by image, including those placed in this pass.
    pub(super) serving: BTreeMap<ImageId, ServingGroup>,
}

/// Interference between a task's image and the serving images of a worker.
#[derive(Clone, Debug, Default)]
pub(super) struct HostInterference {
    /// Coefficients of a best-effort image by serving image.
    coefficients: BTreeMap<ImageId, f64>,
    max_coefficient: f64,
    /// Cost of the images that a serving task would share the worker with.
    sharing_cost: f64,
}

impl HostInterference {
    pub(super) fn new(
        model: &InterferenceModel,
        serving: &BTreeMap<ImageId, ServingGroup>,
        best_effort: ImageId,
    ) -> Self {
        let coefficient = |&image: &ImageId| (image, model.coefficient(image, best_effort));
        Self {
            coefficients: serving.keys().map(coefficient).collect(),
            max_coefficient: model.max_coefficient(serving, best_effort),
            sharing_cost: 0.0,
        }
    }

    /// Returns the interference that a serving task's image makes the worker sensitive to, beyond
    /// that to which its present images do.
    pub(super) fn of_serving(
        model: &InterferenceModel,
        policy: &PlacementPolicy,
        serving: &BTreeMap<ImageId, ServingGroup>,
        image: ImageId,
    ) -> Self {
        let others = serving.iter().map(|(&other, group)| match other {
            _ if other == image => 0.0,
            _ if model.is_similar(other, image) => policy.long_running_similar_image,
            _ => policy.long_running_image_mix * f64::from(group.tasks),
        });
        Self {
            sharing_cost: others.sum(),
            ..Self::default()
        }
    }

    /// Returns the coefficient on the most sensitive image.
    pub(super) fn max_coefficient(&self) -> f64 {
        self.max_coefficient
    }

    fn on(&self, image: ImageId) -> f64 {
        self.coefficients
            .get(&image)
            .copied()
            .unwrap_or(self.max_coefficient)
    }
}

impl Candidate<'_> {
    /// Returns how many tasks of a step run on the host or were placed there in this pass.
    pub(super) fn step_count(&self, step: StepName) -> u32 {
        self.view.runs.of_step(step) + self.placed.get(&step).copied().unwrap_or(0)
    }

    pub(super) fn assign(&mut self, demand: &TaskDemand, interference: &HostInterference) {
        if demand.best_effort {
            let share = f64::from(demand.cpu) / f64::from(self.worker.cpu.max(1));
            for (&image, group) in &mut self.serving {
                group.log_latency += interference.on(image) * share;
            }
        }
        if demand.target_ms > 0 {
            let group = self.serving.entry(demand.image).or_insert(ServingGroup {
                tasks: 0,
                log_latency: UNMEASURED_LOG_LATENCY,
            });
            group.tasks += 1;
        }
        self.load.add(demand);
        *self.placed.entry(demand.step).or_default() += 1;
    }

    /// Returns the CPU that best-effort tasks can get on the host if they slow down no serving
    /// task, in thousandths of a core.
    pub(super) fn best_effort_room(&self) -> f64 {
        f64::from(self.worker.cpu) - f64::from(self.load.cpu) * USED_CPU_SHARE
    }

    /// Returns whether the worker has the service, labels and capacity that a task needs.
    pub(super) fn suits(&self, demand: &TaskDemand, spec: &StepSpec, service: &str) -> bool {
        let labelled = spec
            .label
            .as_ref()
            .is_none_or(|label| self.worker.labels.contains(label));
        let spread = spec.spread_limit;
        *self.worker.service == *service
            && labelled
            && HostLoad::default().fits(demand, self.worker)
            && spread.is_none_or(|limit| self.step_count(demand.step) < limit)
    }

    /// Returns whether the worker suits a task and has the free resources that it needs.
    pub(super) fn admits(&self, demand: &TaskDemand, spec: &StepSpec, service: &str) -> bool {
        self.suits(demand, spec, service)
            && self.tasks_beside(demand, spec) < self.max_tasks
            && self.load.fits(demand, self.worker)
    }

    /// Returns how many tasks count toward the limit of a host beside another one. Members of a gang, which
    /// start together or not at all, count as one: on probation a gang would not start otherwise.
    fn tasks_beside(&self, demand: &TaskDemand, spec: &StepSpec) -> u32 {
        let members = self.placed.get(&demand.step).filter(|_| spec.gang);
        self.load.count - members.copied().unwrap_or(0)
    }

    /// Returns whether a best-effort task would get CPU on the host and leave the serving tasks
    /// below their targets. Queueing the task is better than sharing too little CPU: it runs at
    /// full speed later, whereas many at once all finish late.
    pub(super) fn has_best_effort_headroom(
        &self,
        demand: &TaskDemand,
        interference: &HostInterference,
    ) -> bool {
        if !demand.best_effort {
            return true;
        }
        let share = f64::from(demand.cpu) / f64::from(self.worker.cpu.max(1));
        let within_targets = self.serving.iter().all(|(&image, group)| {
            group.log_latency + interference.on(image) * share <= MAX_LOG_LATENCY
        });
        let free = self.best_effort_room() - f64::from(self.load.best_effort_cpu);
        let throttled = self.view.best_effort_rate < MIN_BEST_EFFORT_RATE;
        let alone = self.load.best_effort_cpu == 0;
        within_targets && (alone || !throttled && free >= f64::from(demand.cpu))
    }

    /// Returns the cost of running a task on the host; the lowest cost wins.
    pub(super) fn cost(
        &self,
        policy: &PlacementPolicy,
        demand: &TaskDemand,
        spec: &StepSpec,
        interference: &HostInterference,
    ) -> f64 {
        let capacity = f64::from(self.worker.cpu.max(1));
        let share = |cpu: u32| f64::from(cpu) / capacity;
        let long_running_share = share(self.load.long_running_cpu);
        let remote = spec
            .data_rack
            .as_ref()
            .is_some_and(|rack| !self.worker.labels.contains(rack));
        let base = match (demand.best_effort, demand.long_running) {
            (true, _) => {
                let used = self.load.cpu.saturating_add(self.load.best_effort_cpu);
                let utilization = share(used.saturating_add(demand.cpu));
                let (added, present) = self.lateness_of(interference, share(demand.cpu));
                let serving = f64::from(self.load.serving.min(FULL_WEIGHT_TASKS));
                let weight = serving / f64::from(FULL_WEIGHT_TASKS);
                let present = policy.best_effort_present_lateness * present;
                let slowdown = policy.best_effort_interference * interference.max_coefficient()
                    / FULL_THROTTLE_COEFFICIENT;
                let starvation = policy.best_effort_starvation
                    * (1.0 - self.view.best_effort_rate).clamp(0.0, 1.0);
                utilization
                    + starvation
                    + weight * (slowdown + policy.best_effort_added_lateness * added + present)
            }
            (false, true) => {
                let count = self.step_count(demand.step);
                let crowded = count >= policy.long_running_per_host.max(spec.may_miss.unwrap_or(0));
                let crowding = if crowded {
                    10.0 + f64::from(count)
                } else {
                    0.0
                };
                crowding
                    + interference.sharing_cost
                    + policy.long_running_contention * share(self.load.best_effort_cpu)
                    - policy.long_running_affinity * long_running_share
            }
            (false, false) => {
                // Serving tasks use about half of what they reserve, so short tasks lose nothing
                // beside them and leave the processors of other workers to best-effort tasks.
                let others = self.load.cpu.saturating_sub(self.load.long_running_cpu);
                let used = others.saturating_add(self.load.best_effort_cpu);
                share(used.saturating_add(demand.cpu))
                    - policy.long_running_affinity * long_running_share
            }
        };
        base + self.failure_cost + if remote { policy.remote_data } else { 0.0 }
    }

    /// Returns by how much a best-effort task would raise the mean lateness of the serving tasks,
    /// and the mean lateness without it.
    fn lateness_of(&self, interference: &HostInterference, share: f64) -> (f64, f64) {
        let total = f64::from(self.load.serving.max(1));
        let rows = self.serving.iter().map(|(&image, group)| {
            let weight = f64::from(group.tasks) / total;
            let before = lateness(group.log_latency);
            let after = lateness(group.log_latency + interference.on(image) * share);
            (weight * (after - before), weight * before)
        });
        rows.fold((0.0, 0.0), |sum, row| (sum.0 + row.0, sum.1 + row.1))
    }
}

/// Logarithm of latency over target up to which best-effort tasks are added.
pub(super) const MAX_LOG_LATENCY: f64 = -0.15;

/// Share of their requested CPU that best-effort tasks must get for more of them to be added. Below
/// it, more tasks would only delay all of them.
const MIN_BEST_EFFORT_RATE: f64 = 0.5;

/// Share of their requested CPU that tasks other than best-effort ones typically use.
const USED_CPU_SHARE: f64 = 0.5;

/// Number of serving tasks on a worker from which their slowdown counts in full.
const FULL_WEIGHT_TASKS: u32 = 3;

/// Headroom below the target, as a logarithm, because the load of serving tasks varies.
const LOG_LATENCY_MARGIN: f64 = 0.3;

/// Returns how far a latency exceeds the target less [`LOG_LATENCY_MARGIN`], as a logarithm.
fn lateness(log_latency: f64) -> f64 {
    (log_latency + LOG_LATENCY_MARGIN).clamp(0.0, 1.5)
}
