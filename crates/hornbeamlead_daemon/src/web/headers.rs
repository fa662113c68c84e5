//! Header filtering: drops hop-by-hop headers and the system's reserved headers.

use hornbeamlead_core::message::request::HeaderField;
use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue};

/// Hop-by-hop headers.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Headers that the sending side generates itself.
const REGENERATED: [&str; 2] = ["content-length", "expect"];

/// Name prefix of the headers reserved for the system.
const RESERVED_PREFIX: &str = "hornbeamlead-";

/// Name of a request header whose value is not text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct NonTextHeader(pub(crate) Box<str>);

/// Returns the headers of a request that are forwarded.
pub(crate) fn request_fields(headers: &HeaderMap) -> Result<Vec<HeaderField>, NonTextHeader> {
    let options = connection_options(headers);
    headers
        .iter()
        .filter(|(name, _)| is_forwarded(name, &options))
        .map(|(name, value)| text_field(name, value))
        .collect()
}

/// Returns the headers of an answer that are forwarded; values are decoded as Latin-1.
pub(crate) fn answer_fields(headers: &HeaderMap) -> Vec<HeaderField> {
    let options = connection_options(headers);
    headers
        .iter()
        .filter(|(name, _)| is_forwarded(name, &options) || is_content_length(name))
        .map(|(name, value)| HeaderField {
            name: name.as_str().into(),
            value: decode_latin1(value.as_bytes()),
        })
        .collect()
}

/// Adds the headers of an answer. `Content-Length` is kept only for a response without a body,
/// whose length the HTTP library cannot compute.
pub(crate) fn add_answer_fields(fields: &[HeaderField], keep_length: bool, into: &mut HeaderMap) {
    for field in fields {
        let parsed = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_bytes(&encode_latin1(&field.value));
        match (parsed, value) {
            (Ok(name), Ok(_)) if is_content_length(&name) && !keep_length => {}
            (Ok(name), Ok(value)) => {
                into.append(name, value);
            }
            // Unreachable: the agent parsed them as valid headers.
            (Err(_), _) | (_, Err(_)) => {}
        }
    }
}

fn text_field(name: &HeaderName, value: &HeaderValue) -> Result<HeaderField, NonTextHeader> {
    let text = value
        .to_str()
        .map_err(|_| NonTextHeader(name.as_str().into()))?;
    Ok(HeaderField {
        name: name.as_str().into(),
        value: text.into(),
    })
}

fn is_forwarded(name: &HeaderName, options: &[Box<str>]) -> bool {
    let name = name.as_str();
    let hop = HOP_BY_HOP.contains(&name) || options.iter().any(|other| **other == *name);
    !hop && !REGENERATED.contains(&name) && !name.starts_with(RESERVED_PREFIX)
}

fn is_content_length(name: &HeaderName) -> bool {
    *name == hyper::header::CONTENT_LENGTH
}

/// Returns the header names listed in `Connection`, which are hop-by-hop too.
fn connection_options(headers: &HeaderMap) -> Vec<Box<str>> {
    headers
        .get_all(hyper::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .map(|name| name.trim().to_ascii_lowercase().into())
        .collect()
}

fn decode_latin1(bytes: &[u8]) -> Box<str> {
    bytes.iter().map(|byte| char::from(*byte)).collect()
}

fn encode_latin1(text: &str) -> Vec<u8> {
    text.chars()
        .map(|character| u8::try_from(character).unwrap_or(b'?'))
        .collect()
}
