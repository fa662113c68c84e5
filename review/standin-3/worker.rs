//! Workers as PROTOCOL.md describes them. A task runs for the time that its spec names (`ms=500`), or
//! lasts (`last`).

use crate::http::{Reply, Request, call, serve};
use crate::json::{self, Value};
use crate::record::Record;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Interval between heartbeats: `heartbeatMs`.
const HEARTBEAT: Duration = Duration::from_millis(1100);

/// Longest lease: `holdMaxMs`.
const HOLD_MAX_MS: u64 = 10_000;

/// Time that a stop takes; `stopMs` allows 900 ms.
const STOP_TIME: Duration = Duration::from_millis(100);

/// Most ends of a list.
const MAX_ENDS: usize = 500;

struct Run {
    number: u64,
    began: Instant,
    lasts: Option<Duration>,
    stop_at: Option<Instant>,
}

struct State {
    is_alive: bool,
    token: u64,
    lease_until: u64,
    running: BTreeMap<String, Run>,
    highest: BTreeMap<String, u64>,
    ends: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// Number of the last end that an answer has listed.
    listed: u64,
    /// Holds that have not been answered yet.
    waiting: u32,
}

/// Where a worker is and whom it reports to.
#[derive(Clone)]
pub struct Place {
    pub machine: String,
    pub zone: String,
    pub address: SocketAddr,
    /// Address of the agent beside it.
    pub agent: SocketAddr,
    /// Time from the start to the first heartbeat.
    pub first_beat: Duration,
    pub ledger: Arc<Mutex<Ledger>>,
}

/// What the workers have done, for rule TWICE.
#[derive(Default)]
pub struct Ledger {
    /// Runs that have ended `done`, by task.
    done: BTreeMap<String, Vec<u64>>,
    /// Those whose end has been taken note of, while the lease held.
    noted: BTreeSet<(String, u64)>,
    /// Starts after such an end: the task, the run that was done and the new one.
    again: Vec<(String, u64, u64)>,
}

impl Ledger {
    fn note_start(&mut self, task: &str, number: u64) {
        let before = self.done.get(task).into_iter().flatten();
        let again = before.map(|done| (task.to_owned(), *done, number));
        self.again.extend(again);
    }

    /// Returns the starts after a run that has ended `done`, if that end has been taken note of.
    pub fn done_again(&self) -> Vec<(String, u64, u64)> {
        let again = self.again.iter();
        let is_noted =
            |(task, done, _): &&(String, u64, u64)| self.noted.contains(&(task.clone(), *done));
        again.filter(is_noted).cloned().collect()
    }
}

/// Whether an order is answered.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Order {
    Answered,
    /// It gets no answer and is carried out after this time, by whichever life is there then.
    Late(Duration),
}

/// Decides on the fate of starts, by task and run, and of holds that acknowledge ends, by the worker's id
/// and `ackedThrough`.
pub type Judge = Arc<dyn Fn(&str, u64) -> Order + Send + Sync>;

/// One life of a worker.
#[derive(Clone)]
pub struct Worker {
    pub id: String,
    born: u64,
    started: Instant,
    place: Place,
    record: Record,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Worker {
    /// Starts a life. `late` gets the orders that are carried out late.
    pub fn start(id: &str, place: &Place, record: &Record, judge: Judge, late: LateOrders) -> Self {
        let listener = TcpListener::bind(place.address).expect("the worker's port is free");
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("a clock");
        let worker = Self {
            id: id.into(),
            born: since.as_millis() as u64,
            started: Instant::now(),
            place: place.clone(),
            record: record.clone(),
            shared: Arc::new((
                Mutex::new(State {
                    is_alive: true,
                    token: 0,
                    lease_until: 0,
                    running: BTreeMap::new(),
                    highest: BTreeMap::new(),
                    ends: Vec::new(),
                    last_end: 0,
                    listed: 0,
                    waiting: 0,
                }),
                Condvar::new(),
            )),
        };
        record.line(format!("worker {id} starts on {}", place.machine));
        let (handler, open) = (worker.clone(), worker.clone());
        let is_open = move || open.is_alive();
        serve(listener, is_open, move |request| {
            handler.handle(&request, &judge, &late)
        });
        let (ticking, beating) = (worker.clone(), worker.clone());
        thread::spawn(move || ticking.run());
        thread::spawn(move || beating.beat());
        worker
    }

    pub fn is_alive(&self) -> bool {
        self.shared.0.lock().unwrap().is_alive
    }

    /// Ends the life with all that runs. Connections are refused afterwards.
    pub fn crash(&self) {
        let mut state = self.shared.0.lock().unwrap();
        state.is_alive = false;
        for (task, run) in std::mem::take(&mut state.running) {
            self.note(&task, run.number, "lost with its worker");
        }
        drop(state);
        self.shared.1.notify_all();
        self.record.line(format!("worker {} ends", self.id));
        // Wakes the listener, which then closes.
        let _ = TcpStream::connect(self.place.address);
        thread::sleep(Duration::from_millis(20));
    }

    /// Carries out a late hold, if there are ends that no answer has listed, nor one that is due now.
    /// Returns these. Nobody gets the answer.
    pub fn carry_out_hold(&self, body: &Value) -> Option<Vec<String>> {
        let mut state = self.shared.0.lock().unwrap();
        let is_unlisted =
            |end: &&(u64, String, u64, &str)| state.waiting == 0 && end.0 > state.listed;
        let ends = state.ends.iter().filter(is_unlisted);
        let unlisted: Vec<_> = ends
            .map(|(number, task, run, how)| format!("{number}: {task}#{run} {how}"))
            .collect();
        let token = body.number("fencingToken").unwrap_or(0);
        if !state.is_alive || token < state.token || unlisted.is_empty() {
            return None;
        }
        state.token = token;
        self.acknowledge(&mut state, body);
        Some(unlisted)
    }

    /// Returns the tasks that run.
    pub fn running(&self) -> Vec<(String, u64)> {
        let state = self.shared.0.lock().unwrap();
        let runs = state.running.iter();
        runs.map(|(task, run)| (task.clone(), run.number)).collect()
    }

    fn note(&self, task: &str, number: u64, what: &str) {
        let machine = &self.place.machine;
        self.record.line(format!(
            "run {task}#{number} {what} on {machine} ({})",
            self.id
        ));
    }

    fn clock(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1000
    }

    fn run(&self) {
        while self.tick() {
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn tick(&self) -> bool {
        let now = Instant::now();
        let mut state = self.shared.0.lock().unwrap();
        let has_lapsed = self.clock() >= state.lease_until;
        let end_of = |run: &Run| match run {
            run if run.stop_at.is_some_and(|at| now >= at) => Some("stopped"),
            run if run.lasts.is_some_and(|span| now >= run.began + span) => Some("done"),
            _ if has_lapsed => Some("lapsed"),
            _ => None,
        };
        let ended: Vec<_> = state
            .running
            .iter()
            .filter_map(|(task, run)| Some((task.clone(), run.number, end_of(run)?)))
            .collect();
        for (task, number, how) in ended {
            state.running.remove(&task);
            let highest = state.highest.entry(task.clone()).or_default();
            *highest = number.max(*highest);
            state.last_end += 1;
            let last = state.last_end;
            self.note(&task, number, how);
            if how == "done" {
                let mut ledger = self.place.ledger.lock().unwrap();
                ledger.done.entry(task.clone()).or_default().push(number);
            }
            state.ends.push((last, task, number, how));
            self.shared.1.notify_all();
        }
        state.is_alive
    }

    fn beat(&self) {
        thread::sleep(self.place.first_beat);
        let mut sequence = 0;
        while self.is_alive() {
            sequence += 1;
            let place = &self.place;
            let body = format!(
                "{{\"service\":\"svc1\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\
                 \"state\":\"ready\",\"coldRemainingMs\":0,\
                 \"capacity\":{{\"cpu\":16000,\"memMb\":64000,\"gpu\":0}},\"labels\":[\"a\",\"r1-1\"],\
                 \"machine\":\"{}\",\"born\":{},\"clockMs\":{},\"sequence\":{sequence}}}",
                place.address,
                place.zone,
                place.machine,
                self.born,
                self.clock()
            );
            let path = format!("/-/instances/{}/heartbeat", self.id);
            let headers = [("content-type", "application/json"), ("host", "agent")];
            let timeout = Duration::from_secs(1);
            let _ = call(place.agent, ("POST", &path), &headers, &body, timeout);
            thread::sleep(HEARTBEAT);
        }
    }

    fn handle(&self, request: &Request, judge: &Judge, late: &LateOrders) -> Reply {
        if !self.is_alive() {
            return Reply::Close;
        }
        if request
            .header("expect-instance")
            .is_some_and(|id| id != self.id)
        {
            return Reply::Json(421, "{}".into());
        }
        let body = json::parse(&String::from_utf8_lossy(&request.body));
        let Some(body) = body else {
            return Reply::Json(400, "{}".into());
        };
        if request.route() == "/-/run-start" {
            let task = body.text("task").unwrap_or_default();
            let number = body.number("runId").unwrap_or(0);
            if let Order::Late(delay) = judge(task, number) {
                let delayed = format!("{}.{} s late", delay.as_secs(), delay.subsec_millis());
                self.note(
                    task,
                    number,
                    &format!("ordered, no answer, to be carried out {delayed}"),
                );
                return self.leave_unanswered(request.route(), body, delay, late);
            }
        }
        let acked = body.number("ackedThrough").unwrap_or(0);
        if request.route() == "/-/hold"
            && acked > 0
            && let Order::Late(delay) = judge(&self.id, acked)
        {
            self.record.line(format!(
                "hold of {} with ackedThrough {acked} gets no answer, to be carried out {} ms late",
                self.id,
                delay.as_millis()
            ));
            return self.leave_unanswered(request.route(), body, delay, late);
        }
        self.carry_out(request.route(), &body)
    }

    /// Keeps an order for later, and its caller waiting until it gives up or the process ends.
    fn leave_unanswered(
        &self,
        route: &str,
        body: Value,
        delay: Duration,
        late: &LateOrders,
    ) -> Reply {
        let until = Instant::now() + delay;
        late.lock().unwrap().push((until, route.to_owned(), body));
        while self.is_alive() && Instant::now() < until {
            thread::sleep(Duration::from_millis(5));
        }
        Reply::Close
    }

    /// Carries an order out.
    pub fn carry_out(&self, route: &str, body: &Value) -> Reply {
        let token = body.number("fencingToken").unwrap_or(0);
        let mut state = self.shared.0.lock().unwrap();
        if !state.is_alive {
            return Reply::Close;
        }
        if token < state.token {
            return self.refuse("fence");
        }
        state.token = token;
        match route {
            "/-/run-start" => self.begin(&mut state, body),
            "/-/run-stop" => {
                let task = body.text("task").unwrap_or_default().to_owned();
                let number = body.number("runId").unwrap_or(0);
                if let Some(run) = state.running.get_mut(&task)
                    && run.number == number
                {
                    run.stop_at.get_or_insert(Instant::now() + STOP_TIME);
                }
                let highest = state.highest.entry(task).or_default();
                *highest = number.max(*highest);
                Reply::Json(200, format!("{{\"clockMs\":{}}}", self.clock()))
            }
            "/-/hold" => {
                drop(state);
                self.hold(body)
            }
            "/-/pace" => Reply::Json(200, format!("{{\"clockMs\":{}}}", self.clock())),
            _ => Reply::Json(404, "{}".into()),
        }
    }

    fn refuse(&self, reason: &str) -> Reply {
        let clock = self.clock();
        Reply::Json(
            409,
            format!("{{\"clockMs\":{clock},\"reason\":\"{reason}\"}}"),
        )
    }

    fn extend(&self, state: &mut State, until: u64) {
        let most = self.clock() + HOLD_MAX_MS;
        state.lease_until = state.lease_until.max(until.min(most));
    }

    fn begin(&self, state: &mut State, body: &Value) -> Reply {
        let task = body.text("task").unwrap_or_default().to_owned();
        let number = body.number("runId").unwrap_or(0);
        let until = body.number("untilMs").unwrap_or(0);
        let is_there = state
            .running
            .get(&task)
            .is_some_and(|run| run.number == number);
        if is_there {
            return Reply::Json(200, format!("{{\"clockMs\":{}}}", self.clock()));
        }
        if until <= self.clock() {
            self.note(&task, number, "refused (late)");
            return self.refuse("late");
        }
        self.extend(state, until);
        if state
            .highest
            .get(&task)
            .is_some_and(|highest| number <= *highest)
        {
            self.note(&task, number, "refused (old)");
            return self.refuse("old");
        }
        let spec = body.text("spec").unwrap_or_default();
        let millis = spec.split("ms=").nth(1).and_then(|text| text.parse().ok());
        let run = Run {
            number,
            began: Instant::now(),
            lasts: millis.map(Duration::from_millis),
            stop_at: None,
        };
        self.note(&task, number, "starts");
        self.place.ledger.lock().unwrap().note_start(&task, number);
        state.running.insert(task, run);
        Reply::Json(200, format!("{{\"clockMs\":{}}}", self.clock()))
    }

    /// Takes over what a hold says.
    fn acknowledge(&self, state: &mut State, body: &Value) {
        if let Some(until) = body.number("untilMs") {
            self.extend(state, until);
        }
        let acked = body.number("ackedThrough").unwrap_or(0);
        if self.clock() < state.lease_until {
            let mut ledger = self.place.ledger.lock().unwrap();
            let noted = state
                .ends
                .iter()
                .filter(|end| end.0 <= acked && end.3 == "done");
            ledger.noted.extend(noted.map(|end| (end.1.clone(), end.2)));
        }
        state.ends.retain(|end| end.0 > acked);
    }

    fn hold(&self, body: &Value) -> Reply {
        let mut state = self.shared.0.lock().unwrap();
        self.acknowledge(&mut state, body);
        let until = Instant::now() + Duration::from_millis(body.number("waitMs").unwrap_or(0));
        state.waiting += 1;
        loop {
            let now = Instant::now();
            if !state.is_alive {
                return Reply::Close;
            }
            if !state.ends.is_empty() || now >= until {
                break;
            }
            state = self.shared.1.wait_timeout(state, until - now).unwrap().0;
        }
        state.waiting -= 1;
        let running = state.running.iter().map(|(task, run)| {
            let spent = run.began.elapsed().as_millis() as u64;
            let percent = run
                .lasts
                .map_or(100, |span| spent * 100 / span.as_millis().max(1) as u64);
            format!("[\"{task}\",{},\"\",{},100]", run.number, percent.min(100))
        });
        let running: Vec<_> = running.collect();
        let last = state.ends.iter().take(MAX_ENDS).last().map(|end| end.0);
        state.listed = state.listed.max(last.unwrap_or(0));
        let ends = state.ends.iter().take(MAX_ENDS);
        let ends = ends.map(|(n, task, run, how)| format!("[{n},\"{task}\",{run},\"{how}\",\"\"]"));
        let ends: Vec<_> = ends.collect();
        let (clock, born) = (self.clock(), self.born);
        Reply::Json(
            200,
            format!(
                "{{\"clockMs\":{clock},\"born\":{born},\"running\":[{}],\"finished\":[{}]}}",
                running.join(","),
                ends.join(",")
            ),
        )
    }
}

/// Orders that are carried out late, each with its time.
pub type LateOrders = Arc<Mutex<Vec<(Instant, String, Value)>>>;
