//! Signals that arrive while a process is starting.

use hornbeamlead_emulator::process::{ProcessExit, ProcessRole, SoakNetwork, SoakProcess};
use rustix::process::Signal;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Starts of a process in a test; the time between its listener and its signal handlers is short.
const STARTS: usize = 10;

/// Time in which a process opens its listener, or ends, also on a busy machine.
const PATIENCE: Duration = Duration::from_secs(20);

/// Starts an entry whose store nobody serves.
fn start_entry(directory: &Path) -> SoakProcess {
    let daemon = Path::new(env!("CARGO_BIN_EXE_hornbeamd"));
    let store = SocketAddr::from(([127, 0, 0, 1], 9));
    let network = SoakNetwork::default();
    let role = ProcessRole::Entry;
    let entry = SoakProcess::new(daemon, directory, network, 0, role, (store, None));
    let mut entry = entry.expect("settings are written");
    entry.start().expect("started");
    entry
}

/// Waits until callers can connect.
fn await_listener(entry: &SoakProcess) {
    let until = Instant::now() + PATIENCE;
    while TcpStream::connect(entry.callers_address()).is_err() {
        assert!(Instant::now() < until, "no listener");
    }
}

fn await_end(entry: &mut SoakProcess) -> Option<ProcessExit> {
    let until = Instant::now() + PATIENCE;
    while Instant::now() < until {
        if let Some(end) = entry.take_exit() {
            return Some(end);
        }
        sleep(Duration::from_millis(5));
    }
    None
}

/// From its first connection on, a process that is told to end does so in order.
#[test]
fn term_at_start() {
    let directory = tempfile::tempdir().expect("a directory");
    let mut entries = Vec::new();
    for _ in 0..STARTS {
        let mut entry = start_entry(directory.path());
        await_listener(&entry);
        entry.terminate();
        entries.push(entry);
    }
    for mut entry in entries {
        let end = await_end(&mut entry).expect("ended");
        assert!(end.status.success(), "{end:?}");
    }
}

/// A process that is told of changed settings while it starts goes on.
#[test]
fn hang_up_at_start() {
    let directory = tempfile::tempdir().expect("a directory");
    for _ in 0..STARTS {
        let mut entry = start_entry(directory.path());
        await_listener(&entry);
        entry.signal(Signal::HUP);
        sleep(Duration::from_millis(100));
        assert_eq!(entry.take_exit(), None);
    }
}
