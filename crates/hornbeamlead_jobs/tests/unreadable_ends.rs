//! Ends in a report that follow one that could not be decoded.

mod world;

use hornbeamlead_emulator::store::EmulatedStore;
use hornbeamlead_jobs::effect::LinkId;
use hornbeamlead_jobs::ids::{PlannerEpoch, RunName, WorkerIncarnation};
use hornbeamlead_jobs::job::RunEnd;
use hornbeamlead_jobs::message::{AgentMessage, HostReport, PlannerMessage};
use hornbeamlead_jobs::planner::PlannerEvent;
use hornbeamlead_jobs::worker::{EndedRow, WorkerFacts};
use rstest::rstest;
use std::net::SocketAddr;
use world::lone::LonePlanner;

const LINK: LinkId = LinkId(1);

/// Time at which the planner starts, in milliseconds.
const START_MS: u64 = 10_000;

fn tell(planner: &mut LonePlanner, message: AgentMessage) {
    planner.handle(PlannerEvent::Agent {
        link: LINK,
        message,
    });
}

fn active_planner() -> LonePlanner {
    let mut planner = LonePlanner::new(EmulatedStore::default(), START_MS);
    planner.run(1000);
    assert!(planner.is_active());
    let hello = AgentMessage::Hello {
        host: "h2".into(),
        address: SocketAddr::from(([10, 0, 0, 2], 7000)),
        epoch: PlannerEpoch(0),
    };
    tell(&mut planner, hello);
    planner
}

fn ended_row(number: u64) -> EndedRow {
    EndedRow {
        number,
        run: RunName::default(),
        end: RunEnd::Done,
        saved: None,
    }
}

/// Guards against ends that are never acknowledged, because one that follows them must not be.
#[rstest]
#[case(&[5, EndedRow::UNACKNOWLEDGEABLE], 5)]
#[case(&[EndedRow::UNACKNOWLEDGEABLE], 0)]
#[case(&[5, 6], 6)]
fn acknowledged_through(#[case] numbers: &[u64], #[case] expected: u64) {
    let mut planner = active_planner();
    let incarnation = WorkerIncarnation {
        id: "i-2".into(),
        born: 7,
    };
    let report = HostReport {
        worker: Some(WorkerFacts {
            incarnation: incarnation.clone(),
            ..WorkerFacts::default()
        }),
        listed: true,
        ended: numbers.iter().copied().map(ended_row).collect(),
        ..HostReport::default()
    };
    tell(&mut planner, AgentMessage::Report(Box::new(report)));
    planner.run(500);
    let acknowledgement = PlannerMessage::Acknowledge {
        incarnation,
        through: expected,
    };
    let sent = planner.sent.iter().map(|(_, message)| message);
    let mut acknowledgements =
        sent.filter(|message| matches!(message, PlannerMessage::Acknowledge { .. }));
    assert_eq!(acknowledgements.next(), Some(&acknowledgement));
    assert_eq!(acknowledgements.next(), None);
}
