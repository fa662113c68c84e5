//! Discovers the fleet: the entries from the settings and the agents that they know.

use crate::operator_client::OperatorClient;
use crate::status_wire::ProcessWire;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Process of the fleet and its last status.
#[derive(Clone, Debug)]
pub(crate) struct KnownProcess {
    /// Host, or the address while the host is unknown.
    pub(crate) host: Box<str>,
    /// `entry` or `agent`.
    pub(crate) role: &'static str,
    /// Address of the operator listener.
    pub(crate) address: SocketAddr,
    /// `None` if the process did not answer.
    pub(crate) status: Option<ProcessWire>,
    /// Membership state reported by an entry; agents only.
    pub(crate) state: Option<Box<str>>,
}

/// Queries all entries, then all agents known to any of them; entries come first, each role
/// sorted by host.
pub(crate) async fn query_fleet(
    client: &OperatorClient,
    entries: &[SocketAddr],
) -> Vec<KnownProcess> {
    let responses = client
        .get_json_from_all::<ProcessWire>(entries.iter().copied(), "/status")
        .await;
    let mut known: Vec<KnownProcess> = responses
        .into_iter()
        .map(|(address, status)| known_entry(address, status))
        .collect();
    let mut agents = known_agents(&known);
    let responses = client
        .get_json_from_all::<ProcessWire>(agents.keys().copied(), "/status")
        .await;
    for (address, status) in responses {
        if let Some(agent) = agents.get_mut(&address) {
            agent.status = status;
        }
    }
    known.extend(agents.into_values());
    known.sort_by(|left, right| (right.role, &left.host).cmp(&(left.role, &right.host)));
    known
}

fn known_entry(address: SocketAddr, status: Option<ProcessWire>) -> KnownProcess {
    let host = status.as_ref().map(|status| status.host.clone());
    KnownProcess {
        host: host.unwrap_or_else(|| address.to_string().into()),
        role: "entry",
        address,
        status,
        state: None,
    }
}

fn known_agents(entries: &[KnownProcess]) -> BTreeMap<SocketAddr, KnownProcess> {
    let statuses = entries.iter().filter_map(|entry| entry.status.as_ref());
    let members = statuses.flat_map(|status| &status.members);
    members
        .map(|member| {
            let agent = KnownProcess {
                host: member.host.clone(),
                role: "agent",
                address: member.operators,
                status: None,
                state: Some(member.state.clone()),
            };
            (member.operators, agent)
        })
        .collect()
}
