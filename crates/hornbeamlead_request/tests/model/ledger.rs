//! What callers asked, what ran and what was answered; checked at the end.

use super::{Happening, ModelNode, ModelWorld};
use crate::common::request;
use bytes::Bytes;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::effect::CallerAnswer;
use hornbeamlead_core::event::EntryEvent;
use hornbeamlead_core::ids::{CallerTicket, IdempotencyKey};
use hornbeamlead_core::message::request::{CallerRequest, RequestSafety};
use rand::Rng;
use std::collections::BTreeMap;

/// One request of a caller.
#[derive(Clone, Debug)]
pub(crate) struct CallRecord {
    pub(crate) node: usize,
    pub(crate) key: Option<u64>,
    pub(crate) idempotent: bool,
    pub(crate) deadline_us: u64,
    pub(crate) answers: Vec<CallerAnswer>,
    pub(crate) late: bool,
}

/// All requests, runs and answers.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallLedger {
    pub(crate) calls: BTreeMap<u64, CallRecord>,
    pub(crate) runs: BTreeMap<u64, u32>,
    pub(crate) key_runs: BTreeMap<Box<str>, u32>,
}

impl CallLedger {
    pub(crate) fn note_run(&mut self, request: &CallerRequest) {
        let order = String::from_utf8_lossy(&request.body).parse();
        *self
            .runs
            .entry(order.expect("an order number"))
            .or_default() += 1;
        if let Some(key) = &request.key {
            *self.key_runs.entry(key.as_str().into()).or_default() += 1;
        }
    }

    pub(crate) fn note_answer(
        &mut self,
        node: usize,
        ticket: CallerTicket,
        answer: CallerAnswer,
        now_us: u64,
        resumed_us: u64,
    ) {
        let call = self
            .calls
            .get_mut(&ticket.0)
            .expect("a ticket that was given out");
        assert_eq!(call.node, node, "answered by another entry");
        call.late |= now_us > call.deadline_us.max(resumed_us + 1);
        call.answers.push(answer);
    }

    /// Share of the calls that got the endpoint's answer, in percent.
    pub(crate) fn answered_percent(&self) -> usize {
        let answered =
            |call: &&CallRecord| matches!(call.answers.first(), Some(CallerAnswer::Answered(_)));
        let answered = self.calls.values().filter(answered).count();
        answered * 100 / self.calls.len().max(1)
    }
}

impl ModelWorld {
    pub(crate) fn plan_calls(&mut self) {
        for number in 0..self.plan.calls {
            let at = self.random.random_range(1_500_000..self.plan.active_us);
            self.add(at, Happening::Call { number });
        }
    }

    /// A caller asks a live entry; some calls carry one of a few keys.
    pub(crate) fn call(&mut self, number: u64) {
        let live: Vec<usize> = (0..self.nodes.len())
            .filter(|node| matches!(self.nodes[*node], ModelNode::Entry(_)))
            .filter(|node| !self.nodes[*node].clock().dead)
            .collect();
        if live.is_empty() {
            return;
        }
        let node = live[self.random.random_range(0..live.len())];
        let keyed = self.random.random_range(0..100) < self.plan.keyed_percent;
        let key = keyed.then(|| self.random.random_range(0..self.plan.keys));
        let idempotent = !keyed && self.random.random_range(0..3) == 0;
        let safety = match idempotent {
            true => RequestSafety::Idempotent,
            false => RequestSafety::NonIdempotent,
        };
        let mut content = request(safety, None);
        content.body = Bytes::from(number.to_string());
        content.key = key.and_then(|key| IdempotencyKey::new(&key.to_string()));
        let timeout_us = self
            .random
            .random_range(self.plan.min_timeout_us..2_000_000);
        self.ledger.calls.insert(
            number,
            CallRecord {
                node,
                key,
                idempotent,
                deadline_us: self.now_us + timeout_us,
                answers: Vec::new(),
                late: false,
            },
        );
        let event = EntryEvent::CallerRequested {
            ticket: CallerTicket(number),
            request: content,
            deadline: Some(MonoTime(self.clock_of(node).mono.0 + timeout_us)),
        };
        self.entry_event(node, event);
    }
}
