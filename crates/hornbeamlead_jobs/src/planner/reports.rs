//! Learns from agents' reports what runs, what has ended and what never began.

use super::batch::HeldStep;
use super::hosts::HostView;
use super::placement::TaskDemand;
use super::{CLOCK_SLACK, GRANT_SPAN, PlannerMachine, RunView};
use crate::effect::{Effect, LinkId};
use crate::ids::{HostName, PlannerEpoch, RunName, WorkerIncarnation};
use crate::job::RunEnd;
use crate::message::{AgentMessage, HostReport, PlannerMessage};
use crate::operators::OperatorFormat;
use crate::record::PlanRecord;
use crate::worker::WorkerRefusal;
use hornbeamlead_core::clock::MonoTime;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Slack on the end of a lease: a worker kills what it runs within this time.
const LAPSE_SLACK: Duration = Duration::from_millis(500);

/// Pause before anything more starts at a worker that had no room.
const NO_ROOM_PAUSE: Duration = Duration::from_millis(300);

/// Pause before anything more starts at a worker whose agent dropped an order.
const DROPPED_PAUSE: Duration = Duration::from_millis(150);

/// Pause before anything more starts at a worker that called itself unhealthy.
const UNHEALTHY_PAUSE: Duration = Duration::from_millis(1000);

impl<F: OperatorFormat> PlannerMachine<F> {
    pub(super) fn take_agent(&mut self, now: MonoTime, link: LinkId, message: AgentMessage) {
        match message {
            AgentMessage::Hello {
                host,
                address,
                epoch,
            } => self.greet(now, link, host, address, epoch),
            AgentMessage::Report(report) => self.take_report(now, link, report),
            AgentMessage::NotStarted {
                run,
                incarnation,
                refusal,
            } => {
                self.take_not_started(now, run, &incarnation, refusal);
            }
            AgentMessage::ConnectRequest { .. } => {}
        }
    }

    fn greet(
        &mut self,
        now: MonoTime,
        link: LinkId,
        host: HostName,
        address: SocketAddr,
        epoch: PlannerEpoch,
    ) {
        if epoch > self.epoch {
            return self.depose("later_epoch_seen");
        }
        let heard = self.began;
        let make = || HostView::new(host.clone(), heard);
        let view = self.hosts.entry(host.clone()).or_insert_with(make);
        if let Some(old) = view.bind(link) {
            self.links.remove(&old);
            self.effects.push(Effect::CloseLink { link: old });
        }
        self.links.insert(link, host.clone());
        self.log("host_connected", &host, format!("address={address}"));
        if self.recovery.is_none() {
            self.note_address(now, &host, address);
        }
        self.forget_orders(&host);
    }

    fn note_address(&mut self, now: MonoTime, host: &HostName, address: SocketAddr) {
        self.add_relay(address);
        if self.ledger.hosts.get(host) != Some(&address) {
            let host = host.clone();
            self.record(now, PlanRecord::Host { host, address });
        }
    }

    /// Remembers another host through which the store can be reached.
    pub(super) fn add_relay(&mut self, address: SocketAddr) {
        if address != self.policy.address {
            self.effects.push(Effect::AddRelay(address));
        }
    }

    /// Orders of an earlier link may not have arrived; reports tell.
    fn forget_orders(&mut self, host: &HostName) {
        for run in self.runs_on(host) {
            if let Some(view) = self.runs.get_mut(&run) {
                view.ordered = view.ordered.map(|_| 0);
                view.stopped = None;
            }
        }
    }

    /// Returns the attempts that may be running on a host.
    pub(super) fn runs_on(&self, host: &HostName) -> Vec<RunName> {
        let runs = self.hosts.get(host).map(|view| view.runs.keys().copied());
        let placed = |run: &RunName| self.ledger.placement(*run).is_some();
        runs.into_iter().flatten().filter(placed).collect()
    }

    pub(super) fn close_link(&mut self, _now: MonoTime, link: LinkId) {
        let Some(host) = self.links.remove(&link) else {
            return;
        };
        if let Some(view) = self
            .hosts
            .get_mut(&host)
            .filter(|view| view.link == Some(link))
        {
            view.link = None;
        }
        self.log("host_disconnected", &host, String::new());
    }

    fn take_report(&mut self, now: MonoTime, link: LinkId, report: HostReport) {
        let Some(host) = self.links.get(&link).cloned() else {
            return;
        };
        let sound = self.recovery.is_none() && self.batch.is_sound(now);
        self.effects.push(Effect::ToAgent {
            link,
            message: PlannerMessage::Grant {
                epoch: self.epoch,
                stamp: sound.then_some(report.stamp),
                seen: report.stamp,
            },
        });
        if self.recovery.is_some() {
            return;
        }
        let Some(view) = self.hosts.get_mut(&host) else {
            return;
        };
        let first = !view.reported;
        let changed = view.worker != report.worker;
        let other_life =
            view.incarnation() != report.worker.as_ref().map(|worker| &worker.incarnation);
        view.heard = now;
        view.reported = true;
        view.listed = report.listed;
        view.stamp = report.stamp;
        view.worker = report.worker.clone();
        view.dead = report.dead.clone();
        if other_life {
            view.strikes = 0;
            view.probation = false;
            view.not_before = now;
        }
        self.dirty |= first || changed;
        if first {
            self.send_traits(link, &host);
        }
        self.end_past_lives(now, &host, &report);
        self.take_ends(now, &host, &report);
        self.take_running(now, &host, &report);
        self.take_missing(&host, &report);
        self.learn_impact(now, &host, &report);
    }

    /// Ends attempts of lives that are over for certain.
    fn end_past_lives(&mut self, now: MonoTime, host: &HostName, report: &HostReport) {
        let present = report.worker.as_ref().map(|worker| &worker.incarnation);
        let is_over = |incarnation: &WorkerIncarnation| match present {
            Some(present) => incarnation != present && incarnation.born <= present.born,
            None => report
                .dead
                .as_ref()
                .is_some_and(|dead| incarnation.born <= dead.born),
        };
        for run in self.runs_on(host) {
            let placement = self.ledger.placement(run);
            if placement.is_some_and(|placement| is_over(&placement.incarnation)) {
                self.end_run(now, run, RunEnd::Lost, None);
            }
        }
    }

    fn take_ends(&mut self, now: MonoTime, host: &HostName, report: &HostReport) {
        let Some(incarnation) = report
            .worker
            .as_ref()
            .map(|worker| worker.incarnation.clone())
        else {
            return;
        };
        for row in &report.ended {
            match self.ledger.placement(row.run) {
                Some(placement) if placement.incarnation == incarnation => {
                    self.end_run(now, row.run, row.end, row.saved.clone());
                }
                Some(_) => {}
                None if row.end == RunEnd::Done => self.take_late_end(now, row.run),
                None => {}
            }
        }
        if let Some(last) = report.ended.last() {
            self.batch.hold(HeldStep::Acknowledge {
                host: host.clone(),
                incarnation,
                through: last.number,
            });
        }
    }

    /// Takes the end of an attempt that had been given up for lost, unless the task is on its way
    /// again: what is done need not be done twice.
    fn take_late_end(&mut self, now: MonoTime, run: RunName) {
        let Some((job, task)) = self.ledger.task(run.task) else {
            return;
        };
        let spec = job.spec(run.task.step);
        let single = spec.is_some_and(|spec| !spec.long_running && !spec.gang);
        if job.phase.is_final() || !single || !task.is_waiting() {
            return;
        }
        self.log("late_end_taken", run, String::new());
        let (end, saved) = (RunEnd::Done, None);
        self.record(now, PlanRecord::Ended { run, end, saved });
        self.judge_job(now, run.task.step.job);
    }

    fn take_running(&mut self, now: MonoTime, host: &HostName, report: &HostReport) {
        for row in &report.running {
            let placed = self.ledger.placement(row.run);
            if placed.is_none_or(|placement| placement.host != *host) {
                if report.listed && !report.in_flight.contains(&row.run) {
                    self.stop_stray(host, row.run, report);
                }
                continue;
            }
            if let Some(saved) = &row.saved {
                self.ledger.record_checkpoint(row.run, saved);
            }
            let view = self
                .runs
                .entry(row.run)
                .or_insert_with(|| RunView::new(now));
            if !view.listed {
                view.listed = true;
                view.progressed = now;
            }
            let view_stopped = view.stopped.is_some();
            if row.percent > view.percent {
                view.progressed = now;
                view.percent = row.percent;
            }
            let ended = self.ledger.phase(row.run.task.step.job);
            let unwanted = ended.is_none_or(|phase| phase.is_final()) || view_stopped;
            if unwanted && self.may_stop_again(row.run, report) {
                self.order_stop(row.run);
            }
        }
    }

    /// Returns whether no stop of an attempt is on its way or being carried out. An agent that has
    /// just started drops orders until its worker has announced itself.
    fn may_stop_again(&self, run: RunName, report: &HostReport) -> bool {
        let stopped = self.runs.get(&run).and_then(|view| view.stopped);
        stopped.is_none_or(|number| number <= report.orders_seen)
            && !report.in_flight.contains(&run)
    }

    /// Stops an attempt that no record places on the host.
    fn stop_stray(&mut self, host: &HostName, run: RunName, report: &HostReport) {
        let Some(worker) = &report.worker else {
            return;
        };
        let Some(view) = self.hosts.get_mut(host) else {
            return;
        };
        let Some(link) = view.link else {
            return;
        };
        let number = view.next_order();
        let incarnation = worker.incarnation.clone();
        let message = PlannerMessage::Stop {
            number,
            run,
            incarnation,
        };
        self.effects.push(Effect::ToAgent { link, message });
        self.log("stray_stopped", run, format!("host={host}"));
    }

    /// Has attempts that were ordered, but that the worker does not list, called off for good.
    fn take_missing(&mut self, host: &HostName, report: &HostReport) {
        if !report.listed {
            return;
        }
        let running = report.running.iter().map(|row| row.run);
        let ended = report.ended.iter().map(|row| row.run);
        let in_flight = report.in_flight.iter().copied();
        let told: BTreeSet<RunName> = running.chain(ended).chain(in_flight).collect();
        for run in self.runs_on(host) {
            let Some(view) = self.runs.get(&run) else {
                continue;
            };
            let ordered = view
                .ordered
                .is_some_and(|number| number <= report.orders_seen);
            let ordered = ordered && self.may_stop_again(run, report);
            if ordered && !told.contains(&run) {
                self.log("attempt_missing", run, format!("host={host}"));
                self.order_stop(run);
            }
        }
    }

    fn take_not_started(
        &mut self,
        now: MonoTime,
        run: RunName,
        incarnation: &WorkerIncarnation,
        refusal: Option<WorkerRefusal>,
    ) {
        if self.recovery.is_some() {
            return;
        }
        let Some(placement) = self.ledger.placement(run) else {
            return;
        };
        if placement.incarnation != *incarnation {
            return;
        }
        let host = placement.host.clone();
        self.log(
            "not_started",
            run,
            format!("host={host} refusal={refusal:?}"),
        );
        self.end_run(now, run, RunEnd::NotStarted, None);
        let pause = match refusal {
            Some(WorkerRefusal::NoRoom) => NO_ROOM_PAUSE,
            Some(WorkerRefusal::Unhealthy) => UNHEALTHY_PAUSE,
            // The agent could not carry the order out, or called it off.
            None => DROPPED_PAUSE,
            _ => return,
        };
        if let Some(view) = self.hosts.get_mut(&host) {
            view.not_before = view.not_before.max(now.plus(pause));
        }
    }

    /// Takes over the attempts that earlier planners recorded.
    pub(super) fn adopt_placements(&mut self, now: MonoTime) {
        let mut adopted = Vec::new();
        for (&job, state) in &self.ledger.jobs {
            for (run, placement) in state.runs(job) {
                let spec = state.spec(run.task.step);
                let demand = spec.map(|spec| TaskDemand::new(run.task.step, spec));
                adopted.push((run, placement.host.clone(), demand.unwrap_or_default()));
            }
        }
        for (run, host, demand) in adopted {
            // It may have been ordered: number 0 is seen on every link.
            let known = RunView {
                ordered: Some(0),
                ..RunView::new(now)
            };
            self.runs.insert(run, known);
            let make = || HostView::new(host.clone(), now);
            let view = self.hosts.entry(host.clone()).or_insert_with(make);
            view.runs.insert(run, demand);
        }
    }

    /// Ends attempts on hosts that have been silent for longer than any lease there can last.
    pub(super) fn check_silence(&mut self, now: MonoTime) {
        let lease = self.policy.lease_span.mul_f64(CLOCK_SLACK) + LAPSE_SLACK;
        let lapsed = |view: &&HostView| {
            let span = match view.reported {
                true => lease,
                // The planner before may have granted leases for a while after it was deposed.
                false => lease + GRANT_SPAN,
            };
            now.since(view.heard) > span
        };
        let silent: Vec<_> = self
            .hosts
            .values()
            .filter(lapsed)
            .map(|view| view.host.clone())
            .collect();
        for host in silent {
            for run in self.runs_on(&host) {
                self.log("lease_lapsed", run, format!("host={host}"));
                self.end_run(now, run, RunEnd::Lost, None);
            }
        }
    }
}
