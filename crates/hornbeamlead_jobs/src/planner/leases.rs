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

    /// Ends attempts on hosts that have been silent for longer than any of their leases can last.
    pub(super) fn expire_silent_hosts(&mut self, now: MonoTime) {
        let lease = self.policy.lease_span.mul_f64(CLOCK_SKEW_FACTOR) + LEASE_EXPIRY_SLACK;
        let expired = |view: &&HostView| {
            let timeout = match view.has_reported {
                true => lease,
                // The previous planner may have granted leases for a while after it was deposed.
                false => lease + GRANT_WINDOW,
            };
            now.since(view.last_contact) > timeout
        };
        let silent: Vec<_> = self
            .hosts
            .values()
            .filter(expired)
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
