//! Settings of a process that runs jobs: the deployment templates are valid, and errors are
//! reported together.

use hornbeamlead_core::policy::ServiceOrder;
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
        ("{{app}}", "10.1.0.14:8165"),
        ("{{service}}", "desk"),
        ("{{#app}}", ""),
        ("{{/app}}", ""),
        ("{{#limits.memoryMb}}", ""),
        ("{{/limits.memoryMb}}", ""),
        ("{{limits.memoryMb}}", "260"),
        ("{{#limits.maxFds}}", ""),
        ("{{/limits.maxFds}}", ""),
        ("{{limits.maxFds}}", "4100"),
        ("{{#service}}", ""),
        ("{{/service}}", ""),
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

/// The limits of the machine are those of the smallest one unless the settings name them; values with
/// which a process could not serve are found.
#[rstest]
#[case("", Some((128, 4096)))]
#[case(r#""limits": {}, "#, Some((128, 4096)))]
#[case(r#""limits": {"memory": "260MiB", "descriptors": 4100}, "#, Some((260, 4100)))]
#[case(r#""limits": {"memory": "1GiB"}, "#, Some((1024, 4096)))]
#[case(r#""limits": {"memory": "32MiB"}, "#, None)]
#[case(r#""limits": {"memory": 260}, "#, None)]
#[case(r#""limits": {"descriptors": 200}, "#, None)]
#[case(r#""limits": {"descriptors": -1}, "#, None)]
#[case(r#""limits": {"files": 4100}, "#, None)]
fn machine_limits(#[case] limits: &str, #[case] expected: Option<(u32, u32)>) {
    let text = format!(
        r#"{{"role": "entry", "host": "h1", "data_centre": "z1", {limits}"addresses": {{
            "inner": "127.0.0.1:0", "metrics": "127.0.0.1:0", "callers": "127.0.0.1:0",
            "readiness": "127.0.0.1:0"}}, "store": {{"address": "127.0.0.1:7000"}}}}"#
    );
    let settings = read_fleet_settings("entry.json", &text).ok();
    let found = settings.map(|settings| (settings.machine.memory.0, settings.machine.descriptors));
    assert_eq!(found, expected);
}

/// An agent may know its worker beforehand; an entry has none.
#[rstest]
#[case(r#""worker": {"address": "10.0.0.1:8165", "service": "desk"}, "#, true)]
#[case(r#""worker": {"address": "10.0.0.1:99999"}, "#, false)]
#[case(r#""worker": {"port": 8165}, "#, false)]
fn worker_setting(#[case] worker: &str, #[case] is_valid: bool) {
    let agent = r#"{"role": "agent", "host": "h1", "data_centre": "z1", "addresses":
        {"inner": "127.0.0.1:0", "metrics": "127.0.0.1:0", "local": "127.0.0.1:0"}, "store": "#;
    let text = format!("{agent}{{\"address\": \"127.0.0.1:7000\"}}, {worker}}}");
    let settings = read_fleet_settings("agent.json", &text);
    assert_eq!(settings.is_ok(), is_valid, "{settings:?}");
    let entry = filled_template("entry.json");
    let text = entry.replace("\"store\"", &format!("{worker}\"store\""));
    assert!(read_fleet_settings("entry.json", &text).is_err());
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

/// Copies are off, and jobs are served by deadline, unless the settings call for the other.
#[rstest]
#[case(r#"{"hold_max": "6s"}"#, false, ServiceOrder::ByDeadline)]
#[case(r#"{"copies": true}"#, true, ServiceOrder::ByDeadline)]
#[case(r#"{"order": "by_value"}"#, false, ServiceOrder::ByValue)]
fn schedule_switches(
    #[case] schedule: &str,
    #[case] expected_copies: bool,
    #[case] expected_order: ServiceOrder,
) {
    let template = filled_template("agent.json");
    let begin = template
        .find("\"schedule\": {")
        .expect("the template has a schedule");
    let end = begin + template[begin..].find('}').expect("the schedule ends");
    let text = format!(
        "{}\"schedule\": {schedule}{}",
        &template[..begin],
        &template[end + 1..]
    );
    let settings = read_fleet_settings("agent.json", &text).expect("the settings are valid");
    let FleetRole::Agent { copies, order, .. } = settings.role else {
        panic!("an agent's settings are those of an agent");
    };
    assert_eq!((copies, order), (expected_copies, expected_order));
}

/// The deployment calls for the order by value, and for no copies.
#[test]
fn deployed_switches() {
    let text = filled_template("agent.json");
    let settings = read_fleet_settings("agent.json", &text).expect("the settings are valid");
    let by_value = |order| order == ServiceOrder::ByValue;
    assert!(
        matches!(settings.role, FleetRole::Agent { copies: false, order, .. } if by_value(order))
    );
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
