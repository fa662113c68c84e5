//! Small fleet and helpers that inspect its processes from outside.

use super::{open_service, plan, service};
use hornbeamlead_standin::fleet::{Fleet, FleetMember, WAIT_TIMEOUT};
use hornbeamlead_standin::worker::history::RequestRun;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

/// Starts one entry and one agent and waits until requests pass.
pub(crate) fn small_fleet() -> Fleet {
    let fleet = plan().data_centre("negombo", 1).start();
    open_service(&fleet);
    fleet
}

/// Declares another service and returns the log offset of the note.
pub(crate) fn declare_service(fleet: &Fleet, name: &str, note: &str) -> u64 {
    let added = json!({"services": [service(name)]});
    fleet.publish(note, &json!({"based_on": null, "added": added}))
}

/// Returns a process's count of a refusal reason.
pub(crate) fn refusal_count(member: &FleetMember, reason: &str) -> u64 {
    let status = member.status();
    status["counters"]["refusals"][reason].as_u64().unwrap_or(0)
}

/// Returns the runs of requests whose path ends with `end`.
pub(crate) fn runs_by_path(fleet: &Fleet, end: &str) -> Vec<RequestRun> {
    let runs = fleet.runs().into_iter().flat_map(|runs| runs.runs);
    runs.filter(|run| run.path.ends_with(end)).collect()
}

/// Sends bytes and reads until the peer closes the connection.
pub(crate) fn raw_exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    // The peer may answer and close before everything is written.
    let _ = stream.write_all(bytes);
    let mut answer = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(length) => answer.extend_from_slice(&buffer[..length]),
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => break,
            Err(error) => panic!("the connection was not closed: {error}"),
        }
    }
    String::from_utf8_lossy(&answer).into_owned()
}
