//! State and processor time of an entry as the number of its known agents grows.

use super::allocation::{measure_allocation, measure_time};
use super::messages::announce;
use super::samples::{
    SAMPLE_CLOCK, SAMPLE_INCARNATION, SAMPLE_WALL, address, measure_error, name, note, service,
    size,
};
use crate::report::{MeasureError, ReportTable};
use hornbeamlead_core::clock::ClockReading;
use hornbeamlead_core::effect::EntryEffect;
use hornbeamlead_core::event::{EntryEvent, NoteEntry, NoteRecord};
use hornbeamlead_core::ids::{CallerTicket, LogOffset};
use hornbeamlead_core::message::control::ControlMessage;
use hornbeamlead_core::message::request::{
    CallerRequest, EndpointAnswer, ForwardedRequest, LinkMessage, LoadSample, RequestOutcome,
    RequestReply, RequestSafety,
};
use hornbeamlead_core::note::{DataCentreSpec, ReleaseNote, ServiceSpec};
use hornbeamlead_core::policy::{EntryPolicy, ProcessIdentity};
use hornbeamlead_core::record::{LogRecord, RawRecord};
use hornbeamlead_request::entry::EntryMachine;
use std::net::SocketAddr;
use std::time::Duration;

/// Measured numbers of agents.
const AGENT_COUNTS: [usize; 5] = [11, 100, 1_000, 4_000, 14_000];

/// Number of announcements over which the time of one is averaged.
const TIMED_ANNOUNCES: usize = 2_000;

/// Number of requests over which the time of one is averaged.
const TIMED_REQUESTS: usize = 2_000;

/// Measures memory, the time to handle one announcement, and the time to handle one request and its
/// reply.
///
/// # Errors
/// Returns [`MeasureError`] when a sample request was not answered.
pub(crate) fn measure() -> Result<ReportTable, MeasureError> {
    let columns = [
        "agents known",
        "state KiB",
        "announcement us",
        "next after ms",
        "request us",
    ];
    let mut table = ReportTable::new("entry", &columns);
    for agents in AGENT_COUNTS {
        table.push(measure_at(agents)?);
    }
    Ok(table)
}

fn measure_at(agents: usize) -> Result<[String; 5], MeasureError> {
    let (mut entry, state_bytes) = measure_allocation(|| fill_entry(agents));
    let mut next_announce = Duration::ZERO;
    let announce_time = measure_time(|| {
        for number in 0..TIMED_ANNOUNCES {
            next_announce = announce_again(&mut entry, number % agents, number / agents + 1);
        }
    });
    let mut unanswered = 0;
    let request_time = measure_time(|| {
        for number in 0..TIMED_REQUESTS {
            unanswered += usize::from(!exchange_request(&mut entry, number));
        }
    });
    if unanswered > 0 {
        return Err(measure_error(format!(
            "{unanswered} sample requests had no answer"
        )));
    }
    Ok([
        agents.to_string(),
        (state_bytes / 1024).to_string(),
        format!("{:.1}", micros_each(announce_time, TIMED_ANNOUNCES)),
        next_announce.as_millis().to_string(),
        format!("{:.1}", micros_each(request_time, TIMED_REQUESTS)),
    ])
}

fn micros_each(elapsed: Duration, count: usize) -> f64 {
    elapsed.as_secs_f64() * 1e6 / count as f64
}

fn now() -> ClockReading {
    ClockReading {
        mono: SAMPLE_CLOCK,
        wall: SAMPLE_WALL,
    }
}

fn identity() -> ProcessIdentity {
    ProcessIdentity {
        host: name("entry-001"),
        incarnation: SAMPLE_INCARNATION,
        data_centre: name("negombo"),
        rack: name("negombo-r1"),
        link_address: address(60_000),
        control_address: address(60_000),
        operator_address: address(60_001),
        seed: 1,
    }
}

fn fill_entry(agents: usize) -> EntryMachine {
    let mut entry = EntryMachine::new(identity(), EntryPolicy::default());
    entry.handle(now(), EntryEvent::NotesForwarded(vec![service_record()]));
    for number in 0..agents {
        announce_again(&mut entry, number, 0);
    }
    entry
}

fn service_record() -> LogRecord<NoteRecord> {
    let offset = LogOffset(0);
    let raw = RawRecord {
        offset,
        payload: bytes::Bytes::new(),
    };
    let entry = Some(NoteEntry::Note(service_note()));
    LogRecord {
        offset,
        record: NoteRecord { entry, raw },
    }
}

fn service_note() -> ReleaseNote {
    let mut note = note("services");
    note.added.data_centres.push(DataCentreSpec {
        name: name("negombo"),
        in_service: true,
    });
    note.added.services = (0..7).map(declared_service).collect();
    note
}

fn declared_service(number: usize) -> ServiceSpec {
    ServiceSpec {
        name: service(number),
        reserve: size(1),
        default_timeout: Duration::from_secs(2),
        max_timeout: Duration::from_secs(10),
    }
}

fn announce_again(entry: &mut EntryMachine, number: usize, round: usize) -> Duration {
    let mut announce = announce(number, None);
    announce.sequence += u64::try_from(round).unwrap_or_default();
    let message = ControlMessage::Announce(announce);
    let effects = entry.handle(
        now(),
        EntryEvent::Datagram {
            from: address(number),
            message,
        },
    );
    effects.iter().find_map(next_after).unwrap_or_default()
}

fn next_after(effect: &EntryEffect) -> Option<Duration> {
    match effect {
        EntryEffect::SendDatagram {
            message: ControlMessage::AnnounceReply(reply),
            ..
        } => Some(reply.next_after),
        _ => None,
    }
}

/// Handles a request and its reply; returns whether the caller was answered.
fn exchange_request(entry: &mut EntryMachine, number: usize) -> bool {
    let ticket = CallerTicket(u64::try_from(number).unwrap_or_default());
    let request = CallerRequest {
        service: service(number % 7),
        method: "GET".into(),
        path: "/casks/17".into(),
        headers: Vec::new(),
        body: bytes::Bytes::new(),
        safety: RequestSafety::Idempotent,
        key: None,
    };
    let requested = EntryEvent::CallerRequested {
        ticket,
        request,
        deadline: None,
    };
    let forwarded = entry.handle(now(), requested);
    let Some((from, request)) = forwarded.iter().find_map(forwarded_request) else {
        return false;
    };
    let reply = RequestReply {
        id: request.id.clone(),
        outcome: RequestOutcome::Answered(EndpointAnswer {
            status: 200,
            headers: Vec::new(),
            body: bytes::Bytes::new(),
        }),
        load: LoadSample {
            slots: 8,
            service_time_us: 20_000,
            ..LoadSample::default()
        },
    };
    let answered = entry.handle(now(), EntryEvent::Replied { from, reply });
    answered
        .iter()
        .any(|effect| matches!(effect, EntryEffect::AnswerCaller { .. }))
}

fn forwarded_request(effect: &EntryEffect) -> Option<(SocketAddr, &ForwardedRequest)> {
    match effect {
        EntryEffect::SendLink {
            to,
            message: LinkMessage::Request(request),
        } => Some((*to, request)),
        _ => None,
    }
}
