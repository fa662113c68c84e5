//! HTTP interface that changes the faults.

use super::ProxyShared;
use crate::control::patch_settings;
use crate::http::{
    ConnectionLimit, HttpReply, HttpRequest, empty_reply, error_reply, json_reply, serve,
};
use hyper::StatusCode;
use std::io;
use std::net::TcpListener;
use std::sync::Arc;

/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 64;

/// Serves the interface forever.
pub(crate) async fn run(listener: TcpListener, shared: Arc<ProxyShared>) -> io::Result<()> {
    let limit = ConnectionLimit::new(MAX_CONNECTIONS);
    serve(listener, limit, move |request| {
        let shared = Arc::clone(&shared);
        async move { Some(answer(&shared, &request)) }
    })
    .await
}

fn answer(shared: &ProxyShared, request: &HttpRequest) -> HttpReply {
    if &*request.path != "/_standin/control" {
        return empty_reply(StatusCode::NOT_FOUND);
    }
    let patched = patch_settings(&*shared.faults.borrow(), &request.body);
    match patched {
        Ok(faults) => {
            shared.faults.send_replace(faults.clone());
            json_reply(StatusCode::OK, &faults)
        }
        Err(error) => error_reply(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}
