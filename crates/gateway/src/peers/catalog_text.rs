//! Fetches the text of the configuration from other nodes, in parts.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hgw_direct::{NextStep, PackedTextId, PartialText, SendSlots, TransferSource};
use hgw_events::{Event, emit};
use hgw_http1::Request;
use http::{Response, StatusCode};
use rand::random;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep, timeout};

use crate::follow::{self, TextSource};
use crate::packed_text::{MAX_TEXT_BYTES, pack, unpack};
use crate::response::{CallerResponse, ResponseBody, json_error};
use crate::shared::{CatalogMention, Node};

use super::{CallError, RESPONSE_TIMEOUT, send_request};

/// Path at which a part of the text is requested.
pub(super) const PART_PATH: &str = "/catalog-part";

/// Path at which the whole text is requested; releases before this one know no other.
pub(super) const WHOLE_PATH: &str = "/catalog";

/// Size of a part: small, so that polls on the same link do not wait behind it.
const PART_BYTES: usize = 32 << 10;

/// Packed texts that are kept, so that transfers of an earlier version can be finished.
const MAX_PACKED: usize = 3;

/// Shortest pause before a node that sends to others is asked again; the longest is twice that.
const BUSY_PAUSE: Duration = Duration::from_millis(40);

/// Transfers of configuration texts to and from other nodes.
#[derive(Debug, Default)]
pub(crate) struct CatalogTransfers {
    slots: RefCell<SendSlots>,
    /// Texts for other nodes, the newest last.
    packed: RefCell<VecDeque<(PackedTextId, Bytes)>>,
    /// The text that this node is receiving.
    partial: RefCell<Option<PartialText>>,
}

/// Asks for a part of the text.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct PartRequest {
    from: SocketAddr,
    domain: String,
    /// Version of the sender's configuration.
    version: u64,
    /// What the sender is receiving, and how many bytes of it have arrived.
    partial: Option<(PackedTextId, u64)>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
enum PartResponse {
    Part {
        id: PackedTextId,
        offset: u64,
        bytes: Bytes,
    },
    /// The node sends to others, or has no more of it yet. These have the text or are receiving it.
    Busy {
        holders: Vec<SocketAddr>,
    },
    /// The node has no newer configuration.
    NothingNewer,
}

/// Why a transfer ended without the text.
#[derive(Debug, Clone, derive_more::Display)]
enum FetchError {
    #[display("no answer in time")]
    NoResponse,
    #[display("the other node has nothing newer")]
    NothingNewer,
    #[display("the other nodes send to others")]
    Busy,
    #[display("the other node knows no parts")]
    KnowsNoParts,
    #[display("the text is damaged: {_0}")]
    Damaged(String),
}

impl CatalogTransfers {
    /// Bytes of the text that is being received.
    fn received(&self) -> u64 {
        self.partial.borrow().as_ref().map_or(0, PartialText::offset)
    }

    /// What to ask for next, for a node with this version.
    fn wanted(&self, version: u64) -> Option<(PackedTextId, u64)> {
        let mut partial = self.partial.borrow_mut();
        partial.take_if(|text| text.id().version <= version);
        partial.as_ref().map(|text| (text.id(), text.offset()))
    }

    /// Whether a newer text is being received than this one, which would replace what has arrived.
    fn has_newer(&self, id: PackedTextId) -> bool {
        self.partial.borrow().as_ref().is_some_and(|text| text.id().version > id.version)
    }

    /// Takes in a part; returns the packed text if it is complete now.
    fn add(&self, id: PackedTextId, offset: u64, part: &[u8]) -> Result<Option<Bytes>, FetchError> {
        if id.length > MAX_TEXT_BYTES {
            return Err(FetchError::Damaged(format!("{} bytes were announced", id.length)));
        }
        let mut partial = self.partial.borrow_mut();
        if offset == 0 && partial.as_ref().is_none_or(|text| text.id() != id) {
            *partial = Some(PartialText::new(id));
        }
        let fits = partial.as_mut().is_some_and(|t| t.id() == id && t.append(offset, part));
        if !fits {
            *partial = None;
            return Err(FetchError::Damaged("a part does not fit".to_owned()));
        }
        let Some(complete) = partial.take_if(|text| text.is_complete()) else { return Ok(None) };
        match complete.into_packed() {
            Some(packed) => {
                let packed = Bytes::from(packed);
                self.keep(id, packed.clone());
                Ok(Some(packed))
            }
            None => Err(FetchError::Damaged("the digest differs".to_owned())),
        }
    }

    fn keep(&self, id: PackedTextId, packed: Bytes) {
        let mut all = self.packed.borrow_mut();
        all.retain(|(kept, _)| kept.version != id.version);
        all.push_back((id, packed));
        if all.len() > MAX_PACKED {
            all.pop_front();
        }
    }

    /// The packed text to send: the one that is being received, or that of this version.
    fn to_send(
        &self,
        partial: Option<PackedTextId>,
        version: u64,
        text: &Bytes,
    ) -> (PackedTextId, Bytes) {
        let find = |wanted: &dyn Fn(&PackedTextId) -> bool| {
            self.packed.borrow().iter().find(|(id, _)| wanted(id)).cloned()
        };
        let kept = partial.and_then(|partial| find(&|id| *id == partial));
        kept.or_else(|| find(&|id| id.version == version)).unwrap_or_else(|| {
            let packed = Bytes::from(pack(text));
            let id = PackedTextId::of(version, &packed);
            self.keep(id, packed.clone());
            (id, packed)
        })
    }
}

/// Takes in that another node has this version of the configuration. A newer one than that of this node is fetched from
/// there, however old is what either knows from the store: that it exists, and its text, do not depend on that.
pub(crate) fn record_catalog_of(
    node: &Node,
    peer: SocketAddr,
    version: u64,
    message: CatalogMention,
) {
    node.log_reported_catalog(peer, message, version);
    node.record_reported_catalog(version);
    if version > node.known_catalog() {
        start_fetch(node, peer);
    }
}

/// Fetches the newest configuration that was reported from the node that this one polls, or from others that it refers to,
/// or waits for the transfer that goes on. Returns whether it is in force then.
pub(crate) async fn fetch_reported(node: &Node) -> bool {
    if let Some((_, addr)) = node.parent() {
        start_fetch(node, addr);
    }
    while node.is_fetching_catalog.get() {
        node.catalog_fetched.notified().await;
    }
    !node.is_catalog_outdated()
}

/// Waits for a version that another node has, as far as it arrives soon. Returns whether it, or a newer one, is in force.
pub(crate) async fn wait_for_catalog(node: &Node, version: u64, max_wait: Duration) -> bool {
    let fetched = async {
        while node.catalog_version() < version && node.is_fetching_catalog.get() {
            node.catalog_fetched.notified().await;
        }
    };
    let _ = timeout(max_wait, fetched).await;
    node.catalog_version() >= version
}

/// Starts a transfer, unless one goes on. After a failure the next report of the version starts another one.
fn start_fetch(node: &Node, from: SocketAddr) {
    if node.is_fetching_catalog.replace(true) {
        return;
    }
    let node = Node::clone(node);
    tokio::task::spawn_local(async move {
        if let Some((text, source)) = fetch_from(&node, from).await {
            follow::adopt(&node, text, TextSource::Peer(source));
        }
        node.is_fetching_catalog.set(false);
        node.catalog_fetched.notify_waiters();
    });
}

/// Fetches the text from a node or those that it refers to. Logs how much of it had arrived if that fails.
async fn fetch_from(node: &Node, addr: SocketAddr) -> Option<(Bytes, SocketAddr)> {
    let asked_at = Instant::now();
    let mut source = TransferSource::new(addr, node.now());
    let reason = match fetch_parts(node, &mut source).await {
        Ok(text) => return Some((text, source.addr())),
        Err(FetchError::KnowsNoParts) => {
            let req = Request::post(WHOLE_PATH, "peer", Bytes::new());
            match send_request(node, addr, &req, RESPONSE_TIMEOUT).await {
                Ok(text) if !text.is_empty() => return Some((text, addr)),
                Ok(_) => FetchError::NothingNewer,
                Err(_) => FetchError::NoResponse,
            }
        }
        Err(error) => error,
    };
    emit(
        Event::ConfigFetchFailed,
        &[
            ("node", &node.settings.borrow().node),
            ("peer", &source.addr()),
            ("has", &node.catalog_version()),
            ("known", &node.reported_catalog()),
            ("bytes", &node.catalog_transfers.received()),
            ("ms", &asked_at.elapsed().as_millis()),
            ("reason", &reason),
        ],
    );
    None
}

async fn fetch_parts(node: &Node, source: &mut TransferSource) -> Result<Bytes, FetchError> {
    let max_stall = node.settings.borrow().max_catalog_wait().as_millis() as u64;
    loop {
        let (next, error) = match request_part(node, source.addr()).await {
            Ok(PartResponse::Part { id, .. }) if node.catalog_transfers.has_newer(id) => {
                (source.record_failure(), FetchError::NothingNewer)
            }
            Ok(PartResponse::Part { id, offset, bytes }) => {
                source.record_progress(node.now());
                match node.catalog_transfers.add(id, offset, &bytes)? {
                    Some(packed) => {
                        return unpack(&packed).map_err(|e| FetchError::Damaged(e.to_string()));
                    }
                    None => continue,
                }
            }
            Ok(PartResponse::Busy { holders }) => {
                (source.record_busy(node.now(), &holders, max_stall), FetchError::Busy)
            }
            Ok(PartResponse::NothingNewer) => (source.record_failure(), FetchError::NothingNewer),
            Err(CallError::Refused) => (source.record_failure(), FetchError::KnowsNoParts),
            Err(CallError::NoResponse) => (source.record_failure(), FetchError::NoResponse),
        };
        match next {
            NextStep::AskNow => {}
            NextStep::AskLater => sleep(BUSY_PAUSE.mul_f64(1.0 + random::<f64>())).await,
            NextStep::GiveUp => return Err(error),
        }
    }
}

async fn request_part(node: &Node, addr: SocketAddr) -> Result<PartResponse, CallError> {
    let version = node.catalog_version();
    let request = {
        let settings = node.settings.borrow();
        PartRequest {
            from: settings.peer_addr,
            domain: settings.domain.clone(),
            version,
            partial: node.catalog_transfers.wanted(version),
        }
    };
    let req = Request::post(PART_PATH, "peer", encode(&request));
    let body = send_request(node, addr, &req, RESPONSE_TIMEOUT).await?;
    ciborium::from_reader(body.as_ref()).map_err(|_| CallError::NoResponse)
}

/// Answers a request for a part of the text.
pub(super) fn handle_part_request(node: &Node, body: &Bytes) -> CallerResponse {
    let Ok(request) = ciborium::from_reader::<PartRequest, _>(body.as_ref()) else {
        return json_error(StatusCode::BAD_REQUEST, "the body is not a request for a part");
    };
    Response::new(ResponseBody::full(encode(&part_response(node, &request))))
}

fn part_response(node: &Node, request: &PartRequest) -> PartResponse {
    let transfers = &node.catalog_transfers;
    let (version, text) = {
        let state = node.state.borrow();
        (node.catalog_version(), state.catalog_text.clone())
    };
    let wanted = request.partial.map(|(id, _)| id);
    let offset_in = |id| request.partial.filter(|(of, _)| *of == id).map_or(0, |(_, at)| at);
    let (id, part) = if version > request.version {
        let (id, packed) = transfers.to_send(wanted, version, &text);
        let start = (offset_in(id) as usize).min(packed.len());
        (id, packed.slice(start..(start + PART_BYTES).min(packed.len())))
    } else {
        // What this node is receiving itself is passed on as it comes.
        match &*transfers.partial.borrow() {
            Some(text) if text.id().version > request.version => {
                let part = text.part(offset_in(text.id()), PART_BYTES);
                (text.id(), Bytes::copy_from_slice(part))
            }
            _ => return PartResponse::NothingNewer,
        }
    };
    if part.is_empty() {
        return PartResponse::Busy { holders: Vec::new() };
    }
    let mut slots = transfers.slots.borrow_mut();
    if !slots.admit(node.now(), id, request.from, &request.domain) {
        let holders = slots.referrals(id.version, request.from, &request.domain, random());
        return PartResponse::Busy { holders };
    }
    let offset = offset_in(id);
    if offset + part.len() as u64 == id.length {
        slots.record_complete(request.from, &request.domain, id.version);
    }
    PartResponse::Part { id, offset, bytes: part }
}

fn encode<T: Serialize>(message: &T) -> Bytes {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("a message between nodes can be encoded");
    bytes.into()
}
