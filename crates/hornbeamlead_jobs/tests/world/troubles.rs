//! Troubles of the emulated platform, of which tests make random schedules.

use super::*;

/// Longest wait for a planner to become active, in milliseconds.
const ELECTION_MS: u64 = 6000;

/// Trouble of a schedule. Hosts are given by index, modulo the number of hosts.
#[derive(Clone, Debug)]
pub(crate) enum Trouble {
    /// Hosts are lost for good with their workers and agents.
    RemoveHosts(Vec<usize>),
    /// The planner's host is lost for good, and others with it.
    RemovePlanner(Vec<usize>),
    /// The agents of hosts are killed without their workers.
    KillAgents(Vec<usize>),
    /// The planner is killed, and each successor some time after it has become active.
    KillPlanners(Vec<u64>),
    /// The planner's process is suspended.
    PausePlanner(u64),
    /// Workers crash.
    CrashWorkers(Vec<usize>),
    /// A worker is lost for good while its agent goes on.
    LoseWorker(usize),
    /// A worker crashes again and again, each time after as long.
    FlapWorker(usize, u64),
    /// Workers do not answer, and carry orders out when they are back.
    HangWorkers(Vec<usize>, u64),
    /// Workers fail everything that they start.
    FailWorkers(Vec<usize>, u64),
    /// Hosts are partitioned from all others and from the store.
    Partition(Vec<usize>, u64),
    /// All hosts of a data centre are partitioned.
    DarkCentre(usize, u64),
    /// The store does not answer some hosts.
    SilenceStore(Vec<usize>, u64),
    /// The store refuses calls of some hosts or leaves them without an answer.
    RefuseHosts(Vec<usize>, u64),
    /// Answers of the store are lost.
    LoseAnswers(u64),
    /// Workers carry some orders out late.
    DelayOrders(u64),
    /// Open connections between hosts go silent for good.
    SilenceLinks,
    /// Jobs are submitted and cancelled moments later.
    CancelWave(u64),
}

/// Wait before a trouble, in milliseconds.
#[derive(Clone, Debug)]
pub(crate) enum Pause {
    /// For a time.
    For(u64),
    /// Until a time after `AROUND_END_MS` before the end of all earlier troubles.
    AroundEnd(u64),
}

/// Time before the end of troubles at which others may begin, in milliseconds.
const AROUND_END_MS: u64 = 1000;

/// Fraction of answers that are lost, and of orders that are carried out late.
const LOST_FRACTION: f64 = 0.3;

/// Number of crashes of a worker that flaps.
const FLAPS: u64 = 4;

/// Number of jobs of a wave.
const WAVE_JOBS: u64 = 6;

impl World {
    /// Waits before the next trouble.
    pub(crate) fn wait(&mut self, pause: &Pause) {
        let ended_at = self.watch.as_ref().map_or(0, RunWatch::disturbed_until);
        let span_ms = match pause {
            Pause::For(span_ms) => *span_ms,
            Pause::AroundEnd(span_ms) => {
                (ended_at + span_ms).saturating_sub(self.now + AROUND_END_MS)
            }
        };
        self.run(span_ms);
    }

    /// Brings a trouble about. At least half of the hosts stay.
    pub(crate) fn apply(&mut self, trouble: &Trouble) {
        println!("{} trouble {trouble:?}", self.now);
        match trouble {
            Trouble::RemoveHosts(hosts) => self.remove_some(hosts),
            Trouble::RemovePlanner(hosts) => {
                let planner = self.planner_host();
                let hosts: Vec<_> = planner.into_iter().chain(hosts.iter().copied()).collect();
                self.remove_some(&hosts);
            }
            Trouble::KillAgents(hosts) => self.each(hosts, Self::kill_present),
            Trouble::KillPlanners(pauses_ms) => self.kill_planners(pauses_ms),
            Trouble::PausePlanner(span_ms) => {
                if let Some(planner) = self.planner_host() {
                    self.freeze(planner, *span_ms);
                }
            }
            Trouble::CrashWorkers(hosts) => self.each(hosts, Self::crash),
            Trouble::LoseWorker(host) => {
                let host = host % self.hosts.len();
                if self.may_lose() {
                    self.lose_worker(host);
                }
            }
            Trouble::FlapWorker(host, span_ms) => {
                let host = host % self.hosts.len();
                self.disturb(FLAPS * span_ms);
                let times = (0..FLAPS).map(|flap| self.now + flap * span_ms);
                self.hosts[host].crash_at = times.collect();
            }
            Trouble::HangWorkers(hosts, span_ms) => self.each(hosts, |world, host| {
                world.disturb(*span_ms);
                world.hosts[host].worker_hangs_until = world.now + span_ms;
            }),
            Trouble::FailWorkers(hosts, span_ms) => self.each(hosts, |world, host| {
                world.disturb(*span_ms);
                world.hosts[host].worker_fails_until = world.now + span_ms;
            }),
            Trouble::Partition(hosts, span_ms) => {
                self.each(hosts, |world, host| world.isolate(host, *span_ms));
            }
            Trouble::DarkCentre(centre, span_ms) => {
                let hosts: Vec<_> = (0..self.hosts.len())
                    .filter(|host| host % 3 == centre % 3)
                    .collect();
                self.each(&hosts, |world, host| world.isolate(host, *span_ms));
            }
            Trouble::SilenceStore(hosts, span_ms) => {
                self.each(hosts, |world, host| world.silence_store(host, *span_ms));
            }
            Trouble::RefuseHosts(hosts, span_ms) => {
                self.each(hosts, |world, host| world.refuse_host(host, *span_ms));
            }
            Trouble::LoseAnswers(span_ms) => {
                self.faults.lost_answers = LOST_FRACTION;
                self.faults_until = self.now + span_ms;
            }
            Trouble::DelayOrders(span_ms) => {
                self.faults.late_orders = LOST_FRACTION;
                self.faults_until = self.now + span_ms;
            }
            Trouble::SilenceLinks => {
                self.disturb(0);
                self.links.clear();
            }
            Trouble::CancelWave(pause_ms) => self.cancel_wave(*pause_ms),
        }
    }

    fn each(&mut self, hosts: &[usize], mut act: impl FnMut(&mut Self, usize)) {
        for host in hosts {
            act(self, host % self.hosts.len());
        }
    }

    fn remove_some(&mut self, hosts: &[usize]) {
        self.each(hosts, |world, host| {
            if world.may_lose() {
                world.remove(host);
            }
        });
    }

    fn may_lose(&self) -> bool {
        let lost = |host: &&WorldHost| host.worker_back_at == u64::MAX;
        self.hosts.iter().filter(lost).count() < self.hosts.len() / 2
    }

    fn kill_present(&mut self, host: usize) {
        if self.hosts[host].agent.is_some() {
            self.kill(host);
        }
    }

    fn kill_planners(&mut self, pauses_ms: &[u64]) {
        for pause_ms in pauses_ms {
            let until = self.now + ELECTION_MS;
            while self.planner_host().is_none() && self.now < until {
                self.run(STEP_MS);
            }
            self.run(*pause_ms);
            if let Some(planner) = self.planner_host() {
                println!("{} trouble kills planner h{planner}", self.now);
                self.kill(planner);
            }
        }
    }

    fn isolate(&mut self, host: usize, span_ms: u64) {
        if self.hosts[host].restart_at != u64::MAX {
            self.partition(host, span_ms);
            self.silence_store(host, span_ms);
        }
    }

    /// Has the store leave the calls of a host without an answer.
    pub(crate) fn silence_store(&mut self, host: usize, span_ms: u64) {
        self.disturb(span_ms);
        self.hosts[host].store_silent_until = self.now + span_ms;
    }

    fn cancel_wave(&mut self, pause_ms: u64) {
        let mut jobs = Vec::new();
        for number in 0..WAVE_JOBS {
            let (job, body) = match number % 2 {
                0 => (JobId(self.random.random()), Self::long_running_job(3)),
                _ => self.random_job(),
            };
            self.submit(job, body);
            jobs.push(job);
        }
        self.run(pause_ms);
        for job in jobs {
            self.cancel(job);
        }
    }

    /// Crashes the workers that flap.
    pub(super) fn step_flaps(&mut self) {
        for host in 0..self.hosts.len() {
            let due = self.hosts[host].crash_at.front();
            if due.is_some_and(|at| *at <= self.now) {
                self.hosts[host].crash_at.pop_front();
                self.crash(host);
            }
        }
    }

    /// Leaves a call to a worker without an answer. It is carried out when the worker is back, if it is
    /// alive then.
    pub(super) fn hang_call(&mut self, host: usize, incarnation: u64, call: WorkerCall) {
        let span = (call.deadline.0 / 1000).saturating_sub(self.now);
        let back_in = self.hosts[host].worker_hangs_until - self.now;
        self.after(back_in, WorldEvent::LateOrder(host, call.clone()));
        let answer = WorkerAnswer::Unanswered;
        let event = WorldEvent::WorkerReplied(host, incarnation, call, answer);
        self.after(span, event);
    }
}
