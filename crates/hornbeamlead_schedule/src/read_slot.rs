//! Pace of the reads of one stream: one at a time, at an interval, or at once when asked.

use crate::turn::TurnContext;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::effect::AgentEffect;
use hornbeamlead_core::ids::LogOffset;
use hornbeamlead_core::record::StreamName;
use std::time::Duration;

/// Pace of the reads of one stream.
#[derive(Clone, Debug)]
pub(crate) struct ReadSlot {
    stream: StreamName,
    due: MonoTime,
    open: bool,
    /// Whether another read is wanted as soon as the open one is done.
    again: bool,
    /// Clock before the newest read that reached the tail without a gap.
    tail_began: Option<MonoTime>,
    answered: bool,
}

impl ReadSlot {
    /// Makes a slot whose first read is due at once.
    pub(crate) fn new(stream: StreamName) -> Self {
        Self {
            stream,
            due: MonoTime(0),
            open: false,
            again: false,
            tail_began: None,
            answered: false,
        }
    }

    /// Returns when the newest read that reached the tail began.
    pub(crate) fn tail_began(&self) -> Option<MonoTime> {
        self.tail_began
    }

    /// Returns whether the last read was answered.
    pub(crate) fn is_up(&self) -> bool {
        self.answered
    }

    /// Returns when the next read is due; `None` while one is open.
    pub(crate) fn due(&self) -> Option<MonoTime> {
        (!self.open).then_some(self.due)
    }

    /// Asks for a read at once.
    pub(crate) fn hurry(&mut self) {
        self.due = MonoTime(0);
        self.again = self.open;
    }

    /// Starts a read if one is due.
    pub(crate) fn start(&mut self, from: LogOffset, turn: &mut TurnContext<'_>) {
        if self.open || turn.mono() < self.due {
            return;
        }
        self.open = true;
        turn.emit(AgentEffect::ReadLog {
            stream: self.stream.clone(),
            from,
        });
    }

    /// Notes an answered read; one that stopped short of the tail is followed by another at once.
    pub(crate) fn finish(
        &mut self,
        began: MonoTime,
        at_tail: bool,
        now: MonoTime,
        interval: Duration,
    ) {
        self.open = false;
        self.answered = true;
        if at_tail {
            self.tail_began = Some(began);
        }
        let again = std::mem::take(&mut self.again);
        self.due = match at_tail && !again {
            true => now.plus(interval),
            false => now,
        };
    }

    /// Notes a read that had no answer.
    pub(crate) fn fail(&mut self, now: MonoTime, interval: Duration) {
        self.open = false;
        self.answered = false;
        self.due = now.plus(interval);
    }
}
