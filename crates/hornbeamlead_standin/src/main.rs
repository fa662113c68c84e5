//! Runs one stand-in as a process until the process is killed.

use bpaf::Bpaf;
use hornbeamlead_platform::worker_wire::SizeWire;
use hornbeamlead_standin::log::{LogControl, LogStandin};
use hornbeamlead_standin::proxy::{FaultProxy, ProxyFaults, ProxySettings};
use hornbeamlead_standin::worker::WorkerStandin;
use hornbeamlead_standin::worker::control::{WorkerControl, WorkerSettings};
use serde::de::DeserializeOwned;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;

/// Stands in for a part of the platform in tests.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum StandinCommand {
    /// Runs the platform's log.
    #[bpaf(command("log"))]
    Log {
        /// Address to listen on.
        #[bpaf(argument("ADDRESS"), fallback(any_port()))]
        listen: SocketAddr,
        /// Behaviour at start, as JSON.
        #[bpaf(argument("JSON"), fallback("{}".to_owned()))]
        control: String,
    },
    /// Runs a worker with its endpoint.
    #[bpaf(command("worker"))]
    Worker(#[bpaf(external(worker_options))] WorkerOptions),
    /// Runs the fault proxy.
    #[bpaf(command("proxy"))]
    Proxy {
        /// Address to listen on, over TCP and UDP.
        #[bpaf(argument("ADDRESS"), fallback(any_port()))]
        listen: SocketAddr,
        /// Address to forward to.
        #[bpaf(argument("ADDRESS"))]
        target: SocketAddr,
        /// Address of the HTTP interface that changes the faults.
        #[bpaf(argument("ADDRESS"), fallback(any_port()))]
        control_listen: SocketAddr,
        /// Seed of the random faults of datagrams.
        #[bpaf(argument("NUMBER"), fallback(1))]
        seed: u64,
        /// Faults at start, as JSON.
        #[bpaf(argument("JSON"), fallback("{}".to_owned()))]
        control: String,
    },
}

/// Options of a worker.
#[derive(Clone, Debug, Bpaf)]
struct WorkerOptions {
    /// Address that takes calls about tasks.
    #[bpaf(argument("ADDRESS"), fallback(any_port()))]
    listen: SocketAddr,
    /// Address that takes requests.
    #[bpaf(argument("ADDRESS"), fallback(any_port()))]
    endpoint: SocketAddr,
    /// Address where the agent takes announcements.
    #[bpaf(argument("ADDRESS"))]
    agent: Option<SocketAddr>,
    /// Service of the endpoint; may be given several times.
    #[bpaf(argument("NAME"))]
    service: Vec<String>,
    /// Requests that the endpoint runs at a time.
    #[bpaf(argument("NUMBER"), fallback(8))]
    slots: u16,
    /// Connections that the endpoint accepts at a time.
    #[bpaf(argument("NUMBER"), fallback(64))]
    connections: u16,
    /// Processors, in thousandths of a core.
    #[bpaf(argument("NUMBER"), fallback(16_000))]
    cpu_millis: u32,
    /// Memory, in mebibytes.
    #[bpaf(argument("NUMBER"), fallback(65_536))]
    memory_mebibytes: u32,
    /// Accelerators.
    #[bpaf(argument("NUMBER"), fallback(0))]
    accelerators: u16,
    /// Seed of jitter and faults.
    #[bpaf(argument("NUMBER"), fallback(1))]
    seed: u64,
    /// Behaviour at start, as JSON.
    #[bpaf(argument("JSON"), fallback("{}".to_owned()))]
    control: String,
}

fn main() -> ExitCode {
    match run(standin_command().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

fn run(command: StandinCommand) -> io::Result<()> {
    match command {
        StandinCommand::Log { listen, control } => {
            let control: LogControl = parse(&control)?;
            let log = LogStandin::start(listen, control)?;
            println!("listening role=log address={}", log.addr());
            wait_forever(log)
        }
        StandinCommand::Worker(options) => run_worker(options),
        StandinCommand::Proxy {
            listen,
            target,
            control_listen,
            seed,
            control,
        } => {
            let faults: ProxyFaults = parse(&control)?;
            let proxy = FaultProxy::start(ProxySettings {
                listen,
                target,
                control: control_listen,
                seed,
                faults,
            })?;
            let (address, control) = (proxy.addr(), proxy.control_addr());
            println!("listening role=proxy address={address} control={control}");
            wait_forever(proxy)
        }
    }
}

fn run_worker(options: WorkerOptions) -> io::Result<()> {
    let control: WorkerControl = parse(&options.control)?;
    let worker = WorkerStandin::start(WorkerSettings {
        listen: options.listen,
        endpoint: options.endpoint,
        agent: options.agent,
        services: options.service.into_iter().map(Into::into).collect(),
        slots: options.slots,
        connections: options.connections,
        capacity: SizeWire {
            cpu_millis: options.cpu_millis,
            memory_mebibytes: options.memory_mebibytes,
            accelerators: options.accelerators,
        },
        service_reserve: SizeWire::default(),
        seed: options.seed,
        control,
    })?;
    let (address, endpoint) = (worker.addr(), worker.endpoint_addr());
    println!("listening role=worker address={address} endpoint={endpoint}");
    wait_forever(worker)
}

/// Blocks until the process is killed, so that the stand-in keeps running.
fn wait_forever<T>(standin: T) -> io::Result<()> {
    loop {
        std::thread::park();
        let _ = &standin;
    }
}

fn parse<T: DeserializeOwned>(text: &str) -> io::Result<T> {
    serde_json::from_str(text).map_err(io::Error::other)
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
