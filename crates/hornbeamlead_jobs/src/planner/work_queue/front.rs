//! First steps of the queue, which a pass considers.

use super::{ReadyKey, WorkQueue, ready_key};
use std::collections::BTreeSet;
use std::ops::Bound;

/// Most steps that a pass considers. Half of them are the first in order, the others follow where the
/// pass before has stopped, so that a step that fits nowhere does not hide others for long.
const MAX_FRONT_STEPS: usize = 512;

/// Most steps of one lane that a pass considers.
const MAX_LANE_STEPS: usize = 64;

/// Steps of jobs with too little running that a pass considers.
const MAX_SHORT_STEPS: usize = 128;

/// Steps that a pass considers.
#[derive(Clone, Debug, Default)]
pub(in crate::planner) struct QueueFront {
    /// Steps in scheduling order.
    pub(in crate::planner) keys: Vec<ReadyKey>,
    /// First steps of jobs that are too late to have any value and of which hardly anything runs. They
    /// come before the other steps of such jobs, if one of these is wide.
    pub(in crate::planner) short: Vec<ReadyKey>,
    /// Whether steps were left out.
    pub(in crate::planner) is_cut: bool,
    /// Whether the next pass goes on with steps that this one has not reached.
    pub(in crate::planner) has_rest: bool,
}

impl QueueFront {
    /// Returns the steps in scheduling order, and of each whether only as many tasks may start as any job
    /// may have. A step may come twice.
    pub(in crate::planner) fn in_order(&self) -> impl Iterator<Item = (&ReadyKey, bool)> {
        let is_of_value = |key: &&ReadyKey| !key.rank.is_without_value();
        let valuable = self.keys.iter().filter(is_of_value);
        let rest = self.keys.iter().filter(move |key| !is_of_value(key));
        let short = self.short.iter().map(|key| (key, true));
        let valuable = valuable.map(|key| (key, false));
        valuable.chain(short).chain(rest.map(|key| (key, false)))
    }
}

impl WorkQueue {
    /// Returns the steps that a pass considers.
    pub(in crate::planner) fn front(&mut self) -> QueueFront {
        let most_short = if self.wide.is_empty() {
            0
        } else {
            MAX_SHORT_STEPS
        };
        let short = self.short_heads.iter().take(most_short);
        let mut front = QueueFront {
            short: short.copied().collect(),
            ..QueueFront::default()
        };
        let most = MAX_FRONT_STEPS / 2;
        let Some(last) = self.add_front(&mut front, Bound::Unbounded, most) else {
            self.resume = None;
            return front;
        };
        front.is_cut = true;
        let from = self.resume.map_or(last, |resume| resume.max(last));
        self.resume = self.add_front(&mut front, Bound::Excluded(from), MAX_FRONT_STEPS);
        front.has_rest = self.resume.is_some();
        front
    }

    /// Adds steps of the lanes whose first steps follow a bound. Returns the last of these first steps
    /// if others follow it.
    fn add_front(
        &self,
        front: &mut QueueFront,
        from: Bound<ReadyKey>,
        most: usize,
    ) -> Option<ReadyKey> {
        let mut heads = self.heads.range((from, Bound::Unbounded)).peekable();
        let mut later = BTreeSet::<(ReadyKey, usize)>::new();
        let mut last_head = None;
        while front.keys.len() < most {
            let is_head_next = match (heads.peek(), later.first()) {
                (Some(head), Some((key, _))) => *head < key,
                (Some(_), None) => true,
                (None, Some(_)) => false,
                (None, None) => return None,
            };
            let (key, rank_in_lane) = match is_head_next {
                true => {
                    last_head = heads.next().copied();
                    (last_head?, 1)
                }
                false => later.pop_first()?,
            };
            front.keys.push(key);
            let next = self.next_in_lane(key);
            if rank_in_lane < MAX_LANE_STEPS {
                later.extend(next.map(|next| (next, rank_in_lane + 1)));
            } else {
                front.is_cut |= next.is_some();
            }
        }
        front.is_cut |= !later.is_empty();
        heads.peek().and(last_head)
    }

    fn next_in_lane(&self, key: ReadyKey) -> Option<ReadyKey> {
        let lane = (key.job, key.step);
        let after = (
            Bound::Excluded((key.rank, key.occurrence)),
            Bound::Unbounded,
        );
        let next = self.lanes.get(&lane)?.range(after).next();
        next.map(|&(rank, occurrence)| ready_key(lane, rank, occurrence))
    }
}
