//! Length of a queue: accepted jobs of which no worker is known to have begun a task.

use super::EntryMachine;
use crate::effect::CallerReply;
use crate::operators::OperatorFormat;
use crate::placed::{PlacedReport, QueueHash};
use hornbeamlead_core::clock::MonoTime;
use std::time::Duration;

/// Age of the planner's last heartbeat beyond which the length of a queue is not reported. The
/// planner's newest read of the jobs may be 2 s older than its heartbeat.
const MAX_QUEUE_LENGTH_AGE: Duration = Duration::from_secs(2);

/// Time for which a planner may send heartbeats without a report before it counts as one of an
/// earlier version, which sends none. A planner that has taken over may wait 2 s for its hosts.
const MAX_SILENT_TIME: Duration = Duration::from_secs(3);

/// Newest placed report.
#[derive(Clone, Debug, Default)]
pub(super) struct PlacedView {
    report: Option<PlacedReport>,
    /// Time until which the report counts, if the planner's heartbeats have none.
    silent_until: Option<MonoTime>,
}

impl PlacedView {
    /// Takes the report of a heartbeat, and returns whether the jobs placed before it need not be
    /// counted besides.
    pub(super) fn take(&mut self, now: MonoTime, report: Option<PlacedReport>) -> bool {
        if report.is_some() {
            self.silent_until = None;
            self.report = report;
            return true;
        }
        let silent_until = *self.silent_until.get_or_insert(now.plus(MAX_SILENT_TIME));
        let is_expired = now > silent_until;
        if is_expired {
            self.report = None;
        }
        is_expired
    }

    /// Gives a planner that takes over time for its first report.
    pub(super) fn expect_planner(&mut self) {
        self.silent_until = None;
    }

    /// Returns the number of jobs of a queue that are placed and not known to have begun.
    fn jobs(&self, queue: &str) -> usize {
        let report = self.report.as_ref();
        let jobs = report.and_then(|report| report.jobs(QueueHash::of(queue)));
        jobs.unwrap_or(0) as usize
    }
}

impl<F: OperatorFormat> EntryMachine<F> {
    pub(super) fn read_queue(&mut self, now: MonoTime, ticket: u64, queue: &str) {
        let age = self.heartbeat_after.map(|at| now.since(at));
        match age {
            Some(age) if age <= MAX_QUEUE_LENGTH_AGE => {
                let unplanned = self
                    .accepted
                    .values()
                    .filter(|accepted_queue| &***accepted_queue == queue)
                    .count();
                // The report includes what the records before its heartbeat have placed.
                let placed = self.index.placed(queue) + self.placed.jobs(queue);
                let waiting = self.index.waiting(queue) + placed + unplanned;
                self.reply(ticket, CallerReply::Waiting(waiting));
            }
            _ => self.refuse(ticket, "plan_too_old"),
        }
    }
}
