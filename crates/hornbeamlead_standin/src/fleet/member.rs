//! Process of a fleet with the proxies around it.

use super::plan::{FleetPlan, NetworkPlace};
use super::process::DaemonProcess;
use crate::client::{TestRequest, send_blocking};
use crate::proxy::{FaultProxy, ProxySettings};
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::path::Path;

/// Names of the listeners in the settings.
const LISTENERS: [&str; 4] = ["inner", "callers", "operators", "local"];

/// Which process of the plan a member is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MemberRole {
    /// Entry with its index.
    Entry(usize),
    /// Agent with the index of its host.
    Agent(usize),
}

/// Process with the proxies around it.
#[derive(Debug)]
pub struct FleetMember {
    /// Process.
    pub process: DaemonProcess,
    /// Proxy that others go through to its inner listener.
    pub inner_proxy: Option<FaultProxy>,
    /// Proxy that it goes through to the log.
    pub log_proxy: Option<FaultProxy>,
    role: MemberRole,
    place: NetworkPlace,
}

/// Proxies of a member, made before it starts.
#[derive(Debug, Default)]
pub(crate) struct MemberProxies {
    inner: Option<FaultProxy>,
    log: Option<FaultProxy>,
}

impl MemberProxies {
    /// Starts the proxies of a member; none where the plan has none.
    pub(crate) fn start(plan: &FleetPlan, log: SocketAddr) -> io::Result<Self> {
        if !plan.proxied {
            return Ok(Self::default());
        }
        // The inner proxy's real target is known once the process has started.
        Ok(Self {
            inner: Some(FaultProxy::start(ProxySettings::new(log))?),
            log: Some(FaultProxy::start(ProxySettings::new(log))?),
        })
    }

    /// Returns the address that others are told.
    pub(crate) fn advertised(&self) -> Option<SocketAddr> {
        self.inner.as_ref().map(FaultProxy::addr)
    }
}

impl FleetMember {
    /// Starts a member.
    pub(crate) fn start(
        plan: &FleetPlan,
        folder: &Path,
        role: MemberRole,
        mut place: NetworkPlace,
        proxies: MemberProxies,
    ) -> io::Result<Self> {
        place.advertised = proxies.advertised();
        place.log = proxies.log.as_ref().map(FaultProxy::addr).or(place.log);
        let settings = word_settings(plan, role, &place);
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
            place,
        })
    }

    /// Ends the process if it runs and starts it again on the same ports.
    ///
    /// # Errors
    /// Returns the error of starting.
    pub(crate) fn restart(&mut self, plan: &FleetPlan) -> io::Result<()> {
        let bound = LISTENERS
            .iter()
            .filter_map(|name| Some(((*name).into(), self.process.bound(name)?)));
        self.place.bound = bound.collect();
        let settings = word_settings(plan, self.role, &self.place);
        std::fs::write(self.process.settings_file(), settings.to_string())?;
        self.process.start_again()
    }

    /// Returns the address by which others reach the inner listener.
    #[must_use]
    pub fn reached_at(&self) -> SocketAddr {
        let proxy = self.inner_proxy.as_ref().map(FaultProxy::addr);
        proxy.unwrap_or_else(|| self.process.address("inner"))
    }

    /// Asks the operators' listener; `Null` when there is no answer.
    #[must_use]
    pub fn query_operators(&self, path: &str) -> Value {
        let request = TestRequest::get(self.process.address("operators"), path);
        send_blocking(&request).map_or(Value::Null, |answer| answer.json())
    }

    /// Asks for the status; `Null` when there is no answer.
    #[must_use]
    pub fn status(&self) -> Value {
        self.query_operators("/status")
    }
}

fn word_settings(plan: &FleetPlan, role: MemberRole, place: &NetworkPlace) -> Value {
    match role {
        MemberRole::Entry(index) => plan.word_entry(index, place),
        MemberRole::Agent(index) => plan.word_agent(index, place),
    }
}
