//! Open-loop load: requests are sent at their times, whether earlier ones were answered or not.

use super::fleet::ReasonCounts;
use crate::report::MeasureError;
use hdrhistogram::Histogram;
use hornbeamlead_standin::client::{TestAnswer, TestClient, TestError, TestRequest};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};

/// Time for which a caller waits for an answer.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Highest latency of the histogram, in microseconds; longer ones count as this.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Significant decimal digits of the histogram.
const LATENCY_DIGITS: u8 = 3;

/// Share of idempotent requests in a load without keys.
const IDEMPOTENT_SHARE: f64 = 0.5;

/// Parameters of a load.
#[derive(Clone, Debug)]
pub(super) struct LoadPlan {
    /// Requests per second, over all entries.
    pub(super) rate: f64,
    /// Period in which requests are sent.
    pub(super) duration: Duration,
    /// Path of all requests.
    pub(super) path: String,
    /// Whether all requests are non-idempotent, each with an idempotency key of its own.
    pub(super) keyed: bool,
    /// Addresses on which the entries listen for callers.
    pub(super) entries: Vec<SocketAddr>,
}

/// Result of a load, in numbers of requests.
#[derive(Clone, Debug)]
pub(super) struct LoadResult {
    /// Requests sent.
    pub(super) offered: u64,
    /// Requests answered with a failure.
    pub(super) failed: u64,
    /// Requests refused without being run.
    pub(super) not_run: u64,
    /// Requests answered with an unknown outcome.
    pub(super) unknown: u64,
    /// Requests without any answer.
    pub(super) unanswered: u64,
    /// Refusals counted by the entries.
    pub(super) refusals: ReasonCounts,
    /// Retries counted by the entries.
    pub(super) retries: ReasonCounts,
    latency: Histogram<u64>,
    duration: Duration,
}

/// Outcome of one request.
#[derive(Clone, Copy, Debug)]
enum CallOutcome {
    Answered { latency: Duration },
    Failed,
    NotRun,
    Unknown,
    Unanswered,
}

impl LoadResult {
    fn new(duration: Duration) -> Result<Self, MeasureError> {
        let latency =
            Histogram::new_with_max(MAX_LATENCY_US, LATENCY_DIGITS).map_err(MeasureError::new)?;
        Ok(Self {
            offered: 0,
            failed: 0,
            not_run: 0,
            unknown: 0,
            unanswered: 0,
            refusals: ReasonCounts::new(),
            retries: ReasonCounts::new(),
            latency,
            duration,
        })
    }

    /// Returns the requests sent per second.
    pub(super) fn offered_rate(&self) -> f64 {
        self.offered as f64 / self.duration.as_secs_f64()
    }

    /// Returns the successful requests per second.
    pub(super) fn goodput(&self) -> f64 {
        self.latency.len() as f64 / self.duration.as_secs_f64()
    }

    /// Returns the share of successful requests, in percent.
    pub(super) fn answered_percent(&self) -> f64 {
        100.0 * self.latency.len() as f64 / self.offered.max(1) as f64
    }

    /// Returns the retries, in percent of the requests sent.
    pub(super) fn retry_percent(&self) -> f64 {
        let requests = ["not_run", "link_broken", "outcome_unknown", "hedge"];
        let counted = requests.iter().filter_map(|name| self.retries.get(*name));
        100.0 * counted.sum::<u64>() as f64 / self.offered.max(1) as f64
    }

    /// Returns a quantile of the latency of successful requests, in milliseconds.
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
            CallOutcome::Unanswered => self.unanswered += 1,
        }
    }
}

/// Sends a load with one generator thread per entry, and waits for all answers.
///
/// # Errors
/// Returns [`MeasureError`] when a generator thread fails.
pub(super) fn offer(plan: &LoadPlan) -> Result<LoadResult, MeasureError> {
    let share = plan.rate / plan.entries.len() as f64;
    let generate = |(seed, entry): (usize, &SocketAddr)| {
        let plan = plan.clone();
        let entry = *entry;
        std::thread::spawn(move || offer_to(&plan, entry, share, seed as u64))
    };
    let threads: Vec<_> = plan.entries.iter().enumerate().map(generate).collect();
    let mut result = LoadResult::new(plan.duration)?;
    for thread in threads {
        let outcomes = thread
            .join()
            .map_err(|_| MeasureError::new("a load generator thread panicked"))??;
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

/// Sends each request at its time; the arrivals follow a Poisson process.
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
    while due < plan.duration {
        let wait = due.saturating_sub(began.elapsed());
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        let request = build_request(plan, entry, &mut random);
        let (client, sender) = (client.clone(), sender.clone());
        let due_at = began + due;
        tokio::spawn(async move {
            let result = client.send(&request).await;
            // Fails only if the receiver was dropped because the experiment ended early.
            let _ = sender.send(classify(result, due_at.elapsed()));
        });
        due += Duration::from_secs_f64(-(1.0 - random.random::<f64>()).ln() / rate);
    }
}

fn build_request(plan: &LoadPlan, entry: SocketAddr, random: &mut SmallRng) -> TestRequest {
    let request = match !plan.keyed && random.random_bool(IDEMPOTENT_SHARE) {
        true => TestRequest::get(entry, &plan.path),
        false => TestRequest::post(entry, &plan.path, "order"),
    };
    let request = request.timeout(REQUEST_TIMEOUT);
    match plan.keyed {
        true => request.header(
            "idempotency-key",
            &format!("{:032x}", random.random::<u128>()),
        ),
        false => request,
    }
}

fn classify(result: Result<TestAnswer, TestError>, latency: Duration) -> CallOutcome {
    let Ok(answer) = result else {
        return CallOutcome::Unanswered;
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
