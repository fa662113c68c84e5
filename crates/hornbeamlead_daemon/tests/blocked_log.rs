//! Pattern: whoever reads a process's log has stopped reading while callers keep coming.

use hornbeamlead_adapter::{HttpClient, build_request};
use hornbeamlead_emulator::platform::PlatformShared;
use hornbeamlead_emulator::process::{ProcessRole, SoakNetwork, SoakProcess};
use hornbeamlead_emulator::soak::serve_store;
use hyper::header::{HOST, HeaderValue};
use hyper::{Method, StatusCode};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Span of the load: a pipe holds 64 KiB, the process keeps 4,096 lines, and writes 300 of a kind
/// in a second.
const LOAD_SPAN: Duration = Duration::from_secs(9);

/// Callers at a time, each with three kinds of request that are logged.
const CALLERS: u64 = 12;

/// Time for one answer, also on a busy machine; a process that waits for its log never answers.
const PATIENCE: Duration = Duration::from_secs(10);

async fn ask(http: &HttpClient, entry: SocketAddr, method: Method, job: u64) -> Option<StatusCode> {
    let uri = format!("http://{entry}/q/{job:016x}").parse().ok()?;
    let body = r#"{"spec":"work","steps":[{"count":1,"cpu":100,"memMb":10}]}"#;
    let mut request = build_request(method, uri, "application/json", body.into());
    let headers = request.headers_mut();
    headers.insert(HOST, HeaderValue::from_static("h"));
    let answer = http.exchange(request, 4096, PATIENCE).await;
    answer.ok().map(|answer| answer.status)
}

async fn call_on(http: HttpClient, entry: SocketAddr, caller: u64) {
    let until = Instant::now() + LOAD_SPAN;
    let mut job = caller;
    while Instant::now() < until {
        job += CALLERS;
        for method in [Method::POST, Method::POST, Method::DELETE] {
            let status = ask(&http, entry, method.clone(), job).await;
            assert_eq!(status, Some(StatusCode::OK), "{method} {job}");
        }
    }
}

#[test]
fn answers_go_on() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let directory = tempfile::tempdir().expect("a directory");
        let platform = PlatformShared::new(1, 1, 1);
        let store = serve_store(&platform, 0).expect("served");
        let daemon = Path::new(env!("CARGO_BIN_EXE_hornbeamd"));
        let network = SoakNetwork::default();
        let paths = (store, None);
        let role = ProcessRole::Entry;
        let process = SoakProcess::new(daemon, directory.path(), network, 0, role, paths);
        let process = process.expect("settings are written");
        let entry = process.callers_address();
        let mut child = Command::new(daemon)
            .arg("--settings")
            .arg(directory.path().join("entry-0.json"))
            .stdout(Stdio::piped())
            .spawn()
            .expect("started");
        let http = HttpClient::default();
        let until = Instant::now() + PATIENCE;
        while ask(&http, entry, Method::POST, 0).await != Some(StatusCode::OK) {
            assert!(Instant::now() < until, "the entry does not serve");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let callers = (0..CALLERS).map(|caller| call_on(http.clone(), entry, caller));
        let callers: Vec<_> = callers.map(tokio::spawn).collect();
        for caller in callers {
            caller.await.expect("all were answered");
        }
        child.kill().expect("killed");
        child.wait().expect("ended");
    });
}
