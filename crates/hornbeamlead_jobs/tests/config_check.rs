//! Check of a configuration before it is sent.

use hornbeamlead_jobs::config::{FleetConfig, QueueRoute, ServiceTerms};
use hornbeamlead_jobs::config_check::{ConfigFault, check_config, diff_configs};
use hornbeamlead_jobs::job::QueueTerms;
use rstest::rstest;

fn route(prefix: &str) -> QueueRoute {
    QueueRoute {
        host: "jobs".into(),
        prefix: prefix.into(),
        terms: QueueTerms {
            service: "kiln".into(),
            max_attempts: 3,
            target_factor: 2.0,
            ..QueueTerms::default()
        },
    }
}

fn config() -> FleetConfig {
    let service = ServiceTerms {
        name: "kiln".into(),
        enforces_capacity: true,
        health_path: None,
    };
    FleetConfig {
        version: 7,
        routes: vec![route("/a/"), route("/b/")],
        services: [(service.name.clone(), service)].into(),
        ..FleetConfig::default()
    }
}

#[test]
fn sound_config() {
    let mut newer = config();
    newer.version = 8;
    assert_eq!(check_config(&newer, Some(&config())), []);
    assert_eq!(diff_configs(&config(), &newer), []);
}

#[rstest]
#[case::old_version(|_: &mut FleetConfig| (), "version", ConfigFault::Error)]
#[case::no_host(|c: &mut FleetConfig| c.routes[1].host = "".into(), "route /b/", ConfigFault::Error)]
#[case::no_service(|c: &mut FleetConfig| c.routes[0].terms.service = "x".into(), "route jobs/a/", ConfigFault::Error)]
#[case::shadowed(|c: &mut FleetConfig| c.routes[1] = c.routes[0].clone(), "route jobs/a/", ConfigFault::Unused)]
#[case::no_slash(|c: &mut FleetConfig| c.routes[1].prefix = "b/".into(), "route jobsb/", ConfigFault::Unused)]
#[case::port(|c: &mut FleetConfig| c.routes[1].host = "h:80".into(), "route h:80/b/", ConfigFault::Unused)]
#[case::unused(|c: &mut FleetConfig| c.routes.clear(), "service \"kiln\"", ConfigFault::Unused)]
#[case::no_attempts(|c: &mut FleetConfig| c.routes[0].terms.max_attempts = 0, "route jobs/a/", ConfigFault::Limits)]
#[case::no_objective(|c: &mut FleetConfig| c.routes[0].terms.target_factor = 0.0, "route jobs/a/", ConfigFault::Limits)]
#[case::negative(|c: &mut FleetConfig| c.routes[0].terms.target_factor = -1.0, "route jobs/a/", ConfigFault::Limits)]
fn faulty_config(
    #[case] change: fn(&mut FleetConfig),
    #[case] place: &str,
    #[case] fault: ConfigFault,
) {
    let mut changed = config();
    change(&mut changed);
    let in_force = (place == "version").then(config);
    let findings = check_config(&changed, in_force.as_ref());
    let found = findings
        .iter()
        .map(|finding| (&*finding.place, finding.fault));
    assert_eq!(found.collect::<Vec<_>>(), [(place, fault)]);
}

/// Checks which of two equal routes is taken, which the finding of a shadowed one states.
#[test]
fn later_route_taken() {
    let mut doubled = config();
    doubled.routes[1].prefix = "/a/".into();
    doubled.routes[1].terms.priority = 9;
    let (taken, _) = doubled.route("jobs", "/a/1").expect("a route matches");
    assert_eq!(taken.terms.priority, 9);
}

#[test]
fn differences_listed() {
    let mut changed = config();
    changed.routes[0] = route("/c/");
    changed.routes[1].terms.priority = 4;
    let lines: Vec<String> = diff_configs(&config(), &changed)
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(
        lines,
        [
            "removed route jobs/a/",
            "changed route jobs/b/: priority from 0 to 4",
            "added route jobs/c/",
        ]
    );
}
