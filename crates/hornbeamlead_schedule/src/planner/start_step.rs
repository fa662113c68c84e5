//! Choice of hosts for waiting tasks, and the start records that follow from it.

use crate::cell_log::AttemptState;
use crate::job_log::JobState;
use crate::placement::{self, HostRoom, QueuedTask, SeekingTask};
use crate::planner::tasks::{OwnedTask, TaskState};
use crate::planner::{CellPlanner, PlannerInputs};
use crate::stream::StreamReader;
use crate::turn::TurnContext;
use hornbeamlead_core::clock::{MonoTime, WallTime};
use hornbeamlead_core::fleet::FleetState;
use hornbeamlead_core::ids::{AttemptId, JobName, RackName, TeamName};
use hornbeamlead_core::note::{DeliveryMode, JobSpec};
use hornbeamlead_core::record::{AttemptChange, AttemptRecord};
use hornbeamlead_core::resource::ResourceSize;
use hornbeamlead_core::task::{TaskOrder, TaskPhase};
use std::collections::BTreeMap;

/// Starts planned in one step, at most.
const STARTS_PER_STEP: usize = 64;

impl CellPlanner {
    /// Returns whether anything may be started: all three streams were read of late.
    pub(super) fn may_start(
        &self,
        jobs: &StreamReader<JobState>,
        inputs: PlannerInputs<'_>,
        turn: &TurnContext<'_>,
    ) -> bool {
        let recent = |began: Option<MonoTime>| {
            began.is_some_and(|began| turn.mono() < began.plus(self.schedule().start_bound))
        };
        let releasing = self.releasing && !self.job_slot.is_free();
        recent(inputs.notes_tail)
            && !releasing
            && recent(self.jobs_read.tail_began())
            && !jobs.has_gap()
            && self.is_fenced(jobs.state())
            && self.in_service(turn.fleet)
    }

    /// Chooses hosts for the most pressing waiting tasks and returns their start records.
    pub(super) fn plan_starts(
        &mut self,
        jobs: &JobState,
        tasks: &[OwnedTask<'_>],
        turn: &mut TurnContext<'_>,
    ) -> Vec<AttemptRecord> {
        let mut rooms = self.rooms(turn.mono());
        if self.schedule().learning {
            placement::keep_urgent_room(&mut rooms);
        }
        let quotas = self.quotas(jobs, turn.fleet);
        let queue = self.queue(tasks, turn);
        let mut records = Vec::new();
        for queued in queue {
            let task = &tasks[queued.index];
            let Some(spec) = task.spec else {
                continue;
            };
            if !quotas.admits(task, spec) {
                continue;
            }
            let Some(chosen) = self.choose(task, spec, &rooms) else {
                continue;
            };
            records.push(self.order_start(task, spec, &mut rooms[chosen], &queued, turn));
            if records.len() == STARTS_PER_STEP {
                break;
            }
        }
        records
    }

    fn queue(&self, tasks: &[OwnedTask<'_>], turn: &TurnContext<'_>) -> Vec<QueuedTask> {
        let waiting = tasks.iter().enumerate().filter(|(_, task)| {
            let never_again = |spec: &JobSpec| {
                spec.delivery == DeliveryMode::AtMostOnce
                    && task.number > 0
                    && task
                        .standing
                        .is_none_or(|standing| standing.state != AttemptState::Released)
            };
            task.state == TaskState::Waiting && task.spec.is_some_and(|spec| !never_again(spec))
        });
        let mut queue: Vec<QueuedTask> = waiting
            .filter_map(|(index, task)| self.queued(index, task, turn.now.wall))
            .collect();
        match self.schedule().learning {
            true => placement::sort_by_need(&mut queue),
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

    /// Returns what each host under a lease has left.
    fn rooms(&self, now: MonoTime) -> Vec<HostRoom> {
        let learning = self.schedule().learning;
        let usable = self.hosts.hosts().iter().filter(|(host, entry)| {
            !entry.leaving
                && entry.table.is_some()
                && !self.is_lapsed(host, now)
                && entry.renewed.is_some()
        });
        let rooms = usable.map(|(host, entry)| {
            let taken = entry
                .running_size()
                .plus(&self.orders.pending_size(host, entry));
            let running = entry
                .statuses()
                .filter(|status| status.phase == TaskPhase::Running);
            HostRoom {
                host: host.clone(),
                rack: entry.rack.clone(),
                capacity: entry.capacity,
                room: entry.capacity.minus(&taken),
                kept: ResourceSize::default(),
                kinds: running.map(|status| status.kind.clone()).collect(),
                pressed: self.guard.is_pressed(host),
                probe: learning && self.quarantine.is_probing(host),
            }
        });
        rooms
            .filter(|room| !learning || !self.quarantine.is_closed(&room.host, now))
            .filter(|room| !room.probe || room.kinds.is_empty())
            .collect()
    }

    /// Returns the sum of what all hosts under a lease have left.
    pub(super) fn free_room(&self, now: MonoTime) -> ResourceSize {
        let rooms = self.rooms(now);
        rooms
            .iter()
            .filter(|room| !room.pressed)
            .fold(ResourceSize::default(), |sum, room| sum.plus(&room.room))
    }

    fn choose(&self, task: &OwnedTask<'_>, spec: &JobSpec, rooms: &[HostRoom]) -> Option<usize> {
        let size = self.reservation(spec);
        if !self.schedule().learning {
            return placement::first_fit(&size, rooms);
        }
        let on_rack = self.rack_counts(&task.task.job);
        let failed_on = self.failures.get(&task.task);
        let seeking = SeekingTask {
            kind: &spec.kind,
            size,
            urgent: spec.urgent,
            avoid: failed_on.and_then(|hosts| hosts.last()),
            on_rack: &on_rack,
        };
        let harm = |room: &HostRoom| self.guard.expected_harm(&spec.kind, &room.kinds);
        placement::best_fit(&seeking, rooms, harm)
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

    /// Returns the reservation for a task of a job: declared, or learned where that is known.
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
        room: &mut HostRoom,
        queued: &QueuedTask,
        turn: &mut TurnContext<'_>,
    ) -> AttemptRecord {
        let attempt = AttemptId {
            task: task.task.clone(),
            number: task.number.saturating_add(1),
        };
        let size = self.reservation(spec);
        room.room = room.room.minus(&size);
        room.kinds.push(spec.kind.clone());
        if room.probe {
            room.room = ResourceSize::default();
        }
        self.explain_start(&attempt, room, &size, queued, turn);
        self.orders
            .add(room.host.clone(), new_order(&attempt, spec, size, task));
        AttemptRecord {
            attempt,
            change: AttemptChange::Started {
                host: room.host.clone(),
                resume_from: task.token.clone(),
            },
        }
    }

    fn explain_start(
        &self,
        attempt: &AttemptId,
        room: &HostRoom,
        size: &ResourceSize,
        queued: &QueuedTask,
        turn: &mut TurnContext<'_>,
    ) {
        let rule = match self.schedule().learning {
            true => "least_slack_best_fit",
            false => "first_fit",
        };
        let inputs = format!(
            "host={} size={size} room_left={} slack_ms={} urgent={} priority={} epoch={}",
            room.host, room.room, queued.slack_ms, queued.urgent, queued.priority, self.epoch
        );
        turn.decide(rule, format!("task:{attempt}"), inputs);
    }

    /// Returns whether some host could ever hold a task of a job; notes the reason if none could.
    pub(super) fn is_feasible(&mut self, spec: &JobSpec, turn: &mut TurnContext<'_>) -> bool {
        let size = self.reservation(spec);
        let hosts = self.hosts.hosts();
        let fits = hosts.values().any(|entry| size.fits(&entry.capacity));
        if fits {
            self.infeasible.remove(&spec.name);
            return true;
        }
        let settled = turn.mono() > self.tenure.earlier_until().plus(self.schedule().lease);
        if hosts.is_empty() || !settled || self.infeasible.contains_key(&spec.name) {
            return false;
        }
        let reason = format!("no host of cell {} can hold {size}", self.cell_id());
        turn.decide("infeasible", format!("job:{}", spec.name), reason.clone());
        self.infeasible.insert(spec.name.clone(), reason.into());
        false
    }

    /// Adds up what all cells have claimed, team by team.
    pub(super) fn quotas(&self, jobs: &JobState, fleet: &FleetState) -> QuotaBook {
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
        claimed.sort_by_key(|(place, _)| *place);
        QuotaBook::new(&claimed, fleet)
    }
}

/// Rank of a task's claim and its index, with its job.
type ClaimedTask<'a> = ((u64, u32), &'a JobSpec);

/// Place in the order of claims up to which each team's owned tasks fit its quota.
#[derive(Debug)]
pub(super) struct QuotaBook {
    /// Place from which on a team's tasks wait, for the teams whose quota is spent.
    spent_at: BTreeMap<TeamName, (u64, u32)>,
}

impl QuotaBook {
    /// Adds the owned tasks of all cells up, in the order of their claims.
    fn new(claimed: &[ClaimedTask<'_>], fleet: &FleetState) -> Self {
        let mut used: BTreeMap<&TeamName, ResourceSize> = BTreeMap::new();
        let mut spent_at = BTreeMap::new();
        for (place, spec) in claimed {
            let Some(team) = fleet.teams().get(&spec.team) else {
                continue;
            };
            let sum = used.entry(&spec.team).or_default();
            *sum = sum.plus(&spec.size);
            if !sum.fits(&team.quota) {
                spent_at.entry(spec.team.clone()).or_insert(*place);
            }
        }
        Self { spent_at }
    }

    fn admits(&self, task: &OwnedTask<'_>, spec: &JobSpec) -> bool {
        let spent = self.spent_at.get(&spec.team);
        spent.is_none_or(|place| (task.rank, task.task.index) < *place)
    }

    /// Returns whether a team has claimed all that its quota allows.
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
