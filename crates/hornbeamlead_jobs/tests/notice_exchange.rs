//! Entries tell one another, through agents, of jobs that may be stored.

mod entry;
mod world;

use entry::meeting::TestMeeting;
use entry::{TestEntry, refused, unanswered};
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_jobs::effect::{CallerReply, Effect, LinkId};
use hornbeamlead_jobs::entry::EntryEvent;
use hornbeamlead_jobs::notice::{MAX_NOTICES, NoticeMessage};
use hornbeamlead_jobs::notice_board::{NoticeBoard, NoticeEvent};
use hornbeamlead_jobs::record::{decode, encode};
use hornbeamlead_jobs::store::StoreCaller;
use proptest::prelude::*;

/// Step of all clocks, in milliseconds.
const STEP_MS: u64 = 500;

/// Time in seconds for which agents hold the notice of an entry that is gone.
const HOLD_S: u64 = 60;

/// Time in seconds after which a job is not stored late any more: its caller's wait of 3 s, and the
/// longest delay of an append.
const LATE_S: u64 = 13;

/// What happens to a notice on its way and afterwards.
#[derive(Clone, Copy, Debug)]
struct NoticeFate {
    /// Whether each of the agents loses all frames.
    silent: [bool; 3],
    /// Whether the first entry is killed once it has told.
    killed: bool,
    /// Whether the second entry starts only when the caller comes to it.
    late_start: bool,
    /// Whether the second entry reads the plan all the time.
    current: bool,
    /// Time in seconds from the notice to the second request.
    age_s: u64,
}

impl NoticeFate {
    /// Returns whether the second entry has to know that the job may be stored; `None` within 3 s of
    /// a bound, where both answers are right.
    fn is_known(self) -> Option<bool> {
        let near = |bound: u64| self.age_s.abs_diff(bound) <= 3;
        let is_heard = self.silent.contains(&false);
        match (self.late_start, self.killed, self.current) {
            _ if !is_heard => Some(false),
            (true, true, _) => (!near(HOLD_S)).then_some(self.age_s < HOLD_S),
            (true, false, _) | (false, _, false) => Some(true),
            (false, _, true) => (!near(LATE_S)).then_some(self.age_s < LATE_S),
        }
    }
}

fn notice_fate() -> impl Strategy<Value = NoticeFate> {
    let flags = (any::<bool>(), any::<bool>(), any::<bool>());
    (any::<[bool; 3]>(), flags, 0..90_u64).prop_map(
        |(silent, (killed, late_start, current), age_s)| NoticeFate {
            silent,
            killed,
            late_start,
            current,
            age_s,
        },
    )
}

/// Submits a job at one entry that gets no answer, and again at another while the store is away;
/// returns the second entry and the number of the request.
fn submit_elsewhere(fate: NoticeFate) -> (TestMeeting, usize, u64) {
    let mut meeting = TestMeeting::new(&fate.silent);
    let first = meeting.start_entry();
    let early = (!fate.late_start).then(|| meeting.start_entry());
    let ticket = meeting.entry(first).submit();
    meeting
        .entry(first)
        .stored(StoreCaller::Ticket(ticket), unanswered());
    meeting.exchange();
    if fate.killed {
        meeting.kill(first);
    }
    for _ in 0..fate.age_s * 1000 / STEP_MS {
        if let Some(second) = early.filter(|_| fate.current) {
            meeting.read_plan(second);
        }
        meeting.pass(STEP_MS);
        meeting.exchange();
    }
    let second = early.unwrap_or_else(|| meeting.start_entry());
    meeting.entry(second).stored(StoreCaller::Plan, refused());
    let again = meeting.entry(second).submit();
    (meeting, second, again)
}

fn is_refused(entry: &TestEntry, ticket: u64) -> bool {
    matches!(entry.reply(ticket), Some(CallerReply::Refused { .. }))
}

fn message(rows: &[(u64, u32)]) -> NoticeMessage {
    decode(&encode(&rows)).expect("rows are encoded as a message is")
}

proptest! {
    /// Lost and old notices: an entry that can know does not refuse, one that cannot refuses at once,
    /// and either answers.
    #[test]
    fn lost_or_old(fate in notice_fate()) {
        let (mut meeting, second, again) = submit_elsewhere(fate);
        let entry = meeting.entry(second);
        if let Some(known) = fate.is_known() {
            prop_assert_eq!(is_refused(entry, again), !known);
        }
        entry.stored(StoreCaller::Ticket(again), refused());
        entry.now_ms += 3000;
        entry.tick();
        prop_assert!(entry.reply(again).is_some());
    }

    #[test]
    fn numbers_survived(
        messages in prop::collection::vec(
            (0..3_u64, prop::collection::vec((any::<u64>(), any::<u32>()), 0..4)),
            0..6,
        ),
        now in any::<u64>(),
    ) {
        let mut board = NoticeBoard::default();
        let mut entry = TestEntry::ready();
        for (link, rows) in messages {
            let (link, message) = (LinkId(link), message(&rows));
            entry.handle(EntryEvent::Notices { link, message: message.clone() });
            board.handle(MonoTime(now), NoticeEvent::Message { link, message });
            board.handle(MonoTime::MAX, NoticeEvent::Tick);
        }
    }

    #[test]
    fn bytes_survived(bytes in prop::collection::vec(any::<u8>(), 0..40)) {
        if let Ok(message) = decode::<NoticeMessage>(&bytes) {
            let event = NoticeEvent::Message { link: LinkId(1), message };
            NoticeBoard::default().handle(MonoTime(1), event);
        }
    }
}

/// An agent holds a bounded number of notices and links.
#[test]
fn bounds_kept() {
    let mut board = NoticeBoard::default();
    let now = MonoTime(1);
    for first in 0..40_u64 {
        let rows: Vec<_> = (0..1000).map(|job| (first * 1000 + job, 10_000)).collect();
        let (link, message) = (LinkId(0), message(&rows));
        board.handle(now, NoticeEvent::Message { link, message });
    }
    let (link, message) = (LinkId(1), NoticeMessage::default());
    let answers = board.handle(now, NoticeEvent::Message { link, message });
    let held = answers.iter().map(|effect| match effect {
        Effect::Notices { message, .. } => message.late_jobs(now).count(),
        _ => 0,
    });
    assert_eq!(held.sum::<usize>(), 8192);
    assert_eq!(answers.len(), 8192 / MAX_NOTICES);
    let close = |link: u64| {
        let (link, message) = (LinkId(link), NoticeMessage::default());
        NoticeBoard::handle(&mut board, now, NoticeEvent::Message { link, message })
            .contains(&Effect::CloseLink { link })
    };
    let closed: Vec<_> = (2..1030).map(close).collect();
    assert_eq!(closed.iter().filter(|closed| **closed).count(), 1030 - 1024);
}

fn pass_s(meeting: &mut TestMeeting, span_s: u64) {
    for _ in 0..span_s * 1000 / STEP_MS {
        meeting.pass(STEP_MS);
        meeting.exchange();
    }
}

/// An agent of the version before does not answer: others take its place until it does.
#[test]
fn silent_replaced() {
    let mut meeting = TestMeeting::new(&[true, true, true, true, false]);
    let entry = meeting.start_entry();
    pass_s(&mut meeting, 6);
    assert_eq!(meeting.entry(entry).machine.notice_links(), 1);
    (0..4).for_each(|board| meeting.silence(board, false));
    pass_s(&mut meeting, 32);
    assert_eq!(meeting.entry(entry).machine.notice_links(), 3);
}

/// Agents that restart all at once have forgotten; the entries tell them again.
#[test]
fn agents_restarted() {
    let mut meeting = TestMeeting::new(&[false; 3]);
    let first = meeting.start_entry();
    let ticket = meeting.entry(first).submit();
    let caller = StoreCaller::Ticket(ticket);
    meeting.entry(first).stored(caller, unanswered());
    meeting.exchange();
    (0..3).for_each(|board| meeting.restart(board));
    pass_s(&mut meeting, 32);
    let second = meeting.start_entry();
    meeting.entry(second).stored(StoreCaller::Plan, refused());
    let again = meeting.entry(second).submit();
    assert!(!is_refused(meeting.entry(second), again));
}
