//! Faults of the emulated platform: random ones, and those that a test brings about.

use super::*;

/// Rates of the random faults.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WorldFaults {
    /// Rate per second at which a random agent is killed.
    pub(crate) kill: f64,
    /// Rate per second at which the planner is killed.
    pub(crate) kill_planner: f64,
    /// Rate per second at which an agent is frozen for up to 4 s.
    pub(crate) freeze: f64,
    /// Rate per second at which a host is partitioned from all others for up to 5 s.
    pub(crate) partition: f64,
    /// Rate per second at which a host is partitioned from all others for 5 to 20 s, longer than
    /// its leases last.
    pub(crate) long_partition: f64,
    /// Rate per second at which a worker crashes.
    pub(crate) crash: f64,
    /// Rate per second at which an agent is killed and its worker announces itself only 2 to 15 s
    /// later. Half of these hosts are partitioned for 5 to 20 s shortly before.
    pub(crate) late_announcement: f64,
    /// Rate per second at which the store becomes unavailable to all or some hosts for up to 5 s.
    pub(crate) store_outage: f64,
    /// Fraction of appends whose answer is lost and which reach the store up to 4 s later.
    pub(crate) lost_answers: f64,
    /// Fraction of orders to workers that are carried out 2 to 6 s later without an answer.
    pub(crate) late_orders: f64,
    /// Fraction of jobs that are cancelled.
    pub(crate) cancel: f64,
    /// Fraction of attempts that fail.
    pub(crate) fail: f64,
}

impl World {
    fn chance(&mut self, per_second: f64) -> bool {
        self.random.random::<f64>() < per_second * STEP_MS as f64 / 1000.0
    }

    pub(super) fn inject_faults(&mut self) {
        let faults = self.faults;
        let host = self.random.random_range(0..self.hosts.len());
        let span = self.random.random_range(300..5000);
        if self.chance(faults.kill) {
            self.kill(host);
        }
        if self.chance(faults.kill_planner) {
            let planner = self.planner_host();
            if let Some(planner) = planner {
                self.kill(planner);
            }
        }
        if self.chance(faults.freeze) {
            self.freeze(host, span.min(4000));
        }
        if self.chance(faults.partition) {
            self.partition(host, span);
        }
        // Schedules without long partitions keep the random numbers of their seeds.
        if faults.long_partition > 0.0 && self.chance(faults.long_partition) {
            let span_ms = self.random.random_range(5000..20_000);
            self.partition(host, span_ms);
        }
        if faults.late_announcement > 0.0 && self.chance(faults.late_announcement) {
            self.kill(host);
            let span_ms = self.random.random_range(2000..15_000);
            self.delay_announcement(host, span_ms);
            if self.random.random::<bool>() {
                let before_ms = self.random.random_range(0..1500);
                let partition_ms = self.random.random_range(5000..20_000);
                let event = WorldEvent::Partition(host, partition_ms);
                self.after(span_ms - before_ms, event);
            }
        }
        if self.chance(faults.crash) {
            self.crash(host);
        }
        if self.chance(faults.store_outage) {
            let all = self.random.random::<bool>();
            self.disturb(span);
            for (index, other) in self.hosts.iter_mut().enumerate() {
                if all || index == host || index % 3 == 0 {
                    other.store_down_until = self.now + span;
                }
            }
        }
    }

    /// Kills the agent of a host, which restarts after 400 ms.
    pub(crate) fn kill(&mut self, host: usize) {
        self.disturb(400);
        self.hosts[host].agent = None;
        self.hosts[host].restart_at = self.now + 400;
        let ended: Vec<_> = self
            .links
            .iter()
            .filter(|link| link.0 == host || link.2 == host)
            .copied()
            .collect();
        for (opener, link, other, there) in ended {
            self.end_link(opener, link, other, there);
        }
    }

    /// Kills the agents of all hosts, and the entry.
    pub(crate) fn kill_all(&mut self) {
        for host in 0..self.hosts.len() {
            self.kill(host);
        }
        self.entry = EntryMachine::new(WorldFormat);
    }

    /// Powers a host off for a while: neither its agent nor its worker runs meanwhile.
    pub(crate) fn power_off(&mut self, host: usize, span_ms: u64) {
        self.disturb(span_ms);
        self.kill(host);
        self.crash(host);
        self.hosts[host].restart_at = self.now + span_ms;
        self.hosts[host].worker_back_at = self.now + span_ms;
    }

    /// Ends all processes except the workers, which cannot start again for a while.
    pub(crate) fn end_processes(&mut self, span_ms: u64) {
        self.disturb(span_ms);
        self.kill_all();
        for host in &mut self.hosts {
            host.restart_at = self.now + span_ms;
        }
    }

    /// Has the store refuse all appends to a stream.
    pub(crate) fn refuse_stream(&mut self, stream: Option<StreamName>) {
        self.refused_stream = stream;
    }

    /// Returns the number of keys in a stream.
    pub(crate) fn stream_keys(&self, stream: StreamName) -> usize {
        let newest = StoreOperation::Newest {
            stream,
            after: None,
        };
        match self.store.read(&newest) {
            Some(StoreOutcome::Page { records, .. }) => records.len(),
            _ => 0,
        }
    }

    /// Crashes the worker of a host, of which another incarnation starts after 700 ms.
    pub(crate) fn crash(&mut self, host: usize) {
        if self.hosts[host].worker.alive {
            self.disturb(700);
            self.end_worker(host, self.now + 700);
        }
    }

    /// Notes that a task has crashed the worker of a host, of which another incarnation starts later.
    pub(super) fn note_fallen(&mut self, host: usize) {
        if !self.hosts[host].worker.alive && self.hosts[host].worker_back_at < self.now {
            self.disturb(CRASH_DOWN_MS);
            self.hosts[host].worker_back_at = self.now + CRASH_DOWN_MS;
            if self.dark_crashes {
                self.hosts[host].worker_hangs_until = self.now + CRASH_DOWN_MS;
            }
        }
    }

    /// Has a task of a job crash each worker that starts it.
    pub(crate) fn make_deadly(&mut self, job: JobId, step: u16, index: u32) {
        self.judge.deadly.mark(TaskSlot { job, step, index });
    }

    /// Has a task of a job crash each worker that starts it after a time in milliseconds, unless it ends
    /// earlier.
    pub(crate) fn make_deadly_late(&mut self, slot: TaskSlot, delay_ms: u64) {
        self.judge.deadly.mark_late(slot, delay_ms);
    }

    /// Sets the capacity of the worker of a host, which its next announcement tells.
    pub(crate) fn set_room(&mut self, host: usize, room: WorkerRoom) {
        self.hosts[host].room = room;
        self.judge.rooms.set(self.now, host, room);
    }

    /// Has the worker of a host announce that it drains, so that its long-running tasks are stopped.
    pub(crate) fn drain(&mut self, host: usize) {
        self.hosts[host].draining = true;
        self.hosts[host].announce_at = self.now;
    }

    /// Crashes the worker of a host for good.
    pub(crate) fn lose_worker(&mut self, host: usize) {
        self.disturb(0);
        self.end_worker(host, u64::MAX);
    }

    fn end_worker(&mut self, host: usize, back_at: u64) {
        self.hosts[host].worker.crash();
        self.hosts[host].worker_back_at = back_at;
    }

    /// Replaces the worker of a host by one that names an earlier start, as its clock was set back.
    pub(crate) fn set_worker_back(&mut self, host: usize) {
        self.crash(host);
        let world_host = &mut self.hosts[host];
        let run_events = std::mem::take(&mut world_host.worker.run_events);
        let born = world_host.worker.incarnation.born - 1;
        world_host.worker = EmulatedWorker::new(&format!("w-{host}-{born}"), born);
        world_host.worker.run_events = run_events;
        world_host.announce_at = self.now;
        world_host.sequence = 0;
    }

    /// Leaves calls to the worker of a host without an answer for a while. Those that it gets
    /// meanwhile are carried out at the end, if it is alive then.
    pub(crate) fn silence_worker(&mut self, host: usize, span_ms: u64) {
        self.hosts[host].worker_hangs_until = self.now + span_ms;
    }

    /// Removes a host with its worker and its agent for good. Connections to it are not refused.
    pub(crate) fn remove(&mut self, host: usize) {
        self.lose_worker(host);
        self.hosts[host].partitioned_until = u64::MAX;
        self.hosts[host].agent = None;
        self.hosts[host].restart_at = u64::MAX;
    }

    /// Suspends the agent of a host, and with it the planner that it may be.
    pub(crate) fn freeze(&mut self, host: usize, span_ms: u64) {
        self.disturb(span_ms);
        self.hosts[host].frozen_until = self.now + span_ms;
    }

    /// Partitions a host from all others and from the store.
    pub(crate) fn partition(&mut self, host: usize, span_ms: u64) {
        self.disturb(span_ms);
        self.hosts[host].partitioned_until = self.now + span_ms;
    }

    /// Makes the store unavailable to all agents.
    pub(crate) fn stop_store(&mut self, span_ms: u64) {
        self.disturb(span_ms);
        for host in &mut self.hosts {
            host.store_down_until = self.now + span_ms;
        }
    }

    /// Has the store refuse one host while it serves all others.
    pub(crate) fn refuse_host(&mut self, host: usize, span_ms: u64) {
        self.disturb(span_ms);
        self.hosts[host].store_down_until = self.now + span_ms;
    }
}
