//! Signals that arrive while a process is starting.

use hornbeamlead_emulator::process::{ProcessExit, ProcessRole, SoakNetwork, SoakProcess};
use rustix::process::Signal;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Process starts per test. A fault would show only if the signal falls into the short time between
/// opening the listener and installing the signal handlers.
const STARTS: usize = 10;

/// Timeout for a process to open its listener or to exit, also on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Starts an entry whose store address refuses connections.
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

fn await_listener(entry: &SoakProcess) {
    let deadline = Instant::now() + TIMEOUT;
    while TcpStream::connect(entry.callers_address()).is_err() {
        assert!(Instant::now() < deadline, "no listener");
    }
}

fn await_end(entry: &mut SoakProcess) -> Option<ProcessExit> {
    let deadline = Instant::now() + TIMEOUT;
    while Instant::now() < deadline {
        if let Some(end) = entry.take_exit() {
            return Some(end);
        }
        sleep(Duration::from_millis(5));
    }
    None
}

/// SIGTERM stops a process gracefully as soon as its listener accepts connections. A listener that
/// opens before the handlers are installed lets the signal kill the process.
#[test]
fn terminate_during_start() {
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

/// SIGHUP does not end a process that is still starting.
#[test]
fn reload_during_start() {
    let directory = tempfile::tempdir().expect("a directory");
    for _ in 0..STARTS {
        let mut entry = start_entry(directory.path());
        await_listener(&entry);
        entry.signal(Signal::HUP);
        sleep(Duration::from_millis(100));
        assert_eq!(entry.take_exit(), None);
    }
}
