//! Process log: one line of key=value pairs per event, written to a standard stream.
//!
//! A separate thread writes the lines. If the reader of the stream stalls, lines are dropped; no
//! other thread ever waits for the log.

use slog::{Drain, Level, LevelFilter, Logger, OwnedKV, OwnedKVList, Record, SingleKV, o};
use slog_async::OverflowStrategy;
use slog_logfmt::Logfmt;
use std::time::SystemTime;

/// Lines queued for the writing thread; further ones are dropped, and slog logs their number.
const LOG_QUEUE_LINES: usize = 4096;

/// Environment variable that sets the log level to debug if it is present.
const DEBUG_VARIABLE: &str = "HORNBEAMLEAD_DEBUG";

/// Opens the log of the process; dropping the guard flushes the queued lines.
pub(crate) fn open_log<W>(
    stream: W,
    host: &str,
    role: &'static str,
) -> (Logger, slog_async::AsyncGuard)
where
    W: std::io::Write + Send + 'static,
{
    let lines = Logfmt::new(stream).no_prefix().print_level(true);
    let (queued, guard) = slog_async::Async::new(lines.build().fuse())
        .chan_size(LOG_QUEUE_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    // Filters by level before a line is formatted for the queue.
    let filtered = LevelFilter::new(TimestampDrain(queued), level()).fuse();
    let context = o!("role" => role, "host" => host.to_owned());
    (Logger::root(filtered, context), guard)
}

/// Adds the time at which a line was logged; the writing thread may process it much later.
struct TimestampDrain<D>(D);

impl<D: Drain> Drain for TimestampDrain<D> {
    type Ok = D::Ok;
    type Err = D::Err;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<Self::Ok, Self::Err> {
        let time = humantime::format_rfc3339_millis(SystemTime::now()).to_string();
        let timestamped = OwnedKV((SingleKV::from(("time", time)), values.clone()));
        self.0.log(record, &timestamped.into())
    }
}

fn level() -> Level {
    match std::env::var_os(DEBUG_VARIABLE) {
        Some(_) => Level::Debug,
        None => Level::Info,
    }
}
