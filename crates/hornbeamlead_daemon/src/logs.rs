//! Writes one key=value line an event to a standard stream.
//!
//! A thread of its own writes; a reader that has stopped costs lines, never a decision.

use slog::{Drain, Level, LevelFilter, Logger, o};
use slog_async::OverflowStrategy;
use slog_logfmt::Logfmt;

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
    let filtered = LevelFilter::new(queued, level()).fuse();
    let context = o!("role" => role, "host" => host.to_owned());
    (Logger::root(filtered, context), guard)
}

fn level() -> Level {
    match std::env::var_os(DEBUG_VARIABLE) {
        Some(_) => Level::Debug,
        None => Level::Info,
    }
}
