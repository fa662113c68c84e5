//! Crashes in a row under tasks: the chance of each is weighed when it is reported, and a task is given
//! up once the moment of the last crash is over, as other workers may have crashed at the same moment.

use super::{PlannerMachine, RunView};
use crate::effect::Effect;
use crate::ids::{HostName, JobId, RunName, TaskName, TaskSlot};
use crate::job::JobPhase;
use crate::ledger::{
    ChainEvidence, CrashAge, CrashMoment, CrashRate, CrashRecurrence, CrashedAttempt, MIN_CHAIN,
};
use crate::operators::OperatorFormat;
use crate::record::PlanRecord;
use hornbeamlead_core::clock::MonoTime;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Time from the first crash of a moment within which crashes of other workers belong to it. Agents
/// notice them at different times.
const MOMENT_TIME: Duration = Duration::from_secs(1);

/// Time over which the rate is taken at which workers crash, and the least such time of a planner that
/// has just taken over.
const RATE_TIME: Duration = Duration::from_secs(60);
const MIN_RATE_TIME: Duration = Duration::from_secs(10);

/// Time for which crashes are known.
const MEMORY_TIME: Duration = Duration::from_secs(300);

/// Most crashes that are known. Each attempt that is lost is compared with all of them.
const MAX_CRASHES: usize = 200;

/// Time by which intervals between crashes may differ that count as equal.
const INTERVAL_SLACK: Duration = Duration::from_millis(500);

/// Factor within which two chances do not tell which task is the cause.
const EQUAL_FACTOR: f64 = 1.5;

/// Time by which an attempt may have begun before its agent first saw it on the worker's list.
const LIST_TIME: Duration = Duration::from_millis(500);

/// Crash of a worker that this planner has seen.
#[derive(Debug)]
struct SeenCrash {
    at: MonoTime,
    host: HostName,
    /// Tasks of the attempts on it.
    tasks: BTreeSet<TaskSlot>,
}

/// Crashes that this planner has seen, and the jobs on which it decides when their moment is over.
#[derive(Debug, Default)]
pub(super) struct CrashWatch {
    /// When the first crash of the latest moment was reported.
    moment_began: Option<MonoTime>,
    crashes: VecDeque<SeenCrash>,
    /// Jobs with a task that may have to be given up, and when that is decided.
    verdicts: BTreeMap<JobId, MonoTime>,
}

impl CrashWatch {
    /// Notes a crash that is reported at `now`, and returns its moment, given the latest one.
    fn note_crash(
        &mut self,
        now: MonoTime,
        latest: CrashMoment,
        (host, tasks): (&HostName, BTreeSet<TaskSlot>),
    ) -> CrashMoment {
        let is_old = |crash: &mut SeenCrash| now.since(crash.at) > MEMORY_TIME;
        while self.crashes.pop_front_if(is_old).is_some() {}
        if self.crashes.len() == MAX_CRASHES {
            self.crashes.pop_front();
        }
        self.crashes.push_back(SeenCrash {
            at: now,
            host: host.clone(),
            tasks,
        });
        match self.moment_began {
            Some(began) if now.since(began) <= MOMENT_TIME => latest,
            _ => {
                self.moment_began = Some(now);
                latest.next()
            }
        }
    }

    /// Returns the rate at which the worker of a host has crashed without a task within the observed time,
    /// or that of a worker of the fleet if it is higher. One more crash is counted, as there may be one soon.
    fn rate_without(
        &self,
        now: MonoTime,
        (slot, host): (TaskSlot, &HostName),
        fleet: usize,
        observed: Duration,
    ) -> CrashRate {
        let recent = |it: &&SeenCrash| now.since(it.at) <= observed && !it.tasks.contains(&slot);
        let others = self.crashes.iter().filter(recent);
        let on_host = others.clone().filter(|it| it.host == *host).count();
        let mean = (others.count() + 1) as f64 / fleet.max(1) as f64;
        CrashRate::per_second(mean.max(on_host as f64) / observed.as_secs_f64())
    }

    /// Returns the number of hosts whose workers are as likely to crash without a task as that of a host
    /// whose crash is the last. The host may be a bad one; and as long as none has crashed twice, workers
    /// may restart one after the other.
    fn peers(&self, (slot, host): (TaskSlot, &HostName), fleet: usize) -> u16 {
        let earlier = self.crashes.iter().rev().skip(1).map(|it| &it.host);
        let count = earlier.clone().count();
        let crashed: BTreeSet<_> = earlier.collect();
        let peers = match crashed.len() {
            hosts if hosts == count && !crashed.contains(host) => fleet.saturating_sub(hosts),
            _ => fleet,
        };
        let others = self.crashes.iter().filter(|it| !it.tasks.contains(&slot));
        let on_host = others.clone().filter(|it| it.host == *host).count();
        let peers = peers.min((others.count() + fleet) / (on_host + 1));
        u16::try_from(peers).unwrap_or(u16::MAX)
    }

    /// Returns how often workers crashed as long after a moment at which workers crashed without a task as
    /// they crash now after the last crash under it.
    fn recurrence(&self, now: MonoTime, slot: TaskSlot) -> CrashRecurrence {
        let mut under = self.crashes.iter().filter(|it| it.tasks.contains(&slot));
        // The last is the crash that is reported now.
        let Some(interval) = under.nth_back(1).map(|crash| now.since(crash.at)) else {
            return CrashRecurrence::new(0, 0);
        };
        let mut moments = Vec::<MonoTime>::new();
        for crash in self.crashes.iter().filter(|it| !it.tasks.contains(&slot)) {
            if moments
                .last()
                .is_none_or(|last| crash.at.since(*last) > MOMENT_TIME)
            {
                moments.push(crash.at);
            }
        }
        let over = moments
            .iter()
            .filter(|at| now.since(**at) + INTERVAL_SLACK >= interval);
        let is_repeated = |at: &&MonoTime| {
            let mut spans = self.crashes.iter().map(|crash| crash.at.since(**at));
            spans.any(|span| span.abs_diff(interval) <= INTERVAL_SLACK)
        };
        let repeated = over.clone().filter(is_repeated).count();
        CrashRecurrence::new(over.count(), repeated)
    }
}

impl RunView {
    /// Returns for how long the attempt had run if its worker is found to have crashed at `now`.
    pub(super) fn age_at_crash(&self, now: MonoTime) -> CrashAge {
        let to_ms = |span: Duration| u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
        let begun_after = self.ordered_at.or(self.begun_after);
        CrashAge {
            least_ms: to_ms(self.seen_for()),
            most_ms: begun_after.map(|begun| to_ms(now.since(begun))),
        }
    }

    /// Notes for how long the agent has seen an attempt that an earlier planner ordered.
    pub(super) fn note_age(&mut self, now: MonoTime, age: Duration) {
        if self.ordered_at.is_some() || self.begun_after.is_some() {
            return;
        }
        let (_, latest) = self.seen.unwrap_or((now, now));
        self.seen = Some((now.minus(age), latest));
        self.begun_after = Some(now.minus(age + LIST_TIME));
    }
}

impl<F: OperatorFormat> PlannerMachine<F> {
    /// Returns the number of hosts whose agents have reported.
    pub(super) fn fleet_size(&self) -> usize {
        self.hosts.values().filter(|view| view.has_reported).count()
    }

    /// Records that a worker has crashed, and under which attempts, with the chance that each was lost
    /// by coincidence.
    pub(super) fn record_worker_crash(
        &mut self,
        now: MonoTime,
        host: &HostName,
        crashed: &[(RunName, CrashAge)],
    ) {
        let latest = self.ledger.crash_history.moment;
        let tasks = crashed.iter().map(|(run, _)| run.task.into()).collect();
        let moment = self.crash_watch.note_crash(now, latest, (host, tasks));
        let fleet = self.fleet_size();
        let observed = now.since(self.started_at).clamp(MIN_RATE_TIME, RATE_TIME);
        let attempt = |&(run, age): &(RunName, CrashAge)| CrashedAttempt {
            run,
            age,
            rate: self
                .crash_watch
                .rate_without(now, (run.task.into(), host), fleet, observed),
            recurrence: self.crash_watch.recurrence(now, run.task.into()),
            peers: self.crash_watch.peers((run.task.into(), host), fleet),
        };
        let attempts: Box<[_]> = crashed.iter().map(attempt).collect();
        let record = PlanRecord::WorkerCrashed {
            moment,
            host: host.clone(),
            attempts: attempts.clone(),
        };
        self.record(now, record);
        for attempt in attempts {
            self.await_verdict(now, (moment, host), &attempt);
        }
    }

    /// Waits for the end of a moment if a task has to be given up for the crashes in a row under it.
    fn await_verdict(
        &mut self,
        now: MonoTime,
        (moment, host): (CrashMoment, &HostName),
        attempt: &CrashedAttempt,
    ) {
        let slot = TaskSlot::from(attempt.run.task);
        let Some(chain) = self.ledger.crash_chain(slot).filter(|it| it.len() > 1) else {
            return;
        };
        let evidence = chain.evidence();
        let most_ms = attempt.age.most_ms;
        let detail = format!(
            "host={host} moment={moment} least_ms={} most_ms={} rate={} recurrence={} peers={} crashes={} similar={} chance={:.6}",
            attempt.age.least_ms,
            most_ms.map_or("unknown".into(), |most_ms| most_ms.to_string()),
            attempt.rate,
            attempt.recurrence,
            attempt.peers,
            chain.len(),
            evidence.crashes,
            evidence.chance,
        );
        let is_conclusive = chain.is_conclusive();
        self.log("crash_weighed", attempt.run, detail);
        if is_conclusive {
            let began = self.crash_watch.moment_began.unwrap_or(now);
            let job = attempt.run.task.step.job;
            self.crash_watch
                .verdicts
                .insert(job, began.plus(MOMENT_TIME));
        }
    }

    /// Takes over from an earlier planner, whose latest moment may not be over.
    pub(super) fn adopt_crashes(&mut self, now: MonoTime) {
        self.crash_watch.moment_began = Some(now);
        let long = self.ledger.crash_history.chains.iter();
        let long = long.filter(|(_, chain)| chain.len() >= MIN_CHAIN);
        let verdicts = long.map(|(slot, _)| (slot.job, now.plus(MOMENT_TIME)));
        self.crash_watch.verdicts = verdicts.collect();
    }

    /// Gives up the tasks to which crashes in a row have to be put down, of those for which the moment of
    /// the last crash is over. What the strongest evidence explains is no evidence against others.
    pub(super) fn poll_verdicts(&mut self, now: MonoTime) {
        let due = |(job, at): (&JobId, &MonoTime)| (now > *at).then_some(*job);
        let due: Vec<_> = self.crash_watch.verdicts.iter().filter_map(due).collect();
        for job in &due {
            self.crash_watch.verdicts.remove(job);
        }
        loop {
            let mut proved = due.iter().filter_map(|job| self.conclusive_chain(*job));
            let Some(first) = proved.next() else {
                return;
            };
            let proved: Vec<_> = std::iter::once(first).chain(proved).collect();
            let chances = proved.iter().map(|(_, evidence)| evidence.chance);
            let strongest = chances.fold(1.0, f64::min);
            let is_cause =
                |it: &&(TaskSlot, ChainEvidence)| it.1.chance <= strongest * EQUAL_FACTOR;
            for (slot, evidence) in proved.iter().filter(is_cause) {
                self.give_up(now, *slot, *evidence);
            }
        }
    }

    /// Closes the job of a task that crashes its workers.
    fn give_up(&mut self, now: MonoTime, slot: TaskSlot, evidence: ChainEvidence) {
        let TaskSlot { job, step, index } = slot;
        let (crashes, chance) = (evidence.crashes, evidence.chance);
        let detail = format!(
            "phase={} cause=crashed_workers step={step} index={index} crashes={crashes} chance={chance:.6}",
            JobPhase::Failed
        );
        self.log("job_ended", job, detail);
        self.effects.push(Effect::Count("job_given_up"));
        self.close_job(now, job, JobPhase::Failed);
    }

    /// Returns a task of a job that has not ended to which the crashes in a row under it have to be put
    /// down.
    fn conclusive_chain(&self, job: JobId) -> Option<(TaskSlot, ChainEvidence)> {
        let is_open = self
            .ledger
            .phase(job)
            .is_some_and(|phase| !phase.is_final());
        let mut chains = self.ledger.chains_of(job).filter(|_| is_open);
        let found = chains.find(|(_, chain)| chain.is_conclusive());
        found.map(|(slot, chain)| (slot, chain.evidence()))
    }

    /// Returns whether it is about to be decided whether a task is given up.
    pub(super) fn awaits_verdict(&self, task: TaskName) -> bool {
        let chain = self.ledger.crash_chain(task.into());
        self.crash_watch.verdicts.contains_key(&task.step.job)
            && chain.is_some_and(|chain| chain.len() >= MIN_CHAIN)
    }

    /// Returns the weight of a task as a suspect for the crashes in a row under it, or 0: of the tasks that
    /// were lost together only one is the cause, so suspects start apart from one another.
    pub(super) fn chain_weight(&self, slot: TaskSlot) -> u32 {
        let chain = self.ledger.crash_chain(slot).filter(|it| it.len() > 1);
        chain.map_or(0, |chain| chain.suspect_weight() as u32)
    }

    /// Records that an attempt has run beyond the ages at which workers crashed under its task.
    pub(super) fn check_outlived(&mut self, now: MonoTime, run: RunName) {
        let chain = self.ledger.crash_chain(run.task.into());
        let seen = self.runs.get(&run).map(RunView::seen_for);
        let is_outlived = chain
            .zip(seen)
            .is_some_and(|(chain, seen)| seen > chain.outlived_after());
        if is_outlived {
            self.log("crashes_outlived", run, String::new());
            self.record(now, PlanRecord::Outlived { run });
        }
    }
}
