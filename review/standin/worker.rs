//! Workers of one service. A worker runs what its agent starts, under one lease, and sends
//! heartbeats to its agent.
//!
//! The text `spec` of a job says what a task does: `last` runs until it is stopped, `ms:N` is done
//! after N milliseconds, `crash:N` crashes its worker after N milliseconds.

use crate::http::{self, Reply, Request, Server};
use crate::json::Json;
use crate::record::Record;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

pub const HEARTBEAT: Duration = Duration::from_millis(1100);
/// Longest lease (`holdMaxMs`).
const MAX_LEASE_MS: u64 = 10_000;
/// Time that a stop takes; the pages allow `stopMs`, 900 ms.
const STOP_MS: u64 = 200;
/// Time until a worker that a task has crashed is back; some seconds, by the pages.
const DEAD_TIME: Duration = Duration::from_secs(2);
/// Time until a task that lasts is at work.
const STARTUP_MS: u64 = 300;

pub struct Facts {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub rack: String,
    pub cpu: u64,
    pub memory: u64,
}

#[derive(Clone)]
struct Run {
    began: u64,
    done_at: Option<u64>,
    /// When the task crashes the worker.
    crash_at: Option<u64>,
    stop_at: Option<u64>,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

struct State {
    /// Whether the worker has crashed: it neither answers nor closes connections until it is back.
    is_dark: bool,
    /// Whether the worker is cut off from the agent's `control` address, which it does not notice.
    is_cut: bool,
    /// Number of the life; a worker that is back has the same id, and knows nothing of before.
    life: u32,
    id: String,
    born_ms: u64,
    began: Instant,
    token: u64,
    lease_until: u64,
    running: BTreeMap<(String, u64), Run>,
    ended: Vec<End>,
    last_end: u64,
    /// Highest run of each task that was stopped or has ended.
    highest: BTreeMap<String, u64>,
    sequence: u64,
}

impl State {
    fn new(life: u32, id: &str) -> Self {
        Self {
            is_dark: false,
            is_cut: false,
            life,
            id: id.into(),
            born_ms: crate::record::wall_ms(),
            began: Instant::now(),
            token: 0,
            lease_until: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            highest: BTreeMap::new(),
            sequence: 0,
        }
    }

    /// The worker's own clock.
    fn now(&self) -> u64 {
        1000 + self.began.elapsed().as_millis() as u64
    }
}

pub struct Worker {
    pub facts: Facts,
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    server: Mutex<Option<Server>>,
    record: Arc<Record>,
}

impl Worker {
    /// Starts a worker that reports to the agent at `control`.
    pub fn start(facts: Facts, control: SocketAddr, record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let id = facts.id.clone();
        let worker = Arc::new(Self {
            facts,
            address,
            state: Mutex::new(State::new(1, &id)),
            changed: Condvar::new(),
            server: Mutex::new(None),
            record: Arc::clone(record),
        });
        worker.serve(listener);
        let sender = Arc::clone(&worker);
        thread::spawn(move || sender.send_heartbeats(control));
        let ticker = Arc::clone(&worker);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                if ticker.is_fatal() {
                    ticker.die();
                    thread::sleep(DEAD_TIME);
                    ticker.revive();
                }
                ticker.tick(&mut ticker.state.lock().unwrap());
            }
        });
        worker
    }

    fn serve(self: &Arc<Self>, listener: TcpListener) {
        let handler = Arc::clone(self);
        let server = http::serve(listener, Arc::new(move |request| handler.answer(&request)));
        *self.server.lock().unwrap() = Some(server);
    }

    /// Returns whether a task crashes the worker now.
    fn is_fatal(&self) -> bool {
        let state = self.state.lock().unwrap();
        let now = state.now();
        state
            .running
            .values()
            .any(|run| run.crash_at.is_some_and(|at| now >= at))
    }

    /// Ends the worker's process: connections are closed, and refused until it is back.
    pub fn die(&self) {
        self.crash();
        if let Some(server) = self.server.lock().unwrap().take() {
            server.close();
        }
    }

    /// Starts the process again, under a new id.
    pub fn revive(self: &Arc<Self>) {
        let listener = TcpListener::bind(self.address).expect("the worker's port");
        let life = self.state.lock().unwrap().life + 1;
        self.begin_life(&format!("{}-{life}", self.facts.id));
        self.serve(listener);
    }

    /// Crashes the worker. It is silent until it is back.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_dark = true;
        for (task, run) in std::mem::take(&mut state.running).into_keys() {
            self.record.ended(&state.id, &task, run, "with its worker");
        }
        self.record.note(format!("trouble {} crashes", state.id));
    }

    /// Starts the worker again, under the id that it had.
    pub fn restart(&self) {
        let id = self.state.lock().unwrap().id.clone();
        self.begin_life(&id);
    }

    fn begin_life(&self, id: &str) {
        let mut state = self.state.lock().unwrap();
        *state = State {
            is_cut: state.is_cut,
            ..State::new(state.life + 1, id)
        };
        self.record.note(format!(
            "worker  {} is back, born {}",
            state.id, state.born_ms
        ));
        self.changed.notify_all();
    }

    /// Cuts the worker off from its agent's `control` address, or ends the cut.
    pub fn cut(&self, is_cut: bool) {
        self.state.lock().unwrap().is_cut = is_cut;
        let verb = if is_cut { "is cut off from" } else { "reaches" };
        self.record
            .note(format!("trouble {} {verb} control", self.facts.id));
    }

    fn send_heartbeats(&self, control: SocketAddr) {
        let mut told = 0;
        loop {
            let (id, sequence, now, born) = {
                let mut state = self.state.lock().unwrap();
                if state.is_dark || state.is_cut {
                    // What is sent over the cut is lost.
                    state.sequence += u64::from(state.is_cut);
                    drop(state);
                    thread::sleep(Duration::from_millis(200));
                    continue;
                }
                state.sequence += 1;
                (state.id.clone(), state.sequence, state.now(), state.born_ms)
            };
            let Facts {
                service,
                zone,
                rack,
                cpu,
                memory,
                ..
            } = &self.facts;
            let body = format!(
                r#"{{"service":"{service}","address":"{}","zone":"{zone}","version":"v1","slots":8,"state":"ready","coldRemainingMs":0,"capacity":{{"cpu":{cpu},"memMb":{memory},"gpu":0}},"labels":["a","{rack}"],"clockMs":{},"sequence":{sequence},"born":{}}}"#,
                self.address, now, born
            );
            let path = format!("/-/instances/{id}/heartbeat");
            let call = ("POST", path.as_str(), "agent");
            let reply = http::call(control, call, &body, Duration::from_secs(1));
            let acknowledged = reply.is_ok_and(|reply| reply.status == 200);
            if acknowledged && std::mem::replace(&mut told, born) != born {
                self.record
                    .note(format!("worker  first heartbeat of {id}, born {born}"));
            }
            thread::sleep(if acknowledged {
                HEARTBEAT
            } else {
                Duration::from_millis(200)
            });
        }
    }

    /// Ends what is due.
    fn tick(&self, state: &mut State) {
        let now = state.now();
        let lapsed = now >= state.lease_until;
        let due = |run: &Run| match run {
            run if run.stop_at.is_some_and(|at| now >= at) => Some("stopped"),
            run if run.done_at.is_some_and(|at| now >= at) => Some("done"),
            _ if lapsed => Some("lapsed"),
            _ => None,
        };
        let ends = state
            .running
            .iter()
            .filter_map(|(name, run)| Some((name.clone(), due(run)?)));
        let ends: Vec<_> = ends.collect();
        for ((task, run), how) in ends {
            state.running.remove(&(task.clone(), run));
            let highest = state.highest.entry(task.clone()).or_default();
            *highest = run.max(*highest);
            state.last_end += 1;
            self.record.ended(&state.id, &task, run, how);
            state.ended.push(End {
                number: state.last_end,
                task,
                run,
                how,
            });
            self.changed.notify_all();
        }
    }

    fn answer(&self, request: &Request) -> Option<Reply> {
        let mut state = self.state.lock().unwrap();
        if state.is_dark {
            while state.is_dark {
                state = self.changed.wait(state).unwrap();
            }
            return None;
        }
        if request
            .header("expect-instance")
            .is_some_and(|id| id != state.id)
        {
            return Some(Reply::new(421, "{}"));
        }
        let body = std::str::from_utf8(&request.body)
            .ok()
            .and_then(Json::parse);
        let Some(body) = body.filter(|_| request.method == "POST") else {
            return Some(Reply::new(400, "{}"));
        };
        self.tick(&mut state);
        let token = body.number("fencingToken").unwrap_or(0);
        if token < state.token {
            return Some(refuse(&state, "fence"));
        }
        state.token = token;
        let task = body.text("task").unwrap_or_default().to_string();
        let run = body.number("runId").unwrap_or(0);
        Some(match request.path.as_str() {
            "/-/run-start" => self.begin(&mut state, &body, task, run),
            "/-/run-stop" => {
                let stop_at = state.now() + STOP_MS;
                if let Some(running) = state.running.get_mut(&(task.clone(), run)) {
                    running.stop_at.get_or_insert(stop_at);
                }
                let highest = state.highest.entry(task).or_default();
                *highest = run.max(*highest);
                done(&state)
            }
            "/-/pace" => done(&state),
            "/-/hold" => return self.hold(state, &body),
            _ => Reply::new(404, "{}"),
        })
    }

    fn begin(&self, state: &mut State, body: &Json, task: String, run: u64) -> Reply {
        let now = state.now();
        let until = body.number("untilMs").unwrap_or(0);
        if state.running.contains_key(&(task.clone(), run)) {
            return done(state);
        }
        if until <= now {
            return refuse(state, "late");
        }
        extend(state, until);
        if state
            .highest
            .get(&task)
            .is_some_and(|highest| run <= *highest)
        {
            return refuse(state, "old");
        }
        let spec = body.text("spec").unwrap_or_default();
        let after = |word: &str| {
            let span = spec
                .strip_prefix(word)
                .and_then(|span| span.parse::<u64>().ok());
            span.map(|span| now + span)
        };
        let (done_at, crash_at) = (after("ms:"), after("crash:"));
        self.record.started(&state.id, &task, run);
        state.running.insert(
            (task, run),
            Run {
                began: now,
                done_at,
                crash_at,
                stop_at: None,
            },
        );
        done(state)
    }

    fn hold(&self, mut state: MutexGuard<'_, State>, body: &Json) -> Option<Reply> {
        let life = state.life;
        if let Some(until) = body.number("untilMs") {
            extend(&mut state, until);
        }
        let acknowledged = body.number("ackedThrough").unwrap_or(0);
        state.ended.retain(|end| end.number > acknowledged);
        let wait = Duration::from_millis(body.number("waitMs").unwrap_or(0).min(2000));
        let deadline = Instant::now() + wait;
        while state.is_dark || state.life == life && state.ended.is_empty() {
            if state.is_dark {
                state = self.changed.wait(state).unwrap();
                continue;
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        if state.life != life {
            return None;
        }
        let now = state.now();
        let running = state.running.iter().map(|((task, run), it)| {
            let percent = match it.done_at.or(it.crash_at.map(|at| 2 * at - it.began)) {
                Some(done) => (now - it.began) * 100 / (done - it.began).max(1),
                None => (now - it.began) * 100 / STARTUP_MS,
            };
            format!(r#"["{task}",{run},"",{},0]"#, percent.min(100))
        });
        let running = running.collect::<Vec<_>>().join(",");
        let ended = state.ended.iter().take(500).map(|end| {
            format!(
                r#"[{},"{}",{},"{}",""]"#,
                end.number, end.task, end.run, end.how
            )
        });
        let ended = ended.collect::<Vec<_>>().join(",");
        let born = state.born_ms;
        Some(Reply::new(
            200,
            format!(
                r#"{{"clockMs":{now},"born":{born},"running":[{running}],"finished":[{ended}]}}"#
            ),
        ))
    }
}

fn done(state: &State) -> Reply {
    let (clock, born) = (state.now(), state.born_ms);
    Reply::new(200, format!(r#"{{"clockMs":{clock},"born":{born}}}"#))
}

fn refuse(state: &State, reason: &str) -> Reply {
    Reply::new(
        409,
        format!(r#"{{"clockMs":{},"reason":"{reason}"}}"#, state.now()),
    )
}

fn extend(state: &mut State, until: u64) {
    let until = until.min(state.now() + MAX_LEASE_MS);
    state.lease_until = state.lease_until.max(until);
}
