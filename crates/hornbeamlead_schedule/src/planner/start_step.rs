//! Chooses hosts for waiting tasks and creates their start records.

use crate::cell_log::AttemptState;
use crate::event_context::EventContext;
use crate::job_log::JobState;
use crate::placement::{self, CandidateHost, PendingTask, QueuedTask};
use crate::planner::tasks::{OwnedTask, TaskState};
use crate::planner::{CellPlanner, PlannerInputs};
use crate::stream::StreamReader;
use hornbeamlead_core::clock::{MonoTime, WallTime};
use hornbeamlead_core::fleet::FleetState;
use hornbeamlead_core::ids::{AttemptId, JobName, RackName, TeamName};
use hornbeamlead_core::note::{DeliveryMode, JobSpec};
use hornbeamlead_core::record::{AttemptChange, AttemptRecord};
use hornbeamlead_core::resource::ResourceSize;
use hornbeamlead_core::task::{TaskOrder, TaskPhase};
use std::collections::BTreeMap;

/// Maximum number of starts planned in one step.
const STARTS_PER_STEP: usize = 64;

impl CellPlanner {
    /// Returns whether tasks may be started: notes and jobs were read recently, no release is
    /// pending, the jobs stream shows this epoch, and the data centre is in service.
    ///
    /// The planner has checked before that the cell's stream was read recently.
    pub(super) fn may_start(
        &self,
        jobs: &StreamReader<JobState>,
        inputs: PlannerInputs<'_>,
        context: &EventContext<'_>,
    ) -> bool {
        let recent = |began: Option<MonoTime>| {
            began.is_some_and(|began| context.mono() < began.plus(self.schedule().start_bound))
        };
        let releasing = self.releasing && !self.job_appender.is_idle();
        recent(inputs.notes_tail)
            && !releasing
            && recent(self.jobs_poller.tail_read_at())
            && !jobs.has_gap()
            && self.is_fenced(jobs.state())
            && self.in_service(context.fleet)
    }

    /// Chooses hosts for the waiting tasks in order of urgency and returns their start records.
    pub(super) fn plan_starts(
        &mut self,
        jobs: &JobState,
        tasks: &[OwnedTask<'_>],
        context: &mut EventContext<'_>,
    ) -> Vec<AttemptRecord> {
        let mut candidates = self.candidates(context.mono());
        if self.schedule().learning {
            placement::reserve_urgent_capacity(&mut candidates);
        }
        let quotas = self.quotas(jobs, context.fleet);
        let queue = self.queue(tasks, context);
        let mut records = Vec::new();
        for queued in queue {
            let task = &tasks[queued.index];
            let Some(spec) = task.spec else {
                continue;
            };
            if !quotas.admits(task, spec) {
                continue;
            }
            let Some(chosen) = self.choose(task, spec, &candidates) else {
                continue;
            };
            records.push(self.order_start(task, spec, &mut candidates[chosen], &queued, context));
            if records.len() == STARTS_PER_STEP {
                break;
            }
        }
        records
    }

    fn queue(&self, tasks: &[OwnedTask<'_>], context: &EventContext<'_>) -> Vec<QueuedTask> {
        let waiting = tasks.iter().enumerate().filter(|(_, task)| {
            let no_retry = |spec: &JobSpec| {
                spec.delivery == DeliveryMode::AtMostOnce
                    && task.number > 0
                    && task
                        .latest
                        .is_none_or(|latest| latest.state != AttemptState::Released)
            };
            task.state == TaskState::Waiting && task.spec.is_some_and(|spec| !no_retry(spec))
        });
        let mut queue: Vec<QueuedTask> = waiting
            .filter_map(|(index, task)| self.queued(index, task, context.now.wall))
            .collect();
        match self.schedule().learning {
            true => placement::sort_by_urgency(&mut queue),
            false => placement::sort_by_rank(&mut queue),
        }
        queue
    }

    fn queued(&self, index: usize, task: &OwnedTask<'_>, wall: WallTime) -> Option<QueuedTask> {
        let spec = task.spec?;
        let run = self.learner.run_time(&spec.kind, spec.run_time);
        let done = task.token.as_ref().map_or(0, |token| token.progress_ms);
        let left = i64::try_from(run.as_millis()).unwrap_or(i64::MAX);
        let rest = left
            .saturating_sub(i64::try_from(done).unwrap_or(i64::MAX))
            .max(0);
        let until = i64::try_from(spec.deadline.0).unwrap_or(i64::MAX);
        let now = i64::try_from(wall.0).unwrap_or(i64::MAX);
        Some(QueuedTask {
            index,
            urgent: spec.urgent,
            slack_ms: until.saturating_sub(now).saturating_sub(rest),
            priority: spec.priority,
            rank: task.rank,
        })
    }

    /// Returns the hosts with a valid lease that may receive tasks, with their free capacity.
    fn candidates(&self, now: MonoTime) -> Vec<CandidateHost> {
        let learning = self.schedule().learning;
        let usable = self.hosts.hosts().iter().filter(|(host, entry)| {
            !entry.leaving
                && entry.table.is_some()
                && !self.is_lapsed(host, now)
                && entry.renewed.is_some()
        });
        let candidates = usable.map(|(host, entry)| {
            let taken = entry
                .running_size()
                .plus(&self.orders.pending_size(host, entry));
            let running = entry
                .statuses()
                .filter(|status| status.phase == TaskPhase::Running);
            CandidateHost {
                host: host.clone(),
                rack: entry.rack.clone(),
                capacity: entry.capacity,
                free: entry.capacity.minus(&taken),
                reserved: ResourceSize::default(),
                kinds: running.map(|status| status.kind.clone()).collect(),
                over_goal: self.guard.is_over_goal(host),
                probe: learning && self.quarantine.is_probing(host),
            }
        });
        candidates
            .filter(|candidate| !learning || !self.quarantine.is_quarantined(&candidate.host, now))
            .filter(|candidate| !candidate.probe || candidate.kinds.is_empty())
            .collect()
    }

    /// Returns the total free capacity of the hosts that may receive tasks that are not urgent.
    pub(super) fn free_capacity(&self, now: MonoTime) -> ResourceSize {
        let candidates = self.candidates(now);
        candidates
            .iter()
            .filter(|candidate| !candidate.over_goal)
            .fold(ResourceSize::default(), |sum, candidate| {
                sum.plus(&candidate.free)
            })
    }

    fn choose(
        &self,
        task: &OwnedTask<'_>,
        spec: &JobSpec,
        candidates: &[CandidateHost],
    ) -> Option<usize> {
        let size = self.reservation(spec);
        if !self.schedule().learning {
            return placement::first_fit(&size, candidates);
        }
        let on_rack = self.rack_counts(&task.task.job);
        let failed_on = self.failures.get(&task.task);
        let pending = PendingTask {
            kind: &spec.kind,
            size,
            urgent: spec.urgent,
            avoid: failed_on.and_then(|hosts| hosts.last()),
            on_rack: &on_rack,
        };
        let interference = |candidate: &CandidateHost| {
            self.guard
                .expected_interference(&spec.kind, &candidate.kinds)
        };
        placement::best_fit(&pending, candidates, interference)
    }

    fn rack_counts(&self, job: &JobName) -> BTreeMap<RackName, u32> {
        let mut counts = BTreeMap::new();
        for entry in self.hosts.hosts().values() {
            let same = entry.statuses().filter(|status| {
                status.phase == TaskPhase::Running && status.attempt.task.job == *job
            });
            let count = u32::try_from(same.count()).unwrap_or(u32::MAX);
            *counts.entry(entry.rack.clone()).or_insert(0) += count;
        }
        counts
    }

    /// Returns the reservation for a task of a job: as learned if known, else as declared.
    pub(super) fn reservation(&self, spec: &JobSpec) -> ResourceSize {
        match self.schedule().learning {
            true => self.learner.size(&spec.kind, &spec.size),
            false => spec.size,
        }
    }

    fn order_start(
        &mut self,
        task: &OwnedTask<'_>,
        spec: &JobSpec,
        candidate: &mut CandidateHost,
        queued: &QueuedTask,
        context: &mut EventContext<'_>,
    ) -> AttemptRecord {
        let attempt = AttemptId {
            task: task.task.clone(),
            number: task.number.saturating_add(1),
        };
        let size = self.reservation(spec);
        candidate.free = candidate.free.minus(&size);
        candidate.kinds.push(spec.kind.clone());
        if candidate.probe {
            candidate.free = ResourceSize::default();
        }
        self.log_start(&attempt, candidate, &size, queued, context);
        self.orders.add(
            candidate.host.clone(),
            new_order(&attempt, spec, size, task),
        );
        AttemptRecord {
            attempt,
            change: AttemptChange::Started {
                host: candidate.host.clone(),
                resume_from: task.token.clone(),
            },
        }
    }

    fn log_start(
        &self,
        attempt: &AttemptId,
        candidate: &CandidateHost,
        size: &ResourceSize,
        queued: &QueuedTask,
        context: &mut EventContext<'_>,
    ) {
        let rule = match self.schedule().learning {
            true => "least_slack_best_fit",
            false => "first_fit",
        };
        let inputs = format!(
            "host={} size={size} room_left={} slack_ms={} urgent={} priority={} epoch={}",
            candidate.host,
            candidate.free,
            queued.slack_ms,
            queued.urgent,
            queued.priority,
            self.epoch
        );
        context.log_decision(rule, format!("task:{attempt}"), inputs);
    }

    /// Returns whether a task of a job fits on any empty host; records the reason if it does not.
    pub(super) fn is_feasible(&mut self, spec: &JobSpec, context: &mut EventContext<'_>) -> bool {
        let size = self.reservation(spec);
        let hosts = self.hosts.hosts();
        let fits = hosts.values().any(|entry| size.fits(&entry.capacity));
        if fits {
            self.infeasible.remove(&spec.name);
            return true;
        }
        let settled = context.mono()
            > self
                .planner_lease
                .predecessor_until()
                .plus(self.schedule().lease);
        if hosts.is_empty() || !settled || self.infeasible.contains_key(&spec.name) {
            return false;
        }
        let reason = format!("no host of cell {} can hold {size}", self.cell_id());
        context.log_decision("infeasible", format!("job:{}", spec.name), reason.clone());
        self.infeasible.insert(spec.name.clone(), reason.into());
        false
    }

    /// Computes the quota usage of each team from the claims of all cells.
    pub(super) fn quotas(&self, jobs: &JobState, fleet: &FleetState) -> TeamQuotas {
        let mut claimed: Vec<ClaimedTask<'_>> = Vec::new();
        for (job, ledgers) in jobs.jobs() {
            let Some(spec) = fleet.jobs().get(job) else {
                continue;
            };
            let owned = ledgers.iter().filter_map(|(index, ledger)| {
                let rank = ledger.owner?.rank;
                Some(((rank, *index), spec))
            });
            claimed.extend(owned);
        }
        claimed.sort_by_key(|(position, _)| *position);
        TeamQuotas::new(&claimed, fleet)
    }
}

/// Position of a task in the order of claims (rank and index), with its job.
type ClaimedTask<'a> = ((u64, u32), &'a JobSpec);

/// Quota usage of teams over the owned tasks of all cells.
#[derive(Debug)]
pub(super) struct TeamQuotas {
    /// First position in the order of claims that exceeds the team's quota, for each such team.
    spent_at: BTreeMap<TeamName, (u64, u32)>,
}

impl TeamQuotas {
    /// Sums the owned tasks of all cells in the order of their claims.
    fn new(claimed: &[ClaimedTask<'_>], fleet: &FleetState) -> Self {
        let mut used: BTreeMap<&TeamName, ResourceSize> = BTreeMap::new();
        let mut spent_at = BTreeMap::new();
        for (position, spec) in claimed {
            let Some(team) = fleet.teams().get(&spec.team) else {
                continue;
            };
            let sum = used.entry(&spec.team).or_default();
            *sum = sum.plus(&spec.size);
            if !sum.fits(&team.quota) {
                spent_at.entry(spec.team.clone()).or_insert(*position);
            }
        }
        Self { spent_at }
    }

    fn admits(&self, task: &OwnedTask<'_>, spec: &JobSpec) -> bool {
        let spent = self.spent_at.get(&spec.team);
        spent.is_none_or(|position| (task.rank, task.task.index) < *position)
    }

    /// Returns whether a team's claims exceed its quota.
    pub(super) fn is_spent(&self, team: &TeamName) -> bool {
        self.spent_at.contains_key(team)
    }
}

fn new_order(
    attempt: &AttemptId,
    spec: &JobSpec,
    size: ResourceSize,
    task: &OwnedTask<'_>,
) -> TaskOrder {
    TaskOrder {
        attempt: attempt.clone(),
        kind: spec.kind.clone(),
        size,
        run_time: spec.run_time,
        checkpoint_every: spec.checkpoint_every,
        delivery: spec.delivery,
        resume_from: task.token.clone(),
    }
}
