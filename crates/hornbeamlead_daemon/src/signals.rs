//! Signals thread: a termination signal asks for the planned stop.

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::io;
use std::thread;

/// Exit status of a process that was told twice to stop.
const FORCED_EXIT_STATUS: i32 = 1;

/// Calls `stop` at the first termination signal; the second ends the process at once.
///
/// # Errors
/// Returns the error of installing the handlers or of starting the thread.
pub(crate) fn on_stop(stop: impl FnOnce() + Send + 'static) -> io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let handle_signals = move || {
        let mut received = signals.forever();
        if received.next().is_some() {
            stop();
        }
        if received.next().is_some() {
            std::process::exit(FORCED_EXIT_STATUS);
        }
    };
    thread::Builder::new()
        .name("signals".into())
        .spawn(handle_signals)?;
    Ok(())
}
