//! Attempts that may be running on a host, with the sums of what they demand.

use super::placement::{HostLoad, ResourceSum, TaskDemand};
use crate::ids::{RunName, RunNumber, StepName, TaskName};
use std::collections::BTreeMap;
use std::collections::btree_map::Iter;
use std::ops::Deref;

/// Sums over attempts, wide enough that what was added can be subtracted again.
#[derive(Clone, Copy, Debug, Default)]
struct DemandSums {
    reserved: ResourceSum,
    best_effort_cpu: u64,
    long_running_cpu: u64,
    serving: u32,
    overdue: ResourceSum,
}

impl DemandSums {
    fn of(demand: &TaskDemand) -> Self {
        let all = ResourceSum::from(demand);
        let mut sums = Self {
            reserved: all,
            serving: u32::from(demand.target_ms > 0),
            ..Self::default()
        };
        if demand.best_effort {
            sums.reserved.cpu = 0;
            sums.best_effort_cpu = all.cpu;
        }
        if demand.long_running {
            sums.long_running_cpu = all.cpu;
        }
        if demand.is_overdue {
            sums.overdue = all;
        }
        sums
    }
}

/// Attempts that may be running on a host.
#[derive(Clone, Debug, Default)]
pub struct HostRuns {
    demands: BTreeMap<RunName, TaskDemand>,
    sums: DemandSums,
}

impl HostRuns {
    pub(super) fn insert(&mut self, run: RunName, demand: TaskDemand) {
        self.remove(&run);
        let added = DemandSums::of(&demand);
        self.sums.reserved.add(added.reserved);
        self.sums.best_effort_cpu += added.best_effort_cpu;
        self.sums.long_running_cpu += added.long_running_cpu;
        self.sums.serving += added.serving;
        self.sums.overdue.add(added.overdue);
        self.demands.insert(run, demand);
    }

    pub(super) fn remove(&mut self, run: &RunName) {
        let Some(demand) = self.demands.remove(run) else {
            return;
        };
        let removed = DemandSums::of(&demand);
        self.sums.reserved.subtract(removed.reserved);
        self.sums.best_effort_cpu -= removed.best_effort_cpu;
        self.sums.long_running_cpu -= removed.long_running_cpu;
        self.sums.serving -= removed.serving;
        self.sums.overdue.subtract(removed.overdue);
    }

    /// Returns the total demand.
    pub(super) fn load(&self) -> HostLoad {
        let narrow = |sum: u64| u32::try_from(sum).unwrap_or(u32::MAX);
        HostLoad {
            cpu: narrow(self.sums.reserved.cpu),
            memory: narrow(self.sums.reserved.memory),
            accelerators: narrow(self.sums.reserved.accelerators),
            best_effort_cpu: narrow(self.sums.best_effort_cpu),
            long_running_cpu: narrow(self.sums.long_running_cpu),
            count: self.demands.len() as u32,
            serving: self.sums.serving,
        }
    }

    /// Returns the demand of the backlog of late schedules.
    pub(super) fn overdue(&self) -> ResourceSum {
        self.sums.overdue
    }

    /// Returns the number of attempts of tasks of a step.
    pub(super) fn of_step(&self, step: StepName) -> u32 {
        let first = TaskName { step, index: 0 };
        let last = TaskName {
            step,
            index: u32::MAX,
        };
        let name = |task, run| RunName { task, run };
        let range = name(first, RunNumber(0))..=name(last, RunNumber(u32::MAX));
        self.demands.range(range).count() as u32
    }
}

impl Deref for HostRuns {
    type Target = BTreeMap<RunName, TaskDemand>;

    fn deref(&self) -> &Self::Target {
        &self.demands
    }
}

impl<'a> IntoIterator for &'a HostRuns {
    type Item = (&'a RunName, &'a TaskDemand);
    type IntoIter = Iter<'a, RunName, TaskDemand>;

    fn into_iter(self) -> Self::IntoIter {
        self.demands.iter()
    }
}
