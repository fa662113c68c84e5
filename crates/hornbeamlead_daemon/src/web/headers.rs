//! Header hygiene: what is passed on, and what is the connection's or the system's own.

use hornbeamlead_core::message::request::HeaderField;
use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue};

/// Headers that concern one connection only.
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

/// Headers that the sending side words anew.
const WORDED_ANEW: [&str; 2] = ["content-length", "expect"];

/// First part of the names of the system's own headers.
const OWN_PREFIX: &str = "hornbeamlead-";

/// Says that a header of a request holds bytes that are not text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HeaderNotText(pub(crate) Box<str>);

/// Returns the headers of a request that are passed on.
pub(crate) fn request_fields(headers: &HeaderMap) -> Result<Vec<HeaderField>, HeaderNotText> {
    let named = named_by_connection(headers);
    headers
        .iter()
        .filter(|(name, _)| is_passed(name, &named))
        .map(|(name, value)| text_field(name, value))
        .collect()
}

/// Returns the headers of an answer that are passed on; bytes beyond ASCII become Latin-1 text.
pub(crate) fn answer_fields(headers: &HeaderMap) -> Vec<HeaderField> {
    let named = named_by_connection(headers);
    headers
        .iter()
        .filter(|(name, _)| is_passed(name, &named) || is_length(name))
        .map(|(name, value)| HeaderField {
            name: name.as_str().into(),
            value: latin_text(value.as_bytes()),
        })
        .collect()
}

/// Adds the headers of an answer; the length stays only where there is no body to measure.
pub(crate) fn add_answer_fields(fields: &[HeaderField], keep_length: bool, into: &mut HeaderMap) {
    for field in fields {
        let parsed = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_bytes(&latin_bytes(&field.value));
        match (parsed, value) {
            (Ok(name), Ok(_)) if is_length(&name) && !keep_length => {}
            (Ok(name), Ok(value)) => {
                into.append(name, value);
            }
            // They were headers at the agent, so they are headers here.
            (Err(_), _) | (_, Err(_)) => {}
        }
    }
}

fn text_field(name: &HeaderName, value: &HeaderValue) -> Result<HeaderField, HeaderNotText> {
    let text = value
        .to_str()
        .map_err(|_| HeaderNotText(name.as_str().into()))?;
    Ok(HeaderField {
        name: name.as_str().into(),
        value: text.into(),
    })
}

fn is_passed(name: &HeaderName, named: &[Box<str>]) -> bool {
    let name = name.as_str();
    let hop = HOP_BY_HOP.contains(&name) || named.iter().any(|other| **other == *name);
    !hop && !WORDED_ANEW.contains(&name) && !name.starts_with(OWN_PREFIX)
}

fn is_length(name: &HeaderName) -> bool {
    *name == hyper::header::CONTENT_LENGTH
}

/// Returns the names that the `Connection` header declares as its own.
fn named_by_connection(headers: &HeaderMap) -> Vec<Box<str>> {
    headers
        .get_all(hyper::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .map(|name| name.trim().to_ascii_lowercase().into())
        .collect()
}

fn latin_text(bytes: &[u8]) -> Box<str> {
    bytes.iter().map(|byte| char::from(*byte)).collect()
}

fn latin_bytes(text: &str) -> Vec<u8> {
    text.chars()
        .map(|character| u8::try_from(character).unwrap_or(b'?'))
        .collect()
}
