//! A small deployment: the store, workers, and the project's programs as processes of their own.

use crate::http::{self, CallError, Reply};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Facts, Worker};
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread;
use std::time::{Duration, Instant};

pub const SERVICE: &str = "cask-ledger";
pub const HOST: &str = "orders.example";
/// Queue of the jobs.
pub const PREFIX: &str = "/jobs/";

/// Process of the project.
pub struct Process {
    pub name: String,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log");
        let child = Command::new("target/release/hornbeamd")
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("the program of the deploy file is built"));
    }

    /// Kills the process (SIGKILL).
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct Entry {
    pub process: Process,
    pub callers: SocketAddr,
    readiness: SocketAddr,
}

impl Entry {
    /// Waits until the readiness probe is answered with 200.
    pub fn await_ready(&self) -> bool {
        let deadline = Instant::now() + Duration::from_secs(15);
        while Instant::now() < deadline {
            let call = ("GET", "/-/readyz", "entry");
            let reply = http::call(self.readiness, call, "", Duration::from_millis(500));
            if reply.is_ok_and(|reply| reply.status == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

pub struct Agent {
    pub process: Process,
    pub control: SocketAddr,
    pub worker: Arc<Worker>,
}

pub struct Fleet {
    pub record: Arc<Record>,
    pub entries: Vec<Entry>,
    pub agents: Vec<Agent>,
    folder: PathBuf,
}

/// Returns addresses with free ports, below those that outgoing connections use.
fn free_addresses<const N: usize>() -> [SocketAddr; N] {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = (std::process::id() % 997) as u16 * 17;
    [(); N].map(|()| {
        loop {
            let port = 11_000 + (first + NEXT.fetch_add(1, Ordering::Relaxed)) % 18_000;
            let address = SocketAddr::from(([127, 0, 0, 1], port));
            if TcpListener::bind(address).is_ok() {
                return address;
            }
        }
    })
}

impl Fleet {
    /// Starts a deployment and waits until the entries are ready.
    pub fn start(entries: usize, agents: usize) -> Option<Self> {
        let record = Arc::new(Record::new());
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let store = Arc::new(Store::default());
        store.put("keyed.op", "config", &config());
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store_address = listener.local_addr().expect("an address");
        let handler = Arc::clone(&store);
        http::serve(listener, Arc::new(move |request| handler.answer(&request)));
        let mut fleet = Self {
            record,
            entries: Vec::new(),
            agents: Vec::new(),
            folder,
        };
        for number in 0..agents {
            fleet.add_agent(number, store_address);
        }
        for number in 0..entries {
            fleet.add_entry(number, store_address);
        }
        let is_ready = fleet.entries.iter().all(Entry::await_ready);
        // Traffic starts some seconds after the machines do.
        thread::sleep(Duration::from_secs(5));
        fleet.record.note("fleet   ready");
        is_ready.then_some(fleet)
    }

    fn process(&self, name: String, settings: &str) -> Process {
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, settings).expect("the settings are written");
        let log = self.folder.join(format!("{name}.log"));
        let mut process = Process {
            name,
            settings: path,
            log,
            child: None,
        };
        process.start();
        process
    }

    fn add_agent(&mut self, number: usize, store: SocketAddr) {
        let [inner, metrics, control] = free_addresses();
        let (name, zone) = (format!("side-{number}"), format!("yard-{}", number % 3));
        let settings = format!(
            r#"{{"role":"agent","host":"{name}","data_centre":"{zone}","addresses":{{"inner":"{inner}","metrics":"{metrics}","local":"{control}"}},"store":{{"address":"{store}"}},"schedule":{{"hold_max":"10000ms","order":"by_value"}}}}"#
        );
        let process = self.process(name, &settings);
        let facts = Facts {
            id: format!("i-{number}"),
            service: SERVICE.into(),
            zone,
            rack: format!("r1-{}", number % 3),
            cpu: 16_000,
            memory: 64_000,
        };
        let worker = Worker::start(facts, control, &self.record);
        self.agents.push(Agent {
            process,
            control,
            worker,
        });
    }

    fn add_entry(&mut self, number: usize, store: SocketAddr) {
        let [inner, metrics, callers, readiness] = free_addresses();
        let (name, zone) = (format!("frontend-{number}"), format!("yard-{}", number % 3));
        let settings = format!(
            r#"{{"role":"entry","host":"{name}","data_centre":"{zone}","addresses":{{"inner":"{inner}","metrics":"{metrics}","callers":"{callers}","readiness":"{readiness}"}},"store":{{"address":"{store}"}}}}"#
        );
        let process = self.process(name, &settings);
        self.entries.push(Entry {
            process,
            callers,
            readiness,
        });
    }

    /// Sends a client's request about a job to an entry, and notes the answer.
    pub fn request(
        &self,
        entry: usize,
        (method, job): (&str, &str),
        body: &str,
    ) -> Result<Reply, CallError> {
        let path = format!("{PREFIX}{job}");
        let address = self.entries[entry].callers;
        let reply = http::call(address, (method, &path, HOST), body, Duration::from_secs(3));
        let outcome = match &reply {
            Ok(reply) => format!("{} {}", reply.status, String::from_utf8_lossy(&reply.body)),
            Err(error) => format!("{error:?}"),
        };
        let name = &self.entries[entry].process.name;
        self.record
            .note(format!("client  {method} {job} at {name}: {outcome}"));
        reply
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in self.entries.iter_mut().map(|entry| &mut entry.process) {
            process.kill();
        }
        for process in self.agents.iter_mut().map(|agent| &mut agent.process) {
            process.kill();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn config() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-1","host":"{HOST}","pathPrefix":"{PREFIX}","kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":1000,"priority":0,"service":"{SERVICE}","maxAttempts":4,"targetFactor":2.0}}],"services":[{{"name":"{SERVICE}","healthPath":"/healthz","maxConnections":64,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0,"enforcesCapacity":false,"standby":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    )
}
