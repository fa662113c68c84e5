//! Learns from workers' readings how fillers press on serving tasks, and tells agents.

use super::PlannerMachine;
use super::hosts::HostView;
use super::impact::{FULL_PRESS, ImpactReading, ServingLevel};
use super::placement::{Candidate, FillerPressure, ImageId, TaskDemand};
use crate::effect::{Effect, LinkId};
use crate::ids::{HostName, RunName};
use crate::job::StepSpec;
use crate::message::{HostReport, PlannerMessage, RunTraits};
use crate::operators::OperatorFormat;
use hornbeamlead_core::clock::MonoTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Span between two readings of a host that are learned from; each covers half a second.
const LEARN_SPAN: Duration = Duration::from_millis(500);

/// Logarithm of latency over target from which on an agent is told anew which fillers press.
const LATE: f64 = -0.25;

/// Time after which the readings of a worker show a filler that was started: half a second of
/// averaging, a start and a report.
const READING_LAG: Duration = Duration::from_millis(1000);

impl<F: OperatorFormat> PlannerMachine<F> {
    /// Learns from the readings of a host how its fillers press on its serving tasks.
    pub(super) fn learn_impact(&mut self, now: MonoTime, host: &HostName, report: &HostReport) {
        let Some(view) = self.hosts.get_mut(host) else {
            return;
        };
        if now.since(view.learned.0) < LEARN_SPAN {
            return;
        }
        let whole = report.worker.as_ref().map_or(1, |worker| worker.cpu.max(1));
        let mut reading = ImpactReading::default();
        let (mut used, mut wanted) = (0.0, 0.0);
        for row in &report.running {
            let Some(demand) = view.runs.get(&row.run) else {
                continue;
            };
            let value = f64::from(row.reading);
            match demand.target_ms {
                0 if demand.best_effort => {
                    let share = value / f64::from(whole);
                    *reading.fillers.entry(demand.image).or_default() += share;
                    used += value;
                    wanted += f64::from(demand.cpu);
                }
                // A reading of 0 stands for a task that has not served yet.
                target if target > 0 && row.reading > 0 => {
                    let latency = (value / f64::from(target)).ln();
                    reading.serving.insert(row.run, (demand.image, latency));
                }
                _ => {}
            }
        }
        view.filler_rate = if wanted > 0.0 { used / wanted } else { 1.0 };
        view.levels = reading.levels();
        let fresh = now.since(view.learned.0) < LEARN_SPAN * 3;
        let before = std::mem::replace(&mut view.learned, (now, reading));
        if fresh {
            self.impact.learn(&before.1, &view.learned.1);
        }
        let late = view.tightest().is_some_and(|(_, latency)| latency > LATE);
        let link = view.link;
        if let Some(link) = link.filter(|_| late) {
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

    /// Returns what an agent has to know of the attempts of a step on its host.
    pub(super) fn traits_of(&self, spec: &StepSpec, host: &HostName) -> RunTraits {
        let view = self.hosts.get(host);
        let image = ImageId::from(&*spec.image);
        // Slowing a filler that leaves the tightest image alone gains nothing.
        let coefficient = match view.and_then(HostView::tightest) {
            Some((tightest, _)) => self.impact.coefficient(tightest, image),
            None => {
                let serving = view.map(HostView::serving).unwrap_or_default();
                self.impact.worst_press(&serving, image)
            }
        };
        RunTraits {
            target_ms: if spec.long_running { spec.target_ms } else { 0 },
            best_effort: spec.best_effort,
            long_running: spec.long_running,
            interference_percent: (coefficient / FULL_PRESS * 100.0).clamp(0.0, 200.0) as u8,
        }
    }

    /// Returns the serving tasks of a worker with the rise in latency by fillers that the last
    /// reading does not show yet.
    pub(super) fn expected_levels(
        &self,
        now: MonoTime,
        view: &HostView,
    ) -> BTreeMap<ImageId, ServingLevel> {
        let mut serving = view.serving();
        let whole = view.worker.as_ref().map_or(1, |worker| worker.cpu.max(1));
        let unread = |run: &RunName| {
            let known = self.runs.get(run);
            known.is_some_and(|known| now.since(known.since) < READING_LAG)
        };
        let fillers = view
            .runs
            .iter()
            .filter(|(run, demand)| demand.best_effort && unread(run));
        for (_, demand) in fillers {
            let share = f64::from(demand.cpu) / f64::from(whole);
            for (&image, level) in &mut serving {
                level.latency += self.impact.coefficient(image, demand.image) * share;
            }
        }
        serving
    }

    /// Returns how strongly a filler would press on what a worker serves.
    pub(super) fn pressure_at(
        &self,
        candidate: &Candidate<'_>,
        demand: &TaskDemand,
    ) -> FillerPressure {
        match demand.best_effort {
            true => FillerPressure::new(&self.impact, &candidate.serving, demand.image),
            false => FillerPressure::default(),
        }
    }
}
