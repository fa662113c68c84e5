//! Notes at an entry: read in time, found again after retention, asked of agents, passed on.

mod common;

use bytes::Bytes;
use common::{address, announce, announced, at, centre, note};
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::effect::EntryEffect;
use hornbeamlead_core::event::{EntryEvent, NoteEntry, NoteRecord};
use hornbeamlead_core::ids::{LinkId, LogOffset, Revision};
use hornbeamlead_core::message::request::LinkMessage;
use hornbeamlead_core::policy::EntryPolicy;
use hornbeamlead_core::record::{LogBatch, LogError, LogRecord, RawRecord};
use hornbeamlead_request::entry::EntryMachine;

fn entry() -> EntryMachine {
    EntryMachine::new(common::place("entry-1", 100, 1), EntryPolicy::default())
}

fn record(offset: u64) -> LogRecord<NoteRecord> {
    LogRecord {
        offset: LogOffset(offset),
        record: NoteRecord {
            entry: Some(NoteEntry::Note(note(&["negombo"], &[]))),
            raw: RawRecord {
                offset: LogOffset(offset),
                payload: Bytes::from_static(b"note"),
            },
        },
    }
}

fn read(result: Result<LogBatch<NoteRecord>, LogError>) -> EntryEvent {
    EntryEvent::NotesRead {
        began: MonoTime(0),
        result,
    }
}

fn batch(records: Vec<LogRecord<NoteRecord>>, next: u64) -> LogBatch<NoteRecord> {
    LogBatch {
        oldest: LogOffset(0),
        next: LogOffset(next),
        records,
    }
}

fn wanted(effects: &[EntryEffect]) -> Option<u64> {
    effects.iter().find_map(|effect| match effect {
        EntryEffect::ReadNotes { from } => Some(from.0),
        _ => None,
    })
}

fn newer_agent(sequence: u64) -> EntryEvent {
    let mut agent = announce("a", 210, sequence);
    agent.revision = Revision(5);
    announced(agent)
}

fn asks(effects: &[EntryEffect]) -> bool {
    let ask = EntryEffect::SendLink {
        to: address(210),
        message: LinkMessage::NotesRequest(Revision(0)),
    };
    effects.contains(&ask)
}

#[test]
fn read_each_interval() {
    let mut entry = entry();
    assert_eq!(
        wanted(&entry.handle(at(0), EntryEvent::TimerFired)),
        Some(0)
    );
    assert_eq!(wanted(&entry.handle(at(400), EntryEvent::TimerFired)), None);
    entry.handle(at(400), read(Ok(batch(vec![record(0)], 1))));
    assert!(entry.fleet().in_service(&centre("negombo")));
    assert_eq!(wanted(&entry.handle(at(899), EntryEvent::TimerFired)), None);
    assert_eq!(
        wanted(&entry.handle(at(900), EntryEvent::TimerFired)),
        Some(1)
    );
}

#[test]
fn more_read_at_once() {
    let mut entry = entry();
    entry.handle(at(0), EntryEvent::TimerFired);
    let effects = entry.handle(at(10), read(Ok(batch(vec![record(0)], 9))));
    assert_eq!(wanted(&effects), Some(1));
}

#[test]
fn place_found_again() {
    let mut entry = entry();
    entry.handle(at(0), EntryEvent::TimerFired);
    let oldest = LogOffset(40);
    let effects = entry.handle(at(10), read(Err(LogError::Truncated { oldest })));
    assert_eq!(wanted(&effects), Some(40));
}

#[test]
fn agents_asked_in_outage() {
    let mut entry = entry();
    entry.handle(at(0), EntryEvent::TimerFired);
    entry.handle(at(10), read(Err(LogError::Unavailable)));
    assert!(!entry.status(at(10)).log_up);
    assert!(asks(&entry.handle(at(20), newer_agent(1))));
    assert!(!asks(&entry.handle(at(500), newer_agent(2))));
    assert!(asks(&entry.handle(at(1100), newer_agent(3))));
    entry.handle(at(1200), EntryEvent::NotesForwarded(vec![record(0)]));
    assert_eq!(entry.fleet().revision(), Revision(1));
}

#[test]
fn notes_passed_on() {
    let mut entry = entry();
    entry.handle(at(0), EntryEvent::TimerFired);
    entry.handle(at(10), read(Ok(batch(vec![record(0)], 1))));
    let event = EntryEvent::NotesRequested {
        link: LinkId(4),
        from: Revision(0),
    };
    let effects = entry.handle(at(20), event);
    let passed = effects.iter().any(|effect| match effect {
        EntryEffect::ReplyLink {
            link: LinkId(4),
            message: LinkMessage::Notes(copies),
        } => copies.len() == 1,
        _ => false,
    });
    assert!(passed);
}
