//! Leases of hosts: permissions to renew them, and attempts whose leases have lapsed.
//!
//! Only reports that name a worker extend leases. An agent that has restarted reports none until its
//! worker has announced itself again, and may renew no leases then.
//!
//! How long the leases of a silent host last is part of the plan, so that the wait for them goes on
//! under the next planner. While the plan bounds them, no planner grants any.

use super::batch::DeferredAction;
use super::hosts::{GrantState, HostView, ReportStamps};
use super::{GRANT_WINDOW, PlannerMachine};
use crate::effect::{Effect, LinkId};
use crate::ids::HostName;
use crate::job::RunEnd;
use crate::message::{AgentStamp, HostReport, PlannerMessage};
use crate::operators::OperatorFormat;
use crate::record::PlanRecord;
use crate::worker::CLOCK_SKEW_FACTOR;
use hornbeamlead_core::clock::MonoTime;
use std::time::Duration;

/// Slack on the end of a lease: a worker kills its tasks within this time after the lease expires.
const LEASE_EXPIRY_SLACK: Duration = Duration::from_millis(500);

/// Least time between two answers to reports of one host. Reports about ended attempts follow one
/// another within milliseconds.
const GRANT_INTERVAL: Duration = Duration::from_millis(200);

/// Time for which a planner that recovers leaves reports without an answer.
const RECOVERY_GRACE_PERIOD: Duration = Duration::from_millis(500);

/// Interval between two records of how long the leases of a silent host last.
const LEASE_BOUND_INTERVAL: Duration = Duration::from_millis(500);

impl<F: OperatorFormat> PlannerMachine<F> {
    /// Answers a report, unless the host got an answer moments ago or will get one when an append
    /// has succeeded.
    pub(super) fn answer_report(
        &mut self,
        now: MonoTime,
        link: LinkId,
        host: &HostName,
        report: &HostReport,
    ) {
        let may_grant = self.recovery.is_none() && self.batch.has_recent_append(now);
        let is_recovering = self.recovery.is_some();
        let in_grace_period = now.since(self.started_at) < RECOVERY_GRACE_PERIOD;
        let (sent, succeeded) = (self.batch.last_sent(), self.batch.last_succeeded());
        let Some(view) = self.hosts.get_mut(host) else {
            return;
        };
        let has_worker = report.worker.is_some();
        let confirmed = match has_worker {
            // What the plan says of the host's leases is not known yet.
            true if is_recovering => None,
            true => {
                view.stamps.add(sent, report.stamp);
                view.stamps.confirm(succeeded)
            }
            false => {
                view.stamps = ReportStamps::default();
                Some(AgentStamp::NO_LEASES)
            }
        };
        let answered_at = view.granted_at;
        match confirmed {
            // Agents would look for another planner.
            _ if is_recovering && in_grace_period => {}
            _ if !may_grant => {
                view.granted_at = None;
                self.send_answer(link, None, report.stamp);
            }
            _ if has_worker && view.grant_state != GrantState::Open => {}
            None if view.grant_deferred => {}
            None => {
                view.grant_deferred = true;
                self.batch.defer_grant(host.clone());
            }
            Some(_) if answered_at.is_some_and(|at| now.since(at) < GRANT_INTERVAL) => {}
            Some(stamp) => {
                view.granted_at = Some(now);
                self.send_answer(link, Some(stamp), report.stamp);
            }
        }
    }

    fn send_answer(&mut self, link: LinkId, stamp: Option<AgentStamp>, seen: AgentStamp) {
        let epoch = self.epoch;
        let host = self.links.get(&link);
        if let Some(view) = host.and_then(|host| self.hosts.get_mut(host)) {
            view.answered = true;
        }
        let message = PlannerMessage::Grant { epoch, stamp, seen };
        self.effects.push(Effect::ToAgent { link, message });
    }

    /// Grants leases to all connected hosts with the next append. After a failing spell the agents'
    /// leases may be about to expire.
    pub(super) fn renew_all_grants(&mut self) {
        if self.recovery.is_some() {
            return;
        }
        let connected = self.hosts.values_mut().filter(|view| view.link.is_some());
        for view in connected {
            view.grant_deferred = true;
            self.batch.defer_grant(view.host.clone());
        }
    }

    /// Grants leases to a host that may have them, after an append has succeeded.
    pub(super) fn send_grant(&mut self, now: MonoTime, host: &HostName) {
        let succeeded = self.batch.last_succeeded();
        let Some(view) = self.hosts.get_mut(host) else {
            return;
        };
        view.grant_deferred = false;
        let confirmed = view.stamps.confirm(succeeded);
        match (view.link, confirmed) {
            (Some(link), Some(stamp)) if view.grant_state == GrantState::Open => {
                view.granted_at = Some(now);
                let seen = view.stamp;
                self.send_answer(link, Some(stamp), seen);
            }
            _ => {}
        }
    }

    /// Returns how long a lease can last on the planner's clock after the report that it answers.
    pub(super) fn lease_timeout(&self) -> Duration {
        self.policy.lease_span.mul_f64(CLOCK_SKEW_FACTOR) + LEASE_EXPIRY_SLACK
    }

    /// Records that no planner of an earlier version can have granted leases after this planner's
    /// first append.
    pub(super) fn confirm_grants(&mut self, now: MonoTime) {
        if !self.ledger.confirmed_grants && now.since(self.started_at) > GRANT_WINDOW {
            self.record(now, PlanRecord::GrantsConfirmed);
        }
    }

    /// Returns when all leases that earlier planners granted have expired. They granted none for
    /// reports that arrived after their last successful append, but for those of earlier versions.
    pub(super) fn inherited_leases_end(&self) -> MonoTime {
        let extra = match self.ledger.confirmed_grants {
            true => Duration::ZERO,
            false => GRANT_WINDOW,
        };
        self.plan_ended_at.plus(self.lease_timeout() + extra)
    }

    /// Ends attempts on hosts whose workers have not been reported for longer than any of their
    /// leases can last.
    pub(super) fn expire_silent_hosts(&mut self, now: MonoTime) {
        self.log_awaited_leases(now);
        self.record_lease_bounds(now);
        self.expire_earlier_incarnations(now);
        let silent: Vec<_> = self
            .hosts
            .values()
            .filter(|view| now > view.leases_end)
            .map(|view| (view.host.clone(), now.since(view.worker_seen_at)))
            .collect();
        for (host, silence) in silent {
            let runs = self.runs_on(&host);
            // A worker that is gone while its agent reports may have crashed.
            if self
                .hosts
                .get(&host)
                .is_some_and(|view| view.is_reachable(now))
            {
                self.note_worker_lost(now, &host, &runs);
            }
            for run in runs {
                let detail = format!("host={host} silent_ms={}", silence.as_millis());
                self.log("lease_lapsed", run, detail);
                self.end_run(now, run, RunEnd::Lost, None);
            }
            self.withdraw_bound(now, &host);
        }
    }

    /// Ends attempts on earlier incarnations of workers once their leases have expired. Starts on a
    /// clock that was set back do not tell which incarnation has ended.
    fn expire_earlier_incarnations(&mut self, now: MonoTime) {
        let mut expired = Vec::new();
        for view in self.hosts.values_mut() {
            let leases_end = view.earlier_leases_end.take_if(|end| now > *end);
            if leases_end.is_some() {
                expired.push((view.host.clone(), view.last_incarnation.clone()));
            }
        }
        for (host, current) in expired {
            for run in self.runs_on(&host) {
                let incarnation = self.ledger.placement(run).map(|it| &it.incarnation);
                if incarnation != current.as_ref() {
                    self.log("lease_lapsed", run, format!("host={host} cause=other_life"));
                    self.end_run(now, run, RunEnd::Lost, None);
                }
            }
        }
    }

    /// Records how long the leases of silent hosts still last, so that a successor does not have to
    /// assume that they were renewed until it took over.
    fn record_lease_bounds(&mut self, now: MonoTime) {
        // Bounds would only pile up while appends fail.
        if !self.batch.is_prompt(now) {
            return;
        }
        let is_due = |view: &HostView| match view.grant_state {
            GrantState::Open => true,
            GrantState::Bounded { recorded_at } => {
                recorded_at.is_none_or(|at| now.since(at) >= LEASE_BOUND_INTERVAL)
            }
            GrantState::Withdrawing => false,
        };
        let mut bounds = Vec::new();
        for view in self.hosts.values_mut() {
            let waits = !view.runs.is_empty() && now <= view.leases_end;
            // The bound of an earlier planner goes on at once.
            let silent = view.is_silent(now) || view.is_worker_silent(now);
            let silent = silent || view.grant_state != GrantState::Open;
            if waits && silent && is_due(view) {
                let recorded_at = Some(now);
                view.grant_state = GrantState::Bounded { recorded_at };
                let remaining = view.leases_end.since(now) + Duration::from_millis(1);
                bounds.push((view.host.clone(), remaining.as_millis() as u32));
            }
        }
        for (host, remaining_ms) in bounds {
            let remaining_ms = Some(remaining_ms);
            self.record(now, PlanRecord::LeaseBound { host, remaining_ms });
        }
    }

    /// Withdraws the bound of a host's leases. Grants follow when the withdrawal is stored.
    pub(super) fn withdraw_bound(&mut self, now: MonoTime, host: &HostName) {
        let Some(view) = self.hosts.get_mut(host) else {
            return;
        };
        if matches!(view.grant_state, GrantState::Bounded { .. }) {
            view.grant_state = GrantState::Withdrawing;
            let (host, remaining_ms) = (host.clone(), None);
            self.batch
                .defer(DeferredAction::EndWithdrawal(host.clone()));
            self.record(now, PlanRecord::LeaseBound { host, remaining_ms });
        }
    }

    /// Permits grants to a host whose bound is no longer in the plan.
    pub(super) fn end_withdrawal(&mut self, now: MonoTime, host: &HostName) {
        let succeeded = self.batch.last_succeeded();
        let Some(view) = self.hosts.get_mut(host) else {
            return;
        };
        view.grant_state = GrantState::Open;
        match view.stamps.confirm(succeeded) {
            // The host has reported since the append was sent.
            None if view.has_reported && view.link.is_some() => {
                view.grant_deferred = true;
                self.batch.defer_grant(host.clone());
            }
            _ => self.send_grant(now, host),
        }
    }

    /// Takes over the bounds that earlier planners recorded. No lease was granted since.
    pub(super) fn adopt_lease_bounds(&mut self) {
        let started_at = self.started_at;
        for (host, &remaining) in &self.ledger.lease_bounds {
            let leases_end = self.plan_ended_at.plus(remaining);
            let make = || HostView::new(host.clone(), started_at, leases_end);
            let view = self.hosts.entry(host.clone()).or_insert_with(make);
            view.leases_end = leases_end;
            view.grant_state = GrantState::Bounded { recorded_at: None };
        }
    }

    /// Logs attempts that have to wait for the leases of a host whose worker is no longer reported.
    fn log_awaited_leases(&mut self, now: MonoTime) {
        let newly_silent = |view: &&mut HostView| !view.lease_awaited && view.is_worker_silent(now);
        let mut awaited = Vec::new();
        for view in self.hosts.values_mut().filter(newly_silent) {
            view.lease_awaited = true;
            awaited.push((view.host.clone(), view.worker_seen, view.leases_end));
        }
        for (host, worker_seen, leases_end) in awaited {
            let basis = if worker_seen { "report" } else { "takeover" };
            let lapses_in_ms = leases_end.since(now).as_millis();
            for run in self.runs_on(&host) {
                let detail = format!("host={host} since={basis} lapses_in_ms={lapses_in_ms}");
                self.log("lease_awaited", run, detail);
            }
        }
    }
}
