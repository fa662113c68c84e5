//! Open-loop load: requests go out at their times, whether earlier ones were answered or not.

use super::place::ReasonCounts;
use crate::report::MeasureError;
use hdrhistogram::Histogram;
use hornbeamlead_standin::client::{TestAnswer, TestClient, TestError, TestRequest};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};

/// Time that a caller waits for an answer.
const PATIENCE: Duration = Duration::from_millis(1_500);

/// Longest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Significant digits of the latencies.
const DIGITS: u8 = 3;

/// Share of requests that may run again.
const IDEMPOTENT_SHARE: f64 = 0.5;

/// What is offered.
#[derive(Clone, Debug)]
pub(super) struct LoadPlan {
    /// Requests a second, over all entries.
    pub(super) rate: f64,
    /// Time over which they are offered.
    pub(super) length: Duration,
    /// Path that is called.
    pub(super) path: String,
    /// Whether each request is non-idempotent and has a key of its own.
    pub(super) keyed: bool,
    /// Callers' addresses of the entries.
    pub(super) entries: Vec<SocketAddr>,
}

/// What became of the load.
#[derive(Clone, Debug)]
pub(super) struct LoadResult {
    /// Requests offered.
    pub(super) offered: u64,
    /// Requests that the endpoint answered with a failure.
    pub(super) failed: u64,
    /// Requests refused as not run.
    pub(super) not_run: u64,
    /// Requests whose outcome is unknown.
    pub(super) unknown: u64,
    /// Requests without any answer.
    pub(super) lost: u64,
    /// Refusals that the entries counted.
    pub(super) refusals: ReasonCounts,
    /// Retries that the entries counted.
    pub(super) retries: ReasonCounts,
    latency: Histogram<u64>,
    length: Duration,
}

/// What became of one request.
#[derive(Clone, Copy, Debug)]
enum CallOutcome {
    Answered { latency: Duration },
    Failed,
    NotRun,
    Unknown,
    Lost,
}

impl LoadResult {
    fn new(length: Duration) -> Result<Self, MeasureError> {
        let latency = Histogram::new_with_max(MAX_LATENCY_US, DIGITS).map_err(MeasureError::new)?;
        Ok(Self {
            offered: 0,
            failed: 0,
            not_run: 0,
            unknown: 0,
            lost: 0,
            refusals: ReasonCounts::new(),
            retries: ReasonCounts::new(),
            latency,
            length,
        })
    }

    /// Returns the requests offered a second.
    pub(super) fn offered_rate(&self) -> f64 {
        self.offered as f64 / self.length.as_secs_f64()
    }

    /// Returns the requests well answered a second.
    pub(super) fn goodput(&self) -> f64 {
        self.latency.len() as f64 / self.length.as_secs_f64()
    }

    /// Returns the share of requests well answered, in percent.
    pub(super) fn answered_percent(&self) -> f64 {
        100.0 * self.latency.len() as f64 / self.offered.max(1) as f64
    }

    /// Returns the retries, in percent of the requests offered.
    pub(super) fn retry_percent(&self) -> f64 {
        let requests = ["not_run", "link_broken", "outcome_unknown", "hedge"];
        let counted = requests.iter().filter_map(|name| self.retries.get(*name));
        100.0 * counted.sum::<u64>() as f64 / self.offered.max(1) as f64
    }

    /// Returns a quantile of the latency of good answers, in milliseconds.
    pub(super) fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1_000.0
    }

    fn add(&mut self, outcome: CallOutcome) {
        self.offered += 1;
        match outcome {
            CallOutcome::Answered { latency } => {
                let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
                self.latency.saturating_record(micros);
            }
            CallOutcome::Failed => self.failed += 1,
            CallOutcome::NotRun => self.not_run += 1,
            CallOutcome::Unknown => self.unknown += 1,
            CallOutcome::Lost => self.lost += 1,
        }
    }
}

/// Offers a load, with one generating thread for each entry.
///
/// # Errors
/// Returns [`MeasureError`] when a thread could not do its work.
pub(super) fn offer(plan: &LoadPlan) -> Result<LoadResult, MeasureError> {
    let share = plan.rate / plan.entries.len() as f64;
    let generate = |(seed, entry): (usize, &SocketAddr)| {
        let plan = plan.clone();
        let entry = *entry;
        std::thread::spawn(move || offer_to(&plan, entry, share, seed as u64))
    };
    let threads: Vec<_> = plan.entries.iter().enumerate().map(generate).collect();
    let mut result = LoadResult::new(plan.length)?;
    for thread in threads {
        let outcomes = thread
            .join()
            .map_err(|_| MeasureError::new("a load generator ended early"))??;
        outcomes.into_iter().for_each(|outcome| result.add(outcome));
    }
    Ok(result)
}

fn offer_to(
    plan: &LoadPlan,
    entry: SocketAddr,
    rate: f64,
    seed: u64,
) -> Result<Vec<CallOutcome>, MeasureError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(MeasureError::new)?;
    Ok(runtime.block_on(async {
        let (sender, mut receiver) = unbounded_channel();
        generate(plan, entry, rate, seed, sender).await;
        let mut outcomes = Vec::new();
        while let Some(outcome) = receiver.recv().await {
            outcomes.push(outcome);
        }
        outcomes
    }))
}

/// Starts each request at its time; gaps follow a Poisson process.
async fn generate(
    plan: &LoadPlan,
    entry: SocketAddr,
    rate: f64,
    seed: u64,
    sender: UnboundedSender<CallOutcome>,
) {
    let client = TestClient::default();
    let mut random = SmallRng::seed_from_u64(seed);
    let began = Instant::now();
    let mut due = Duration::ZERO;
    while due < plan.length {
        let wait = due.saturating_sub(began.elapsed());
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        let request = word_request(plan, entry, &mut random);
        let (client, sender) = (client.clone(), sender.clone());
        let due_at = began + due;
        tokio::spawn(async move {
            let result = client.send(&request).await;
            // Nobody listens any more only when the experiment is given up.
            let _ = sender.send(judge(result, due_at.elapsed()));
        });
        due += Duration::from_secs_f64(-(1.0 - random.random::<f64>()).ln() / rate);
    }
}

fn word_request(plan: &LoadPlan, entry: SocketAddr, random: &mut SmallRng) -> TestRequest {
    let request = match !plan.keyed && random.random_bool(IDEMPOTENT_SHARE) {
        true => TestRequest::get(entry, &plan.path),
        false => TestRequest::post(entry, &plan.path, "order"),
    };
    let request = request.timeout(PATIENCE);
    match plan.keyed {
        true => request.header(
            "idempotency-key",
            &format!("{:032x}", random.random::<u128>()),
        ),
        false => request,
    }
}

fn judge(result: Result<TestAnswer, TestError>, latency: Duration) -> CallOutcome {
    let Ok(answer) = result else {
        return CallOutcome::Lost;
    };
    if answer.status.is_success() {
        return CallOutcome::Answered { latency };
    }
    match answer.json()["outcome"].as_str() {
        Some("not_run") => CallOutcome::NotRun,
        Some("unknown") => CallOutcome::Unknown,
        Some(_) | None => CallOutcome::Failed,
    }
}
