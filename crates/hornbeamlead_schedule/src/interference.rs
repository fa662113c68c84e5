//! Guard of the live services against their batch neighbours, learned from lagging latency.

use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::ids::{AttemptId, HostId, KindName};
use hornbeamlead_core::policy::SchedulePolicy;
use hornbeamlead_core::task::{TaskPhase, TaskStatus};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Speeds of the steps from free to most throttled, in percent.
const SPEED_STEPS: [u8; 3] = [100, 50, 20];

/// Shortest time between two steps on one host, longer than the readings lag.
const STEP_HOLD: Duration = Duration::from_secs(3);

/// Time for which a host stays over its goal at the lowest speed before a task is evicted.
const EVICT_HOLD: Duration = Duration::from_secs(6);

/// Share of the goal below which a host is calm, in percent.
const CALM_PERCENT: u64 = 70;

/// Rise over the latency without batch up to which no neighbour is blamed, in percent.
const QUIET_RISE_PERCENT: u64 = 140;

/// Share of the first latency that must be left under full throttle to clear the tasks, in percent.
const UNCHANGED_PERCENT: u64 = 80;

/// Weight of a new reading in the latency without batch, as a divisor.
const QUIET_DECAY: u64 = 4;

/// Window of the cap on evictions.
const EVICTION_WINDOW: Duration = Duration::from_secs(60);

/// Weight of a new reading in a pair's harm, as a divisor.
const HARM_DECAY: u64 = 8;

/// Harm in thousandths of the goal that makes a difference to placement.
const HARM_STEP: u64 = 100;

/// Largest harm that one reading counts for, in thousandths of the goal.
const HARM_CAP: u64 = 4_000;

/// What the guard wants done about an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GuardAction {
    /// Run it at another speed.
    Throttle {
        /// Attempt.
        attempt: AttemptId,
        /// Speed allowed, in percent.
        speed_percent: u8,
    },
    /// Checkpoint and stop it.
    Evict {
        /// Attempt.
        attempt: AttemptId,
    },
}

/// State of one host.
#[derive(Clone, Debug, Default)]
struct HostPressure {
    step: usize,
    stepped_at: MonoTime,
    over_since: Option<MonoTime>,
    pressed: bool,
    /// Latency without batch neighbours, or that throttling them did not change; 0 if unknown.
    quiet_us: u64,
    /// Latency when the tasks were first throttled.
    pressed_us: u64,
}

impl HostPressure {
    /// Clears the tasks of a host: throttling them did not change the latency.
    fn clear(&mut self, p99_us: u64, now: MonoTime) {
        self.quiet_us = self.quiet_us.max(p99_us);
        self.step = 0;
        self.stepped_at = now;
        self.over_since = None;
        self.pressed = false;
    }
}

/// Guard of the live services.
#[derive(Clone, Debug)]
pub struct InterferenceGuard {
    goal_us: u64,
    evict_hold: Duration,
    evictions_per_minute: usize,
    learning: bool,
    hosts: BTreeMap<HostId, HostPressure>,
    harm: BTreeMap<(KindName, KindName), u64>,
    evictions: VecDeque<MonoTime>,
    /// Newest checkpoint of each attempt and when it was first seen.
    checkpoints: BTreeMap<AttemptId, (u64, MonoTime)>,
}

impl InterferenceGuard {
    /// Makes a guard by the settings; the weights decide how long an eviction is put off.
    #[must_use]
    pub fn new(schedule: &SchedulePolicy) -> Self {
        let weights = &schedule.weights;
        let patience = (2 * weights.evictions.max(1)).div_ceil(weights.tail_latency.max(1));
        let goal_us = schedule.service_p99_goal.as_micros();
        Self {
            goal_us: u64::try_from(goal_us).unwrap_or(u64::MAX).max(1),
            evict_hold: EVICT_HOLD * patience.clamp(1, 8),
            evictions_per_minute: usize::try_from(schedule.evictions_per_minute)
                .unwrap_or(usize::MAX),
            learning: schedule.learning,
            hosts: BTreeMap::new(),
            harm: BTreeMap::new(),
            evictions: VecDeque::new(),
            checkpoints: BTreeMap::new(),
        }
    }

    /// Returns whether the service on a host is over its goal, or was until lately.
    #[must_use]
    pub fn is_pressed(&self, host: &HostId) -> bool {
        self.learning
            && self
                .hosts
                .get(host)
                .is_some_and(|pressure| pressure.pressed)
    }

    /// Returns the harm to expect of a kind beside others, in coarse steps.
    #[must_use]
    pub fn expected_harm(&self, kind: &KindName, others: &[KindName]) -> u64 {
        let alone = self.pair_harm(kind, kind);
        let beside = others.iter().map(|other| self.pair_harm(kind, other)).max();
        beside.unwrap_or(0).max(alone) / HARM_STEP
    }

    fn pair_harm(&self, left: &KindName, right: &KindName) -> u64 {
        self.harm.get(&pair(left, right)).copied().unwrap_or(0)
    }

    /// Takes a host's lagging reading and returns what is to be done there.
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
        self.note_checkpoints(&running, now);
        let Some(p99_us) = p99_us.filter(|_| self.learning) else {
            return Vec::new();
        };
        if running.is_empty() {
            self.learn_quiet(host, p99_us);
            return Vec::new();
        }
        let limit_us = self.limit_us(host);
        self.learn(p99_us, limit_us, &running);
        match () {
            () if p99_us > limit_us => self.press(host, p99_us, &running, now),
            () if p99_us * 100 < limit_us * CALM_PERCENT => self.relax(host, &running, now),
            () => {
                self.hosts.entry(host.clone()).or_default().over_since = None;
                Vec::new()
            }
        }
    }

    /// Returns the latency above which the batch neighbours on a host are suspected.
    fn limit_us(&self, host: &HostId) -> u64 {
        let quiet_us = self.hosts.get(host).map_or(0, |pressure| pressure.quiet_us);
        self.goal_us.max(quiet_us * QUIET_RISE_PERCENT / 100)
    }

    /// Learns the latency of a host on which no batch task runs.
    fn learn_quiet(&mut self, host: &HostId, p99_us: u64) {
        let pressure = self.hosts.entry(host.clone()).or_default();
        pressure.quiet_us = match pressure.quiet_us {
            0 => p99_us,
            known => (known * (QUIET_DECAY - 1) + p99_us) / QUIET_DECAY,
        };
        pressure.pressed = false;
        pressure.step = 0;
        pressure.over_since = None;
    }

    fn note_checkpoints(&mut self, running: &[&TaskStatus], now: MonoTime) {
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

    /// Drops what is known of attempts that `keep` rejects.
    pub fn retain(&mut self, keep: impl Fn(&AttemptId) -> bool) {
        self.checkpoints.retain(|attempt, _| keep(attempt));
    }

    fn learn(&mut self, p99_us: u64, limit_us: u64, running: &[&TaskStatus]) {
        let over = p99_us.saturating_sub(limit_us);
        let reading = (over * 1000 / limit_us).min(HARM_CAP);
        let free: Vec<&KindName> = running
            .iter()
            .filter(|status| status.speed_percent == SPEED_STEPS[0])
            .map(|status| &status.kind)
            .collect();
        for (index, kind) in free.iter().enumerate() {
            let others = &free[index + 1..];
            if free.len() == 1 {
                self.blend(pair(kind, kind), reading);
            }
            for other in others {
                self.blend(pair(kind, other), reading);
            }
        }
    }

    fn blend(&mut self, key: (KindName, KindName), reading: u64) {
        let harm = self.harm.entry(key).or_insert(0);
        *harm = (*harm * (HARM_DECAY - 1) + reading) / HARM_DECAY;
    }

    fn press(
        &mut self,
        host: &HostId,
        p99_us: u64,
        running: &[&TaskStatus],
        now: MonoTime,
    ) -> Vec<GuardAction> {
        let hold = self.evict_hold;
        let pressure = self.hosts.entry(host.clone()).or_default();
        pressure.pressed = true;
        let since = *pressure.over_since.get_or_insert(now);
        let may_step = now >= pressure.stepped_at.plus(STEP_HOLD);
        let lowest = pressure.step + 1 >= SPEED_STEPS.len();
        let unchanged = p99_us * 100 >= pressure.pressed_us * UNCHANGED_PERCENT;
        match () {
            () if !may_step => Vec::new(),
            () if !lowest => {
                if pressure.step == 0 {
                    pressure.pressed_us = p99_us;
                }
                pressure.step += 1;
                pressure.stepped_at = now;
                let speed = SPEED_STEPS[pressure.step];
                throttle_all(running, speed)
            }
            () if unchanged => {
                pressure.clear(p99_us, now);
                throttle_all(running, SPEED_STEPS[0])
            }
            () if now >= since.plus(hold) => self.evict(host, running, now),
            () => Vec::new(),
        }
    }

    /// Evicts the task that has lost least since its checkpoint, within the cap.
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
        if let Some(pressure) = self.hosts.get_mut(host) {
            pressure.stepped_at = now;
            pressure.over_since = Some(now);
        }
        vec![GuardAction::Evict {
            attempt: status.attempt.clone(),
        }]
    }

    fn relax(&mut self, host: &HostId, running: &[&TaskStatus], now: MonoTime) -> Vec<GuardAction> {
        let pressure = self.hosts.entry(host.clone()).or_default();
        pressure.over_since = None;
        if now < pressure.stepped_at.plus(STEP_HOLD) {
            return Vec::new();
        }
        if pressure.step == 0 {
            pressure.pressed = false;
            return Vec::new();
        }
        pressure.step -= 1;
        pressure.stepped_at = now;
        let speed = SPEED_STEPS[pressure.step];
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
