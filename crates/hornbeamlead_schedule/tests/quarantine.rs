//! Hosts on which attempts keep failing are quarantined, probed, and released after a success.

use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::ids::{AttemptId, HostId, TaskId};
use hornbeamlead_core::task::TaskPhase;
use hornbeamlead_schedule::quarantine::HostQuarantine;

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

fn fail(quarantine: &mut HostQuarantine, index: u32, at: MonoTime) -> bool {
    quarantine.record_end(&host(), &attempt(index), TaskPhase::Failed, at)
}

#[test]
fn quarantined_then_probed() {
    let mut quarantine = HostQuarantine::default();
    let start = MonoTime(1_000_000);
    assert!(!fail(&mut quarantine, 1, start));
    assert!(
        !fail(&mut quarantine, 1, start),
        "an attempt must be counted once"
    );
    assert!(!fail(&mut quarantine, 2, start));
    assert!(fail(&mut quarantine, 3, start));
    assert!(quarantine.is_quarantined(&host(), start));
    let later = MonoTime(12_000_000);
    assert!(!quarantine.is_quarantined(&host(), later));
    assert!(quarantine.is_probing(&host()));
    assert!(
        fail(&mut quarantine, 4, later),
        "a failed probe must quarantine the host immediately"
    );
    assert!(quarantine.is_quarantined(&host(), MonoTime(25_000_000)));
}

#[test]
fn released_by_success() {
    let mut quarantine = HostQuarantine::default();
    for index in 0..3 {
        fail(&mut quarantine, index, MonoTime(1));
    }
    quarantine.record_end(
        &host(),
        &attempt(9),
        TaskPhase::Finished,
        MonoTime(20_000_000),
    );
    assert!(!quarantine.is_probing(&host()));
    assert!(!quarantine.is_suspect(&host()));
}
