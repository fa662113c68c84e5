//! Runs an HTTP server with gotham's handlers on a listener until the planned stop.
//!
//! The connections are HTTP/1.1 only and driven here, since gotham's own server bounds neither the
//! buffers of a connection nor their number.

use super::stream::GuardedStream;
use super::table::ConnectionTable;
use gotham::handler::NewHandler;
use gotham::helpers::http::request::path::RequestPathSegments;
use gotham::service::call_handler;
use gotham::state::State;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::panic::{AssertUnwindSafe, RefUnwindSafe};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Maximum time for writing the remaining responses after the listener is closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(15);

/// Pause after a failed accept. When no descriptor is free, the next accept fails at once.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Connections that are accepted before open ones are served.
const ACCEPT_BATCH: u64 = 16;

/// Minimum size of the HTTP library's buffers, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;

/// Serves until the table is closed, then waits until the open connections have written their
/// responses.
pub async fn serve<H>(listener: TcpListener, handler: H, table: Arc<ConnectionTable>)
where
    H: NewHandler + RefUnwindSafe + 'static,
{
    tokio::select! {
        () = accept_connections(&listener, Arc::new(handler), &table) => {}
        () = table.wait_closed() => {}
    }
    drop(listener);
    // A connection that is still open after the timeout has a peer that does not read.
    let _ = tokio::time::timeout(CLOSE_TIMEOUT, table.wait_empty()).await;
}

async fn accept_connections<H>(
    listener: &TcpListener,
    handler: Arc<H>,
    table: &Arc<ConnectionTable>,
) where
    H: NewHandler + RefUnwindSafe + 'static,
{
    let mut accepted = 0_u64;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Some(stream) = GuardedStream::admit(stream, table) {
                    tokio::spawn(serve_connection(stream, Arc::clone(&handler)));
                }
                accepted += 1;
                // An evicted connection closes its socket when its task runs.
                if accepted.is_multiple_of(ACCEPT_BATCH) {
                    tokio::task::yield_now().await;
                }
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve_connection<H>(stream: GuardedStream, handler: Arc<H>)
where
    H: NewHandler + RefUnwindSafe + 'static,
{
    let (peer, state) = (stream.peer(), stream.state());
    let max_head = stream.table().limits().max_head_bytes;
    let service = service_fn(move |request| {
        let mut request = State::from_request(request, peer);
        // Routers alone use the parts of the path, which take many times its length.
        drop(request.try_take::<RequestPathSegments>());
        call_handler(Arc::clone(&handler), AssertUnwindSafe(request))
    });
    let connection = http1::Builder::new()
        // A head that fills the buffer is refused, so one of the maximum length has to leave space.
        .max_buf_size(MIN_BUFFER_BYTES.max(max_head + 1))
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        // Errors of the connection end it; the table counts those within a head.
        _ = connection => {}
        () = state.wait_evicted() => {}
    }
}
