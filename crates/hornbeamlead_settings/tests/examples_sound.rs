//! The files in `examples` are valid, and the example settings state the defaults.

use hornbeamlead_core::policy::{EntryPolicy, GatePolicy, ObjectiveWeights, SchedulePolicy};
use hornbeamlead_settings::note::read_note;
use hornbeamlead_settings::{RoleSettings, read_settings, read_tool_settings};
use rstest::rstest;

fn example(name: &str) -> String {
    let path = format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(path).expect("the example is readable")
}

#[rstest]
#[case("cooperage/ledger.json")]
#[case("cooperage/seasoning.json")]
#[case("crema/desk.json")]
#[case("crema/certificates.json")]
fn notes_valid(#[case] name: &str) {
    read_note(name, &example(name)).unwrap();
}

#[test]
fn entry_defaults() {
    let settings = read_settings("entry.json", &example("settings/entry.json")).unwrap();
    assert_eq!(settings.role, RoleSettings::Entry(EntryPolicy::default()));
}

#[test]
fn agent_defaults() {
    let settings = read_settings("agent.json", &example("settings/agent.json")).unwrap();
    let RoleSettings::Agent(policy) = settings.role else {
        panic!("the example is not an agent");
    };
    assert_eq!(policy.gate, GatePolicy::default());
    let schedule = SchedulePolicy {
        weights: ObjectiveWeights::default(),
        ..policy.schedule
    };
    assert_eq!(schedule, SchedulePolicy::default());
}

#[test]
fn tool_valid() {
    let name = "settings/hornbeamctl.json";
    assert_eq!(
        read_tool_settings(name, &example(name))
            .unwrap()
            .entries
            .len(),
        2
    );
}
