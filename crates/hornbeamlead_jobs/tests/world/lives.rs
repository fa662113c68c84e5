//! Lives of workers: restarts, also under the id of the life before, and announcements that come from
//! elsewhere.

use super::*;
use hornbeamlead_jobs::record::decode;

impl World {
    /// Starts the next life of a worker that has ended.
    pub(super) fn begin_life(&mut self, host: usize) {
        let now = self.now;
        let world_host = &mut self.hosts[host];
        let id = match world_host.keeps_id {
            true => world_host.worker.incarnation.id.clone(),
            false => format!("w-{host}-{now}").into(),
        };
        let run_events = std::mem::take(&mut world_host.worker.run_events);
        world_host.worker = EmulatedWorker::new(&id, now);
        world_host.worker.run_events = run_events;
        world_host.announce_at = world_host.silent_until.max(now);
        world_host.sequence = 0;
        world_host.clock_origin = (now, 1);
        self.break_holds(host);
    }

    /// Crashes the worker of a host, which starts again under its id and announces itself later.
    pub(crate) fn restart_same_id(&mut self, host: usize, down_ms: u64, silent_ms: u64) {
        self.disturb(down_ms + silent_ms);
        self.hosts[host].worker.crash();
        self.hosts[host].keeps_id = true;
        self.hosts[host].worker_back_at = self.now + down_ms;
        self.hosts[host].silent_until = self.now + down_ms + silent_ms;
    }

    /// Has workers carry some orders of the next time out late.
    pub(crate) fn delay_orders(&mut self, span_ms: u64) {
        self.apply(&troubles::Trouble::DelayOrders(span_ms));
    }

    /// Returns how many records of a crash the plan holds for each attempt.
    pub(crate) fn crash_records(&self) -> BTreeMap<RunName, usize> {
        let read = |from| {
            self.store.read(&StoreOperation::Read {
                stream: StreamName::Plan,
                from,
                wait_until: MonoTime(0),
                end_only: false,
            })
        };
        let outcome = match read(0) {
            Some(StoreOutcome::Expired { first }) => read(first),
            outcome => outcome,
        };
        let mut counts = BTreeMap::new();
        if let Some(StoreOutcome::Records { records, .. }) = outcome {
            let values = records.iter().filter_map(|record| record.value.as_deref());
            for record in values.filter_map(|value| decode(value).ok()) {
                if let PlanRecord::Crashed { run, .. } = record {
                    *counts.entry(run).or_default() += 1;
                }
            }
        }
        counts
    }

    /// Ends the holds in flight at a worker with its connections.
    fn break_holds(&mut self, host: usize) {
        let (broken, kept) = std::mem::take(&mut self.holds)
            .into_iter()
            .partition(|hold: &PendingHold| hold.host == host);
        self.holds = kept;
        let broken: Vec<PendingHold> = broken;
        for PendingHold {
            incarnation, call, ..
        } in broken
        {
            let answer = WorkerAnswer::Unanswered;
            self.after(
                1,
                WorldEvent::WorkerReplied(host, incarnation, call, answer),
            );
        }
    }

    /// Passes an announcement that differs from that of the worker to the agent of a host.
    pub(crate) fn announce_other(
        &mut self,
        host: usize,
        change: impl FnOnce(&mut WorkerAnnouncement),
    ) {
        let mut announcement = self.announcement(host);
        change(&mut announcement);
        let event = SupervisorEvent::Announced(announcement);
        let incarnation = self.incarnation(host);
        self.with_agent(host, incarnation, |agent, now| {
            agent.supervisor.handle(now.mono, event)
        });
    }

    /// Passes the deregistration of a worker to the agent of a host.
    pub(crate) fn deregister_other(&mut self, host: usize, id: &str) {
        let event = SupervisorEvent::Left { id: id.into() };
        let incarnation = self.incarnation(host);
        self.with_agent(host, incarnation, |agent, now| {
            agent.supervisor.handle(now.mono, event)
        });
    }
}
