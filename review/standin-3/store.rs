//! The platform's store: a log with topics of one partition, as PROTOCOL.md describes it.

use crate::http::{Reply, Request, serve};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Time for which records are kept: the sheets' 20 s of history.
const KEEP: Duration = Duration::from_secs(20);

/// Most keys, and most bytes, of a page of newest records.
const PAGE_KEYS: usize = 500;
const PAGE_BYTES: usize = 1024 * 1024;

/// Number of appends of a producer whose first response is repeated.
const REPEATED: usize = 5;

#[derive(Default)]
struct Topic {
    first: u64,
    records: VecDeque<(Instant, Vec<u8>)>,
    newest: BTreeMap<Vec<u8>, (u64, Vec<u8>)>,
    epoch: u64,
    sequence: u64,
    answers: VecDeque<(u64, u64, u64)>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn expire(&mut self) {
        while self
            .records
            .front()
            .is_some_and(|(at, _)| at.elapsed() > KEEP)
        {
            self.records.pop_front();
            self.first += 1;
        }
    }

    fn add(&mut self, is_keyed: bool, records: Vec<Vec<u8>>) -> u64 {
        let offset = self.end();
        for record in records {
            if is_keyed && !record.is_empty() {
                let split = (1 + usize::from(record[0])).min(record.len());
                let (key, value) = (record[1..split].to_vec(), record[split..].to_vec());
                match value.is_empty() {
                    true => drop(self.newest.remove(&key)),
                    false => drop(self.newest.insert(key, (self.end(), value))),
                }
            }
            self.records.push_back((Instant::now(), record));
        }
        offset
    }
}

/// What happens to an append.
pub enum Fate {
    Done,
    /// The answer is lost, and the append is carried out after this time.
    Late(Duration),
}

/// Decides on the fate of appends by topic and body.
pub type Judge = Box<dyn FnMut(&str, &[u8]) -> Fate + Send>;

struct Shared {
    topics: Mutex<HashMap<String, Topic>>,
    changed: Condvar,
    judge: Mutex<Judge>,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
    pub address: SocketAddr,
}

impl Store {
    /// Starts a store that loses nothing.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let shared = Arc::new(Shared {
            topics: Mutex::default(),
            changed: Condvar::new(),
            judge: Mutex::new(Box::new(|_, _| Fate::Done)),
        });
        let store = Self { shared, address };
        let handler = store.clone();
        serve(listener, || true, move |request| handler.handle(request));
        store
    }

    /// Sets who decides on the fate of appends.
    pub fn judge(&self, judge: Judge) {
        *self.shared.judge.lock().unwrap() = judge;
    }

    /// Writes a record as the operator does.
    pub fn write(&self, topic: &str, key: &str, value: &str) {
        let record = [&[key.len() as u8], key.as_bytes(), value.as_bytes()].concat();
        self.add(topic, vec![record]);
    }

    fn add(&self, topic: &str, records: Vec<Vec<u8>>) -> (u64, u64) {
        let mut topics = self.shared.topics.lock().unwrap();
        let stored = topics.entry(topic.into()).or_default();
        let offset = stored.add(topic.starts_with("keyed."), records);
        let end = stored.end();
        self.shared.changed.notify_all();
        (offset, end)
    }

    fn handle(&self, request: Request) -> Reply {
        thread::sleep(ANSWER_TIME);
        match request.route() {
            "/-/log-append" => self.append(request),
            "/-/log-read" => self.read(&request),
            "/-/log-newest" => self.page(&request),
            _ => Reply::Json(404, "{}".into()),
        }
    }

    fn append(&self, request: Request) -> Reply {
        let topic = request.query("topic").unwrap_or_default().to_owned();
        let fate = self.shared.judge.lock().unwrap()(&topic, &request.body);
        match fate {
            Fate::Done => self.carry_out(&topic, &request),
            Fate::Late(delay) => {
                thread::sleep(delay);
                self.carry_out(&topic, &request);
                Reply::Close
            }
        }
    }

    fn carry_out(&self, topic: &str, request: &Request) -> Reply {
        let number = |name| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let Some(records) = split_records(&request.body) else {
            return Reply::Json(400, "{}".into());
        };
        let mut topics = self.shared.topics.lock().unwrap();
        let stored = topics.entry(topic.into()).or_default();
        stored.expire();
        let end = stored.end();
        let producer = number("epoch").zip(number("sequence"));
        if let Some((epoch, sequence)) = producer {
            let mut answers = stored.answers.iter();
            if let Some(answer) = answers.find(|it| (it.0, it.1) == (epoch, sequence)) {
                return appended(answer.2, end);
            }
        }
        if number("at").is_some_and(|at| at != end) {
            return Reply::Json(412, format!("{{\"end\":{end}}}"));
        }
        if let Some((epoch, sequence)) = producer {
            if epoch < stored.epoch {
                return Reply::Json(409, "{\"reason\":\"fenced\"}".into());
            }
            if epoch == stored.epoch && sequence != stored.sequence + 1 {
                let expected = stored.sequence + 1;
                let body = format!("{{\"reason\":\"seq\",\"sequence\":{expected}}}");
                return Reply::Json(409, body);
            }
            (stored.epoch, stored.sequence) = (epoch, sequence);
            stored.answers.push_back((epoch, sequence, end));
            if stored.answers.len() > REPEATED {
                stored.answers.pop_front();
            }
        }
        let offset = stored.add(topic.starts_with("keyed."), records);
        let end = stored.end();
        self.shared.changed.notify_all();
        appended(offset, end)
    }

    fn read(&self, request: &Request) -> Reply {
        let number = |name| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let topic = request.query("topic").unwrap_or_default();
        let from = number("from").unwrap_or(0);
        let most = number("maxKb").unwrap_or(1024) as usize * 1024;
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let mut topics = self.shared.topics.lock().unwrap();
        loop {
            let stored = topics.entry(topic.into()).or_default();
            stored.expire();
            if from < stored.first {
                return Reply::Json(410, format!("{{\"first\":{}}}", stored.first));
            }
            let now = Instant::now();
            if from < stored.end() || now >= until {
                let mut body = [stored.end().to_be_bytes(), stored.first.to_be_bytes()].concat();
                let skipped = (from - stored.first) as usize;
                for (_, record) in stored.records.iter().skip(skipped) {
                    if body.len() > 16 && body.len() + record.len() > most {
                        break;
                    }
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                return Reply::Raw(body);
            }
            topics = self
                .shared
                .changed
                .wait_timeout(topics, until - now)
                .unwrap()
                .0;
        }
    }

    fn page(&self, request: &Request) -> Reply {
        let topic = request.query("topic").unwrap_or_default();
        let after = request.query("dependsOn").unwrap_or_default().as_bytes();
        let mut topics = self.shared.topics.lock().unwrap();
        let stored = topics.entry(topic.into()).or_default();
        let (mut items, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for (key, (offset, value)) in &stored.newest {
            if !after.is_empty() && key.as_slice() <= after {
                continue;
            }
            if items.len() >= PAGE_KEYS || bytes > 0 && bytes + value.len() > PAGE_BYTES {
                has_more = true;
                break;
            }
            bytes += value.len();
            let (key, value) = (String::from_utf8_lossy(key), base64(value));
            items.push(format!(
                "{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}"
            ));
        }
        let (items, end) = (items.join(","), stored.end());
        Reply::Json(
            200,
            format!("{{\"items\":[{items}],\"hasMore\":{has_more},\"end\":{end}}}"),
        )
    }
}

fn appended(offset: u64, end: u64) -> Reply {
    Reply::Json(200, format!("{{\"offset\":{offset},\"end\":{end}}}"))
}

fn split_records(mut body: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let (length, rest) = body.split_first_chunk::<4>()?;
        let length = u32::from_be_bytes(*length) as usize;
        records.push(rest.get(..length)?.to_vec());
        body = &rest[length..];
    }
    Some(records)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for chunk in bytes.chunks(3) {
        let part = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = part(0) << 16 | part(1) << 8 | part(2);
        for index in 0..4 {
            text.push(match index <= chunk.len() {
                true => char::from(DIGITS[(bits >> (18 - 6 * index)) as usize & 63]),
                false => '=',
            });
        }
    }
    text
}
