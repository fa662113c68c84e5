//! Feeds workers' usage and latency readings to the interference model, and sends the resulting
//! traits to agents, which throttle best-effort tasks by them.

use super::PlannerMachine;
use super::hosts::HostView;
use super::interference::{FULL_THROTTLE_COEFFICIENT, InterferenceSample, ServingGroup};
use super::placement::{Candidate, HostInterference, ImageId, TaskDemand};
use crate::effect::{Effect, LinkId};
use crate::ids::{HostName, RunName};
use crate::job::StepSpec;
use crate::message::{HostReport, PlannerMessage, RunTraits};
use crate::operators::OperatorFormat;
use hornbeamlead_core::clock::MonoTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Least time between two samples of a host. Each reading covers half a second.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// Logarithm of latency over target above which an agent gets updated traits, by which it throttles
/// interfering tasks.
const THROTTLE_LOG_LATENCY: f64 = -0.25;

/// Delay until readings include a best-effort task that was just placed: its start, half a second
/// of averaging and a report.
const READING_LAG: Duration = Duration::from_millis(1000);

impl<F: OperatorFormat> PlannerMachine<F> {
    /// Takes an interference sample from a host's report and learns from it.
    pub(super) fn learn_interference(
        &mut self,
        now: MonoTime,
        host: &HostName,
        report: &HostReport,
    ) {
        let Some(view) = self.hosts.get_mut(host) else {
            return;
        };
        if now.since(view.last_sample.0) < SAMPLE_INTERVAL {
            return;
        }
        let capacity = report.worker.as_ref().map_or(1, |worker| worker.cpu.max(1));
        let mut sample = InterferenceSample::default();
        let (mut used, mut requested) = (0.0, 0.0);
        for row in &report.running {
            let Some(demand) = view.runs.get(&row.run) else {
                continue;
            };
            let value = f64::from(row.reading);
            match demand.target_ms {
                0 if demand.best_effort => {
                    let share = value / f64::from(capacity);
                    *sample.usage.entry(demand.image).or_default() += share;
                    used += value;
                    requested += f64::from(demand.cpu);
                }
                // A reading of 0 means that the task has not served a request yet.
                target if target > 0 && row.reading > 0 => {
                    let log_latency = (value / f64::from(target)).ln();
                    sample.serving.insert(row.run, (demand.image, log_latency));
                }
                _ => {}
            }
        }
        view.best_effort_rate = if requested > 0.0 {
            used / requested
        } else {
            1.0
        };
        view.log_latencies = sample.log_latencies();
        let consecutive = now.since(view.last_sample.0) < SAMPLE_INTERVAL * 3;
        let before = std::mem::replace(&mut view.last_sample, (now, sample));
        if consecutive {
            self.interference.learn(&before.1, &view.last_sample.1);
        }
        let near_target = view
            .slowest_serving()
            .is_some_and(|(_, log_latency)| log_latency > THROTTLE_LOG_LATENCY);
        let link = view.link;
        if let Some(link) = link.filter(|_| near_target) {
            self.send_traits(link, host);
        }
    }

    pub(super) fn send_traits(&mut self, link: LinkId, host: &HostName) {
        let traits = |run: RunName| {
            let (job, _) = self.ledger.task(run.task)?;
            let spec = job.spec(run.task.step)?;
            Some((run, self.traits_of(spec, host)))
        };
        let rows: Vec<_> = self.runs_on(host).into_iter().filter_map(traits).collect();
        if !rows.is_empty() {
            let message = PlannerMessage::Traits(rows);
            self.effects.push(Effect::ToAgent { link, message });
        }
    }

    /// Returns the traits by which an agent handles the attempts of a step on its host.
    pub(super) fn traits_of(&self, spec: &StepSpec, host: &HostName) -> RunTraits {
        let view = self.hosts.get(host);
        let image = ImageId::from(&*spec.image);
        // Throttling a task that does not slow down the slowest serving image gains nothing.
        let coefficient = match view.and_then(HostView::slowest_serving) {
            Some((slowest, _)) => self.interference.coefficient(slowest, image),
            None => {
                let serving = view.map(HostView::serving).unwrap_or_default();
                self.interference.max_coefficient(&serving, image)
            }
        };
        RunTraits {
            target_ms: if spec.long_running { spec.target_ms } else { 0 },
            best_effort: spec.best_effort,
            long_running: spec.long_running,
            interference_percent: (coefficient / FULL_THROTTLE_COEFFICIENT * 100.0)
                .clamp(0.0, 200.0) as u8,
        }
    }

    /// Returns the serving tasks of a worker, with the expected latency rise from best-effort tasks
    /// that are too new to show in its readings.
    pub(super) fn expected_serving(
        &self,
        now: MonoTime,
        view: &HostView,
    ) -> BTreeMap<ImageId, ServingGroup> {
        let mut serving = view.serving();
        let capacity = view.worker.as_ref().map_or(1, |worker| worker.cpu.max(1));
        let unmeasured = |run: &RunName| {
            let run_view = self.runs.get(run);
            run_view.is_some_and(|run_view| now.since(run_view.created_at) < READING_LAG)
        };
        let recent = view
            .runs
            .iter()
            .filter(|(run, demand)| demand.best_effort && unmeasured(run));
        for (_, demand) in recent {
            let share = f64::from(demand.cpu) / f64::from(capacity);
            for (&image, group) in &mut serving {
                group.log_latency += self.interference.coefficient(image, demand.image) * share;
            }
        }
        serving
    }

    /// Returns how much a task would slow down the serving tasks of a worker.
    pub(super) fn interference_on(
        &self,
        candidate: &Candidate<'_>,
        demand: &TaskDemand,
    ) -> HostInterference {
        match demand.best_effort {
            true => HostInterference::new(&self.interference, &candidate.serving, demand.image),
            false => HostInterference::default(),
        }
    }
}
