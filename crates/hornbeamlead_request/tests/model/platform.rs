//! The log of notes, and a planner that gives leases and views by the rules of the design.

use super::{Happening, ModelNode, ModelWorld};
use crate::common::note;
use bytes::Bytes;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::event::{EntryEvent, NoteEntry, NoteRecord};
use hornbeamlead_core::ids::{CellId, LogOffset, NoteId};
use hornbeamlead_core::message::control::{CellView, ViewMember};
use hornbeamlead_core::note::{NoteItems, ReleaseNote};
use hornbeamlead_core::record::{LogBatch, LogError, LogRecord, RawRecord};
use rand::Rng;
use std::collections::BTreeMap;

/// Time between two rounds of the planner, in microseconds.
const ROUND_US: u64 = 250_000;

/// Length of a lease, in microseconds.
const LEASE_US: u64 = 1_500_000;

/// Silence after which a member is taken out: lease and margin.
const LAPSE_US: u64 = LEASE_US + 300_000;

/// Log and planner.
pub(crate) struct ModelPlatform {
    pub(crate) notes: Vec<ReleaseNote>,
    pub(crate) log_down: bool,
    views: BTreeMap<CellId, CellView>,
    renewed_us: BTreeMap<usize, u64>,
}

impl ModelPlatform {
    pub(crate) fn new() -> Self {
        Self {
            notes: vec![note(&[crate::common::CENTRE, "colombo"], &[])],
            log_down: false,
            views: BTreeMap::new(),
            renewed_us: BTreeMap::new(),
        }
    }

    /// Publishes that the second data centre leaves or comes back.
    pub(crate) fn publish(&mut self, in_service: bool) {
        let mut change = note(&["colombo"], &[]);
        change.added = NoteItems::default();
        change.changed.data_centres = note(&["colombo"], &[]).added.data_centres;
        change.changed.data_centres[0].in_service = in_service;
        change.id = NoteId::new(&format!("note-{}", self.notes.len())).expect("valid in tests");
        self.notes.push(change);
    }
}

impl ModelWorld {
    pub(crate) fn read_notes(&mut self, at_node: usize, from: LogOffset) {
        let began = self.clock_of(at_node).mono;
        let result = match self.platform.log_down {
            true => Err(LogError::Unavailable),
            false => Ok(self.batch(from)),
        };
        let delay = self.random.random_range(500..20_000);
        let event = EntryEvent::NotesRead { began, result };
        self.add(delay, Happening::Entry { at: at_node, event });
    }

    fn batch(&self, from: LogOffset) -> LogBatch<NoteRecord> {
        let placed = |(offset, note): (usize, &ReleaseNote)| LogRecord {
            offset: LogOffset(offset as u64),
            record: NoteRecord {
                entry: Some(NoteEntry::Note(note.clone())),
                raw: RawRecord {
                    offset: LogOffset(offset as u64),
                    payload: Bytes::new(),
                },
            },
        };
        let notes = self.platform.notes.iter().enumerate();
        LogBatch {
            oldest: LogOffset(0),
            next: LogOffset(self.platform.notes.len() as u64),
            records: notes.skip(from.0 as usize).map(placed).collect(),
        }
    }

    /// Renews leases, passes notes and views on, and takes lapsed members out.
    pub(crate) fn plan_views(&mut self) {
        let agents: Vec<usize> = (0..self.nodes.len())
            .filter(|node| matches!(self.nodes[*node], ModelNode::Agent(_)))
            .collect();
        for node in &agents {
            self.renew(*node);
        }
        for cell in [CellId(1), CellId(2)] {
            self.update_view(cell, &agents);
        }
        for node in agents {
            self.pass_on(node);
        }
        self.add(ROUND_US, Happening::Planner);
    }

    fn reached(&mut self, node: usize) -> bool {
        let gone = self.nodes[node].clock().dead || self.paused_until(node).is_some();
        let lost = self.now_us < self.faults_until_us && self.random.random_range(0..10) == 0;
        !gone && !lost
    }

    fn renew(&mut self, node: usize) {
        if !self.reached(node) {
            return;
        }
        let lapsed = self.lapsed(node);
        let now_us = self.now_us;
        let clock = self.clock_of(node).mono;
        let agent = self.agent_mut(node);
        if lapsed && agent.membership.lease_until.is_some() && agent.membership.view.is_some() {
            // A lapsed member comes back through a view without and then with it.
            agent.lapsed_us = now_us;
        }
        agent.membership.lease_until = Some(MonoTime(clock.0 + LEASE_US));
        self.platform.renewed_us.insert(node, now_us);
    }

    fn lapsed(&self, node: usize) -> bool {
        let renewed = self.platform.renewed_us.get(&node);
        renewed.is_none_or(|at| self.now_us - at > LAPSE_US)
    }

    fn update_view(&mut self, cell: CellId, agents: &[usize]) {
        let mut members: Vec<ViewMember> = Vec::new();
        for node in agents {
            let lapsed = self.lapsed(*node);
            let agent = self.agent_mut(*node);
            if agent.cell != cell || lapsed || agent.clock.dead {
                continue;
            }
            members.retain(|member| member.host != agent.host);
            members.push(ViewMember {
                host: agent.host.clone(),
                incarnation: agent.incarnation,
                link_address: agent.clock.address,
            });
        }
        let view = self.platform.views.get(&cell);
        let number = match view {
            Some(view) if view.members == members => return,
            Some(view) => view.number + 1,
            None => CellView::FIRST_NUMBER,
        };
        self.platform
            .views
            .insert(cell, CellView { number, members });
    }

    fn pass_on(&mut self, node: usize) {
        if !self.reached(node) {
            return;
        }
        let notes = self.platform.notes.clone();
        let cell = self.agent_mut(node).cell;
        let view = self.platform.views.get(&cell).cloned();
        let log_down = self.platform.log_down;
        let agent = self.agent_mut(node);
        agent.membership.view = view;
        if log_down {
            return;
        }
        for (offset, note) in notes.iter().enumerate() {
            agent
                .fleet
                .apply(LogOffset(offset as u64), note)
                .expect("accepted by the model");
        }
    }
}
