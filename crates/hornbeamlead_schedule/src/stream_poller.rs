//! Polling of one stream: one read at a time, at an interval or immediately on request.

use crate::event_context::EventContext;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::effect::AgentEffect;
use hornbeamlead_core::ids::LogOffset;
use hornbeamlead_core::record::StreamName;
use std::time::Duration;

/// Time after which a read counts as lost: the timeout of the call and the longest wait for the
/// decision thread, with a margin. A late answer does no harm, as records are taken once.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Schedule of the reads of one stream.
#[derive(Clone, Debug)]
pub(crate) struct StreamPoller {
    stream: StreamName,
    due: MonoTime,
    /// Time at which the read in flight counts as lost.
    lost_at: Option<MonoTime>,
    /// Whether to read again as soon as the read in flight completes.
    repoll: bool,
    /// Start of the newest read that reached the tail without a gap.
    tail_read_at: Option<MonoTime>,
    available: bool,
}

impl StreamPoller {
    /// Creates a poller whose first read is due immediately.
    pub(crate) fn new(stream: StreamName) -> Self {
        Self {
            stream,
            due: MonoTime(0),
            lost_at: None,
            repoll: false,
            tail_read_at: None,
            available: false,
        }
    }

    /// Returns the start of the newest read that reached the tail.
    pub(crate) fn tail_read_at(&self) -> Option<MonoTime> {
        self.tail_read_at
    }

    /// Returns whether the log answered the last read.
    pub(crate) fn is_available(&self) -> bool {
        self.available
    }

    /// Returns when the next read is due, at the latest.
    pub(crate) fn due(&self) -> MonoTime {
        self.lost_at.unwrap_or(self.due)
    }

    /// Makes the next read due immediately.
    pub(crate) fn poll_now(&mut self) {
        self.due = MonoTime(0);
        self.repoll = self.lost_at.is_some();
    }

    /// Issues a read if one is due.
    pub(crate) fn start(&mut self, from: LogOffset, context: &mut EventContext<'_>) {
        if context.mono() < self.due() {
            return;
        }
        self.lost_at = Some(context.mono().plus(READ_TIMEOUT));
        context.emit(AgentEffect::ReadLog {
            stream: self.stream.clone(),
            from,
        });
    }

    /// Records a completed read; one that stopped short of the tail is followed immediately.
    pub(crate) fn finish(
        &mut self,
        began: MonoTime,
        at_tail: bool,
        now: MonoTime,
        interval: Duration,
    ) {
        self.lost_at = None;
        self.available = true;
        if at_tail {
            self.tail_read_at = self.tail_read_at.max(Some(began));
        }
        let repoll = std::mem::take(&mut self.repoll);
        self.due = match at_tail && !repoll {
            true => now.plus(interval),
            false => now,
        };
    }

    /// Records a read that the log did not answer.
    pub(crate) fn fail(&mut self, now: MonoTime, interval: Duration) {
        self.lost_at = None;
        self.available = false;
        self.due = now.plus(interval);
    }
}
