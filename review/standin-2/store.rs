//! Stand-in for the platform's store: a log with topics of one partition each.

use crate::http::{Reply, Request, Server};
use crate::json::{base64, quote};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// `recordBytes` and `callBytes` of the settings in the pages.
const RECORD_BYTES: usize = 262_144;
const CALL_BYTES: usize = 2_097_152;

/// Seconds of history of the small deployments.
const KEEP: Duration = Duration::from_secs(20);

/// Time of an answer.
const SERVICE_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
struct Producer {
    epoch: u64,
    sequence: u64,
    answers: VecDeque<(u64, u64, u64, u64)>,
}

#[derive(Default)]
struct Topic {
    records: VecDeque<(Instant, Vec<u8>)>,
    first: u64,
    newest: BTreeMap<Vec<u8>, (u64, Vec<u8>)>,
    producers: HashMap<String, Producer>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

#[derive(Default)]
pub struct StoreState {
    topics: HashMap<String, Topic>,
    /// Calls that were refused because they were too large: topic, bytes.
    pub too_large: Vec<(String, usize)>,
    /// Largest call of each topic.
    pub largest: BTreeMap<String, usize>,
}

#[derive(Clone, Default)]
pub struct Store(pub Arc<Mutex<StoreState>>);

impl Store {
    pub fn serve(&self, address: SocketAddr) -> std::io::Result<Server> {
        let store = self.clone();
        Server::start(address, move |request| store.answer(&request))
    }

    /// Writes a record as the operator does.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut content = vec![key.len() as u8];
        content.extend(key.as_bytes());
        content.extend(value.as_bytes());
        self.0.lock().unwrap().add(topic, vec![content]);
    }

    fn answer(&self, request: &Request) -> Option<Reply> {
        thread::sleep(SERVICE_TIME);
        match &*request.path {
            "/-/log-append" => self.append(request),
            "/-/log-read" => self.read(request),
            "/-/log-newest" => self.newest(request),
            _ => Reply::json(404, "{}"),
        }
    }

    fn append(&self, request: &Request) -> Option<Reply> {
        let topic = request.query.get("topic").cloned().unwrap_or_default();
        if topic == "keyed.op" || topic == "keyed.servers" {
            return Reply::json(403, "{}");
        }
        let mut state = self.0.lock().unwrap();
        let mut records = Vec::new();
        let mut rest = &request.body[..];
        while !rest.is_empty() {
            let length = rest.get(..4).and_then(|head| head.try_into().ok());
            let length = u32::from_be_bytes(length?) as usize;
            let Some(content) = rest.get(4..4 + length) else {
                return Reply::json(400, "{}");
            };
            records.push(content.to_vec());
            rest = &rest[4 + length..];
        }
        let total: usize = records.iter().map(Vec::len).sum();
        let largest = state.largest.entry(topic.clone()).or_default();
        *largest = total.max(*largest);
        if total > CALL_BYTES || records.iter().any(|record| record.len() > RECORD_BYTES) {
            state.too_large.push((topic, total));
            return Reply::json(400, "{}");
        }
        let number = |name: &str| {
            request
                .query
                .get(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let end = state.topics.entry(topic.clone()).or_default().end();
        let stored = state.topics.entry(topic.clone()).or_default();
        let producer = request.query.get("producer");
        let numbers = number("epoch").zip(number("sequence"));
        if let Some((producer, (epoch, sequence))) = producer.zip(numbers) {
            let known = stored.producers.entry(producer.clone()).or_default();
            let repeat = known
                .answers
                .iter()
                .find(|it| (it.0, it.1) == (epoch, sequence));
            if let Some((_, _, offset, end)) = repeat {
                return Reply::json(200, format!("{{\"offset\":{offset},\"end\":{end}}}"));
            }
            if number("at").is_some_and(|at| at != end) {
                return Reply::json(412, format!("{{\"end\":{end}}}"));
            }
            if epoch < known.epoch {
                return Reply::json(409, "{\"reason\":\"fenced\"}");
            }
            if epoch == known.epoch && sequence != known.sequence + 1 && !known.answers.is_empty() {
                let body = format!("{{\"reason\":\"seq\",\"sequence\":{}}}", known.sequence + 1);
                return Reply::json(409, body);
            }
            let after = end + records.len() as u64;
            (known.epoch, known.sequence) = (epoch, sequence);
            known.answers.push_back((epoch, sequence, end, after));
            if known.answers.len() > 5 {
                known.answers.pop_front();
            }
        } else if number("at").is_some_and(|at| at != end) {
            return Reply::json(412, format!("{{\"end\":{end}}}"));
        }
        state.add(&topic, records);
        let after = state.topics[&topic].end();
        Reply::json(200, format!("{{\"offset\":{end},\"end\":{after}}}"))
    }

    fn read(&self, request: &Request) -> Option<Reply> {
        let topic = request.query.get("topic").cloned().unwrap_or_default();
        let number = |name: &str| {
            request
                .query
                .get(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let (from, wait) = (number("from").unwrap_or(0), number("waitMs").unwrap_or(0));
        let most = number("maxKb").unwrap_or(1024) as usize * 1024;
        let deadline = Instant::now() + Duration::from_millis(wait);
        loop {
            {
                let mut state = self.0.lock().unwrap();
                state.expire();
                let Some(stored) = state.topics.get(&topic) else {
                    drop(state);
                    return Reply::json(404, "{}");
                };
                if from < stored.first {
                    return Reply::json(410, format!("{{\"first\":{}}}", stored.first));
                }
                if from < stored.end() || Instant::now() >= deadline {
                    let mut body = stored.end().to_be_bytes().to_vec();
                    body.extend(stored.first.to_be_bytes());
                    let skipped = (from - stored.first) as usize;
                    for (_, content) in stored.records.iter().skip(skipped) {
                        if body.len() > 16 && body.len() + content.len() > most {
                            break;
                        }
                        body.extend((content.len() as u32).to_be_bytes());
                        body.extend(content);
                    }
                    return Reply::raw(body);
                }
            }
            thread::sleep(Duration::from_millis(4));
        }
    }

    fn newest(&self, request: &Request) -> Option<Reply> {
        let topic = request.query.get("topic").cloned().unwrap_or_default();
        let after = request
            .query
            .get("dependsOn")
            .map(|key| key.as_bytes().to_vec());
        let state = self.0.lock().unwrap();
        let Some(stored) = state.topics.get(&topic) else {
            return Reply::json(404, "{}");
        };
        let (mut items, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, (offset, value)) in &stored.newest {
            if after.as_ref().is_some_and(|after| key <= after) {
                continue;
            }
            if items.len() == 500 || bytes > 1_000_000 {
                more = true;
                break;
            }
            bytes += value.len();
            let key = quote(&String::from_utf8_lossy(key));
            let value = base64(value);
            items.push(format!(
                "{{\"key\":{key},\"value\":\"{value}\",\"offset\":{offset}}}"
            ));
        }
        let items = items.join(",");
        let end = stored.end();
        Reply::json(
            200,
            format!("{{\"items\":[{items}],\"hasMore\":{more},\"end\":{end}}}"),
        )
    }
}

impl StoreState {
    fn add(&mut self, topic: &str, records: Vec<Vec<u8>>) {
        let stored = self.topics.entry(topic.to_owned()).or_default();
        for content in records {
            let offset = stored.end();
            if topic.starts_with("keyed.") {
                let length = usize::from(content.first().copied().unwrap_or(0));
                let key = content.get(1..1 + length).unwrap_or_default().to_vec();
                match content.get(1 + length..) {
                    Some(value) if !value.is_empty() => {
                        stored.newest.insert(key, (offset, value.to_vec()));
                    }
                    _ => {
                        stored.newest.remove(&key);
                    }
                }
            }
            stored.records.push_back((Instant::now(), content));
        }
    }

    fn expire(&mut self) {
        for stored in self.topics.values_mut() {
            while stored
                .records
                .front()
                .is_some_and(|(at, _)| at.elapsed() > KEEP)
            {
                stored.records.pop_front();
                stored.first += 1;
            }
        }
    }

    /// Returns the bytes that all topics hold.
    pub fn size(&self) -> usize {
        let size = |topic: &Topic| {
            let records: usize = topic.records.iter().map(|(_, content)| content.len()).sum();
            records
                + topic
                    .newest
                    .values()
                    .map(|(_, value)| value.len())
                    .sum::<usize>()
        };
        self.topics.values().map(size).sum()
    }
}
