//! Traits by which a platform provides its protocols and its store.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use futures_util::future::LocalBoxFuture;
use hgw_direct::{
    CachedWeights, Catalog, Credentials, CustomerId, EngineId, EngineInfo, EngineNotices,
    InvalidRequestRate, Load, LoadedModel, ModelRef, Prompt, RequestRate, StartTime,
};
pub use hgw_direct::{Cursor, Era, InvalidEra};
use hgw_http1::{Head, Request};
use http::HeaderMap;
use http::request::Parts;

/// The protocols that a node speaks on a platform.
pub struct Protocols {
    pub callers: Box<dyn CallerProtocol>,
    pub upstreams: Box<dyn UpstreamProtocol>,
    pub store: Box<dyn Store>,
}

/// Protocol between callers and a node.
pub trait CallerProtocol {
    /// Parses the request's headers.
    fn parse(&self, head: &Parts) -> Result<RequestInfo, InvalidHeader>;

    /// The credentials of a request.
    fn credentials(&self, head: &Parts) -> Credentials;

    /// Adds the challenge of a 401 response.
    fn add_auth_challenge(&self, headers: &mut HeaderMap);

    /// Adds the delay after which a rejected caller should retry.
    fn set_retry_after(&self, headers: &mut HeaderMap, after: Duration);

    /// Whether the request is a readiness probe.
    fn is_readiness_probe(&self, head: &Parts) -> bool;
}

/// The parsed headers of a caller's request.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RequestInfo {
    /// Request id, which engines echo.
    pub id: String,
    /// How long the caller waits for the response.
    pub deadline: Option<Duration>,
    /// `None` if the request names no model.
    pub prompt: Option<Prompt>,
    /// Tokens of the prompt plus the maximum of the response, if given.
    pub tokens: Option<u64>,
    /// The last event that the caller has received of this stream.
    pub last_event: Option<u64>,
    /// Id of the attempt that brought the first event of this stream.
    pub resumes: Option<String>,
    /// Why the estimate of the output tokens is ignored, if it cannot be used.
    pub ignored_length_hint: Option<IgnoredFigure>,
}

/// Why a figure of a header is ignored. The rest of the header is used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum IgnoredFigure {
    #[display("missing")]
    Missing,
    #[display("too many figures")]
    TooMany,
    /// Signs and fractions included.
    #[display("not a whole number")]
    NotWhole,
    #[display("zero")]
    Zero,
    #[display("out of range")]
    OutOfRange,
}

/// A header with a value that is not allowed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{field} is `{value}`: {allowed}")]
pub struct InvalidHeader {
    pub field: &'static str,
    /// Empty if the header is missing.
    pub value: String,
    /// Describes the allowed values.
    pub allowed: &'static str,
}

/// What a request to an engine carries beside the caller's own headers.
#[derive(Debug, Clone)]
pub struct UpstreamRequest<'a> {
    pub engine: &'a EngineId,
    /// Time until the request's deadline.
    pub time_left: Duration,
    /// 0 is the most urgent.
    pub priority: u8,
    /// The last event that the caller has received, if a stream is resumed.
    pub last_event: Option<u64>,
    pub sender: UpstreamIdentity<'a>,
}

/// The identity of a caller that is forwarded to engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamIdentity<'a> {
    /// No customers are configured: credentials are passed through to engines.
    PassThrough,
    /// No credentials, on a public route.
    Anonymous,
    /// A customer; its key is not forwarded.
    Customer(&'a CustomerId),
}

/// Protocol between a node and engines.
pub trait UpstreamProtocol {
    /// The headers of a request to an engine.
    fn request_headers(&self, caller: &Parts, req: &UpstreamRequest<'_>) -> HeaderMap;

    /// Parses the head of a response; fails if engines send no such response.
    fn parse_head(&self, head: &Head) -> hgw_http1::Result<ResponseInfo>;

    /// The headers of an engine's response that are passed on to the caller.
    fn response_headers(&self, head: &Head) -> HeaderMap;

    /// Builds the request for an order.
    fn order_request(&self, order: &Order<'_>) -> Request;

    /// Builds the request for an engine's report.
    fn report_request(&self, addr: SocketAddr, engine: &EngineId) -> Request;

    /// Builds the request for the health check of an engine that has no report.
    fn health_request(&self, addr: SocketAddr, path: &str) -> Request;

    /// Parses a report.
    fn parse_report(&self, body: &[u8]) -> Result<Report, DecodeError>;
}

/// What the head of an engine's response says about its rate limit.
#[derive(Debug, Clone, Default, PartialEq)]
pub enum LimitHeader {
    /// The engine names no limit.
    #[default]
    Absent,
    Limit(RequestRate),
    Invalid(InvalidRequestRate),
}

/// The parsed head of an engine's response.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResponseInfo {
    /// Id of the request that it belongs to.
    pub id: Option<String>,
    /// Whether the engine has signed it.
    pub is_signed: bool,
    /// Whether the engine states that it has not executed the request.
    pub is_rejected: bool,
    /// Whether the status says that another engine answered at the address, or that this one lacks the model.
    pub is_misdirected: bool,
    /// The engine that answered, if it is named.
    pub engine: Option<EngineId>,
    pub load: Option<Load>,
    /// Why a part of the load is ignored, if it cannot be used.
    pub ignored_load: Option<IgnoredFigure>,
    /// Rate of requests that the engine takes from all nodes together.
    pub limit: LimitHeader,
    /// Rate of requests that it may have to reject before it fails.
    pub max_rejections: LimitHeader,
    /// What it says of leaving and of rest.
    pub notices: EngineNotices,
}

impl ResponseInfo {
    /// Whether the request has certainly not run at this engine. No status alone tells that, but another engine at its
    /// address that says so by its name has not been this one.
    pub fn proves_not_run(&self, engine: &EngineId) -> bool {
        let is_another = self.engine.as_ref().is_some_and(|named| named != engine);
        self.is_rejected || (self.is_misdirected && is_another)
    }

    /// Whether it may come from this engine: another one at the address names itself, or rejects the request.
    pub fn may_come_from(&self, engine: &EngineId) -> bool {
        self.engine.as_ref().map_or(!self.is_misdirected, |named| named == engine)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum OrderKind {
    /// Load a model or an adapter.
    #[display("load")]
    Load,
    /// Unload it.
    #[display("unload")]
    Unload,
}

/// An order to an engine to load or unload a model or an adapter.
#[derive(Debug, Clone, Copy)]
pub struct Order<'a> {
    pub addr: SocketAddr,
    pub engine: &'a EngineId,
    pub kind: OrderKind,
    pub model_ref: &'a ModelRef,
    /// Number of orders that the engine had accepted when this one was decided; the engine rejects the
    /// order if its own count differs.
    pub seq: u64,
    /// The leader that gives the order.
    pub holder: &'a str,
    /// Fencing token of its lease.
    pub fence: u64,
}

/// State of an engine as it reports it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Report {
    /// Loaded models.
    pub loaded: Vec<LoadedModel>,
    /// Models that it can load without fetching them.
    pub cached: CachedWeights,
    /// Adapters that are being loaded.
    pub loading_adapters: Vec<ModelRef>,
    /// Whether it is executing an order for a model.
    pub busy: bool,
    /// Number of orders that it has accepted.
    pub seq: u64,
    pub started_at: StartTime,
    pub load: Load,
}

/// Bytes that could not be parsed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("cannot read {what}: {why}")]
pub struct DecodeError {
    /// What they were parsed as.
    pub what: &'static str,
    #[error(not(source))]
    pub why: String,
}

/// Why a call to the store failed.
#[derive(Debug, Clone, Display, Error)]
pub enum StoreError {
    /// The store rejected the call without executing it, by rate limit or for a fault of its own.
    #[display("the store refused the call: status {status}")]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// The call's precondition did not hold; nothing was changed.
    #[display("the condition did not hold")]
    PreconditionFailed,
    /// Another node has become leader since; nothing was changed.
    #[display("fenced off by a newer holder")]
    Fenced,
    /// There was no response: the call may have been executed, or may yet be.
    #[display("no answer from the store: {why}")]
    NoResponse {
        #[error(not(source))]
        why: String,
    },
    /// The response could not be parsed.
    #[display("{_0}")]
    Malformed(DecodeError),
    /// The response belongs to an earlier era than the newest known one: it was delayed, or comes from
    /// a part of the store that has not been restored yet.
    #[display("the answer is of era {era}, and the store is in era {known}")]
    Outdated {
        /// Era of the response.
        era: Era,
        /// Newest known era.
        known: Era,
    },
    /// The store has been restored from a backup, so the cursor of the call is no longer valid. An
    /// append has gone to another log than the one intended.
    #[display("the store has come back in era {era}")]
    NewEra {
        /// Current era of the store.
        era: Era,
    },
}

pub type StoreResult<T> = Result<T, StoreError>;

/// Changes of the configuration since a cursor.
#[derive(Debug, Clone)]
pub struct CatalogUpdate {
    /// Where to continue reading.
    pub cursor: Cursor,
    /// Text of the newest configuration, if there is a new one.
    pub catalog: Option<Bytes>,
}

/// Changes of the list of engines since a cursor.
#[derive(Debug, Clone, Default)]
pub struct EngineListUpdate {
    /// Where to continue reading.
    pub cursor: Cursor,
    /// Whether `entries` is the whole list instead of the changes.
    pub is_full_list: bool,
    pub entries: Vec<EngineChange>,
    /// Why `entries` lacks a part of the list that was asked for; none if it does not.
    pub missing: Option<StoreError>,
    /// Entries that could not be parsed.
    pub malformed: Vec<DecodeError>,
}

/// An entry of the list of engines, with its position in the store's log.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineChange {
    pub position: Cursor,
    pub entry: EngineEntry,
}

#[derive(Debug, Clone, PartialEq)]
pub enum EngineEntry {
    Listed {
        listed: Box<EngineInfo>,
        /// Time until the engine stops, if it is leaving.
        left: Option<Duration>,
    },
    /// The entry has been removed.
    Gone(EngineId),
    /// The entry could not be parsed.
    Unreadable(EngineId),
}

/// A record of the lease log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Position in the log, unique and increasing.
    pub position: Cursor,
    pub data: Bytes,
}

/// New records of the lease log since a cursor.
#[derive(Debug, Clone, Default)]
pub struct LeaseLogUpdate {
    /// End of the log, where the next record is appended.
    pub end: Cursor,
    pub records: Vec<Record>,
}

/// The record of the software versions at which streams may begin.
#[derive(Debug, Clone, Default)]
pub struct VersionsRecord {
    /// End of the log that it is kept in.
    pub end: Cursor,
    /// The newest record; none if there is none yet.
    pub newest: Option<Record>,
}

/// Client of the platform's store.
pub trait Store {
    /// Long-polls for a configuration newer than the cursor; without a cursor, reads the newest one.
    fn poll_catalog(
        &self,
        since: Option<Cursor>,
        wait: Duration,
    ) -> LocalBoxFuture<'_, StoreResult<CatalogUpdate>>;

    /// Bytes of responses to these reads that have arrived so far: a long one that arrives is not lost.
    fn catalog_bytes(&self) -> u64;

    /// Parses the text of a configuration.
    fn parse_catalog(&self, text: &[u8]) -> Result<Catalog, DecodeError>;

    /// Reads the changes of the list of engines since the cursor; without a cursor, the whole list.
    fn read_engines(
        &self,
        since: Option<Cursor>,
    ) -> LocalBoxFuture<'_, StoreResult<EngineListUpdate>>;

    /// Long-polls for records of the lease log.
    fn poll_lease_log(
        &self,
        since: Option<Cursor>,
        wait: Duration,
    ) -> LocalBoxFuture<'_, StoreResult<LeaseLogUpdate>>;

    /// Appends a record to the lease log at `at`, if the log ends there.
    fn append_lease_record(&self, at: Cursor, data: Bytes) -> LocalBoxFuture<'_, StoreResult<()>>;

    /// Registers this node under its name, for the other nodes to find.
    fn register_node(&self, node: &str, data: Bytes) -> LocalBoxFuture<'_, StoreResult<()>>;

    /// All registered nodes.
    fn registered_nodes(&self) -> LocalBoxFuture<'_, StoreResult<Vec<(String, Bytes)>>>;

    /// Stores a request that is sent to no engine under its digest; removes the entry if it is empty.
    fn store_blocked_request(
        &self,
        digest: &str,
        entry: Bytes,
    ) -> LocalBoxFuture<'_, StoreResult<()>>;

    /// All requests that are stored as blocked.
    fn blocked_requests(&self) -> LocalBoxFuture<'_, StoreResult<Vec<(String, Bytes)>>>;

    /// Reads the record of software versions.
    fn versions_record(&self) -> LocalBoxFuture<'_, StoreResult<VersionsRecord>>;

    /// Replaces it, if the log of it ends at `end`.
    fn store_versions(&self, end: Cursor, record: Bytes) -> LocalBoxFuture<'_, StoreResult<()>>;

    /// The newest known era of the store; it increases by one each time the store is restored from a
    /// backup.
    fn era(&self) -> Era;

    /// Records an era that another node knows of; responses of earlier eras are rejected from now on.
    fn observe_era(&self, era: Era);
}
