//! Signals thread: a termination signal asks for the planned stop.

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::io;
use std::thread;

/// Calls `stop` at the first termination signal; later ones change nothing.
///
/// # Errors
/// Returns the error of installing the handlers or of starting the thread.
pub(crate) fn on_stop(stop: impl FnOnce() + Send + 'static) -> io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let wait = move || {
        if signals.forever().next().is_some() {
            stop();
        }
    };
    thread::Builder::new().name("signals".into()).spawn(wait)?;
    Ok(())
}
