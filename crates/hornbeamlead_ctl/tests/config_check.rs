//! `config check` with files, without a network.

mod common;

use common::{ToolHarness, run_without_settings, text};

const SOUND: &str = r#"{"version": 7, "limits": {},
  "routes": [{"host": "jobs", "pathPrefix": "/a/", "service": "kiln", "targetFactor": 2}],
  "services": [{"name": "kiln", "enforcesCapacity": true}]}"#;

#[test]
fn sound_file() {
    let harness = ToolHarness::start();
    let file = harness.write("next.json", SOUND);
    let run = run_without_settings(&["config", "check", text(&file)]);
    assert_eq!(run.status, 0, "{run:?}");
    assert!(run.out.contains("version 7, 0 findings"), "{run:?}");
}

#[test]
fn findings_together() {
    let harness = ToolHarness::start();
    let faulty = r#"{"version": 7,
      "routes": [{"host": "jobs", "service": "kiln"},
                 {"host": "jobs", "pathPrefix": "b/", "service": "oven", "maxAttempts": 0}],
      "services": [{"name": "kiln"}, {"name": "kiln", "healthPath": 4}]}"#;
    let file = harness.write("next.json", faulty);
    let old = harness.write("current.json", SOUND);
    let args = ["config", "check", text(&file), "--against", text(&old)];
    let run = run_without_settings(&args);
    assert_eq!(run.status, 1, "{run:?}");
    for words in [
        "next.json: routes[0]: error: missing field `pathPrefix`",
        "next.json: services[1]: error: ",
        "version: error: 7 is not higher than 7",
        "route jobsb/: error: service \"oven\" is not in the configuration",
        "route jobsb/: never_matches: prefix",
        "route jobsb/: limits: no attempt is allowed",
        "service \"kiln\": never_matches: no route uses it",
        "removed route jobs/a/",
        "changed service kiln: enforces_capacity from true to false",
    ] {
        assert!(
            run.out.contains(words),
            "{words:?} is missing in {}",
            run.out
        );
    }
    let json = run_without_settings(&[&args[..], &["--json"]].concat()).json();
    assert_eq!(json["differences"].as_array().map(Vec::len), Some(3));
}

#[test]
fn unusable_files() {
    let harness = ToolHarness::start();
    let run = run_without_settings(&["config", "check", "/nonexistent/next.json"]);
    assert_eq!(run.status, 2, "{run:?}");
    let file = harness.write("next.json", "{");
    let run = run_without_settings(&["config", "check", text(&file)]);
    assert_eq!(run.status, 1, "{run:?}");
    assert!(run.out.contains("next.json: file: error: EOF"), "{run:?}");
}
