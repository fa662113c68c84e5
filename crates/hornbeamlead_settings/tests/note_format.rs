//! The format in which operators write release notes: parsing, and positions of findings.

mod common;

use common::{NOTE, position_of, replace_once};
use hornbeamlead_core::fleet::FleetState;
use hornbeamlead_core::ids::{LogOffset, Revision};
use hornbeamlead_core::note::DeliveryMode;
use hornbeamlead_settings::note::read_note;
use rstest::rstest;
use std::time::Duration;

#[test]
fn note_resolved() {
    let note = read_note("note.json", NOTE).unwrap();
    assert_eq!(note.based_on, Some(Revision(0)));
    assert!(!note.added.data_centres[1].in_service);
    let job = &note.added.jobs[0];
    assert_eq!(job.size.cpu.0, 500);
    assert_eq!(job.run_time, Duration::from_secs(20));
    assert_eq!(job.deadline.0, 1_798_092_000_000);
    assert_eq!(job.delivery, DeliveryMode::AtMostOnce);
    let mut fleet = FleetState::default();
    assert_eq!(fleet.apply(LogOffset(0), &note), Ok(Revision(1)));
}

#[test]
fn null_basis() {
    let text = replace_once(NOTE, "\"based_on\": 0", "\"based_on\": null");
    assert_eq!(read_note("note.json", &text).unwrap().based_on, None);
}

#[rstest]
#[case::no_basis("\"based_on\": 0,", "", "{", "based_on is missing")]
#[case::bad_deadline(
    "2026-12-24T06:00:00Z",
    "24.12.2026",
    "\"24.12",
    "write it like \"2026"
)]
#[case::zero_tasks(
    "\"tasks\": 12",
    "\"tasks\": 0",
    "0,\n        \"size",
    "from 1 to 1000000"
)]
#[case::long_default(
    "\"default_timeout\": \"2s\"",
    "\"default_timeout\": \"40s\"",
    "\"40s\"",
    "lower default_timeout"
)]
#[case::bad_delivery(
    "\"at_most_once\"",
    "\"once\"",
    "\"once\"",
    "\"resumable\" or \"at_most_once\""
)]
#[case::too_fine("\"20s\"", "\"20us\"", "\"20us\"", "whole number of milliseconds")]
#[case::unknown_key("\"kind\"", "\"knd\"", "\"knd\"", "did you mean \"kind\"?")]
#[case::name_twice(
    "\"colombo\"",
    "\"negombo\"",
    "{\n    \"data_centres",
    "negombo, which added names already"
)]
#[case::not_a_list("[\"negombo\"]", "\"negombo\"", "\"negombo\"\n", "put it in [ ]")]
fn error_position(#[case] from: &str, #[case] to: &str, #[case] at: &str, #[case] expected: &str) {
    let text = replace_once(NOTE, from, to);
    let findings = read_note("note.json", &text).unwrap_err();
    let report = findings.to_string();
    let found = findings
        .iter()
        .find(|finding| finding.to_string().contains(expected));
    let found = found.unwrap_or_else(|| panic!("{expected:?} is not in:\n{report}"));
    assert_eq!(
        (found.line, found.column),
        position_of(&text, at),
        "{report}"
    );
}

#[test]
fn empty_note() {
    let text = r#"{"id": "n", "based_on": null, "author": "nimal"}"#;
    let report = read_note("note.json", text).unwrap_err().to_string();
    assert!(report.contains("changes and withdraws nothing"), "{report}");
}

#[test]
fn errors_reported_together() {
    let text = NOTE
        .replace("\"500m\"", "\"500\"")
        .replace("\"tasks\": 12", "\"tasks\": \"many\"")
        .replace("\"author\": \"nimal\"", "\"author\": \"\"")
        .replace("\"quota\"", "\"quoat\"");
    let findings = read_note("note.json", &text).unwrap_err();
    assert_eq!(findings.iter().count(), 5, "{findings}");
}
