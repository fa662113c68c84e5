//! Daemon process under test.

use rustix::process::{Pid, Signal, kill_process};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Timeout for a process to bind its listeners.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between checks of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Number of lines of output printed when a test fails.
const TAIL_LINES: usize = 40;

/// Addresses that a process has bound, by the listeners' names in its settings.
pub(crate) type BoundAddresses = BTreeMap<Box<str>, SocketAddr>;

/// Daemon process with its settings file and its output file.
#[derive(Debug)]
pub struct DaemonProcess {
    program: PathBuf,
    settings: PathBuf,
    output: PathBuf,
    child: Option<Child>,
    addresses: BoundAddresses,
}

impl DaemonProcess {
    /// Starts `hornbeamd` and waits until it has bound its listeners.
    pub(crate) fn start(program: &Path, settings: PathBuf) -> io::Result<Self> {
        let mut process = Self {
            program: program.into(),
            output: settings.with_extension("out"),
            settings,
            child: None,
            addresses: BTreeMap::new(),
        };
        process.restart()?;
        Ok(process)
    }

    /// Kills the process if it is running and starts it with the current settings file.
    pub(crate) fn restart(&mut self) -> io::Result<()> {
        self.kill();
        let output = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.output)?;
        let output_start = output.metadata()?.len();
        let child = spawn(&self.program, &self.settings, output)?;
        self.child = Some(child);
        self.addresses = self.wait_started(output_start)?;
        Ok(())
    }

    /// Returns the path of the settings file.
    pub(crate) fn settings_file(&self) -> &Path {
        &self.settings
    }

    /// Returns the address of a listener, by its name in the settings.
    ///
    /// # Panics
    /// Panics if the process has no such listener.
    #[must_use]
    pub fn address(&self, listener: &str) -> SocketAddr {
        match self.bound(listener) {
            Some(address) => address,
            None => panic!("{} has no {listener} listener", self.settings.display()),
        }
    }

    /// Returns the address of a listener, if the process has bound it.
    pub(crate) fn bound(&self, listener: &str) -> Option<SocketAddr> {
        self.addresses.get(listener).copied()
    }

    /// Returns the id of the process.
    ///
    /// # Panics
    /// Panics if the process was killed.
    #[must_use]
    pub fn id(&self) -> u32 {
        let child = self.child.as_ref();
        child.expect("the process was not killed").id()
    }

    /// Returns whether the process is running.
    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Kills the process (SIGKILL) and waits for its exit.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Both fail only if the process has exited already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Suspends the process (SIGSTOP) until [`Self::unfreeze`].
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a frozen process (SIGCONT).
    pub fn unfreeze(&self) {
        self.signal(Signal::CONT);
    }

    /// Requests a graceful stop (SIGTERM).
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits for the process to exit; returns `None` if it is still running after `timeout`.
    pub fn wait_exit(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + timeout;
        let child = self.child.as_mut()?;
        while Instant::now() < deadline {
            if let Ok(Some(status)) = child.try_wait() {
                return Some(status);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        None
    }

    /// Returns the output of all incarnations of the process.
    #[must_use]
    pub fn output(&self) -> String {
        std::fs::read_to_string(&self.output).unwrap_or_default()
    }

    /// Prints the last lines of output to standard error.
    pub(crate) fn print_tail(&self) {
        let output = self.output();
        let lines: Vec<&str> = output.lines().collect();
        let skipped = lines.len().saturating_sub(TAIL_LINES);
        eprintln!("--- {} ({skipped} earlier lines)", self.output.display());
        for line in &lines[skipped..] {
            eprintln!("{line}");
        }
    }

    fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.id()).ok().and_then(Pid::from_raw);
        let sent = id.map(|id| kill_process(id, signal));
        assert_eq!(
            sent,
            Some(Ok(())),
            "cannot send a signal to the daemon with settings {}",
            self.settings.display()
        );
    }

    fn wait_started(&mut self, output_start: u64) -> io::Result<BoundAddresses> {
        let deadline = Instant::now() + START_TIMEOUT;
        let output_start = usize::try_from(output_start).unwrap_or(usize::MAX);
        while Instant::now() < deadline && self.is_running() {
            let output = self.output();
            let written = output.get(output_start..).unwrap_or_default();
            let mut lines = written.lines();
            if let Some(line) = lines.find(|line| line.contains("event=started")) {
                return Ok(read_addresses(line));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        self.print_tail();
        Err(io::Error::other(format!(
            "daemon with settings {} did not start",
            self.settings.display()
        )))
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.print_tail();
        }
        self.kill();
    }
}

fn spawn(program: &Path, settings: &Path, output: File) -> io::Result<Child> {
    Command::new(program)
        .arg("--settings")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(output.try_clone()?)
        .stderr(output)
        .spawn()
}

/// Parses the `key=address` pairs of a log line.
fn read_addresses(line: &str) -> BoundAddresses {
    line.split_whitespace()
        .filter_map(|pair| pair.split_once('='))
        .filter_map(|(key, value)| {
            let address = value.trim_matches('"').parse().ok()?;
            Some((key.into(), address))
        })
        .collect()
}
