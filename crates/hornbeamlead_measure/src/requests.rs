//! Experiment on live requests: the balancing policy against random choice with plain retries.

mod fleet;
mod load;
mod scenario;

use crate::report::{MeasureError, ReportTable, TableReport};
use fleet::RequestFleet;
use load::LoadResult;
use scenario::Scenario;
use std::collections::BTreeMap;

/// Compared policies, as values of the entries' setting `balance`.
const POLICIES: [&str; 2] = ["least_busy", "random"];

/// Columns of the main table.
const COLUMNS: [&str; 13] = [
    "policy",
    "scenario",
    "offered/s",
    "goodput/s",
    "answered %",
    "p50 ms",
    "p99 ms",
    "p99.9 ms",
    "failed",
    "not run",
    "unknown",
    "no answer",
    "retries %",
];

/// Runs the experiment: all scenarios under each policy, with a new fleet per policy.
///
/// # Errors
/// Returns [`MeasureError`] when the daemon was not built or a load could not be offered.
pub fn run() -> Result<TableReport, MeasureError> {
    let mut main = ReportTable::new("live requests, open loop", &COLUMNS);
    let mut reasons = ReportTable::new(
        "refusals and retries by reason, counted by the entries",
        &["policy", "scenario", "kind", "reason", "count"],
    );
    let mut remarks = Vec::new();
    for policy in POLICIES {
        let fleet = RequestFleet::start(policy)?;
        let mut results = BTreeMap::new();
        for scenario in Scenario::ALL {
            let result = fleet.measure(scenario)?;
            push_result(&mut main, policy, scenario, &result);
            push_reasons(&mut reasons, policy, scenario, &result);
            results.insert(scenario, result);
        }
        remarks.extend(compare_with_targets(policy, &results));
    }
    Ok(TableReport {
        tables: vec![main, reasons],
        remarks,
    })
}

fn push_result(table: &mut ReportTable, policy: &str, scenario: Scenario, result: &LoadResult) {
    let percentile = |quantile| format!("{:.1}", result.quantile_ms(quantile));
    table.push([
        policy.to_owned(),
        scenario.to_string(),
        format!("{:.0}", result.offered_rate()),
        format!("{:.0}", result.goodput()),
        format!("{:.2}", result.answered_percent()),
        percentile(0.5),
        percentile(0.99),
        percentile(0.999),
        result.failed.to_string(),
        result.not_run.to_string(),
        result.unknown.to_string(),
        result.unanswered.to_string(),
        format!("{:.1}", result.retry_percent()),
    ]);
}

fn push_reasons(table: &mut ReportTable, policy: &str, scenario: Scenario, result: &LoadResult) {
    for (kind, counts) in [("refusal", &result.refusals), ("retry", &result.retries)] {
        for (reason, count) in counts {
            table.push([
                policy.to_owned(),
                scenario.to_string(),
                kind.to_owned(),
                reason.to_string(),
                count.to_string(),
            ]);
        }
    }
}

/// Returns remarks that compare the results of one policy with the targets.
fn compare_with_targets(policy: &str, results: &BTreeMap<Scenario, LoadResult>) -> Vec<Box<str>> {
    let (Some(ordinary), Some(slow), Some(overload)) = (
        results.get(&Scenario::Ordinary),
        results.get(&Scenario::SlowWorker),
        results.get(&Scenario::Overload),
    ) else {
        return Vec::new();
    };
    let share = overload.goodput() / scenario::CAPACITY_RATE * 100.0;
    let ratio = slow.quantile_ms(0.99) / ordinary.quantile_ms(0.99).max(0.001);
    let retries = results.values().map(LoadResult::retry_percent);
    let highest = retries.fold(0.0, f64::max);
    vec![
        verdict(
            policy,
            "goodput at 2x overload, % of capacity",
            share,
            share >= 90.0,
            ">= 90",
        ),
        verdict(
            policy,
            "most retries, % of the load",
            highest,
            highest <= 10.0,
            "<= 10",
        ),
        verdict(
            policy,
            "p99 with a slow worker over p99 without",
            ratio,
            ratio <= 1.3,
            "<= 1.3",
        ),
    ]
}

fn verdict(policy: &str, what: &str, value: f64, met: bool, target: &str) -> Box<str> {
    let outcome = match met {
        true => "met",
        false => "not met",
    };
    format!("{policy}: {what}: {value:.2} (target {target}): {outcome}").into()
}
