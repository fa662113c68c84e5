//! Paces fillers beside serving tasks that come close to their target.
//!
//! Latency is taken as a base plus an excess that is proportional to what pressing fillers use.
//! The controller scales that use so that the excess fits below the target, and lets it grow in
//! steps while there is room. Fillers that do not press keep their full share.

use crate::ids::RunName;
use crate::message::RunTraits;
use crate::worker::RunningRow;
use hornbeamlead_core::clock::MonoTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Limits of the pacing.
#[derive(Clone, Debug)]
pub struct ThrottlePolicy {
    /// Time close to the target after which fillers are slowed.
    pub grace_period: Duration,
    /// Span between two changes; readings cover the last half second.
    pub step: Duration,
}

/// Share of the target at which the controller aims.
const AIM: f64 = 0.92;

/// Share of the target below which fillers are sped up.
const CALM: f64 = 0.85;

/// Share of the target that a serving task takes without any filler, as a rule.
const BASE: f64 = 0.45;

/// Use that is given back at a step, as a share of the whole.
const RISE: f64 = 0.25;

/// Least factor of one change: readings are rough.
const LEAST_FACTOR: f64 = 0.3;

/// Change of a share that is worth an order, in percent.
const LEAST_CHANGE: u8 = 5;

/// Time close to a target after which what is believed of fillers is doubted.
const DISTRUST_SPAN: Duration = Duration::from_millis(900);

/// Time close to a target after which all fillers stand still. Readings are rough and half a
/// second old, and a serving task may be disturbed for no longer than 4 s.
const HALT_SPAN: Duration = Duration::from_millis(2000);

/// Doubt that fades at a step.
const DOUBT_FADE: f64 = 0.1;

/// Full share, in percent.
const FULL_SHARE: u8 = 100;

/// State of the pacing on one worker.
#[derive(Clone, Debug)]
pub struct FillerThrottle {
    policy: ThrottlePolicy,
    /// Since when a serving task has been close to its target or over it.
    close_since: Option<MonoTime>,
    /// Since when a serving task has been over its target.
    over_since: Option<MonoTime>,
    moved: MonoTime,
    /// Least share of a change that applies to any filler, whatever is believed of it.
    doubt: f64,
    /// Share of their use that pressing fillers may have.
    use_share: f64,
    /// Share that each filler was told, in percent.
    told: BTreeMap<RunName, u8>,
    /// Change that has not been logged yet.
    news: Option<String>,
}

impl FillerThrottle {
    /// Makes a book without slowed fillers.
    #[must_use]
    pub fn new(policy: ThrottlePolicy) -> Self {
        Self {
            policy,
            close_since: None,
            over_since: None,
            moved: MonoTime(0),
            doubt: 0.0,
            use_share: 1.0,
            told: BTreeMap::new(),
            news: None,
        }
    }

    /// Forgets everything: another life runs.
    pub fn clear(&mut self) {
        *self = Self::new(self.policy.clone());
    }

    /// Returns what changed about the latency of serving tasks since it was last asked.
    pub fn take_news(&mut self) -> Option<String> {
        self.news.take()
    }

    /// Has a filler told its share again.
    pub fn forget(&mut self, run: RunName) {
        self.told.remove(&run);
    }

    /// Takes in a list and returns which fillers are to change, and to which share.
    pub fn adjust(
        &mut self,
        now: MonoTime,
        rows: &[RunningRow],
        traits: &BTreeMap<RunName, RunTraits>,
    ) -> Vec<(RunName, u8)> {
        let ratios = rows.iter().filter_map(|row| {
            let target = traits.get(&row.run)?.target_ms;
            (target > 0).then(|| f64::from(row.reading) / f64::from(target))
        });
        let worst = ratios.fold(0.0, f64::max);
        self.note(now, worst);
        let close = worst > AIM;
        self.close_since = close.then(|| self.close_since.unwrap_or(now));
        if now.since(self.moved) >= self.policy.step {
            self.moved = now;
            self.move_doubt(now);
            self.move_share(now, worst);
        }
        self.tell(rows, traits)
    }

    fn note(&mut self, now: MonoTime, worst: f64) {
        let over = worst > 1.0;
        if over != self.over_since.is_some() {
            let share = self.use_share;
            self.news = Some(format!("over={over} of_target={worst:.2} share={share:.2}"));
        }
        self.over_since = over.then(|| self.over_since.unwrap_or(now));
    }

    /// Raises the doubt in what is believed of fillers while slowing those that press does not
    /// help, and lets it fade afterwards.
    fn move_doubt(&mut self, now: MonoTime) {
        let close = self
            .close_since
            .map_or(Duration::ZERO, |since| now.since(since));
        self.doubt = match close {
            _ if close >= HALT_SPAN => 1.0,
            _ if close >= DISTRUST_SPAN => self.doubt.max(0.5),
            _ => (self.doubt - DOUBT_FADE).max(0.0),
        };
    }

    fn move_share(&mut self, now: MonoTime, worst: f64) {
        let patient = self
            .close_since
            .is_some_and(|since| now.since(since) < self.policy.grace_period);
        let halted = self
            .close_since
            .is_some_and(|since| now.since(since) >= HALT_SPAN);
        let share = match worst {
            _ if halted => 0.0,
            _ if patient => self.use_share,
            _ if worst > AIM => {
                let factor = (AIM - BASE) / (worst - BASE);
                self.use_share * factor.max(LEAST_FACTOR)
            }
            _ if worst < CALM => self.use_share + RISE,
            _ => self.use_share,
        };
        self.use_share = share.clamp(0.0, 1.0);
    }

    fn tell(
        &mut self,
        rows: &[RunningRow],
        traits: &BTreeMap<RunName, RunTraits>,
    ) -> Vec<(RunName, u8)> {
        let best_effort = |row: &RunningRow| {
            let traits = traits.get(&row.run).filter(|traits| traits.best_effort)?;
            Some((row.run, traits.interference_percent))
        };
        let fillers: BTreeMap<RunName, u8> = rows.iter().filter_map(best_effort).collect();
        self.told.retain(|run, _| fillers.contains_key(run));
        let mut changes = Vec::new();
        for (run, press) in fillers {
            let press = f64::from(press.min(FULL_SHARE)) / f64::from(FULL_SHARE);
            let press = press.max(self.doubt);
            let share = (1.0 - (1.0 - self.use_share) * press) * f64::from(FULL_SHARE);
            let share = share.round() as u8;
            let told = self.told.entry(run).or_insert(FULL_SHARE);
            let full = share == FULL_SHARE && *told != FULL_SHARE;
            if told.abs_diff(share) >= LEAST_CHANGE || full {
                *told = share;
                changes.push((run, share));
            }
        }
        changes
    }
}
