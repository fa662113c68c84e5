//! Leases of hosts: permissions to renew them, and attempts whose leases have lapsed.

use super::hosts::HostView;
use super::{CLOCK_SKEW_FACTOR, GRANT_WINDOW, PlannerMachine};
use crate::effect::{Effect, LinkId};
use crate::ids::HostName;
use crate::job::RunEnd;
use crate::message::{HostReport, PlannerMessage};
use crate::operators::OperatorFormat;
use hornbeamlead_core::clock::MonoTime;
use std::time::Duration;

/// Slack on the end of a lease: a worker kills its tasks within this time after the lease expires.
const LEASE_EXPIRY_SLACK: Duration = Duration::from_millis(500);

/// Least time between two answers to reports of one host. Reports about ended attempts follow one
/// another within milliseconds.
const GRANT_INTERVAL: Duration = Duration::from_millis(200);

impl<F: OperatorFormat> PlannerMachine<F> {
    /// Answers a report, unless the host got an answer moments ago.
    pub(super) fn grant(
        &mut self,
        now: MonoTime,
        link: LinkId,
        host: &HostName,
        report: &HostReport,
    ) {
        let may_grant = self.recovery.is_none() && self.batch.has_recent_append(now);
        let Some(view) = self.hosts.get_mut(host) else {
            return;
        };
        let answered = view.granted_at.filter(|_| may_grant);
        if answered.is_some_and(|at| now.since(at) < GRANT_INTERVAL) {
            return;
        }
        view.granted_at = may_grant.then_some(now);
        self.effects.push(Effect::ToAgent {
            link,
            message: PlannerMessage::Grant {
                epoch: self.epoch,
                stamp: may_grant.then_some(report.stamp),
                seen: report.stamp,
            },
        });
    }

    /// Returns how long a lease can last on the planner's clock after the report that it answers.
    pub(super) fn lease_timeout(&self) -> Duration {
        self.policy.lease_span.mul_f64(CLOCK_SKEW_FACTOR) + LEASE_EXPIRY_SLACK
    }

    /// Returns when all leases that earlier planners granted have expired. The previous planner may
    /// have granted some for a while after it was deposed.
    pub(super) fn inherited_leases_end(&self, taken_over_at: MonoTime) -> MonoTime {
        taken_over_at.plus(GRANT_WINDOW + self.lease_timeout())
    }

    /// Ends attempts on hosts that have been silent for longer than any of their leases can last.
    pub(super) fn expire_silent_hosts(&mut self, now: MonoTime) {
        self.log_awaited_leases(now);
        let silent: Vec<_> = self
            .hosts
            .values()
            .filter(|view| now > view.leases_end)
            .map(|view| (view.host.clone(), now.since(view.last_contact)))
            .collect();
        for (host, silence) in silent {
            for run in self.runs_on(&host) {
                let detail = format!("host={host} silent_ms={}", silence.as_millis());
                self.log("lease_lapsed", run, detail);
                self.end_run(now, run, RunEnd::Lost, None);
            }
        }
    }

    /// Logs attempts that have to wait for the leases of a host that has become silent.
    fn log_awaited_leases(&mut self, now: MonoTime) {
        let newly_silent = |view: &&mut HostView| !view.lease_awaited && view.is_silent(now);
        let mut awaited = Vec::new();
        for view in self.hosts.values_mut().filter(newly_silent) {
            view.lease_awaited = true;
            awaited.push((view.host.clone(), view.has_reported, view.leases_end));
        }
        for (host, has_reported, leases_end) in awaited {
            let basis = if has_reported { "report" } else { "takeover" };
            let lapses_in_ms = leases_end.since(now).as_millis();
            for run in self.runs_on(&host) {
                let detail = format!("host={host} since={basis} lapses_in_ms={lapses_in_ms}");
                self.log("lease_awaited", run, detail);
            }
        }
    }
}
