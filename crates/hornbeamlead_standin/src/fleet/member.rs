//! Process of a fleet, with its fault proxies.

use super::plan::{FleetPlan, NetworkAddresses};
use super::process::DaemonProcess;
use crate::client::{TestRequest, send_blocking};
use crate::proxy::{FaultProxy, ProxySettings};
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::path::Path;

/// Names of the listeners in the settings and in the log line of the start.
const LISTENERS: [&str; 4] = ["inner", "callers", "operators", "local"];

/// Role of a process, with its index in the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MemberRole {
    /// Entry, by its index.
    Entry(usize),
    /// Agent, by the index of its host.
    Agent(usize),
}

/// Process of a fleet, with its fault proxies.
#[derive(Debug)]
pub struct FleetMember {
    /// Daemon process.
    pub process: DaemonProcess,
    /// Proxy between other processes and the inner listener of this one.
    pub inner_proxy: Option<FaultProxy>,
    /// Proxy between this process and the log.
    pub log_proxy: Option<FaultProxy>,
    role: MemberRole,
    addresses: NetworkAddresses,
}

/// Proxies of a member, started before its process.
#[derive(Debug, Default)]
pub(crate) struct MemberProxies {
    inner: Option<FaultProxy>,
    log: Option<FaultProxy>,
}

impl MemberProxies {
    /// Starts the proxies of a member, if the plan has proxies.
    pub(crate) fn start(plan: &FleetPlan, log: SocketAddr) -> io::Result<Self> {
        if !plan.proxied {
            return Ok(Self::default());
        }
        // The inner proxy is retargeted once the process has bound its inner listener.
        Ok(Self {
            inner: Some(FaultProxy::start(ProxySettings::new(log))?),
            log: Some(FaultProxy::start(ProxySettings::new(log))?),
        })
    }

    /// Returns the address of the inner proxy, which the process advertises to others.
    pub(crate) fn advertised(&self) -> Option<SocketAddr> {
        self.inner.as_ref().map(FaultProxy::addr)
    }
}

impl FleetMember {
    /// Writes the settings file of a member and starts its process.
    pub(crate) fn start(
        plan: &FleetPlan,
        folder: &Path,
        role: MemberRole,
        mut addresses: NetworkAddresses,
        proxies: MemberProxies,
    ) -> io::Result<Self> {
        addresses.advertised = proxies.advertised();
        addresses.log = proxies.log.as_ref().map(FaultProxy::addr).or(addresses.log);
        let settings = member_settings(plan, role, &addresses);
        let file = folder.join(format!("{}.json", settings["host"].as_str().unwrap_or("x")));
        std::fs::write(&file, settings.to_string())?;
        let process = DaemonProcess::start(&plan.program, file)?;
        if let Some(proxy) = &proxies.inner {
            proxy.retarget(process.address("inner"));
        }
        Ok(Self {
            process,
            inner_proxy: proxies.inner,
            log_proxy: proxies.log,
            role,
            addresses,
        })
    }

    /// Kills the process if it is running and starts it again on the same ports.
    ///
    /// # Errors
    /// Returns an error if the settings file cannot be written or the process does not start.
    pub(crate) fn restart(&mut self, plan: &FleetPlan) -> io::Result<()> {
        let bound = LISTENERS
            .iter()
            .filter_map(|name| Some(((*name).into(), self.process.bound(name)?)));
        self.addresses.bound = bound.collect();
        let settings = member_settings(plan, self.role, &self.addresses);
        std::fs::write(self.process.settings_file(), settings.to_string())?;
        self.process.restart()
    }

    /// Returns the address at which other processes reach the inner listener.
    #[must_use]
    pub fn reachable_addr(&self) -> SocketAddr {
        let proxy = self.inner_proxy.as_ref().map(FaultProxy::addr);
        proxy.unwrap_or_else(|| self.process.address("inner"))
    }

    /// Gets JSON from the operators' listener; `Null` if there is no valid response.
    #[must_use]
    pub fn query_operators(&self, path: &str) -> Value {
        let request = TestRequest::get(self.process.address("operators"), path);
        send_blocking(&request).map_or(Value::Null, |answer| answer.json())
    }

    /// Gets the status from the operators' listener; `Null` if there is no valid response.
    #[must_use]
    pub fn status(&self) -> Value {
        self.query_operators("/status")
    }
}

fn member_settings(plan: &FleetPlan, role: MemberRole, addresses: &NetworkAddresses) -> Value {
    match role {
        MemberRole::Entry(index) => plan.entry_json(index, addresses),
        MemberRole::Agent(index) => plan.agent_json(index, addresses),
    }
}
