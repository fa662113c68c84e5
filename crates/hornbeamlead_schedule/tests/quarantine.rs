//! Hosts that fail all they start are closed, probed, and opened again.

use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::ids::{AttemptId, HostId, TaskId};
use hornbeamlead_core::task::TaskPhase;
use hornbeamlead_schedule::quarantine::QuarantineBook;

fn host() -> HostId {
    "negombo-01".parse().expect("valid name")
}

fn attempt(index: u32) -> AttemptId {
    let job = "season".parse().expect("valid name");
    AttemptId {
        task: TaskId { job, index },
        number: 1,
    }
}

fn fail(book: &mut QuarantineBook, index: u32, at: MonoTime) -> bool {
    book.judge(&host(), &attempt(index), TaskPhase::Failed, at)
}

#[test]
fn closed_then_probed() {
    let mut book = QuarantineBook::default();
    let start = MonoTime(1_000_000);
    assert!(!fail(&mut book, 1, start));
    assert!(!fail(&mut book, 1, start), "one attempt counts once");
    assert!(!fail(&mut book, 2, start));
    assert!(fail(&mut book, 3, start));
    assert!(book.is_closed(&host(), start));
    let later = MonoTime(12_000_000);
    assert!(!book.is_closed(&host(), later));
    assert!(book.is_probing(&host()));
    assert!(fail(&mut book, 4, later), "a failed probe closes at once");
    assert!(book.is_closed(&host(), MonoTime(25_000_000)));
}

#[test]
fn opened_by_success() {
    let mut book = QuarantineBook::default();
    for index in 0..3 {
        fail(&mut book, index, MonoTime(1));
    }
    book.judge(
        &host(),
        &attempt(9),
        TaskPhase::Finished,
        MonoTime(20_000_000),
    );
    assert!(!book.is_probing(&host()));
    assert!(!book.is_suspect(&host()));
}
