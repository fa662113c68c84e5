//! Reports name attempts without progress, also to and from versions that do not know these.

use hornbeamlead_jobs::message::{AgentMessage, HostReport, IdleRow, IdleRuns};
use hornbeamlead_jobs::record::{decode, encode};
use std::time::Duration;

fn report(idle: Vec<IdleRow>) -> AgentMessage {
    AgentMessage::Report(Box::new(HostReport {
        orders_seen: 3,
        idle: IdleRuns(idle),
        ..HostReport::default()
    }))
}

#[test]
fn idle_decoded() {
    let idle = IdleRow {
        row: 2,
        idle_ms: 700,
    };
    let bytes = encode(&report(vec![idle]));
    assert_eq!(decode(&bytes), Ok(report(vec![idle])));
    let runs = IdleRuns(vec![idle]);
    let spans = [0, 2].map(|row| runs.idle_span(row).as_millis());
    assert_eq!(spans, [0, 700]);
    assert_eq!(runs.idle_span(3), Duration::ZERO);
}

/// Earlier versions send what precedes the idle attempts, and ignore what follows it.
#[test]
fn earlier_decoded() {
    let bytes = encode(&report(Vec::new()));
    let (_, earlier) = bytes.split_last().expect("a report has bytes");
    assert_eq!(decode(earlier), Ok(report(Vec::new())));
    let idle = IdleRow { row: 0, idle_ms: 9 };
    assert!(encode(&report(vec![idle])).starts_with(earlier));
}
