//! Settings of a process that runs jobs: the deployment templates are valid, and errors are
//! reported together.

use hornbeamlead_settings::{FleetRole, has_store, read_fleet_settings};
use rstest::rstest;

/// Fills in a template of the `deploy` directory as the platform does.
fn filled_template(name: &str) -> String {
    let path = format!("{}/../../deploy/{name}", env!("CARGO_MANIFEST_DIR"));
    let template = std::fs::read_to_string(path).expect("the template is readable");
    [
        ("{{nodeName}}", "side-yard-1"),
        ("{{zone}}", "yard"),
        ("{{ip}}", "10.1.0.14"),
        ("{{internalPorts.0}}", "7720"),
        ("{{internalPorts.1}}", "7735"),
        ("{{listenAddrs.frontend}}", "10.1.0.14:8161"),
        ("{{listenAddrs.readinessAddr}}", "10.1.0.14:8167"),
        ("{{listenAddrs.control}}", "10.1.0.14:8166"),
        ("{{platform.address}}", "10.200.1.7:8169"),
        ("{{bounds.holdMaxMs}}", "6000"),
    ]
    .iter()
    .fold(template, |text, (name, value)| text.replace(name, value))
}

#[rstest]
#[case("entry.json")]
#[case("agent.json")]
fn templates_valid(#[case] name: &str) {
    let text = filled_template(name);
    assert!(!text.contains("{{"), "a placeholder is left: {text}");
    assert!(has_store(&text));
    let settings = read_fleet_settings(name, &text).expect("the settings are valid");
    assert_eq!(settings.host.as_str(), "side-yard-1");
    if let FleetRole::Agent { hold_max, .. } = settings.role {
        assert_eq!(hold_max.as_millis(), 6000);
    }
}

/// Admission is off unless the settings of an entry turn it on; an agent has no such setting.
#[rstest]
#[case("", false)]
#[case(r#""requests": {"admission": true}, "#, true)]
fn admission_setting(#[case] requests: &str, #[case] expected: bool) {
    let template = filled_template("entry.json");
    let text = template.replace("\"store\"", &format!("{requests}\"store\""));
    let settings = read_fleet_settings("entry.json", &text).expect("the settings are valid");
    assert!(matches!(settings.role, FleetRole::Entry { admission, .. } if admission == expected));
    let agent = filled_template("agent.json");
    let text = agent.replace("\"store\"", &format!("{requests}\"store\""));
    assert_eq!(read_fleet_settings("agent.json", &text).is_ok(), !expected);
}

/// Copies are off unless the settings call for them.
#[rstest]
#[case("{", false)]
#[case("{\"copies\": true, ", true)]
fn copies_switch(#[case] schedule: &str, #[case] expected: bool) {
    let text = filled_template("agent.json");
    let text = text.replace("\"schedule\": {", &format!("\"schedule\": {schedule}"));
    let settings = read_fleet_settings("agent.json", &text).expect("the settings are valid");
    assert!(matches!(settings.role, FleetRole::Agent { copies, .. } if copies == expected));
}

#[test]
fn errors_reported_together() {
    let text = r#"{"role": "agent", "host": "", "data_centre": "z", "stop_after": "1s",
        "addresses": {"inner": "here", "metrics": "127.0.0.1:0", "local": "127.0.0.1:0"},
        "store": {}, "schedule": {"lease": "1s", "hold_max": "6s", "lend": 3}}"#;
    let findings = read_fleet_settings("agent.json", text).expect_err("the settings are invalid");
    let report = findings.to_string();
    for expected in [
        "host",
        "inner",
        "store.address",
        "stop_after",
        "lease",
        "lend",
    ] {
        assert!(
            report.contains(expected),
            "{expected} is missing in: {report}"
        );
    }
}
