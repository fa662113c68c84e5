//! A small deployment: a store, entries, and agents with their workers, as separate processes but for the
//! stand-ins.

use crate::http::call;
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Judge, LateOrders, Ledger, Order, Place, Worker};
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Host of the queue, and its prefix.
pub const QUEUE_HOST: &str = "q1.example";
pub const PREFIX: &str = "/jobs/";

/// Zones of the machines, in turn.
const ZONES: [&str; 3] = ["negombo-yard", "colombo-yard", "kalutara-yard"];

/// Timeout of a call to an entry beyond its deadline.
const CALL_TIMEOUT: Duration = Duration::from_millis(4000);

/// First of the ports that are tried, below those that systems give to outgoing connections: a port has to
/// stay free while its process is down.
const FIRST_PORT: u16 = 11_000;
const PORTS: u16 = 20_000;

fn free_address() -> SocketAddr {
    static TRIED: AtomicU16 = AtomicU16::new(0);
    let offset = (std::process::id() % 400) as u16 * 50;
    loop {
        let tried = TRIED.fetch_add(1, Ordering::Relaxed);
        assert!(tried < PORTS, "no port is free");
        let port = FIRST_PORT + (offset % PORTS + tried) % PORTS;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// A process of the project.
pub struct Machine {
    pub name: String,
    settings: PathBuf,
    /// Address that callers use, of an entry; that of the worker's heartbeats, of an agent.
    pub control: SocketAddr,
    pub readiness: SocketAddr,
    /// Address at which other machines reach it.
    inner: SocketAddr,
    process: Option<Child>,
    log: PathBuf,
}

impl Machine {
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("the log can be written");
        // The command of the deploy file.
        let mut command = Command::new("target/release/hornbeamd");
        command.arg("--settings").arg(&self.settings);
        command.stdin(Stdio::null());
        command.stderr(log.try_clone().expect("a log"));
        command.stdout(log);
        self.process = Some(command.spawn().expect("hornbeamd is built"));
    }

    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The deployment.
pub struct Fleet {
    pub store: Store,
    pub entries: Vec<Machine>,
    pub agents: Vec<Machine>,
    pub workers: Vec<Worker>,
    pub places: Vec<Place>,
    pub late: Vec<LateOrders>,
    pub record: Record,
    pub judge: Judge,
    pub ledger: Arc<Mutex<Ledger>>,
    lives: u32,
    folder: PathBuf,
}

impl Fleet {
    /// Prepares a deployment whose store has a configuration.
    pub fn new(folder: &Path, record: &Record, entries: usize, agents: usize) -> Self {
        let store = Store::start();
        let config = format!(
            "{{\"version\":3,\"routes\":[{{\"host\":\"{QUEUE_HOST}\",\"pathPrefix\":\"{PREFIX}\",\
             \"service\":\"svc1\",\"priority\":1,\"maxAttempts\":4,\"targetFactor\":2.0,\
             \"targetLatencyMs\":1000}}],\"services\":[{{\"name\":\"svc1\",\
             \"enforcesCapacity\":true}}],\"limits\":{{}}}}"
        );
        store.write("keyed.op", "config", &config);
        let folder = folder.to_owned();
        let mut fleet = Self {
            store,
            entries: Vec::new(),
            agents: Vec::new(),
            workers: Vec::new(),
            places: Vec::new(),
            late: Vec::new(),
            record: record.clone(),
            judge: Arc::new(|_, _| Order::Answered),
            ledger: Arc::default(),
            lives: 0,
            folder,
        };
        for index in 0..entries {
            fleet.add_machine("entry", index);
        }
        for index in 0..agents {
            fleet.add_machine("agent", index);
        }
        fleet
    }

    fn add_machine(&mut self, role: &str, index: usize) {
        let zone = ZONES[index % ZONES.len()];
        let name = format!("{role}-{zone}-{}", index + 1);
        let (inner, metrics, control) = (free_address(), free_address(), free_address());
        let (readiness, worker) = (free_address(), free_address());
        let store = self.store.address;
        let own = match role {
            "entry" => format!(
                "\"callers\": \"{control}\", \"readiness\": \"{readiness}\"}},\n\
                 \"limits\": {{\"memory\": \"260MiB\", \"descriptors\": 4100}}"
            ),
            _ => format!(
                "\"local\": \"{control}\"}},\n\
                 \"worker\": {{\"address\": \"{worker}\", \"service\": \"svc1\"}},\n\
                 \"limits\": {{\"memory\": \"128MiB\", \"descriptors\": 4096}},\n\
                 \"schedule\": {{\"hold_max\": \"10000ms\", \"order\": \"by_value\"}}"
            ),
        };
        // As the templates of the deploy file, filled in.
        let text = format!(
            "{{\"role\": \"{role}\", \"host\": \"{name}\", \"data_centre\": \"{zone}\",\n\
             \"store\": {{\"address\": \"{store}\"}},\n\
             \"addresses\": {{\"inner\": \"{inner}\", \"metrics\": \"{metrics}\", {own}\n}}\n"
        );
        let settings = self.folder.join(format!("{name}.json"));
        fs::write(&settings, text).expect("the folder can be written");
        let machine = Machine {
            log: self.folder.join(format!("{name}.log")),
            name: name.clone(),
            settings,
            control,
            readiness,
            inner,
            process: None,
        };
        if role == "entry" {
            return self.entries.push(machine);
        }
        self.places.push(Place {
            machine: name,
            zone: zone.into(),
            address: worker,
            agent: control,
            first_beat: Duration::ZERO,
            ledger: Arc::clone(&self.ledger),
        });
        self.late.push(LateOrders::default());
        self.agents.push(machine);
    }

    pub fn start_entries(&mut self) {
        self.entries.iter_mut().for_each(Machine::start);
    }

    /// Starts all machines beside workers, and their workers.
    pub fn power_on(&mut self) {
        self.record.line("all machines beside workers start");
        self.agents.iter_mut().for_each(Machine::start);
        self.workers.clear();
        for index in 0..self.agents.len() {
            let worker = self.new_life(index, None);
            self.workers.push(worker);
        }
    }

    /// Has all machines beside workers lose power, with their workers.
    pub fn power_off(&mut self) {
        self.record.line("all machines beside workers lose power");
        self.agents.iter_mut().for_each(Machine::kill);
        self.workers.iter().for_each(Worker::crash);
    }

    /// Starts a life of a worker, under a new id unless one is given.
    pub fn new_life(&mut self, index: usize, id: Option<&str>) -> Worker {
        self.lives += 1;
        let id = id.map_or_else(|| format!("i-{:08x}", self.lives), String::from);
        let (place, late) = (&self.places[index], Arc::clone(&self.late[index]));
        Worker::start(&id, place, &self.record, Arc::clone(&self.judge), late)
    }

    /// Returns the index of the agent that is the planner, by the newest line on one in the agents' logs.
    pub fn planner(&self) -> Option<usize> {
        let logs = self
            .agents
            .iter()
            .filter_map(|agent| fs::read_to_string(&agent.log).ok());
        let newest = |log: String| {
            let found = log
                .lines()
                .filter(|line| line.contains("event=planner_found"));
            found.max().map(String::from)
        };
        // Lines begin with their level and time.
        let found = logs.filter_map(newest).max()?;
        let is_named = |agent: &Machine| found.contains(&format!("id=\"{}\"", agent.inner));
        self.agents.iter().position(is_named)
    }

    /// Waits until an entry is ready.
    pub fn wait_ready(&self) -> Result<(), String> {
        for entry in &self.entries {
            let mut is_ready = false;
            for _ in 0..300 {
                let answer = call(
                    entry.readiness,
                    ("GET", "/-/readyz"),
                    &[("host", "platform")],
                    "",
                    Duration::from_secs(1),
                );
                is_ready = answer.is_ok_and(|(status, _)| status == 200);
                if is_ready {
                    break;
                }
                std::thread::sleep(Duration::from_millis(50));
            }
            if !is_ready {
                return Err(format!("{} is not ready", entry.name));
            }
        }
        Ok(())
    }

    /// Sends a client's request to an entry and records it with its answer.
    pub fn ask(&self, entry: usize, method: &str, job: &str, body: &str) -> (u16, String) {
        let address = self.entries[entry].control;
        let path = format!("{PREFIX}{job}");
        let answer = call(address, (method, &path), &headers(), body, CALL_TIMEOUT);
        let (status, text) = answer.unwrap_or_else(|error| (0, error.to_string()));
        let name = &self.entries[entry].name;
        self.record
            .line(format!("{method} {job} at {name}: {status} {text}"));
        (status, text)
    }
}

/// Headers of a client's request.
pub fn headers() -> [(&'static str, &'static str); 3] {
    [
        ("host", QUEUE_HOST),
        ("content-type", "application/json"),
        ("deadline-ms", "3000"),
    ]
}
