//! Command line: help, version, exit statuses and invalid files.

mod common;

use common::{CLOSED_ADDRESS, ToolHarness, run_without_settings, text};
use rstest::rstest;

#[rstest]
#[case::help(&["--help"], 0)]
#[case::apply_help(&["note", "apply", "--help"], 0)]
#[case::version(&["--version"], 0)]
#[case::no_command(&[], 2)]
#[case::unknown_command(&["launch"], 2)]
#[case::missing_file(&["note", "check"], 2)]
#[case::unreadable_file(&["note", "check", "/nonexistent/note.json"], 2)]
#[case::no_settings(&["status", "--settings", "/nonexistent/tool.json"], 2)]
#[case::bad_timeout(&["drain", "negombo", "--timeout", "11"], 2)]
fn exit_status(#[case] args: &[&str], #[case] status: i32) {
    let run = run_without_settings(args);
    assert_eq!(run.status, status, "{run:?}");
    assert!(!run.out.is_empty() || !run.err.is_empty());
}

#[test]
fn exit_statuses_listed() {
    let run = run_without_settings(&["--help"]);
    assert!(
        run.out.contains("Exit status: 0 done, 1 refused"),
        "{run:?}"
    );
}

#[test]
fn valid_note() {
    let harness = ToolHarness::start();
    let file = harness.centre_note("open", "0", "negombo");
    let run = run_without_settings(&["note", "check", text(&file), "--json"]);
    assert_eq!(run.status, 0, "{run:?}");
    assert_eq!(run.json()["added"], 1);
}

#[test]
fn faulty_note() {
    let harness = ToolHarness::start();
    let file = harness.write("bad.json", "{\n  \"id\": \"a b\",\n  \"basedon\": 0\n}");
    let run = run_without_settings(&["note", "check", text(&file)]);
    assert_eq!(run.status, 2, "{run:?}");
    assert!(run.out.contains("bad.json:2:9: "), "{run:?}");
    assert!(run.out.contains("bad.json:3:3: "), "{run:?}");
    let run = run_without_settings(&["note", "check", text(&file), "--json"]);
    assert_eq!(run.status, 2, "{run:?}");
    assert_eq!(
        run.json()["findings"].as_array().unwrap().len(),
        5,
        "{run:?}"
    );
}

#[test]
fn faulty_settings() {
    let harness = ToolHarness::start();
    let file = harness.write("bad.json", r#"{"log": {"adress": "127.0.0.1:7000"}}"#);
    let run = run_without_settings(&["status", "--settings", text(&file)]);
    assert_eq!(run.status, 2, "{run:?}");
    for words in [
        "did you mean \"address\"?",
        "no entry is named",
        "author is missing",
    ] {
        assert!(run.out.contains(words), "{words:?} is missing in {run:?}");
    }
}

#[test]
fn silent_fleet() {
    let harness = ToolHarness::start();
    let run = harness.run(&["status"]);
    assert_eq!(run.status, 1, "{run:?}");
    assert!(
        run.out
            .contains(&format!("operators={CLOSED_ADDRESS} no answer")),
        "{run:?}"
    );
    assert_eq!(harness.run(&["explain", "negombo"]).status, 1);
}

#[test]
fn bad_name() {
    let harness = ToolHarness::start();
    let run = harness.run(&["drain", "west coast"]);
    assert_eq!(run.status, 2, "{run:?}");
    assert!(harness.log.records("notes").is_empty());
}
