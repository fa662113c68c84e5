//! The platform's store: a log with topics of one partition each.
//!
//! Answers take 4 ms; records expire after 20 s, the newest of each key never does.

use crate::http::{Reply, Request};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ANSWER_TIME: Duration = Duration::from_millis(4);
const RETENTION: Duration = Duration::from_secs(20);
const MAX_CALL_BYTES: usize = 2_097_152;
const MAX_RECORD_BYTES: usize = 262_144;
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

#[derive(Default)]
struct Topic {
    records: VecDeque<(Instant, Vec<u8>)>,
    first: u64,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
    producers: HashMap<String, Producer>,
}

#[derive(Default)]
struct Producer {
    epoch: u64,
    sequence: Option<u64>,
    /// Epoch, sequence number, offset and end of the last appends.
    answers: VecDeque<(u64, u64, u64, u64)>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn expire(&mut self, now: Instant) {
        while self
            .records
            .front()
            .is_some_and(|(at, _)| now.duration_since(*at) > RETENTION)
        {
            self.records.pop_front();
            self.first += 1;
        }
    }
}

#[derive(Default)]
pub struct Store {
    topics: Mutex<HashMap<String, Topic>>,
    changed: Condvar,
}

impl Store {
    /// Writes a record of the operator; without a value the key is dropped.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let mut topics = self.topics.lock().unwrap();
        add(topics.entry(topic.into()).or_default(), true, vec![record]);
        self.changed.notify_all();
    }

    pub fn answer(&self, request: &Request) -> Option<Reply> {
        thread::sleep(ANSWER_TIME);
        let topic = request.query_text("topic").unwrap_or_default().to_string();
        Some(match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/-/log-append") if topic == "keyed.op" || topic == "keyed.servers" => {
                Reply::new(403, "{}")
            }
            ("POST", "/-/log-append") => self.append(&topic, request),
            ("GET", "/-/log-read") => self.read(&topic, request),
            ("GET", "/-/log-newest") => self.newest(&topic, request),
            _ => Reply::new(404, "{}"),
        })
    }

    fn append(&self, name: &str, request: &Request) -> Reply {
        let Some(records) = split_records(&request.body) else {
            return Reply::new(400, "{}");
        };
        let total: usize = records.iter().map(Vec::len).sum();
        if total > MAX_CALL_BYTES || records.iter().any(|record| record.len() > MAX_RECORD_BYTES) {
            return Reply::new(413, "{}");
        }
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(name.into()).or_default();
        topic.expire(Instant::now());
        let end = topic.end();
        let producer = request.query_text("producer");
        let epoch = request.query_number("epoch").unwrap_or(0);
        let sequence = request.query_number("sequence");
        if let Some(producer) = producer {
            let producer = topic.producers.entry(producer.into()).or_default();
            let same =
                |answer: &&(u64, u64, u64, u64)| answer.0 == epoch && Some(answer.1) == sequence;
            if let Some((_, _, offset, end)) = producer.answers.iter().find(same) {
                return Reply::new(200, format!(r#"{{"offset":{offset},"end":{end}}}"#));
            }
            if epoch < producer.epoch {
                return Reply::new(409, r#"{"reason":"fenced"}"#);
            }
            let expected = producer.sequence.map_or(0, |last| last + 1);
            if epoch == producer.epoch
                && producer.sequence.is_some()
                && sequence.is_some_and(|it| it != expected)
            {
                return Reply::new(409, format!(r#"{{"reason":"seq","sequence":{expected}}}"#));
            }
        }
        if request.query_number("at").is_some_and(|at| at != end) {
            return Reply::new(412, format!(r#"{{"end":{end}}}"#));
        }
        add(topic, name.starts_with("keyed."), records);
        let new_end = topic.end();
        if let (Some(producer), Some(sequence)) = (producer, sequence) {
            let producer = topic.producers.entry(producer.into()).or_default();
            producer.epoch = epoch;
            producer.sequence = Some(sequence);
            producer.answers.push_back((epoch, sequence, end, new_end));
            if producer.answers.len() > 5 {
                producer.answers.pop_front();
            }
        }
        self.changed.notify_all();
        Reply::new(200, format!(r#"{{"offset":{end},"end":{new_end}}}"#))
    }

    fn read(&self, name: &str, request: &Request) -> Reply {
        let from = request.query_number("from").unwrap_or(0);
        let limit = request.query_number("maxKb").unwrap_or(1024) as usize * 1024;
        let wait = Duration::from_millis(request.query_number("waitMs").unwrap_or(0).min(30_000));
        let deadline = Instant::now() + wait;
        let mut topics = self.topics.lock().unwrap();
        loop {
            let topic = topics.entry(name.into()).or_default();
            topic.expire(Instant::now());
            if from < topic.first {
                return Reply::new(410, format!(r#"{{"first":{}}}"#, topic.first));
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if from < topic.end() || left.is_zero() {
                let mut body = topic.end().to_be_bytes().to_vec();
                body.extend(topic.first.to_be_bytes());
                let skip = (from - topic.first) as usize;
                for (_, record) in topic.records.iter().skip(skip) {
                    if body.len() > 16 && body.len() + record.len() > limit {
                        break;
                    }
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return Reply::new(200, body);
            }
            topics = self.changed.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn newest(&self, name: &str, request: &Request) -> Reply {
        let after = request.query_text("dependsOn");
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(name.into()).or_default();
        let is_next = |key: &String| after.is_none_or(|after| key.as_str() > after);
        let mut items = Vec::new();
        let (mut size, mut more) = (0, false);
        for (key, (offset, value)) in topic.newest.iter().filter(|(key, _)| is_next(key)) {
            if items.len() == PAGE_ITEMS || (size > 0 && size + value.len() > PAGE_BYTES) {
                more = true;
                break;
            }
            size += value.len();
            let value = base64(value);
            items.push(format!(
                r#"{{"key":"{key}","value":"{value}","offset":{offset}}}"#
            ));
        }
        let (items, end) = (items.join(","), topic.end());
        Reply::new(
            200,
            format!(r#"{{"items":[{items}],"hasMore":{more},"end":{end}}}"#),
        )
    }
}

fn add(topic: &mut Topic, keyed: bool, records: Vec<Vec<u8>>) {
    for record in records {
        let offset = topic.end();
        let length = record.first().map_or(0, |length| usize::from(*length));
        if keyed && record.len() > length {
            let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
            match &record[length + 1..] {
                [] => drop(topic.newest.remove(&key)),
                value => drop(topic.newest.insert(key, (offset, value.to_vec()))),
            }
        }
        topic.records.push_back((Instant::now(), record));
    }
}

fn split_records(mut body: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let length = u32::from_be_bytes(body.get(..4)?.try_into().ok()?) as usize;
        records.push(body.get(4..4 + length)?.to_vec());
        body = &body[4 + length..];
    }
    Some(records)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let group = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let digit = DIGITS[(group >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= chunk.len() {
                digit.into()
            } else {
                '='
            });
        }
    }
    text
}
