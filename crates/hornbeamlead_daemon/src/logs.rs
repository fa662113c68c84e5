//! Writes one key=value line an event to a standard stream.
//!
//! A thread of its own writes; a reader that has stopped costs lines, never a decision.

use slog::{Drain, Level, LevelFilter, Logger, OwnedKV, OwnedKVList, Record, SingleKV, o};
use slog_async::OverflowStrategy;
use slog_logfmt::Logfmt;
use std::time::SystemTime;

/// Lines that may wait for the writing thread; more are dropped and counted by slog.
const LOG_QUEUE: usize = 4096;

/// Environment variable that raises the level to debug.
const DEBUG_VARIABLE: &str = "HORNBEAMLEAD_DEBUG";

/// Opens the log of the process; the guard writes what is left when it is dropped.
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
        .chan_size(LOG_QUEUE)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    // The level is checked before a line is worded for the queue.
    let filtered = LevelFilter::new(StampDrain(queued), level()).fuse();
    let context = o!("role" => role, "host" => host.to_owned());
    (Logger::root(filtered, context), guard)
}

/// Adds the wall time at which a line was handed in; the writing thread may come to it much later.
struct StampDrain<D>(D);

impl<D: Drain> Drain for StampDrain<D> {
    type Ok = D::Ok;
    type Err = D::Err;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<Self::Ok, Self::Err> {
        let time = humantime::format_rfc3339_millis(SystemTime::now()).to_string();
        let stamped = OwnedKV((SingleKV::from(("time", time)), values.clone()));
        self.0.log(record, &stamped.into())
    }
}

fn level() -> Level {
    match std::env::var_os(DEBUG_VARIABLE) {
        Some(_) => Level::Debug,
        None => Level::Info,
    }
}
