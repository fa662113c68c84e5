//! Endpoint thread: sends requests concurrently to the endpoint of the host.

use crate::clock::HostClock;
use crate::counters::ProcessCounters;
use crate::decision::InboxItem;
use crate::ring::RingSender;
use crate::web::headers;
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::future::{AbortHandle, Abortable};
use futures_util::stream::FuturesUnordered;
use hornbeamlead_core::counter::RefusalReason;
use hornbeamlead_core::event::{AgentEvent, EndpointOutcome};
use hornbeamlead_core::ids::RequestId;
use hornbeamlead_core::message::request::{EndpointAnswer, ForwardedRequest, MAX_BODY_BYTES};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Maximum number of commands queued for the endpoint thread.
pub(crate) const ENDPOINT_RING_CAPACITY: usize = 1024;

/// Maximum number of concurrent exchanges; the endpoint accepts the same number of connections.
const MAX_EXCHANGES: usize = 64;

/// Connect timeout of the endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which an idle pooled connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Header that carries the request id to the endpoint.
const REQUEST_HEADER: &str = "hornbeamlead-request";

/// Command to the endpoint thread.
#[derive(Debug)]
pub(crate) enum EndpointCommand {
    /// Sends a request.
    Call {
        address: SocketAddr,
        request: ForwardedRequest,
    },
    /// Aborts the exchange of a request.
    Abandon(RequestId),
}

type EndpointClient = Client<HttpConnector, Full<Bytes>>;

/// I/O loop of the endpoint thread.
pub(crate) struct EndpointLoop {
    pub(crate) commands: mpsc::Receiver<EndpointCommand>,
    /// Sender to the decision thread.
    pub(crate) inbox: RingSender<InboxItem<AgentEvent>>,
    pub(crate) counters: Arc<ProcessCounters>,
    pub(crate) clock: HostClock,
}

impl EndpointLoop {
    /// Executes commands until the decision thread has terminated.
    pub(crate) async fn run(mut self) {
        let client = build_client();
        let mut exchanges = FuturesUnordered::new();
        let mut handles: HashMap<RequestId, AbortHandle> = HashMap::new();
        loop {
            tokio::select! {
                command = self.commands.recv() => match command {
                    Some(EndpointCommand::Call { address, request }) => {
                        if exchanges.len() >= MAX_EXCHANGES {
                            self.counters.refusal(RefusalReason::QueueFull);
                            self.report_outcome(request.id, EndpointOutcome::Unreachable);
                            continue;
                        }
                        let id = request.id.clone();
                        let (handle, registration) = AbortHandle::new_pair();
                        handles.insert(id.clone(), handle);
                        let call = exchange(client.clone(), address, request, self.clock);
                        let call = Abortable::new(call, registration);
                        exchanges.push(async move { (id, call.await) });
                    }
                    Some(EndpointCommand::Abandon(id)) => {
                        if let Some(handle) = handles.get(&id) {
                            handle.abort();
                        }
                    }
                    None => return,
                },
                Some((id, outcome)) = exchanges.next() => {
                    handles.remove(&id);
                    self.report_outcome(id, outcome.unwrap_or(EndpointOutcome::Broken));
                }
            }
        }
    }

    fn report_outcome(&self, id: RequestId, outcome: EndpointOutcome) {
        let event = AgentEvent::EndpointDone { id, outcome };
        if self.inbox.deliver(InboxItem::Input(event)).is_err() {
            self.counters.refusal(RefusalReason::RingFull);
        }
    }
}

fn build_client() -> EndpointClient {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_nodelay(true);
    // hyper retries a request whose pooled connection was closed only if it got the request back
    // before any byte of it was written, so a retry never runs a request twice.
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(MAX_EXCHANGES)
        .retry_canceled_requests(true)
        .build(connector)
}

async fn exchange(
    client: EndpointClient,
    address: SocketAddr,
    request: ForwardedRequest,
    clock: HostClock,
) -> EndpointOutcome {
    let remaining = clock.until(request.deadline);
    if remaining.is_zero() {
        return EndpointOutcome::Unreachable;
    }
    let Some(http_request) = build_request(address, &request) else {
        return EndpointOutcome::Unreachable;
    };
    match tokio::time::timeout(remaining, send_request(&client, http_request)).await {
        Ok(outcome) => outcome,
        Err(_) => EndpointOutcome::Broken,
    }
}

async fn send_request(client: &EndpointClient, request: Request<Full<Bytes>>) -> EndpointOutcome {
    match client.request(request).await {
        Ok(response) => read_answer(response).await,
        Err(error) if error.is_connect() => EndpointOutcome::Unreachable,
        Err(_) => EndpointOutcome::Broken,
    }
}

/// Builds the HTTP request; `None` if its parts are not valid HTTP.
fn build_request(
    address: SocketAddr,
    forwarded: &ForwardedRequest,
) -> Option<Request<Full<Bytes>>> {
    let request = &forwarded.request;
    let uri = format!("http://{address}/{}{}", request.service, request.path);
    let mut builder = Request::builder().method(&*request.method).uri(uri);
    for field in &request.headers {
        builder = builder.header(&*field.name, &*field.value);
    }
    builder
        .header(REQUEST_HEADER, forwarded.id.to_string())
        .body(Full::new(request.body.clone()))
        .ok()
}

/// Reads the complete answer; an incomplete one counts as a broken exchange.
async fn read_answer(response: Response<Incoming>) -> EndpointOutcome {
    let (head, body) = response.into_parts();
    match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => EndpointOutcome::Answered(EndpointAnswer {
            status: head.status.as_u16(),
            headers: headers::answer_fields(&head.headers),
            body: body.to_bytes(),
        }),
        Err(_) => EndpointOutcome::Broken,
    }
}
