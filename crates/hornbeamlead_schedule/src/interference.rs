//! Protects live services from interference by batch tasks on the same host, based on delayed
//! latency readings.

use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::ids::{AttemptId, HostId, KindName};
use hornbeamlead_core::policy::SchedulePolicy;
use hornbeamlead_core::task::{TaskPhase, TaskStatus};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Speeds of the throttling steps, from unthrottled to most throttled, in percent.
const SPEED_STEPS: [u8; 3] = [100, 50, 20];

/// Minimum time between two steps on one host, longer than the delay of the readings.
const STEP_HOLD: Duration = Duration::from_secs(3);

/// Time over the latency limit after which a task is evicted at the lowest speed; multiplied by a
/// factor from the weights.
const EVICT_HOLD: Duration = Duration::from_secs(6);

/// Share of the latency limit below which throttling is relaxed, in percent.
const RECOVERY_PERCENT: u64 = 70;

/// Latency up to which no batch task is suspected, in percent of the baseline.
const BASELINE_RISE_PERCENT: u64 = 140;

/// Share of the latency at the first throttling that must remain at the lowest speed for the tasks
/// to be found not responsible, in percent.
const UNCHANGED_PERCENT: u64 = 80;

/// Divisor for the weight of a new reading in the baseline latency.
const BASELINE_DECAY: u64 = 4;

/// Window in which the limit on evictions applies.
const EVICTION_WINDOW: Duration = Duration::from_secs(60);

/// Divisor for the weight of a new reading in the interference of a pair.
const INTERFERENCE_DECAY: u64 = 8;

/// Granularity at which interference influences placement, in thousandths of the limit.
const INTERFERENCE_STEP: u64 = 100;

/// Upper bound of the interference in one reading, in thousandths of the limit.
const INTERFERENCE_CAP: u64 = 4_000;

/// Action that the guard requests for an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GuardAction {
    /// Change the speed of the attempt.
    Throttle {
        /// Attempt.
        attempt: AttemptId,
        /// Speed allowed, in percent.
        speed_percent: u8,
    },
    /// Checkpoint and stop the attempt.
    Evict {
        /// Attempt.
        attempt: AttemptId,
    },
}

/// Throttling state of one host.
#[derive(Clone, Debug, Default)]
struct HostInterference {
    step: usize,
    stepped_at: MonoTime,
    over_since: Option<MonoTime>,
    over_goal: bool,
    /// Latency without batch tasks, or that throttling them did not change; 0 if unknown.
    baseline_us: u64,
    /// Latency when the tasks were first throttled.
    first_throttled_us: u64,
}

impl HostInterference {
    /// Resets the throttling of a host's tasks, since it did not change the latency.
    fn clear(&mut self, p99_us: u64, now: MonoTime) {
        self.baseline_us = self.baseline_us.max(p99_us);
        self.step = 0;
        self.stepped_at = now;
        self.over_since = None;
        self.over_goal = false;
    }
}

/// Decides on throttling and eviction of batch tasks, and learns which kinds interfere.
#[derive(Clone, Debug)]
pub struct InterferenceGuard {
    goal_us: u64,
    evict_hold: Duration,
    evictions_per_minute: usize,
    learning: bool,
    hosts: BTreeMap<HostId, HostInterference>,
    interference: BTreeMap<(KindName, KindName), u64>,
    evictions: VecDeque<MonoTime>,
    /// Newest checkpoint of each attempt and when it was first seen.
    checkpoints: BTreeMap<AttemptId, (u64, MonoTime)>,
}

impl InterferenceGuard {
    /// Creates a guard from the settings, whose weights determine how long evictions are delayed.
    #[must_use]
    pub fn new(schedule: &SchedulePolicy) -> Self {
        let weights = &schedule.weights;
        let hold_factor = (2 * weights.evictions.max(1)).div_ceil(weights.tail_latency.max(1));
        let goal_us = schedule.service_p99_goal.as_micros();
        Self {
            goal_us: u64::try_from(goal_us).unwrap_or(u64::MAX).max(1),
            evict_hold: EVICT_HOLD * hold_factor.clamp(1, 8),
            evictions_per_minute: usize::try_from(schedule.evictions_per_minute)
                .unwrap_or(usize::MAX),
            learning: schedule.learning,
            hosts: BTreeMap::new(),
            interference: BTreeMap::new(),
            evictions: VecDeque::new(),
            checkpoints: BTreeMap::new(),
        }
    }

    /// Returns whether the service on a host exceeds its goal or has not recovered for long enough.
    #[must_use]
    pub fn is_over_goal(&self, host: &HostId) -> bool {
        self.learning
            && self
                .hosts
                .get(host)
                .is_some_and(|interference| interference.over_goal)
    }

    /// Returns the interference to expect of a kind beside others, in coarse steps.
    #[must_use]
    pub fn expected_interference(&self, kind: &KindName, others: &[KindName]) -> u64 {
        let alone = self.pair_interference(kind, kind);
        let beside = others
            .iter()
            .map(|other| self.pair_interference(kind, other))
            .max();
        beside.unwrap_or(0).max(alone) / INTERFERENCE_STEP
    }

    fn pair_interference(&self, left: &KindName, right: &KindName) -> u64 {
        self.interference
            .get(&pair(left, right))
            .copied()
            .unwrap_or(0)
    }

    /// Records a delayed latency reading of a host and returns the actions to take on it.
    pub fn observe<'a>(
        &mut self,
        host: &HostId,
        p99_us: Option<u64>,
        tasks: impl Iterator<Item = &'a TaskStatus>,
        now: MonoTime,
    ) -> Vec<GuardAction> {
        let running: Vec<&TaskStatus> = tasks
            .filter(|status| status.phase == TaskPhase::Running)
            .collect();
        self.record_checkpoints(&running, now);
        let Some(p99_us) = p99_us.filter(|_| self.learning) else {
            return Vec::new();
        };
        if running.is_empty() {
            self.learn_baseline(host, p99_us);
            return Vec::new();
        }
        let limit_us = self.limit_us(host);
        self.learn_interference(p99_us, limit_us, &running);
        match () {
            () if p99_us > limit_us => self.escalate(host, p99_us, &running, now),
            () if p99_us * 100 < limit_us * RECOVERY_PERCENT => self.relax(host, &running, now),
            () => {
                self.hosts.entry(host.clone()).or_default().over_since = None;
                Vec::new()
            }
        }
    }

    /// Returns the latency above which the batch tasks on a host are suspected.
    fn limit_us(&self, host: &HostId) -> u64 {
        let baseline_us = self
            .hosts
            .get(host)
            .map_or(0, |interference| interference.baseline_us);
        self.goal_us.max(baseline_us * BASELINE_RISE_PERCENT / 100)
    }

    /// Updates the baseline latency of a host on which no batch task runs.
    fn learn_baseline(&mut self, host: &HostId, p99_us: u64) {
        let interference = self.hosts.entry(host.clone()).or_default();
        interference.baseline_us = match interference.baseline_us {
            0 => p99_us,
            known => (known * (BASELINE_DECAY - 1) + p99_us) / BASELINE_DECAY,
        };
        interference.over_goal = false;
        interference.step = 0;
        interference.over_since = None;
    }

    fn record_checkpoints(&mut self, running: &[&TaskStatus], now: MonoTime) {
        for status in running {
            let progress = status
                .checkpoint
                .as_ref()
                .map_or(0, |token| token.progress_ms);
            let seen = self
                .checkpoints
                .entry(status.attempt.clone())
                .or_insert((progress, now));
            if seen.0 != progress {
                *seen = (progress, now);
            }
        }
    }

    /// Forgets the checkpoints of attempts that `keep` rejects.
    pub fn retain(&mut self, keep: impl Fn(&AttemptId) -> bool) {
        self.checkpoints.retain(|attempt, _| keep(attempt));
    }

    fn learn_interference(&mut self, p99_us: u64, limit_us: u64, running: &[&TaskStatus]) {
        let over = p99_us.saturating_sub(limit_us);
        let reading = (over * 1000 / limit_us).min(INTERFERENCE_CAP);
        let full_speed: Vec<&KindName> = running
            .iter()
            .filter(|status| status.speed_percent == SPEED_STEPS[0])
            .map(|status| &status.kind)
            .collect();
        for (index, kind) in full_speed.iter().enumerate() {
            let others = &full_speed[index + 1..];
            if full_speed.len() == 1 {
                self.update_average(pair(kind, kind), reading);
            }
            for other in others {
                self.update_average(pair(kind, other), reading);
            }
        }
    }

    fn update_average(&mut self, key: (KindName, KindName), reading: u64) {
        let interference = self.interference.entry(key).or_insert(0);
        *interference = (*interference * (INTERFERENCE_DECAY - 1) + reading) / INTERFERENCE_DECAY;
    }

    fn escalate(
        &mut self,
        host: &HostId,
        p99_us: u64,
        running: &[&TaskStatus],
        now: MonoTime,
    ) -> Vec<GuardAction> {
        let hold = self.evict_hold;
        let interference = self.hosts.entry(host.clone()).or_default();
        interference.over_goal = true;
        let since = *interference.over_since.get_or_insert(now);
        let may_step = now >= interference.stepped_at.plus(STEP_HOLD);
        let lowest = interference.step + 1 >= SPEED_STEPS.len();
        let unchanged = p99_us * 100 >= interference.first_throttled_us * UNCHANGED_PERCENT;
        match () {
            () if !may_step => Vec::new(),
            () if !lowest => {
                if interference.step == 0 {
                    interference.first_throttled_us = p99_us;
                }
                interference.step += 1;
                interference.stepped_at = now;
                let speed = SPEED_STEPS[interference.step];
                throttle_all(running, speed)
            }
            () if unchanged => {
                interference.clear(p99_us, now);
                throttle_all(running, SPEED_STEPS[0])
            }
            () if now >= since.plus(hold) => self.evict(host, running, now),
            () => Vec::new(),
        }
    }

    /// Evicts the task with the most recent checkpoint, which loses the least work, within the limit
    /// on evictions.
    fn evict(&mut self, host: &HostId, running: &[&TaskStatus], now: MonoTime) -> Vec<GuardAction> {
        let oldest = now.minus(EVICTION_WINDOW);
        self.evictions
            .retain(|at| *at > oldest || *at == MonoTime(0));
        if self.evictions.len() >= self.evictions_per_minute {
            return Vec::new();
        }
        let least_lost = running.iter().max_by_key(|status| {
            let seen = self.checkpoints.get(&status.attempt);
            seen.map_or(MonoTime(0), |(_, at)| *at)
        });
        let Some(status) = least_lost else {
            return Vec::new();
        };
        self.evictions.push_back(now);
        if let Some(interference) = self.hosts.get_mut(host) {
            interference.stepped_at = now;
            interference.over_since = Some(now);
        }
        vec![GuardAction::Evict {
            attempt: status.attempt.clone(),
        }]
    }

    fn relax(&mut self, host: &HostId, running: &[&TaskStatus], now: MonoTime) -> Vec<GuardAction> {
        let interference = self.hosts.entry(host.clone()).or_default();
        interference.over_since = None;
        if now < interference.stepped_at.plus(STEP_HOLD) {
            return Vec::new();
        }
        if interference.step == 0 {
            interference.over_goal = false;
            return Vec::new();
        }
        interference.step -= 1;
        interference.stepped_at = now;
        let speed = SPEED_STEPS[interference.step];
        throttle_all(running, speed)
    }
}

fn throttle_all(running: &[&TaskStatus], speed_percent: u8) -> Vec<GuardAction> {
    let actions = running.iter().map(|status| GuardAction::Throttle {
        attempt: status.attempt.clone(),
        speed_percent,
    });
    actions.collect()
}

fn pair(left: &KindName, right: &KindName) -> (KindName, KindName) {
    match left <= right {
        true => (left.clone(), right.clone()),
        false => (right.clone(), left.clone()),
    }
}
