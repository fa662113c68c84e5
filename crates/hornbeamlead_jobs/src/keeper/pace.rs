//! Paces fillers beside serving tasks that are over their target.
//!
//! The share of all fillers of a worker falls by half while a serving task is over its target and
//! rises in steps once none is, as a congestion window does.

use crate::ids::RunName;
use crate::message::RunTraits;
use crate::worker::RunningRow;
use hornbeamlead_core::clock::MonoTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Limits of the pacing.
#[derive(Clone, Debug)]
pub struct PacePolicy {
    /// Time over target after which fillers are slowed.
    pub patience: Duration,
    /// Span between two changes; readings cover the last half second.
    pub step: Duration,
}

/// Share that a filler begins with.
const FULL_SHARE: u8 = 100;

/// Share that is given back at a step.
const RISE: u8 = 25;

/// Share of the target below which fillers are sped up again, in percent.
const CALM_PERCENT: u32 = 85;

/// State of the pacing on one worker.
#[derive(Clone, Debug)]
pub struct PaceBook {
    policy: PacePolicy,
    /// Since when a serving task has been over its target.
    over_since: Option<MonoTime>,
    changed: MonoTime,
    /// Share that fillers are to have.
    share: u8,
    /// Share that each filler was told.
    told: BTreeMap<RunName, u8>,
}

impl PaceBook {
    /// Makes a book without slowed fillers.
    #[must_use]
    pub fn new(policy: PacePolicy) -> Self {
        Self {
            policy,
            over_since: None,
            changed: MonoTime(0),
            share: FULL_SHARE,
            told: BTreeMap::new(),
        }
    }

    /// Forgets everything: another life runs.
    pub fn clear(&mut self) {
        *self = Self::new(self.policy.clone());
    }

    /// Has a filler told its share again.
    pub fn forget(&mut self, run: RunName) {
        self.told.insert(run, u8::MAX);
    }

    /// Takes in a list and returns which fillers are to change, and to which share.
    pub fn adjust(
        &mut self,
        now: MonoTime,
        rows: &[RunningRow],
        traits: &BTreeMap<RunName, RunTraits>,
    ) -> Vec<(RunName, u8)> {
        let serving = rows.iter().filter_map(|row| {
            let target = traits.get(&row.run)?.target_ms;
            (target > 0).then_some((row.reading, target))
        });
        let (mut over, mut calm) = (false, true);
        for (reading, target) in serving {
            over |= reading > target;
            calm &= reading * 100 <= target * CALM_PERCENT;
        }
        self.over_since = over.then(|| self.over_since.unwrap_or(now));
        self.move_share(now, calm);
        self.tell(rows, traits)
    }

    fn move_share(&mut self, now: MonoTime, calm: bool) {
        if now.since(self.changed) < self.policy.step {
            return;
        }
        let patience = self.policy.patience;
        let share = match self.over_since {
            Some(since) if now.since(since) >= patience => self.share / 2,
            None if calm => self.share.saturating_add(RISE).min(FULL_SHARE),
            _ => self.share,
        };
        // Below this a filler all but stands still; then it may as well.
        let share = if share < 8 && share < self.share { 0 } else { share };
        if share != self.share {
            self.share = share;
            self.changed = now;
        }
    }

    fn tell(
        &mut self,
        rows: &[RunningRow],
        traits: &BTreeMap<RunName, RunTraits>,
    ) -> Vec<(RunName, u8)> {
        let filler = |run: &RunName| traits.get(run).is_some_and(|traits| traits.filler);
        let running = rows.iter().map(|row| row.run).filter(filler);
        let running: Vec<RunName> = running.collect();
        self.told.retain(|run, _| running.contains(run));
        let mut changes = Vec::new();
        for run in running {
            let told = self.told.insert(run, self.share);
            if told.unwrap_or(FULL_SHARE) != self.share {
                changes.push((run, self.share));
            }
        }
        changes
    }
}
