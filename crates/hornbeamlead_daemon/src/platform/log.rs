//! Log thread: reads and appends, in order within each stream and concurrently across streams.

use super::lanes::CallLanes;
use super::notes::decode_note_record;
use crate::clock::HostClock;
use crate::counters::ProcessCounters;
use crate::decision::{InboxItem, RoleInput};
use crate::ring::RingSender;
use bytes::Bytes;
use hornbeamlead_core::counter::RefusalReason;
use hornbeamlead_core::effect::AppendRecord;
use hornbeamlead_core::event::{AgentEvent, StreamBatch};
use hornbeamlead_core::ids::{LogOffset, RecordId};
use hornbeamlead_core::record::{LogBatch, LogError, LogRecord, StreamName};
use hornbeamlead_platform::log::LogClient;
use hornbeamlead_settings::note::encode_snapshot;
use hornbeamlead_wire::{WireError, decode_cell, decode_job, encode_cell, encode_job};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::mpsc;

/// Maximum number of commands queued for the log thread.
pub(crate) const LOG_RING_CAPACITY: usize = 1024;

/// Maximum number of records requested in one read.
const MAX_READ_RECORDS: usize = 512;

/// Command to the log thread.
#[derive(Debug)]
pub(crate) enum LogCommand {
    /// Reads a stream from an offset.
    Read {
        stream: StreamName,
        /// First offset to read.
        from: LogOffset,
    },
    Append {
        stream: StreamName,
        record: AppendRecord,
    },
}

/// Conversion of an append result into an input of a role.
pub(crate) trait AppendResult: Sized {
    /// An append completed or failed; `None` if the role never appends.
    fn appended(
        stream: StreamName,
        id: RecordId,
        result: Result<LogOffset, LogError>,
    ) -> Option<Self>;
}

impl AppendResult for AgentEvent {
    fn appended(
        stream: StreamName,
        id: RecordId,
        result: Result<LogOffset, LogError>,
    ) -> Option<Self> {
        Some(Self::LogAppended { stream, id, result })
    }
}

impl AppendResult for crate::decision::EntryInput {
    fn appended(
        _stream: StreamName,
        _id: RecordId,
        _result: Result<LogOffset, LogError>,
    ) -> Option<Self> {
        None
    }
}

/// I/O loop of the log thread.
pub(crate) struct LogLoop<I> {
    pub(crate) address: SocketAddr,
    pub(crate) commands: mpsc::Receiver<LogCommand>,
    /// Sender to the decision thread.
    pub(crate) inbox: RingSender<InboxItem<I>>,
    pub(crate) counters: Arc<ProcessCounters>,
    pub(crate) clock: HostClock,
}

impl<I: RoleInput + AppendResult> LogLoop<I> {
    /// Executes log commands until the decision thread has terminated.
    pub(crate) async fn run(mut self) {
        let executor = LogExecutor {
            client: LogClient::new(self.address),
            inbox: self.inbox.clone(),
            counters: Arc::clone(&self.counters),
            clock: self.clock,
        };
        let start = |stream, command| executor.clone().perform(stream, command);
        let mut lanes = CallLanes::new(LOG_RING_CAPACITY);
        loop {
            tokio::select! {
                command = self.commands.recv(), if lanes.has_room() => match command {
                    Some(command) => lanes.add(lane_of(&command), command, start),
                    None => return,
                },
                () = lanes.advance(start) => {}
            }
        }
    }
}

fn lane_of(command: &LogCommand) -> StreamName {
    match command {
        LogCommand::Read { stream, .. } | LogCommand::Append { stream, .. } => stream.clone(),
    }
}

/// Executes a command and delivers its result to the decision thread.
struct LogExecutor<I> {
    client: LogClient,
    inbox: RingSender<InboxItem<I>>,
    counters: Arc<ProcessCounters>,
    clock: HostClock,
}

impl<I> Clone for LogExecutor<I> {
    fn clone(&self) -> Self {
        Self {
            client: self.client.clone(),
            inbox: self.inbox.clone(),
            counters: Arc::clone(&self.counters),
            clock: self.clock,
        }
    }
}

impl<I: RoleInput + AppendResult> LogExecutor<I> {
    async fn perform(self, lane: StreamName, command: LogCommand) -> StreamName {
        let input = match command {
            LogCommand::Read { stream, from } => self.read(stream, from).await,
            LogCommand::Append { stream, record } => self.append(stream, &record).await,
        };
        let delivered = input.map(|input| self.inbox.deliver(InboxItem::Input(input)));
        if let Some(Err(_)) = delivered {
            self.counters.refusal(RefusalReason::RingFull);
        }
        lane
    }

    async fn read(&self, stream: StreamName, from: LogOffset) -> Option<I> {
        let began = self.clock.mono();
        let result = self.client.read(&stream, from, MAX_READ_RECORDS).await;
        let result = result.map(|batch| self.decode(&stream, batch));
        I::log_read(stream, began, result)
    }

    async fn append(&self, stream: StreamName, record: &AppendRecord) -> Option<I> {
        let (id, payload) = encode(record);
        let result = self.client.append(&stream, payload).await;
        I::appended(stream, id?, result)
    }

    fn decode(&self, stream: &StreamName, batch: LogBatch<Bytes>) -> StreamBatch {
        match stream {
            StreamName::Notes => StreamBatch::Notes(LogBatch {
                oldest: batch.oldest,
                next: batch.next,
                records: batch.records.into_iter().map(decode_note).collect(),
            }),
            StreamName::Jobs => StreamBatch::Jobs(self.decode_records(batch, decode_job)),
            StreamName::Cell(_) => StreamBatch::Cell(self.decode_records(batch, decode_cell)),
        }
    }

    /// Decodes records and skips undecodable ones. All processes skip the same records, so their
    /// states do not diverge.
    fn decode_records<R>(
        &self,
        batch: LogBatch<Bytes>,
        decode: fn(&[u8]) -> Result<R, WireError>,
    ) -> LogBatch<R> {
        let mut records = Vec::with_capacity(batch.records.len());
        for raw in batch.records {
            match decode(&raw.record) {
                Ok(record) => records.push(LogRecord {
                    offset: raw.offset,
                    record,
                }),
                Err(_) => self.counters.refusal(RefusalReason::Undecodable),
            }
        }
        LogBatch {
            oldest: batch.oldest,
            next: batch.next,
            records,
        }
    }
}

fn decode_note(raw: LogRecord<Bytes>) -> LogRecord<hornbeamlead_core::event::NoteRecord> {
    decode_note_record(raw.offset, raw.record)
}

fn encode(record: &AppendRecord) -> (Option<RecordId>, Bytes) {
    match record {
        AppendRecord::NotesSnapshot(snapshot) => (None, encode_snapshot(snapshot)),
        AppendRecord::Job(record) => (Some(record.id.clone()), encode_job(record)),
        AppendRecord::Cell(record) => (Some(record.id.clone()), encode_cell(record)),
    }
}
