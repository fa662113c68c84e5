//! Encoded sizes of inner messages and log records.

use super::samples::{
    SAMPLE_CLOCK, SAMPLE_INCARNATION, address, attempt, host, name, order, size, status, view,
};
use crate::report::ReportTable;
use hornbeamlead_core::ids::{CellId, Epoch, Revision};
use hornbeamlead_core::message::control::{
    AgentAnnounce, AnnounceReply, ControlMessage, HeartbeatReply, HostHeartbeat, PromiseGrant,
    PromiseRequest, TaskCommand,
};
use hornbeamlead_core::message::request::LoadSample;
use hornbeamlead_core::record::{
    AttemptChange, AttemptRecord, CellEntry, CellRecord, JobEntry, JobRecord, TaskRange,
};
use hornbeamlead_wire::{encode_cell, encode_control, encode_job};
use std::time::Duration;

/// Size of the IPv4 and UDP headers of a datagram, in bytes.
pub(crate) const HEADER_BYTES: usize = 28;

/// Returns the size of a datagram with its headers, in bytes.
fn datagram(message: &ControlMessage) -> usize {
    encode_control(message).len() + HEADER_BYTES
}

/// Returns a heartbeat that reports `reported` attempts.
pub(crate) fn heartbeat(number: usize, reported: usize, whole: bool) -> HostHeartbeat {
    HostHeartbeat {
        host: name(&host(number)),
        incarnation: SAMPLE_INCARNATION,
        sequence: 100_000,
        clock: SAMPLE_CLOCK,
        epoch: Epoch(100_000),
        data_centre: name("negombo"),
        rack: name("negombo-r12"),
        link_address: address(number),
        capacity: size(16),
        admitted: size(12),
        revision: Revision(500_000),
        view: 1 << 40,
        table_digest: u64::MAX / 3,
        tasks: (0..reported).map(status).collect(),
        whole,
        service_p99_us: Some(25_000),
        leaving: false,
    }
}

fn heartbeat_reply(commands: Vec<TaskCommand>, members: Option<usize>) -> HeartbeatReply {
    HeartbeatReply {
        cell: CellId(211),
        planner: name(&host(17)),
        epoch: Epoch(100_000),
        sequence: 100_000,
        lease_until: Some(SAMPLE_CLOCK),
        revision: Revision(500_000),
        link_address: address(17),
        view: members.map(view),
        acknowledged: u64::MAX / 3,
        want_whole: false,
        commands,
    }
}

/// Returns an announcement, with the view of a cell if it has `members`.
pub(crate) fn announce(number: usize, members: Option<usize>) -> AgentAnnounce {
    AgentAnnounce {
        host: name(&host(number)),
        incarnation: SAMPLE_INCARNATION,
        sequence: 100_000,
        data_centre: name("negombo"),
        rack: name("negombo-r12"),
        cell: CellId(u32::try_from(number / 64).unwrap_or_default()),
        link_address: address(number),
        operator_address: address(number),
        services: (0..7)
            .map(|index| name(&format!("service-{index}")))
            .collect(),
        load: LoadSample {
            slots: 8,
            service_time_us: 20_000,
            ..LoadSample::default()
        },
        revision: Revision(500_000),
        view: members.map(view),
    }
}

fn start_record(starts: usize) -> CellRecord {
    let started = |number| AttemptRecord {
        attempt: attempt(number),
        change: AttemptChange::Started {
            host: name(&host(number)),
            resume_from: None,
        },
    };
    CellRecord {
        id: name("host-00017.1780000000000000.100000"),
        entry: CellEntry::Attempts {
            epoch: Epoch(100_000),
            changes: (0..starts).map(started).collect(),
        },
    }
}

fn claim_record() -> JobRecord {
    JobRecord {
        id: name("host-00017.1780000000000000.100000"),
        entry: JobEntry::Claim {
            cell: CellId(211),
            epoch: Epoch(100_000),
            range: TaskRange {
                job: name("seasoning-report-0412"),
                first: 20,
                count: 25,
            },
        },
    }
}

/// Measures all messages and records.
pub(crate) fn measure() -> ReportTable {
    let mut table = ReportTable::new("messages and records", &["message", "bytes"]);
    for (text, bytes) in datagrams() {
        table.push([text.to_owned(), bytes.to_string()]);
    }
    for starts in [1, 8, 32, 64] {
        let bytes = encode_cell(&start_record(starts)).len();
        table.push([format!("cell record, {starts} starts"), bytes.to_string()]);
    }
    table.push([
        "jobs record, claim".to_owned(),
        encode_job(&claim_record()).len().to_string(),
    ]);
    table
}

fn datagrams() -> Vec<(&'static str, usize)> {
    let heartbeat_message =
        |reported, whole| ControlMessage::Heartbeat(heartbeat(1, reported, whole));
    let start = |number| TaskCommand::Start {
        order: order(number),
        start_by: SAMPLE_CLOCK,
    };
    let reply = |starts: usize, members| {
        let commands = (0..starts).map(start).collect();
        ControlMessage::HeartbeatReply(heartbeat_reply(commands, members))
    };
    let announcement = |members| ControlMessage::Announce(announce(1, members));
    vec![
        (
            "heartbeat, nothing changed",
            datagram(&heartbeat_message(0, false)),
        ),
        (
            "heartbeat, 1 attempt changed",
            datagram(&heartbeat_message(1, false)),
        ),
        (
            "heartbeat, whole table of 20",
            datagram(&heartbeat_message(20, true)),
        ),
        ("heartbeat reply, no command", datagram(&reply(0, None))),
        ("heartbeat reply, 1 start", datagram(&reply(1, None))),
        ("heartbeat reply, view of 64", datagram(&reply(0, Some(64)))),
        ("announcement, no view", datagram(&announcement(None))),
        (
            "announcement, view of 64",
            datagram(&announcement(Some(64))),
        ),
        ("announcement reply", datagram(&announce_reply())),
        ("promise request", datagram(&promise_request())),
        ("promise grant", datagram(&promise_grant())),
    ]
}

fn announce_reply() -> ControlMessage {
    ControlMessage::AnnounceReply(AnnounceReply {
        entry: name("entry-003"),
        sequence: 100_000,
        revision: Revision(500_000),
        link_address: address(3),
        next_after: Duration::from_millis(500),
    })
}

fn promise_request() -> ControlMessage {
    ControlMessage::PromiseRequest(PromiseRequest {
        cell: CellId(211),
        planner: name(&host(17)),
        epoch: Epoch(100_000),
        clock: SAMPLE_CLOCK,
        incarnation: SAMPLE_INCARNATION,
    })
}

fn promise_grant() -> ControlMessage {
    ControlMessage::PromiseGrant(PromiseGrant {
        cell: CellId(211),
        successor: name(&host(40)),
        incarnation: SAMPLE_INCARNATION,
        epoch: Epoch(100_000),
        clock: SAMPLE_CLOCK,
        span: Duration::from_secs(3),
    })
}
