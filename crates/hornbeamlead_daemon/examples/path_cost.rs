//! Measures the latency and processor time that entry and agent add to a direct endpoint call.
//!
//! Run with `cargo run --release -p hornbeamlead_daemon --example path_cost -- target/release/hornbeamd`.

use hornbeamlead_standin::client::{TestClient, TestRequest};
use hornbeamlead_standin::fleet::{Fleet, FleetMember, FleetPlan};
use hornbeamlead_standin::worker::WorkerStandin;
use hornbeamlead_standin::worker::control::WorkerSettings;
use serde_json::json;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Unmeasured warm-up requests per caller.
const WARM_UP_REQUESTS: usize = 300;

/// Measured requests per caller.
const MEASURED_REQUESTS: usize = 3000;

/// Concurrent callers of each run.
const CALLER_COUNTS: [usize; 2] = [1, 8];

/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Latencies, throughput and processor time per request of one run.
struct PathCost {
    sorted_us: Vec<u64>,
    per_second: f64,
    entry_us: f64,
    agent_us: f64,
}

fn main() {
    let program = std::env::args().nth(1).expect("the path of hornbeamd");
    let plan = FleetPlan::new(program).service("ledger");
    let plan = plan.data_centre("negombo", 1);
    let plan = plan.workers(|worker| *worker = fast_worker());
    let fleet = plan.start();
    open_service(&fleet);
    let direct_worker = WorkerStandin::start(fast_worker()).expect("the worker starts");
    let endpoint = direct_worker.endpoint_addr();
    let entry = fleet.entries[0].process.address("callers");
    println!("path    callers  p50_us  p99_us  per_s  entry_cpu_us  agent_cpu_us");
    for callers in CALLER_COUNTS {
        print_row("direct", callers, &measure(&fleet, endpoint, callers));
        print_row("through", callers, &measure(&fleet, entry, callers));
    }
}

/// Returns the settings of a worker whose endpoint answers without delay.
fn fast_worker() -> WorkerSettings {
    let mut worker = WorkerSettings::default();
    worker.services.push("ledger".into());
    worker.control.service.time_us = 0;
    worker.control.service.jitter_percent = 0;
    worker
}

fn open_service(fleet: &Fleet) {
    let size = json!({"cpu_millis": 1000, "memory_mebibytes": 1024, "accelerators": 0});
    let service = json!({"name": "ledger", "reserve": size,
        "default_timeout_ms": 5000, "max_timeout_ms": 30000});
    let added = json!({"services": [service],
        "data_centres": [{"name": "negombo", "in_service": true}]});
    fleet.publish("base", &json!({"based_on": 0, "added": added}));
    fleet.wait_until("requests pass", |fleet| {
        let revision = fleet.agents[0].status()["revision"].as_u64();
        let answer = fleet.call(0, TestRequest::get(fleet.log.addr(), "/ledger/ready"));
        revision == Some(1) && answer.is_ok_and(|answer| answer.status == 200)
    });
}

/// Sends requests over persistent connections and measures them.
fn measure(fleet: &Fleet, address: SocketAddr, callers: usize) -> PathCost {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(send_all(address, callers, WARM_UP_REQUESTS));
    let before = [&fleet.entries[0], &fleet.agents[0]].map(cpu_us);
    let began = Instant::now();
    let mut sorted_us = runtime.block_on(send_all(address, callers, MEASURED_REQUESTS));
    let elapsed = began.elapsed();
    let after = [&fleet.entries[0], &fleet.agents[0]].map(cpu_us);
    let count = sorted_us.len() as f64;
    sorted_us.sort_unstable();
    PathCost {
        sorted_us,
        per_second: count / elapsed.as_secs_f64(),
        entry_us: (after[0] - before[0]) / count,
        agent_us: (after[1] - before[1]) / count,
    }
}

async fn send_all(address: SocketAddr, callers: usize, count: usize) -> Vec<u64> {
    let client = TestClient::default();
    let callers = (0..callers).map(|_| send_many(client.clone(), address, count));
    let latencies = futures_util::future::join_all(callers).await;
    latencies.into_iter().flatten().collect()
}

async fn send_many(client: TestClient, address: SocketAddr, count: usize) -> Vec<u64> {
    let mut latencies = Vec::with_capacity(count);
    for _ in 0..count {
        let request = TestRequest::get(address, "/ledger/casks").timeout(Duration::from_secs(5));
        let began = Instant::now();
        let answer = client.send(&request).await.expect("an answer");
        assert_eq!(answer.status, 200);
        latencies.push(u64::try_from(began.elapsed().as_micros()).unwrap_or(u64::MAX));
    }
    latencies
}

/// Returns the processor time used by a process, in microseconds.
fn cpu_us(member: &FleetMember) -> f64 {
    let path = format!("/proc/{}/stat", member.process.id());
    let stat = std::fs::read_to_string(path).expect("the process runs");
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .collect();
    let ticks = |index: usize| fields[index].parse::<f64>().expect("a number");
    // User and system time are fields 14 and 15 of the line, so 12 and 13 after the process name.
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND * 1_000_000.0
}

fn print_row(path: &str, callers: usize, cost: &PathCost) {
    let percentile = |percent: usize| cost.sorted_us[cost.sorted_us.len() * percent / 100];
    println!(
        "{path:7} {callers:7} {:7} {:7} {:6.0} {:13.1} {:13.1}",
        percentile(50),
        percentile(99),
        cost.per_second,
        cost.entry_us,
        cost.agent_us
    );
}
