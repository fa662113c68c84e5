//! Policy sections of the settings; every key is optional and has a default.

use crate::finding::FindingLog;
use crate::section::Section;
use hornbeamlead_core::notes_replica::RETAINED_RECORDS;
use hornbeamlead_core::policy::{EntryPolicy, GatePolicy, ObjectiveWeights, SchedulePolicy};
use std::time::Duration;

/// Largest `start_bound`: a task starts at most this long after the read that the start relied on,
/// so no task starts 3 s after a drain.
const MAX_START_BOUND: Duration = Duration::from_millis(2900);

/// Largest `snapshot_records`: the writer may delay a snapshot by half as many records again, and
/// processes retain [`RETAINED_RECORDS`] for their peers.
const MAX_SNAPSHOT_RECORDS: u64 = RETAINED_RECORDS as u64 * 2 / 3;

/// Reads the key `requests` of an entry.
pub(crate) fn read_entry_policy(parent: &mut Section<'_>, log: &mut FindingLog<'_>) -> EntryPolicy {
    let default = EntryPolicy::default();
    let Some(mut section) = parent.section("requests", log) else {
        return default;
    };
    let policy = EntryPolicy {
        balance: section.or_default("balance", default.balance, log),
        subset: section.or_default("subset", default.subset, log),
        retry_percent: section.or_default("retry_percent", default.retry_percent, log),
        notes_interval: section.or_default("notes_interval", default.notes_interval, log),
        suspect_after: section.or_default("suspect_after", default.suspect_after, log),
        drop_after: section.or_default("drop_after", default.drop_after, log),
        announce_bytes_per_second: section.or_default(
            "announce_bytes_per_second",
            default.announce_bytes_per_second,
            log,
        ),
        announce_interval: section.or_default("announce_interval", default.announce_interval, log),
        max_in_progress: section.or_default("max_in_progress", default.max_in_progress, log),
    };
    check_entry(&section, &policy, log);
    section.finish(log);
    policy
}

fn check_entry(section: &Section<'_>, policy: &EntryPolicy, log: &mut FindingLog<'_>) {
    check_positive(section, "subset", policy.subset, log);
    check_positive(section, "max_in_progress", policy.max_in_progress, log);
    check_nonzero(section, "notes_interval", policy.notes_interval, log);
    check_nonzero(section, "announce_interval", policy.announce_interval, log);
    check_positive(
        section,
        "announce_bytes_per_second",
        policy.announce_bytes_per_second as usize,
        log,
    );
    section.check(
        policy.retry_percent <= 100,
        &["retry_percent"],
        || format!("retry_percent is {}", policy.retry_percent),
        "write a percentage from 0 to 100",
        log,
    );
    check_greater(
        section,
        ("suspect_after", policy.suspect_after),
        ("announce_interval", policy.announce_interval),
        log,
    );
    check_greater(
        section,
        ("drop_after", policy.drop_after),
        ("suspect_after", policy.suspect_after),
        log,
    );
}

/// Reads the key `requests` of an agent.
pub(crate) fn read_gate_policy(parent: &mut Section<'_>, log: &mut FindingLog<'_>) -> GatePolicy {
    let default = GatePolicy::default();
    let Some(mut section) = parent.section("requests", log) else {
        return default;
    };
    let policy = GatePolicy {
        queue: section.or_default("queue", default.queue, log),
        max_keys: section.or_default("max_keys", default.max_keys, log),
        max_key_bytes: section.or_default("max_key_bytes", default.max_key_bytes, log),
        key_lifetime: section.or_default("key_lifetime", default.key_lifetime, log),
        max_fenced: section.or_default("max_fenced", default.max_fenced, log),
        fence_lifetime: section.or_default("fence_lifetime", default.fence_lifetime, log),
    };
    check_positive(&section, "max_keys", policy.max_keys, log);
    check_positive(&section, "max_key_bytes", policy.max_key_bytes, log);
    check_positive(&section, "max_fenced", policy.max_fenced, log);
    check_nonzero(&section, "key_lifetime", policy.key_lifetime, log);
    check_nonzero(&section, "fence_lifetime", policy.fence_lifetime, log);
    section.finish(log);
    policy
}

/// Reads the key `schedule` of an agent.
pub(crate) fn read_schedule_policy(
    parent: &mut Section<'_>,
    log: &mut FindingLog<'_>,
) -> SchedulePolicy {
    let default = SchedulePolicy::default();
    let Some(mut section) = parent.section("schedule", log) else {
        return default;
    };
    let policy = SchedulePolicy {
        heartbeat: section.or_default("heartbeat", default.heartbeat, log),
        lease: section.or_default("lease", default.lease, log),
        margin: section.or_default("margin", default.margin, log),
        tail_validity: section.or_default("tail_validity", default.tail_validity, log),
        outage_bound: section.or_default("outage_bound", default.outage_bound, log),
        start_bound: section.or_default("start_bound", default.start_bound, log),
        read_interval: section.or_default("read_interval", default.read_interval, log),
        batch_interval: section.or_default("batch_interval", default.batch_interval, log),
        snapshot_records: section.or_default("snapshot_records", default.snapshot_records, log),
        evictions_per_minute: section.or_default(
            "evictions_per_minute",
            default.evictions_per_minute,
            log,
        ),
        service_p99_goal: section.or_default("service_p99_goal", default.service_p99_goal, log),
        weights: read_weights(&mut section, log),
        learning: section.or_default("learning", default.learning, log),
    };
    check_schedule(&section, &policy, log);
    section.finish(log);
    policy
}

fn check_schedule(section: &Section<'_>, policy: &SchedulePolicy, log: &mut FindingLog<'_>) {
    check_nonzero(section, "heartbeat", policy.heartbeat, log);
    check_nonzero(section, "margin", policy.margin, log);
    check_nonzero(section, "read_interval", policy.read_interval, log);
    check_nonzero(section, "service_p99_goal", policy.service_p99_goal, log);
    check_positive(
        section,
        "snapshot_records",
        usize::try_from(policy.snapshot_records).unwrap_or(usize::MAX),
        log,
    );
    section.check(
        policy.snapshot_records <= MAX_SNAPSHOT_RECORDS,
        &["snapshot_records"],
        || format!("snapshot_records is {}", policy.snapshot_records),
        &format!(
            "write at most {MAX_SNAPSHOT_RECORDS}, so that peers retain what follows a snapshot"
        ),
        log,
    );
    let lease = ("lease", policy.lease);
    check_greater(section, lease, ("heartbeat", policy.heartbeat), log);
    check_greater(section, lease, ("margin", policy.margin), log);
    let validity = ("tail_validity", policy.tail_validity);
    check_greater(
        section,
        validity,
        ("read_interval", policy.read_interval),
        log,
    );
    let bound = ("outage_bound", policy.outage_bound);
    check_greater(section, bound, validity, log);
    let start = ("start_bound", policy.start_bound);
    check_greater(section, start, ("read_interval", policy.read_interval), log);
    section.check(
        policy.start_bound <= MAX_START_BOUND,
        &["start_bound"],
        || format!("start_bound is {}", format_duration(policy.start_bound)),
        "write at most 2900ms, so that no task starts 3 s after a drain",
        log,
    );
}

fn read_weights(parent: &mut Section<'_>, log: &mut FindingLog<'_>) -> ObjectiveWeights {
    let default = ObjectiveWeights::default();
    let Some(mut section) = parent.section("weights", log) else {
        return default;
    };
    let weights = ObjectiveWeights {
        tail_latency: section.or_default("tail_latency", default.tail_latency, log),
        throughput: section.or_default("throughput", default.throughput, log),
        evictions: section.or_default("evictions", default.evictions, log),
    };
    let all = [weights.tail_latency, weights.throughput, weights.evictions];
    section.check(
        all.iter().any(|weight| *weight > 0),
        &["tail_latency", "throughput", "evictions"],
        || "all weights are 0".to_owned(),
        "give at least one objective a weight above 0",
        log,
    );
    section.finish(log);
    weights
}

fn check_positive(
    section: &Section<'_>,
    key: &'static str,
    value: usize,
    log: &mut FindingLog<'_>,
) {
    let cause = || format!("{key} is 0");
    section.check(value > 0, &[key], cause, "write a number above 0", log);
}

fn check_nonzero(
    section: &Section<'_>,
    key: &'static str,
    duration: Duration,
    log: &mut FindingLog<'_>,
) {
    let cause = || format!("{key} is 0");
    section.check(
        !duration.is_zero(),
        &[key],
        cause,
        "write a time above 0",
        log,
    );
}

fn check_greater(
    section: &Section<'_>,
    (long_key, long): (&'static str, Duration),
    (short_key, short): (&'static str, Duration),
    log: &mut FindingLog<'_>,
) {
    let cause = || {
        let (long, short) = (format_duration(long), format_duration(short));
        format!("{long_key} ({long}) is not greater than {short_key} ({short})")
    };
    let fix = format!("raise {long_key} or lower {short_key}");
    section.check(long > short, &[long_key, short_key], cause, &fix, log);
}

fn format_duration(duration: Duration) -> humantime::FormattedDuration {
    humantime::format_duration(duration)
}
