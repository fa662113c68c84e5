//! The programs under review, started as separate processes with the command of the deploy file.

use crate::http::{Server, send};
use crate::store::Store;
use crate::worker::{Fleet, HOLD_MAX_MS, Step};
use std::fs::{File, OpenOptions};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

const SIGTERM: i32 = 15;
const SIGKILL: i32 = 9;
const SIGSTOP: i32 = 19;
const SIGCONT: i32 = 18;

/// Processes that run, which end with the script however it ends.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Time after which a script is given up.
const LIMIT: Duration = Duration::from_secs(114);

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub struct Process {
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
}

impl Process {
    pub fn start(&mut self) {
        let open = || OpenOptions::new().create(true).append(true).open(&self.log);
        let log = open().and_then(|log: File| Ok((log.try_clone()?, log)));
        let Ok((output, errors)) = log else {
            stop_run("the log cannot be opened");
        };
        let child = Command::new("target/release/hornbeamd")
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn();
        match child {
            Ok(child) => {
                STARTED
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push(child.id());
                self.child = Some(child);
            }
            Err(_) => stop_run("target/release/hornbeamd cannot be started"),
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            forget(child.id());
        }
    }

    /// Sends SIGTERM, and SIGKILL after the grace period of 6 s.
    pub fn terminate(&mut self) {
        if let Some(child) = &self.child {
            // Only the process that this one has started.
            unsafe { kill(child.id() as i32, SIGTERM) };
        }
        let deadline = Instant::now() + Duration::from_secs(6);
        while let Some(child) = &mut self.child {
            if child.try_wait().ok().flatten().is_some() {
                forget(child.id());
                self.child = None;
            } else if Instant::now() > deadline {
                self.kill();
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Freezes the process, or lets it go on.
    pub fn freeze(&self, is_frozen: bool) {
        if let Some(child) = &self.child {
            let signal = if is_frozen { SIGSTOP } else { SIGCONT };
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Returns whether the process has logged an event.
    pub fn has_logged(&self, event: &str) -> bool {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        log.contains(&format!("event={event}"))
    }

    pub fn is_ready(&self) -> bool {
        let timeout = Duration::from_millis(500);
        let answer = send(
            self.readiness,
            ("GET", "/-/readyz"),
            &[("host", "x")],
            b"",
            timeout,
        );
        answer.is_some_and(|(status, _)| status == 200)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn forget(process: u32) {
    let mut started = STARTED.lock().unwrap_or_else(PoisonError::into_inner);
    started.retain(|other| *other != process);
}

/// Ends the script because the case could not be run.
pub fn stop_run(cause: &str) -> ! {
    eprintln!("could not run: {cause}");
    for process in STARTED
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .iter()
    {
        unsafe { kill(*process as i32, SIGKILL) };
    }
    std::process::exit(2);
}

/// Gives the script up after a time, so that it ends all that it started.
pub fn watch() {
    thread::spawn(|| {
        thread::sleep(LIMIT);
        stop_run("it takes too long");
    });
}

/// A small deployment: a store, entries, and agents with a worker each.
pub struct Deployment {
    pub store: Store,
    _server: Server,
    pub fleet: Fleet,
    pub entries: Vec<Process>,
    pub agents: Vec<Process>,
    pub directory: PathBuf,
}

/// Ports that this script has handed out.
static TAKEN: Mutex<Vec<u16>> = Mutex::new(Vec::new());

/// Returns an address with a free port. Scripts that run at the same time use loopback addresses of their
/// own, so that none takes the port of another.
fn free_address() -> SocketAddr {
    let process = std::process::id();
    let ip = Ipv4Addr::new(
        127,
        (1 + process / 250 % 250) as u8,
        (process % 250) as u8,
        1,
    );
    let mut taken = TAKEN.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        let listener = TcpListener::bind((ip, 0));
        match listener.and_then(|listener| listener.local_addr()) {
            Ok(address) if taken.contains(&address.port()) => {}
            Ok(address) => {
                taken.push(address.port());
                return address;
            }
            Err(_) => stop_run("there is no free port"),
        }
    }
}

impl Deployment {
    pub fn start(entries: usize, agents: usize) -> Self {
        let directory = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        if std::fs::create_dir_all(&directory).is_err() {
            stop_run("there is no temporary folder");
        }
        let (store, address) = (Store::default(), free_address());
        let Ok(server) = store.serve(address) else {
            stop_run("the store cannot listen");
        };
        let config = "{\"version\":1,\"routes\":[{\"host\":\"desk.example\",\"pathPrefix\":\"/q/\",\
            \"service\":\"desk\",\"priority\":0,\"maxAttempts\":4,\"targetFactor\":4.0,\
            \"targetLatencyMs\":1000}],\"services\":[{\"name\":\"desk\",\"enforcesCapacity\":true}],\
            \"limits\":{}}";
        store.put("keyed.op", "config", config);
        let fleet = Fleet::new();
        let mut deployment = Self {
            store,
            _server: server,
            fleet,
            entries: Vec::new(),
            agents: Vec::new(),
            directory,
        };
        for number in 0..agents {
            let (local, worker) = (free_address(), free_address());
            deployment.fleet.add(worker, local);
            let fields = format!(
                "\"role\":\"agent\",\"host\":\"side-yard-{number}\",\"data_centre\":\"yard\",\
                 \"addresses\":{{\"inner\":\"{}\",\"metrics\":\"{}\",\"local\":\"{local}\"}},\
                 \"worker\":{{\"address\":\"{worker}\",\"service\":\"desk\"}},\
                 \"store\":{{\"address\":\"{address}\"}},\
                 \"schedule\":{{\"hold_max\":\"{HOLD_MAX_MS}ms\",\"order\":\"by_value\"}}",
                free_address(),
                free_address()
            );
            let process = deployment.process(format!("agent-{number}"), &fields, local, local);
            deployment.agents.push(process);
            deployment.fleet.start(number, false);
        }
        for number in 0..entries {
            let (callers, readiness) = (free_address(), free_address());
            let fields = format!(
                "\"role\":\"entry\",\"host\":\"frontend-yard-{number}\",\"data_centre\":\"yard\",\
                 \"addresses\":{{\"inner\":\"{}\",\"metrics\":\"{}\",\"callers\":\"{callers}\",\
                 \"readiness\":\"{readiness}\"}},\"store\":{{\"address\":\"{address}\"}}",
                free_address(),
                free_address()
            );
            let process =
                deployment.process(format!("entry-{number}"), &fields, callers, readiness);
            deployment.entries.push(process);
        }
        let processes = deployment.agents.iter_mut().chain(&mut deployment.entries);
        processes.for_each(Process::start);
        let deadline = Instant::now() + Duration::from_secs(15);
        while !deployment.entries.iter().all(Process::is_ready) {
            if Instant::now() > deadline {
                stop_run("the entries did not get ready");
            }
            thread::sleep(Duration::from_millis(100));
        }
        deployment.log("all entries are ready");
        deployment
    }

    fn process(
        &self,
        name: String,
        fields: &str,
        callers: SocketAddr,
        readiness: SocketAddr,
    ) -> Process {
        let settings = self.directory.join(format!("{name}.json"));
        if std::fs::write(&settings, format!("{{{fields}}}")).is_err() {
            stop_run("the settings cannot be written");
        }
        let log = self.directory.join(format!("{name}.log"));
        Process {
            settings,
            log,
            child: None,
            callers,
            readiness,
        }
    }

    pub fn log(&self, line: impl AsRef<str>) {
        self.fleet.lock().log(line);
    }

    /// Sends a request to an entry and records it with its answer.
    pub fn request(
        &self,
        entry: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let headers = [
            ("host", "desk.example"),
            ("content-type", "application/json"),
            ("deadline-ms", "3000"),
        ];
        let address = self.entries[entry].callers;
        let timeout = Duration::from_millis(3000);
        let answer = send(address, (method, path), &headers, body.as_bytes(), timeout);
        let answer =
            answer.map(|(status, body)| (status, String::from_utf8_lossy(&body).into_owned()));
        let sent: String = body.chars().take(160).collect();
        self.log(format!(
            "client: {method} {path} {sent} to entry {entry} -> {answer:?}"
        ));
        answer
    }

    /// Submits a job of one step, repeating it as clients do until it is accepted.
    pub fn submit(&self, id: &str, step: &Step, more: &str, top: &str) -> bool {
        self.fleet
            .lock()
            .jobs
            .insert(id.to_owned(), vec![step.clone()]);
        let body = format!(
            "{{\"spec\":\"work\",\"steps\":[{{\"count\":{},\"cpu\":{},\"memMb\":64,\"estimateMs\":{}{more}}}]{top}}}",
            step.count, step.cpu, step.work_ms
        );
        (0..5).any(|attempt| {
            let entry = attempt % self.entries.len();
            let answer = self.request(entry, "POST", &format!("/q/{id}"), &body);
            answer.is_some_and(|(status, _)| status == 200)
        })
    }

    pub fn state(&self, entry: usize, id: &str) -> String {
        match self.request(entry, "GET", &format!("/q/{id}"), "") {
            Some((200, body)) => body,
            Some((status, _)) => status.to_string(),
            None => "no answer".into(),
        }
    }

    /// Ends all processes, writes what was recorded, and returns whether the rule held.
    pub fn finish(mut self, verdict: Result<(), String>) -> i32 {
        for process in self.entries.iter_mut().chain(&mut self.agents) {
            process.kill();
        }
        let line = match &verdict {
            Ok(()) => "the rule held".to_owned(),
            Err(cause) => format!("the rule was broken: {cause}"),
        };
        self.log(&line);
        println!("{line}");
        let case = std::env::args().nth(2).unwrap_or_default();
        let text = self.fleet.lock().lines.join("\n") + "\n";
        let _ = std::fs::write(PathBuf::from(case).join("record.txt"), text);
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.directory);
        } else {
            println!("logs: {}", self.directory.display());
        }
        i32::from(verdict.is_err())
    }
}
