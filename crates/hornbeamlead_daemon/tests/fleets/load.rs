//! Load of non-idempotent requests while faults come and go.

use super::SERVICE;
use hornbeamlead_standin::client::{TestClient, TestFault, TestRequest};
use hornbeamlead_standin::fleet::Fleet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Callers at each entry.
const CALLERS: usize = 6;

/// Time that a caller allows to a request.
const TIMEOUT: Duration = Duration::from_secs(4);

/// Time that a caller rests between two requests.
const REST: Duration = Duration::from_millis(5);

/// What a caller saw.
#[derive(Debug)]
pub(crate) enum CallOutcome {
    /// Answer of the endpoint.
    Answered(String),
    /// Refusal that says `not_run`, with its reason.
    NotRun(String),
    /// Refusal that says `unknown`, with its reason.
    Unknown(String),
    /// No answer.
    NoAnswer(TestFault),
}

/// One request with its outcome.
#[derive(Debug)]
pub(crate) struct CallRecord {
    /// Body, unlike that of any other request.
    pub(crate) body: String,
    /// Outcome.
    pub(crate) outcome: CallOutcome,
}

impl CallRecord {
    /// Returns the answer that belongs to the request.
    pub(crate) fn expected_answer(&self) -> String {
        format!("POST /{SERVICE}/orders\n{}", self.body)
    }
}

/// Runs load at all entries; each step comes `stretch` after the one before.
pub(crate) fn run_load<const STEPS: usize>(
    fleet: &mut Fleet,
    stretch: Duration,
    steps: [fn(&mut Fleet); STEPS],
) -> Vec<CallRecord> {
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = fleet
        .entries
        .iter()
        .enumerate()
        .map(|(index, entry)| {
            let address = entry.process.address("callers");
            let stop = Arc::clone(&stop);
            std::thread::spawn(move || run_callers(index, address, &stop))
        })
        .collect();
    for step in steps {
        step(fleet);
        std::thread::sleep(stretch);
    }
    stop.store(true, Ordering::SeqCst);
    let records = callers.into_iter().map(|caller| caller.join().unwrap());
    records.flatten().collect()
}

fn run_callers(entry: usize, address: SocketAddr, stop: &AtomicBool) -> Vec<CallRecord> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let client = TestClient::default();
        let callers = (0..CALLERS).map(|caller| {
            let name = format!("{entry}-{caller}");
            run_caller(&client, name, address, stop)
        });
        let records = futures_util::future::join_all(callers).await;
        records.into_iter().flatten().collect()
    })
}

async fn run_caller(
    client: &TestClient,
    name: String,
    address: SocketAddr,
    stop: &AtomicBool,
) -> Vec<CallRecord> {
    let mut records = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let body = format!("order-{name}-{}", records.len());
        let path = format!("/{SERVICE}/orders");
        let request = TestRequest::post(address, &path, body.clone())
            .header("request-timeout-ms", "2000")
            .timeout(TIMEOUT);
        let outcome = match client.send(&request).await {
            Ok(answer) if answer.status == 200 => CallOutcome::Answered(answer.text()),
            Ok(answer) if answer.json()["outcome"] == "not_run" => {
                CallOutcome::NotRun(answer.text())
            }
            Ok(answer) => CallOutcome::Unknown(answer.text()),
            Err(fault) => CallOutcome::NoAnswer(fault),
        };
        records.push(CallRecord { body, outcome });
        tokio::time::sleep(REST).await;
    }
    records
}
