//! Bodies of requests, and of responses that are buffered, within the memory of this node.

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use hgw_direct::{Refusal, Route};
use hgw_http1::{BodyDecoder, Conn, Error, Framing, Limit, Part};
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::held_bytes::Reservation;
use crate::meter;
use crate::response::{CallerResponse, json_error};
use crate::shared::Node;

use super::NOT_READY_RETRY_AFTER;

/// Largest response that is buffered; a larger one counts as incomplete.
const MAX_RESPONSE_BYTES: usize = 32 << 20;

/// Why the body of a request was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub(super) enum BodyError {
    #[display("request body exceeds the configured limit")]
    TooLarge,
    #[display("request body could not be read")]
    Unreadable,
    #[display("no memory for the request body")]
    NoMemory,
}

/// Reads the body of a request, for which room is taken as it arrives.
pub(super) async fn read(
    node: &Node,
    mut body: Incoming,
    max_bytes: usize,
) -> Result<(Bytes, Reservation), BodyError> {
    let mut held = Reservation::empty(&node.held_memory);
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(BodyError::TooLarge);
    }
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return Err(BodyError::Unreadable) };
        let Ok(data) = frame.into_data() else { continue };
        let length = bytes.len() + data.len();
        if length > max_bytes {
            return Err(BodyError::TooLarge);
        }
        take_room(node, &mut held, length)?;
        bytes.extend_from_slice(&data);
    }
    Ok((bytes.freeze(), held))
}

fn take_room(node: &Node, held: &mut Reservation, bytes: usize) -> Result<(), BodyError> {
    if !node.settings.borrow().features.read_ahead
        || held.try_extend(&node.held_memory, node.read_ahead_bound(), bytes)
    {
        return Ok(());
    }
    Err(BodyError::NoMemory)
}

pub(super) fn refuse(node: &Node, route: &Route, error: BodyError) -> CallerResponse {
    let status = match error {
        BodyError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        BodyError::Unreadable => StatusCode::BAD_REQUEST,
        BodyError::NoMemory => {
            meter::refused(route, &Refusal::NodeMemory);
            return super::refuse(node, Refusal::NodeMemory, NOT_READY_RETRY_AFTER);
        }
    };
    json_error(status, &error.to_string())
}

/// Takes room for a response of the expected size; none if there is too little.
pub(super) fn reserve_response(node: &Node, route: &Route) -> Option<Reservation> {
    let mut held = Reservation::empty(&node.held_memory);
    if !node.settings.borrow().features.read_ahead {
        return Some(held);
    }
    let expected = node.response_sizes.borrow().get(&route.name).map_or(0, |size| size.expected());
    let bound = node.read_ahead_bound();
    held.try_extend(&node.held_memory, bound, expected).then_some(held)
}

/// Records the size of a response of the route.
pub(super) fn record_response_size(node: &Node, route: &Route, bytes: usize) {
    let mut sizes = node.response_sizes.borrow_mut();
    // Routes of the configuration, which bounds their number.
    sizes.entry(route.name.clone()).or_default().record(bytes);
}

/// Reads the body of a response that an engine has run, as far as there is room for it.
pub(super) async fn read_response(
    node: &Node,
    conn: &mut Conn,
    framing: Framing,
    held: &mut Reservation,
) -> hgw_http1::Result<Vec<u8>> {
    let mut decoder = BodyDecoder::new(framing);
    let mut body = Vec::new();
    if let Framing::Length(length) = framing {
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        make_room(node, held, &mut body, length, length)?;
    }
    while let Some(bytes) = conn.read_chunk(&mut decoder).await? {
        let length = body.len() + bytes.len();
        if length > body.capacity() {
            make_room(node, held, &mut body, length, length.next_power_of_two())?;
        }
        body.extend_from_slice(&bytes);
    }
    body.shrink_to_fit();
    Ok(body)
}

/// Makes room for a body of this length, of which as much as the capacity is allocated.
fn make_room(
    node: &Node,
    held: &mut Reservation,
    body: &mut Vec<u8>,
    length: usize,
    capacity: usize,
) -> hgw_http1::Result<()> {
    let too_large = |limit| Err(Error::TooLarge { part: Part::Body, limit });
    if length > MAX_RESPONSE_BYTES {
        return too_large(Limit::Bytes(MAX_RESPONSE_BYTES));
    }
    if !node.settings.borrow().features.read_ahead {
        held.extend(capacity);
    } else if !held.try_extend_run(&node.held_memory, node.read_ahead_bound(), capacity) {
        return too_large(Limit::Memory);
    }
    body.reserve_exact(capacity - body.len());
    Ok(())
}
