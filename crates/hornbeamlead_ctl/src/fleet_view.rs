//! View of the fleet: the entries of the settings and the agents that they know.

use crate::operators::OperatorsClient;
use crate::status_wire::ProcessWire;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Process that is known, with its answer.
#[derive(Clone, Debug)]
pub(crate) struct KnownProcess {
    /// Host, or the address where nobody has named the host.
    pub(crate) host: Box<str>,
    /// Role.
    pub(crate) role: &'static str,
    /// Listener for operators.
    pub(crate) address: SocketAddr,
    /// Its status; `None` if it did not answer.
    pub(crate) status: Option<ProcessWire>,
    /// State in the eyes of an entry; agents only.
    pub(crate) state: Option<Box<str>>,
}

/// Asks all entries, then all agents that any of them knows.
pub(crate) async fn ask_fleet(
    client: &OperatorsClient,
    entries: &[SocketAddr],
) -> Vec<KnownProcess> {
    let answers = client
        .ask_all::<ProcessWire>(entries.iter().copied(), "/status")
        .await;
    let mut known: Vec<KnownProcess> = answers
        .into_iter()
        .map(|(address, status)| known_entry(address, status))
        .collect();
    let mut agents = known_agents(&known);
    let answers = client
        .ask_all::<ProcessWire>(agents.keys().copied(), "/status")
        .await;
    for (address, status) in answers {
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
