//! Signals thread: starts the planned stop on a termination signal.

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::io;
use std::thread;

/// Exit status after a second termination signal.
const FORCED_EXIT_STATUS: i32 = 1;

/// Calls `stop` on the first termination signal; the second exits the process immediately.
///
/// # Errors
/// Returns an error if the signal handlers cannot be installed or the thread cannot be spawned.
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
