//! Runs a gotham server on a listener until the planned stop.

use super::connection::ConnectionTable;
use super::stream::GuardedStream;
use gotham::handler::NewHandler;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Maximum time for writing the remaining responses after the listener is closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(15);

/// Serves until the table is closed, then waits until the open connections have written their
/// responses.
pub async fn serve<H>(listener: TcpListener, handler: H, table: Arc<ConnectionTable>)
where
    H: NewHandler + 'static,
{
    let admitting = Arc::clone(&table);
    let wrap = move |stream| std::future::ready(GuardedStream::admit(stream, &admitting));
    tokio::select! {
        never = gotham::bind_server(listener, handler, wrap) => never,
        () = table.wait_closed() => {}
    }
    // A connection that is still open after the timeout has a peer that does not read.
    let _ = tokio::time::timeout(CLOSE_TIMEOUT, table.wait_empty()).await;
}
