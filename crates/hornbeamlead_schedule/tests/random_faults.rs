//! Random schedules of faults over two data centres, then quiet, then convergence.

mod common;

use common::{FaultRates, SECOND, World, job, plans};
use hornbeamlead_core::note::DeliveryMode;
use hornbeamlead_core::policy::SchedulePolicy;
use proptest::prelude::*;
use std::time::Duration;

/// Hosts of each data centre.
const HOSTS: usize = 3;

/// Fault or operator's act at one step of a schedule.
#[derive(Clone, Debug)]
enum Act {
    KillAgent(usize),
    StartAgent(usize),
    Pause(usize, u64),
    LoseHost(usize),
    ReturnHost(usize),
    LogDown,
    LogUp,
    CutFromLog(usize),
    JoinLog(usize),
    Split(u8),
    Heal,
    Drain(usize),
    Return(usize),
    Faulty(FaultRates),
    Quiet,
    KillPlanner(usize),
    PausePlanner(usize, u64),
    CutPlanner(usize),
}

const CENTRES: [&str; 2] = ["negombo", "colombo"];

fn act() -> impl Strategy<Value = Act> {
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
        host.clone().prop_map(Act::KillAgent),
        host.clone().prop_map(Act::StartAgent),
        (host.clone(), 1..25_u64).prop_map(|(host, seconds)| Act::Pause(host, seconds)),
        host.clone().prop_map(Act::LoseHost),
        host.clone().prop_map(Act::ReturnHost),
        Just(Act::LogDown),
        Just(Act::LogUp),
        host.clone().prop_map(Act::CutFromLog),
        host.prop_map(Act::JoinLog),
        (1..64_u8).prop_map(Act::Split),
        Just(Act::Heal),
        (0..CENTRES.len()).prop_map(Act::Drain),
        (0..CENTRES.len()).prop_map(Act::Return),
        rates.prop_map(|rates| Act::Faulty(FaultRates {
            drop: rates.0,
            duplicate: rates.1,
            delay: rates.2,
            lost_append: rates.3,
            late_append: rates.4,
            lost_call: rates.5,
        })),
        Just(Act::Quiet),
        (0..CENTRES.len()).prop_map(Act::KillPlanner),
        ((0..CENTRES.len()), 1..25_u64)
            .prop_map(|(cell, seconds)| Act::PausePlanner(cell, seconds)),
        (0..CENTRES.len()).prop_map(Act::CutPlanner),
    ]
}

fn play(world: &mut World, step: usize, act: &Act) {
    let planner = |world: &World, cell: &usize| world.planner(*cell as u32 + 1);
    match act {
        Act::KillAgent(host) => world.kill_agent(*host),
        Act::StartAgent(host) if world.hosts[*host].worker.is_some() => world.start_agent(*host),
        Act::StartAgent(_) => {}
        Act::Pause(host, seconds) => world.hosts[*host].paused_until = world.now + seconds * SECOND,
        Act::LoseHost(host) => world.lose_host(*host),
        Act::ReturnHost(host) => world.return_host(*host),
        Act::LogDown => world.log_down = true,
        Act::LogUp => world.log_down = false,
        Act::CutFromLog(host) => world.hosts[*host].cut_from_log = true,
        Act::JoinLog(host) => world.hosts[*host].cut_from_log = false,
        Act::Split(bits) => {
            for (index, host) in world.hosts.iter_mut().enumerate() {
                host.side = bits >> index & 1;
            }
        }
        Act::Heal => world.hosts.iter_mut().for_each(|host| host.side = 0),
        Act::Drain(centre) => world.set_service(&format!("out-{step}"), CENTRES[*centre], false),
        Act::Return(centre) => world.set_service(&format!("in-{step}"), CENTRES[*centre], true),
        Act::Faulty(rates) => world.rates = *rates,
        Act::Quiet => world.rates = FaultRates::default(),
        Act::KillPlanner(cell) => {
            if let Some(host) = planner(world, cell) {
                world.kill_agent(host);
            }
        }
        Act::PausePlanner(cell, seconds) => {
            if let Some(host) = planner(world, cell) {
                world.hosts[host].paused_until = world.now + seconds * SECOND;
            }
        }
        Act::CutPlanner(cell) => {
            if let Some(host) = planner(world, cell) {
                world.hosts[host].cut_from_log = true;
            }
        }
    }
}

fn end_faults(world: &mut World) {
    world.rates = FaultRates::default();
    world.log_down = false;
    for index in 0..world.hosts.len() {
        let host = &mut world.hosts[index];
        host.cut_from_log = false;
        host.side = 0;
        host.paused_until = host.paused_until.min(world.now);
        world.return_host(index);
    }
    for centre in CENTRES {
        world.set_service(&format!("end-{centre}"), centre, true);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, max_shrink_iters: 40, ..ProptestConfig::default() })]

    #[test]
    fn holds_and_converges(
        seed in any::<u64>(),
        acts in prop::collection::vec((act(), 200..6_000_u64), 4..24),
    ) {
        let policy = SchedulePolicy {
            outage_bound: Duration::from_secs(40),
            ..SchedulePolicy::default()
        };
        let mut world = World::new(seed, &plans(&CENTRES, HOSTS), policy);
        let mut once = job("weigh", 4, Duration::from_secs(6));
        once.delivery = DeliveryMode::AtMostOnce;
        world.add_jobs("jobs", vec![job("season", 16, Duration::from_secs(15)), once]);
        world.run(Duration::from_secs(4));
        for (step, (act, millis)) in acts.iter().enumerate() {
            play(&mut world, step, act);
            world.run(Duration::from_millis(*millis));
            world.check_workers();
        }
        end_faults(&mut world);
        let done = world.run_until(Duration::from_secs(240), |world| {
            world.all_ended("season") == 16 && world.all_ended("weigh") == 4
        });
        prop_assert_eq!(&world.violations, &Vec::<String>::new(), "{:#?}", world.trace);
        prop_assert!(done, "not all ended: {:#?}", world.trace);
    }
}
