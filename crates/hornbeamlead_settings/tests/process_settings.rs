//! Settings of a process: valid ones are parsed, errors are reported with their position.

mod common;

use common::{AGENT, ENTRY, position_of, replace_once};
use hornbeamlead_core::policy::{EntryPolicy, SchedulePolicy};
use hornbeamlead_settings::{ProcessSettings, RoleSettings, read_settings};
use rstest::rstest;
use std::time::Duration;

fn entry_policy(settings: &ProcessSettings) -> &EntryPolicy {
    match &settings.role {
        RoleSettings::Entry(policy) => policy,
        RoleSettings::Agent(_) => panic!("the settings are not of an entry"),
    }
}

#[test]
fn entry_resolved() {
    let settings = read_settings("entry.json", ENTRY).unwrap();
    assert_eq!(settings.seed, 7);
    assert_eq!(settings.log.port(), 7000);
    let expected = EntryPolicy {
        suspect_after: Duration::from_secs(2),
        drop_after: Duration::from_secs(8),
        ..EntryPolicy::default()
    };
    assert_eq!(entry_policy(&settings), &expected);
}

#[test]
fn agent_resolved() {
    let settings = read_settings("agent.json", AGENT).unwrap();
    assert_eq!(settings.addresses.advertised.unwrap().port(), 9999);
    let RoleSettings::Agent(policy) = &settings.role else {
        panic!("the settings are not of an agent");
    };
    assert_eq!(policy.batch_capacity.cpu.0, 8000);
    assert_eq!(policy.batch_capacity.memory.0, 32 * 1024);
    assert_eq!(policy.schedule.lease, Duration::from_secs(4));
    assert_eq!(policy.schedule.weights.evictions, 4);
    assert!(!policy.schedule.learning);
    assert_eq!(
        policy.schedule.heartbeat,
        SchedulePolicy::default().heartbeat
    );
}

#[test]
fn seeds_differ() {
    let first = read_settings("a", AGENT).unwrap();
    let second = read_settings("a", &replace_once(AGENT, "negombo-01", "negombo-02")).unwrap();
    assert_ne!(first.seed, second.seed);
}

#[rstest]
#[case::unknown_key(
    ENTRY,
    "\"seed\": 7",
    "\"sede\": 7",
    "\"sede\"",
    "did you mean \"seed\"?"
)]
#[case::wrong_type(ENTRY, "\"seed\": 7", "\"seed\": \"7\"", "\"7\"", "write it like 2000")]
#[case::number_unit(
    AGENT,
    "\"4s\"",
    "4",
    "4, \"weights",
    "write it like \"500ms\" or \"30s\""
)]
#[case::no_unit(AGENT, "\"4s\"", "\"4\"", "\"4\"", "known are ms, s, m, h and d")]
#[case::decimal_size(
    AGENT,
    "\"32GiB\"",
    "\"32GB\"",
    "\"32GB\"",
    "known are MiB, GiB and TiB"
)]
#[case::bare_cpu(
    AGENT,
    "\"8cores\"",
    "\"8\"",
    "\"8\"",
    "known are m (thousandths of a core)"
)]
#[case::lease_short(
    AGENT,
    "\"4s\"",
    "\"400ms\"",
    "\"400ms\"",
    "lease (400ms) is not greater than"
)]
#[case::few_snapshots(
    AGENT,
    "\"learning\"",
    "\"snapshot_records\": 342, \"learning\"",
    "342",
    "write at most 341"
)]
#[case::bad_name(
    ENTRY,
    "\"entry-01\"",
    "\"entry 01\"",
    "\"entry 01\"",
    "letters, digits"
)]
#[case::bad_address(
    ENTRY,
    "\"127.0.0.1:7000\"",
    "\"log:7000\"",
    "\"log:7000\"",
    "write it like"
)]
#[case::no_target_port(
    AGENT,
    "\"127.0.0.1:9999\"",
    "\"127.0.0.9:0\"",
    "\"127.0.0.9:0\"",
    "nothing can be sent to"
)]
#[case::foreign_key(
    ENTRY,
    "\"seed\": 7",
    "\"cell\": 1",
    "\"cell\"",
    "belongs to the role agent"
)]
#[case::no_entries(AGENT, "[\"127.0.0.1:7101\"]", "[]", "[]", "no entry is named")]
#[case::written_twice(
    ENTRY,
    "\"seed\": 7",
    "\"host\": \"x\"",
    "\"host\": \"x\"",
    "written twice"
)]
#[case::drop_early(
    ENTRY,
    "\"8s\"",
    "\"1s\"",
    "\"1s\"",
    "raise drop_after or lower suspect_after"
)]
#[case::bad_syntax(
    ENTRY,
    "\"seed\": 7",
    "\"seed\" 7",
    "7,",
    "not valid JSON with comments"
)]
fn error_position(
    #[case] good: &str,
    #[case] from: &str,
    #[case] to: &str,
    #[case] at: &str,
    #[case] expected: &str,
) {
    let text = replace_once(good, from, to);
    let findings = read_settings("bad.json", &text).unwrap_err();
    let report = findings.to_string();
    let (line, column) = position_of(&text, at);
    let found = findings
        .iter()
        .find(|finding| finding.to_string().contains(expected));
    let found = found.unwrap_or_else(|| panic!("{expected:?} is not in:\n{report}"));
    assert_eq!((found.line, found.column), (line, column), "{report}");
}

#[test]
fn same_port_refused() {
    let text = ENTRY.replace("127.0.0.1:0\"", "127.0.0.1:7001\"");
    let report = read_settings("entry.json", &text).unwrap_err().to_string();
    assert!(
        report.contains("callers has the same address as inner"),
        "{report}"
    );
    assert!(
        report.contains("operators has the same address as inner"),
        "{report}"
    );
}

#[test]
fn errors_reported_together() {
    let text = r#"{
      "role": "agent",
      "hots": "negombo-01",
      "data_centre": 7,
      "addresses": {"inner": "here", "callers": "127.0.0.1:1"},
      "log": {},
      "cell": -1,
      "batch_capacity": {"cpu": "8GiB", "memory": "32"},
      "schedule": {"lease": "100ms", "start_bound": "3s", "weights": {"evictions": "much"}}
    }"#;
    let findings = read_settings("agent.json", text).unwrap_err();
    let report = findings.to_string();
    for expected in [
        "hots is no known key",
        "host is missing",
        "data_centre: is a number",
        "rack is missing",
        "addresses.inner: ",
        "addresses.callers has no place here",
        "addresses.operators is missing",
        "addresses.local is missing",
        "log.address is missing",
        "cell: -1",
        "no entry is named",
        "batch_capacity.cpu: ",
        "batch_capacity.memory: ",
        "lease (100ms) is not greater than heartbeat (500ms)",
        "start_bound is 3s",
        "schedule.weights.evictions: ",
    ] {
        assert!(
            report.contains(expected),
            "{expected:?} is not in:\n{report}"
        );
    }
    let positions: Vec<_> = findings
        .iter()
        .map(|finding| (finding.line, finding.column))
        .collect();
    assert!(positions.is_sorted());
}

#[test]
fn role_missing() {
    let text = replace_once(AGENT, "\"role\": \"agent\"", "\"rule\": \"agent\"");
    let report = read_settings("agent.json", &text).unwrap_err().to_string();
    assert!(report.contains("role is missing"), "{report}");
    assert!(report.contains("did you mean \"role\"?"), "{report}");
    assert_eq!(report.lines().count(), 2, "{report}");
}
