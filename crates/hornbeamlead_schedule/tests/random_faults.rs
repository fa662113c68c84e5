//! Random fault schedules over two data centres, followed by convergence without faults.

mod common;

use common::{FaultRates, SECOND, SimCluster, host_specs, job};
use hornbeamlead_core::note::DeliveryMode;
use hornbeamlead_core::policy::SchedulePolicy;
use proptest::prelude::*;
use std::time::Duration;

/// Number of hosts in each data centre.
const HOSTS: usize = 3;

/// Fault or operator action at one step of a schedule.
#[derive(Clone, Debug)]
enum FaultAction {
    KillAgent(usize),
    StartAgent(usize),
    Pause(usize, u64),
    LoseHost(usize),
    ReturnHost(usize),
    LogDown,
    LogUp,
    DisconnectLog(usize),
    ReconnectLog(usize),
    Split(u8),
    Heal,
    Drain(usize),
    Return(usize),
    Faulty(FaultRates),
    Quiet,
    KillPlanner(usize),
    PausePlanner(usize, u64),
    DisconnectPlanner(usize),
}

const CENTRES: [&str; 2] = ["negombo", "colombo"];

fn action() -> impl Strategy<Value = FaultAction> {
    let host = 0..HOSTS * CENTRES.len();
    let rates = (
        0..20_u32,
        0..20_u32,
        0..20_u32,
        0..30_u32,
        0..20_u32,
        0..5_u32,
    );
    prop_oneof![
        host.clone().prop_map(FaultAction::KillAgent),
        host.clone().prop_map(FaultAction::StartAgent),
        (host.clone(), 1..25_u64).prop_map(|(host, seconds)| FaultAction::Pause(host, seconds)),
        host.clone().prop_map(FaultAction::LoseHost),
        host.clone().prop_map(FaultAction::ReturnHost),
        Just(FaultAction::LogDown),
        Just(FaultAction::LogUp),
        host.clone().prop_map(FaultAction::DisconnectLog),
        host.prop_map(FaultAction::ReconnectLog),
        (1..64_u8).prop_map(FaultAction::Split),
        Just(FaultAction::Heal),
        (0..CENTRES.len()).prop_map(FaultAction::Drain),
        (0..CENTRES.len()).prop_map(FaultAction::Return),
        rates.prop_map(|rates| FaultAction::Faulty(FaultRates {
            drop: rates.0,
            duplicate: rates.1,
            delay: rates.2,
            lost_append: rates.3,
            late_append: rates.4,
            lost_call: rates.5,
        })),
        Just(FaultAction::Quiet),
        (0..CENTRES.len()).prop_map(FaultAction::KillPlanner),
        ((0..CENTRES.len()), 1..25_u64)
            .prop_map(|(cell, seconds)| FaultAction::PausePlanner(cell, seconds)),
        (0..CENTRES.len()).prop_map(FaultAction::DisconnectPlanner),
    ]
}

fn apply(cluster: &mut SimCluster, step: usize, action: &FaultAction) {
    let planner = |cluster: &SimCluster, cell: &usize| cluster.planner(*cell as u32 + 1);
    match action {
        FaultAction::KillAgent(host) => cluster.kill_agent(*host),
        FaultAction::StartAgent(host) if cluster.hosts[*host].worker.is_some() => {
            cluster.start_agent(*host)
        }
        FaultAction::StartAgent(_) => {}
        FaultAction::Pause(host, seconds) => {
            cluster.hosts[*host].paused_until = cluster.now + seconds * SECOND
        }
        FaultAction::LoseHost(host) => cluster.lose_host(*host),
        FaultAction::ReturnHost(host) => cluster.return_host(*host),
        FaultAction::LogDown => cluster.log_down = true,
        FaultAction::LogUp => cluster.log_down = false,
        FaultAction::DisconnectLog(host) => cluster.hosts[*host].log_unreachable = true,
        FaultAction::ReconnectLog(host) => cluster.hosts[*host].log_unreachable = false,
        FaultAction::Split(bits) => {
            for (index, host) in cluster.hosts.iter_mut().enumerate() {
                host.partition = bits >> index & 1;
            }
        }
        FaultAction::Heal => cluster.hosts.iter_mut().for_each(|host| host.partition = 0),
        FaultAction::Drain(centre) => {
            cluster.set_service(&format!("out-{step}"), CENTRES[*centre], false)
        }
        FaultAction::Return(centre) => {
            cluster.set_service(&format!("in-{step}"), CENTRES[*centre], true)
        }
        FaultAction::Faulty(rates) => cluster.rates = *rates,
        FaultAction::Quiet => cluster.rates = FaultRates::default(),
        FaultAction::KillPlanner(cell) => {
            if let Some(host) = planner(cluster, cell) {
                cluster.kill_agent(host);
            }
        }
        FaultAction::PausePlanner(cell, seconds) => {
            if let Some(host) = planner(cluster, cell) {
                cluster.hosts[host].paused_until = cluster.now + seconds * SECOND;
            }
        }
        FaultAction::DisconnectPlanner(cell) => {
            if let Some(host) = planner(cluster, cell) {
                cluster.hosts[host].log_unreachable = true;
            }
        }
    }
}

fn end_faults(cluster: &mut SimCluster) {
    cluster.rates = FaultRates::default();
    cluster.log_down = false;
    for index in 0..cluster.hosts.len() {
        let host = &mut cluster.hosts[index];
        host.log_unreachable = false;
        host.partition = 0;
        host.paused_until = host.paused_until.min(cluster.now);
        cluster.return_host(index);
    }
    for centre in CENTRES {
        cluster.set_service(&format!("end-{centre}"), centre, true);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, max_shrink_iters: 40, ..ProptestConfig::default() })]

    #[test]
    fn invariants_and_convergence(
        seed in any::<u64>(),
        actions in prop::collection::vec((action(), 200..6_000_u64), 4..24),
    ) {
        let policy = SchedulePolicy {
            outage_bound: Duration::from_secs(40),
            ..SchedulePolicy::default()
        };
        let mut cluster = SimCluster::new(seed, &host_specs(&CENTRES, HOSTS), policy);
        let mut once = job("weigh", 4, Duration::from_secs(6));
        once.delivery = DeliveryMode::AtMostOnce;
        cluster.add_jobs("jobs", vec![job("season", 16, Duration::from_secs(15)), once]);
        cluster.run(Duration::from_secs(4));
        for (step, (action, millis)) in actions.iter().enumerate() {
            apply(&mut cluster, step, action);
            cluster.run(Duration::from_millis(*millis));
            cluster.check_workers();
        }
        end_faults(&mut cluster);
        let done = cluster.run_until(Duration::from_secs(240), |cluster| {
            cluster.all_ended("season") == 16 && cluster.all_ended("weigh") == 4
        });
        prop_assert_eq!(&cluster.violations, &Vec::<String>::new(), "{:#?}", cluster.trace);
        prop_assert!(done, "not all ended: {:#?}", cluster.trace);
    }
}
