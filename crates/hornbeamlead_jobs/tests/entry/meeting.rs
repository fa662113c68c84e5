//! Entries and the agents that pass notices between them, over links as between processes.

use super::TestEntry;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_jobs::effect::{Effect, LinkId};
use hornbeamlead_jobs::entry::EntryEvent;
use hornbeamlead_jobs::notice::NoticeMessage;
use hornbeamlead_jobs::notice_board::{NoticeBoard, NoticeEvent};
use hornbeamlead_jobs::record::{PlanRecord, decode, encode};
use std::net::SocketAddr;

/// Ends of a link: the entry's number and its id of the link, and the agent's number and its id.
type LinkEnds = (usize, LinkId, usize, LinkId);

struct TestBoard {
    board: NoticeBoard,
    /// Whether frames in both directions are lost.
    silent: bool,
}

struct MeetingEntry {
    entry: TestEntry,
    /// Effects that were carried out.
    carried_out: usize,
    plan_end: u64,
    killed: bool,
}

/// Entries and agents, each with a clock of its own.
pub(crate) struct TestMeeting {
    boards: Vec<TestBoard>,
    entries: Vec<MeetingEntry>,
    now_ms: u64,
    links: Vec<LinkEnds>,
}

fn address(board: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, board as u8 + 1], 7000))
}

impl TestMeeting {
    /// Starts an agent for each item, which states whether its frames are lost.
    pub(crate) fn new(silent: &[bool]) -> Self {
        let board = |&silent: &bool| TestBoard {
            board: NoticeBoard::default(),
            silent,
        };
        Self {
            boards: silent.iter().map(board).collect(),
            entries: Vec::new(),
            now_ms: 500_000,
            links: Vec::new(),
        }
    }

    /// Starts an entry that has read of the agents in the plan, and returns its number.
    pub(crate) fn start_entry(&mut self) -> usize {
        let mut entry = TestEntry::ready();
        for board in 0..self.boards.len() {
            let (host, address) = (format!("h{board}").into(), address(board));
            let record = encode(&PlanRecord::Host { host, address });
            entry.plan_record(board as u64 + 1, record);
        }
        self.entries.push(MeetingEntry {
            entry,
            carried_out: 0,
            plan_end: self.boards.len() as u64 + 1,
            killed: false,
        });
        self.exchange();
        self.entries.len() - 1
    }

    pub(crate) fn entry(&mut self, number: usize) -> &mut TestEntry {
        &mut self.entries[number].entry
    }

    /// Ends an entry and its links.
    pub(crate) fn kill(&mut self, number: usize) {
        self.entries[number].killed = true;
        for (entry, _, board, link) in self.links.clone() {
            if entry == number {
                self.notify_board(board, NoticeEvent::Closed(link));
            }
        }
    }

    /// Has an agent lose all frames, or no more.
    pub(crate) fn silence(&mut self, board: usize, silent: bool) {
        self.boards[board].silent = silent;
    }

    /// Restarts an agent, which ends its links.
    pub(crate) fn restart(&mut self, board: usize) {
        self.boards[board].board = NoticeBoard::default();
        for (number, link, other, _) in self.links.clone() {
            if other == board {
                self.entry(number).handle(EntryEvent::LinkClosed(link));
            }
        }
    }

    /// Has an entry read the newest heartbeat of the planner.
    pub(crate) fn read_plan(&mut self, number: usize) {
        let meeting_entry = &mut self.entries[number];
        meeting_entry
            .entry
            .planner_heartbeat(meeting_entry.plan_end);
        meeting_entry.plan_end += 1;
    }

    /// Advances all clocks.
    pub(crate) fn pass(&mut self, span_ms: u64) {
        self.now_ms += span_ms;
        for meeting_entry in &mut self.entries {
            meeting_entry.entry.now_ms += span_ms;
        }
    }

    /// Carries out what the processes request of one another until nothing is left.
    pub(crate) fn exchange(&mut self) {
        for meeting_entry in self.entries.iter_mut().filter(|it| !it.killed) {
            meeting_entry.entry.tick();
        }
        for board in 0..self.boards.len() {
            self.notify_board(board, NoticeEvent::Tick);
        }
        while let Some((number, effect)) = self.next_effect() {
            self.perform(number, effect);
        }
    }

    fn next_effect(&mut self) -> Option<(usize, Effect)> {
        let is_left = |it: &MeetingEntry| !it.killed && it.carried_out < it.entry.effects.len();
        let number = self.entries.iter().position(is_left)?;
        let meeting_entry = &mut self.entries[number];
        let effect = meeting_entry.entry.effects[meeting_entry.carried_out].clone();
        meeting_entry.carried_out += 1;
        Some((number, effect))
    }

    fn perform(&mut self, number: usize, effect: Effect) {
        match effect {
            Effect::Dial { link, address, .. } => {
                let board = (0..self.boards.len()).find(|it| self::address(*it) == address);
                let board = board.expect("an agent of the plan");
                let there = LinkId((1 << 57) + self.links.len() as u64);
                self.links.push((number, link, board, there));
                self.entry(number).handle(EntryEvent::LinkOpened(link));
                self.entry(number).tick();
            }
            Effect::Notices { link, message } => {
                let (board, link) = self.board_end(number, link);
                let message = sent(&message);
                self.notify_board(board, NoticeEvent::Message { link, message });
            }
            Effect::CloseLink { link } => {
                let (board, link) = self.board_end(number, link);
                self.notify_board(board, NoticeEvent::Closed(link));
            }
            _ => {}
        }
    }

    fn board_end(&self, number: usize, link: LinkId) -> (usize, LinkId) {
        let mut links = self.links.iter();
        let ends = links.find(|it| (it.0, it.1) == (number, link));
        let (_, _, board, there) = ends.expect("a link of the entry");
        (*board, *there)
    }

    fn notify_board(&mut self, board: usize, event: NoticeEvent) {
        let now = MonoTime(self.now_ms * 1000);
        if self.boards[board].silent {
            return;
        }
        for effect in self.boards[board].board.handle(now, event) {
            let (link, message) = match effect {
                Effect::Notices { link, message } => (link, Some(sent(&message))),
                Effect::CloseLink { link } => (link, None),
                _ => continue,
            };
            let mut links = self.links.iter();
            let ends = links.find(|it| (it.2, it.3) == (board, link));
            let &(number, link, ..) = ends.expect("a link of the agent");
            match message {
                _ if self.entries[number].killed => {}
                Some(message) => self
                    .entry(number)
                    .handle(EntryEvent::Notices { link, message }),
                None => self.entry(number).handle(EntryEvent::LinkClosed(link)),
            }
        }
    }
}

/// Returns a message as the other process decodes it.
fn sent(message: &NoticeMessage) -> NoticeMessage {
    decode(&encode(message)).expect("a message decodes")
}
