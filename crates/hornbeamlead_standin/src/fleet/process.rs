//! One process of the daemon under test.

use rustix::process::{Pid, Signal, kill_process};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Time within which a process has to bind its listeners.
const START_DEADLINE: Duration = Duration::from_secs(20);

/// Time between looks at a process.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// Lines of output shown when a test fails.
const SHOWN_LINES: usize = 40;

/// Addresses that a process has bound, by the names in its settings.
pub(crate) type BoundAddresses = BTreeMap<Box<str>, SocketAddr>;

/// Process with its settings file and the file that takes its output.
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
        process.start_again()?;
        Ok(process)
    }

    /// Starts the program with the settings as they stand in the file now.
    pub(crate) fn start_again(&mut self) -> io::Result<()> {
        self.kill();
        let output = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.output)?;
        let began = output.metadata()?.len();
        let child = spawn(&self.program, &self.settings, output)?;
        self.child = Some(child);
        self.addresses = self.await_start(began)?;
        Ok(())
    }

    /// Returns the file with the settings.
    pub(crate) fn settings_file(&self) -> &Path {
        &self.settings
    }

    /// Returns the address of a listener, by its name in the settings.
    ///
    /// # Panics
    /// Panics when the process has no such listener.
    #[must_use]
    pub fn address(&self, listener: &str) -> SocketAddr {
        match self.bound(listener) {
            Some(address) => address,
            None => panic!("{} has no {listener} listener", self.settings.display()),
        }
    }

    /// Returns the address of a listener, if the process has it.
    pub(crate) fn bound(&self, listener: &str) -> Option<SocketAddr> {
        self.addresses.get(listener).copied()
    }

    /// Returns the id of the process.
    ///
    /// # Panics
    /// Panics when the process was ended.
    #[must_use]
    pub fn id(&self) -> u32 {
        let child = self.child.as_ref();
        child.expect("the process was not ended").id()
    }

    /// Returns whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Both fail only on a process that has ended.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Stops the process until [`Self::unfreeze`].
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets a frozen process go on.
    pub fn unfreeze(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks the process to stop in its own time.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits for the end of the process; `None` when it still runs at the end of `patience`.
    pub fn wait_exit(&mut self, patience: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + patience;
        let child = self.child.as_mut()?;
        while Instant::now() < deadline {
            if let Ok(Some(status)) = child.try_wait() {
                return Some(status);
            }
            std::thread::sleep(LOOK_INTERVAL);
        }
        None
    }

    /// Returns all that the process has written.
    #[must_use]
    pub fn output(&self) -> String {
        std::fs::read_to_string(&self.output).unwrap_or_default()
    }

    /// Prints the newest lines that the process has written.
    pub(crate) fn print_tail(&self) {
        let output = self.output();
        let lines: Vec<&str> = output.lines().collect();
        let skipped = lines.len().saturating_sub(SHOWN_LINES);
        eprintln!("--- {} ({skipped} lines before)", self.output.display());
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
            "{} takes signals",
            self.settings.display()
        );
    }

    fn await_start(&mut self, began: u64) -> io::Result<BoundAddresses> {
        let deadline = Instant::now() + START_DEADLINE;
        let began = usize::try_from(began).unwrap_or(usize::MAX);
        while Instant::now() < deadline && self.is_running() {
            let output = self.output();
            let written = output.get(began..).unwrap_or_default();
            let mut lines = written.lines();
            if let Some(line) = lines.find(|line| line.contains("event=started")) {
                return Ok(read_addresses(line));
            }
            std::thread::sleep(LOOK_INTERVAL);
        }
        self.print_tail();
        Err(io::Error::other(format!(
            "{} did not start",
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

/// Reads the `key=address` pairs of a log line.
fn read_addresses(line: &str) -> BoundAddresses {
    line.split_whitespace()
        .filter_map(|pair| pair.split_once('='))
        .filter_map(|(key, value)| {
            let address = value.trim_matches('"').parse().ok()?;
            Some((key.into(), address))
        })
        .collect()
}
