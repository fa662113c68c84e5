//! Clients that don't behave, on the listeners of an agent: heartbeats and frames without end, and
//! connections that take all descriptors.

mod crowd;

use crowd::{
    AGENT_MACHINE, BoundedProcess, Crowd, CrowdRequest, TIMEOUT, ask, ask_until, read_metrics,
    retry,
};
use hornbeamlead_adapter::StoreClient;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_emulator::platform::PlatformHandle;
use hornbeamlead_emulator::process::{ProcessRole, SoakNetwork, SoakProcess};
use hornbeamlead_emulator::soak::serve_store;
use hornbeamlead_jobs::notice::NoticeMessage;
use hornbeamlead_jobs::record::encode;
use hornbeamlead_jobs::relay::RelayedCall;
use hornbeamlead_jobs::store::{
    AppendCondition, NewRecord, StoreCall, StoreCaller, StoreOperation, StoreOutcome, StreamName,
};
use rstest::rstest;
use std::net::SocketAddr;
use std::path::Path;
use tokio::runtime::Runtime;

/// Clients of a crowd that send little.
const CROWD: usize = 1500;

/// Clients of a crowd that send a large heartbeat or frame.
const LARGE_CROWD: usize = 60;

/// Clients of a crowd that takes all descriptors.
const WIDE_CROWD: usize = 4500;

/// Size of the largest heartbeat and frame, in bytes.
const LARGE_BYTES: usize = 4 * 1024 * 1024;

/// Size of a head without end, in bytes.
const HEAD_BYTES: usize = 400_000;

/// Number of 1-byte chunks of a heartbeat.
const TINY_CHUNKS: usize = 50_000;

/// Number of the largest jobs that callers submit.
const LARGEST_JOBS: u64 = 600;

/// Messages that a client sends without reading an answer.
const UNREAD_MESSAGES: usize = 20_000;

/// Calls that a client has relayed without reading an answer.
const UNREAD_RELAYS: usize = 100;

/// Records of the store, of which one call returns many.
const RECORDS: usize = 100;

/// Size of a record, in bytes.
const RECORD_BYTES: usize = 10_000;

/// Indices of calls to relay and of notices among the kinds of frames.
const RELAY_FRAME: u8 = 2;
const NOTICES_FRAME: u8 = 4;

/// Agent with a store, which has become the planner.
struct TestPlanner {
    bounded: BoundedProcess,
    platform: PlatformHandle,
    store: Runtime,
}

impl TestPlanner {
    fn start() -> Self {
        let store = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime");
        let platform = PlatformHandle::new(1, 2, 2);
        let address = store.block_on(async { serve_store(&platform, 0).expect("served") });
        store.block_on(fill_store(address));
        let role = ProcessRole::Agent(1);
        let bounded = BoundedProcess::start(role, AGENT_MACHINE, (address, None));
        let planner = Self {
            bounded,
            platform,
            store,
        };
        planner.await_state("is_planner", |value| value == 1);
        planner
    }

    fn process(&self) -> &SoakProcess {
        &self.bounded.process
    }

    fn await_state(&self, name: &str, holds: impl Fn(u64) -> bool + Copy) {
        await_state(self.process().metrics_address(), name, holds);
    }

    /// Checks that the process stays planner within its bounds, and that its worker and another agent
    /// reach it.
    fn check(&mut self) {
        let body = r#"{"service":"s","address":"127.0.0.1:9","zone":"z","version":"v1","slots":8,
            "state":"ready","coldRemainingMs":0,"capacity":{"cpu":16000,"memMb":32768,"gpu":0},
            "labels":[],"clockMs":1,"sequence":1,"born":1}"#;
        let head = "POST /-/instances/w/heartbeat HTTP/1.1\r\nhost: h\r\n";
        let request = format!("{head}content-length: {}\r\n\r\n{body}", body.len());
        ask_until(self.process().local_address(), request.as_bytes(), 200);
        self.check_link();
        self.await_state("is_planner", |value| value == 1);
        self.bounded.check();
    }

    /// Checks that another agent gets a link to the planner.
    fn check_link(&self) {
        let directory = tempfile::tempdir().expect("a directory");
        let daemon = Path::new(env!("CARGO_BIN_EXE_hornbeamd"));
        let platform = &self.platform;
        let served = async { serve_store(platform, 1).expect("served") };
        let paths = (self.store.block_on(served), None);
        let (network, role) = (SoakNetwork::default(), ProcessRole::Agent(3));
        let agent = SoakProcess::new(daemon, directory.path(), network, 1, role, paths);
        let mut agent = agent.expect("settings are written");
        agent.start().expect("started");
        await_state(agent.metrics_address(), "epoch", |epoch| epoch > 0);
    }

    /// Has a crowd send a request and checks the process while the crowd is there.
    fn meet(&mut self, address: SocketAddr, size: usize, request: &CrowdRequest) {
        let crowd = Crowd::open(address, size, request);
        crowd.settle();
        self.check();
        self.bounded.check_stop();
        crowd.close();
    }
}

/// Stores records that belong to no job.
async fn fill_store(address: SocketAddr) {
    let records = (0..RECORDS).map(|number| NewRecord {
        key: Some(format!("other/{number}").into()),
        value: Some(vec![b'v'; RECORD_BYTES].into()),
    });
    let call = StoreCall {
        caller: StoreCaller::Relay,
        operation: StoreOperation::Append {
            stream: StreamName::Jobs,
            records: records.collect(),
            condition: AppendCondition::Always,
        },
        deadline: MonoTime(0).plus(TIMEOUT),
    };
    let outcome = StoreClient::new(address).call(MonoTime(0), &call).await;
    assert!(
        matches!(outcome, StoreOutcome::Appended { .. }),
        "{outcome:?}"
    );
}

fn await_state(metrics: SocketAddr, name: &str, holds: impl Fn(u64) -> bool + Copy) {
    let label = format!("hornbeamlead_state{{name=\"{name}\"}} ");
    retry(|| async {
        let text = tokio::task::spawn_blocking(move || read_metrics(metrics));
        let text = text.await.ok()?;
        let value = text.lines().find_map(|line| line.strip_prefix(&label))?;
        value.trim().parse().ok().filter(|value| holds(*value))
    });
}

fn heartbeat(fields: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("POST /-/instances/w/heartbeat HTTP/1.1\r\nhost: h\r\n{fields}\r\n");
    [head.as_bytes(), body].concat()
}

/// Returns a heartbeat that announces more bytes than it has.
fn cut_heartbeat(bytes: usize) -> Vec<u8> {
    heartbeat(
        &format!("content-length: {bytes}\r\n"),
        &vec![b' '; bytes - 1],
    )
}

fn cut_chunks(bytes: usize, chunk: usize) -> Vec<u8> {
    let chunks = format!("{chunk:x}\r\n{}\r\n", " ".repeat(chunk)).repeat(bytes / chunk);
    heartbeat("transfer-encoding: chunked\r\n", chunks.as_bytes())
}

fn endless_head() -> Vec<u8> {
    let mut request = b"POST /-/instances/w/heartbeat HTTP/1.1\r\nx: ".to_vec();
    request.resize(HEAD_BYTES, b'x');
    request
}

/// Returns a frame that announces more bytes than it has.
fn cut_frame(bytes: usize) -> Vec<u8> {
    let mut frame = (bytes as u32).to_be_bytes().to_vec();
    frame.resize(4 + bytes - 1, 0);
    frame
}

/// Returns a complete message of many short entries, several times.
fn large_message() -> Vec<u8> {
    let count = LARGE_BYTES / 2 - 8;
    // A list's length in groups of seven bits, the lowest first.
    let length = [0, 7, 14, 21].map(|shift| (count >> shift) as u8 & 0x7f);
    let [first, second, third, fourth] = length;
    let length = [first | 0x80, second | 0x80, third | 0x80, fourth];
    let version = encode(&())[0];
    let message = [&[version][..], &length, &vec![0; 2 * count]].concat();
    message_frame(NOTICES_FRAME, &message).repeat(4)
}

fn notice_frames() -> Vec<u8> {
    let message = encode(&NoticeMessage::default());
    message_frame(NOTICES_FRAME, &message).repeat(UNREAD_MESSAGES)
}

/// Returns the frame of a message of a kind, whose number follows the version of the encoding.
fn message_frame(kind: u8, message: &[u8]) -> Vec<u8> {
    let length = message.len() as u32 + 1;
    [&length.to_be_bytes(), &message[..1], &[kind], &message[1..]].concat()
}

/// Returns calls that a host asks the planner to relay, each with an answer of about a megabyte.
fn relay_frames() -> Vec<u8> {
    let call = StoreCall {
        caller: StoreCaller::Relay,
        operation: StoreOperation::Newest {
            stream: StreamName::Jobs,
            after: None,
        },
        deadline: MonoTime(0).plus(TIMEOUT),
    };
    let call = RelayedCall::new(MonoTime(0), &call);
    message_frame(RELAY_FRAME, &encode(&call)).repeat(UNREAD_RELAYS)
}

/// Guards against memory that grows with what all connections have sent, and against connections
/// that keep workers, agents and operators out.
#[rstest]
#[case::large_heartbeats("local", LARGE_CROWD, CrowdRequest::whole(cut_heartbeat(LARGE_BYTES)))]
#[case::heartbeat_pieces(
    "local",
    LARGE_CROWD,
    CrowdRequest::in_pieces(cut_heartbeat(LARGE_BYTES), LARGE_BYTES / 10)
)]
#[case::large_chunks(
    "local",
    LARGE_CROWD,
    CrowdRequest::whole(cut_chunks(LARGE_BYTES, 65_536))
)]
#[case::tiny_chunks("local", LARGE_CROWD, CrowdRequest::long(cut_chunks(TINY_CHUNKS, 1)))]
#[case::endless_heads("local", CROWD, CrowdRequest::whole(endless_head()))]
#[case::empty_lines("local", CROWD, CrowdRequest::whole(b"\r\n".repeat(HEAD_BYTES / 2)))]
#[case::silent_local("local", WIDE_CROWD, CrowdRequest::whole(""))]
#[case::endless_probes("metrics", CROWD, CrowdRequest::whole(endless_head()))]
#[case::silent_metrics("metrics", WIDE_CROWD, CrowdRequest::whole(""))]
#[case::large_frames("inner", LARGE_CROWD, CrowdRequest::whole(cut_frame(LARGE_BYTES)))]
#[case::frame_pieces(
    "inner",
    LARGE_CROWD,
    CrowdRequest::in_pieces(cut_frame(LARGE_BYTES), LARGE_BYTES / 10)
)]
#[case::large_messages("inner", LARGE_CROWD, CrowdRequest::whole(large_message()))]
#[case::silent_links("inner", WIDE_CROWD, CrowdRequest::whole(""))]
#[case::unreadable_frames(
    "inner",
    CROWD,
    CrowdRequest::whole(message_frame(NOTICES_FRAME, b"\xff").repeat(UNREAD_MESSAGES))
)]
#[case::unread_frames("inner", CROWD, CrowdRequest::whole(notice_frames()))]
#[case::unread_relays("inner", LARGE_CROWD, CrowdRequest::whole(relay_frames()))]
fn peers_crowd(#[case] listener: &str, #[case] size: usize, #[case] request: CrowdRequest) {
    let mut planner = TestPlanner::start();
    let address = match listener {
        "local" => planner.process().local_address(),
        "metrics" => planner.process().metrics_address(),
        _ => planner.process().inner_address(),
    };
    planner.meet(address, size, &request);
}

/// Guards against planners that run out of memory because callers submit many of the largest jobs.
#[test]
fn largest_jobs() {
    let mut planner = TestPlanner::start();
    let directory = tempfile::tempdir().expect("a directory");
    let daemon = Path::new(env!("CARGO_BIN_EXE_hornbeamd"));
    let platform = planner.platform.clone();
    let served = async { serve_store(&platform, 1).expect("served") };
    let paths = (planner.store.block_on(served), None);
    let (network, role) = (SoakNetwork::default(), ProcessRole::Entry);
    let entry = SoakProcess::new(daemon, directory.path(), network, 1, role, paths);
    let mut entry = entry.expect("settings are written");
    entry.start().expect("started");
    let callers = entry.callers_address();
    let readiness = b"GET /-/readyz HTTP/1.1\r\nhost: h\r\n\r\n";
    ask_until(entry.readiness_address(), readiness, 200);
    ask_until(callers, &large_job(0), 200);
    for job in 1..LARGEST_JOBS {
        ask(callers, &large_job(job));
    }
    planner.check();
}

/// Returns a request with a valid job of many steps with long texts.
fn large_job(job: u64) -> Vec<u8> {
    let label = "l".repeat(950);
    let step = format!(r#"{{"count":1,"requirements":"{label}"}}"#);
    let body = format!(r#"{{"steps":[{}]}}"#, vec![step; 250].join(","));
    let head = format!("POST /q/{job:016x} HTTP/1.1\r\nhost: h\r\n");
    format!("{head}content-length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// The largest heartbeat that the platform's limits allow is taken in calm, however it is cut.
#[rstest]
#[case::whole("content-length: 4194304\r\n", LARGE_BYTES)]
fn legal_heartbeat_served(#[case] fields: &str, #[case] length: usize) {
    let mut planner = TestPlanner::start();
    let mut body = br#"{"service":"s","address":"127.0.0.1:9","zone":"z","version":"v1","slots":8,
        "state":"ready","coldRemainingMs":0,"capacity":{"cpu":16000,"memMb":32768,"gpu":0},
        "labels":[],"clockMs":1,"sequence":1,"born":1}"#
        .to_vec();
    body.resize(length, b' ');
    let request = heartbeat(fields, &body);
    ask_until(planner.process().local_address(), &request, 200);
    planner.check();
}
