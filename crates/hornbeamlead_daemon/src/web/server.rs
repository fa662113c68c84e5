//! Runs gotham on a listener of the process until the planned stop.

use super::connection::ConnectionTable;
use super::stream::GuardedStream;
use gotham::handler::NewHandler;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Longest time that answers in progress may take to be written once the listener is closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(15);

/// Serves until the table is closed, then lets the open connections write their answers.
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
    // A connection that outlives the limit has a peer that takes no bytes.
    let _ = tokio::time::timeout(CLOSE_TIMEOUT, table.wait_empty()).await;
}
