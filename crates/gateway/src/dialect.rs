//! What a platform's names, formats and calls are translated to.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use futures_util::future::LocalBoxFuture;
pub use hgw_direct::{BadEra, Cursor, Era};
use hgw_direct::{
    CachedWeights, Catalog, Credentials, CustomerId, EngineId, EngineInfo, Load, LoadedModel,
    ModelRef, Prompt, StartTime,
};
use hgw_http1::{Head, Request};
use http::HeaderMap;
use http::request::Parts;

/// All borders of a node.
pub struct Dialects {
    /// What callers speak.
    pub callers: Box<dyn Callers>,
    /// What engines speak.
    pub upstreams: Box<dyn Upstreams>,
    /// What the platform's store speaks.
    pub store: Box<dyn Store>,
}

/// What callers speak.
pub trait Callers {
    /// What a request says beside its method, path and body.
    fn read(&self, head: &Parts) -> Result<Call, BadCall>;

    /// What a request shows of who sends it.
    fn shown(&self, head: &Parts) -> Credentials;

    /// Says that a key is needed.
    fn ask_for_key(&self, headers: &mut HeaderMap);

    /// Says when a refused caller should come back.
    fn come_back(&self, headers: &mut HeaderMap, after: Duration);

    /// Whether a request asks if this node takes callers.
    fn asks_ready(&self, head: &Parts) -> bool;
}

/// What a caller's request says.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Call {
    /// Its id, which engines echo.
    pub id: String,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// Its prompt, where it names a model.
    pub prompt: Option<Prompt>,
    /// Tokens of its prompt and the most of its answer, where it tells them.
    pub tokens: Option<u64>,
    /// The last event that the caller has of this stream.
    pub last_event: Option<u64>,
}

/// A request that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{field} is `{value}`: {allowed}")]
pub struct BadCall {
    /// The field.
    pub field: &'static str,
    /// Its value; empty where it is missing.
    pub value: String,
    /// What is allowed.
    pub allowed: &'static str,
}

/// A request as it is sent to an engine.
#[derive(Debug, Clone)]
pub struct Sending<'a> {
    /// The engine.
    pub engine: &'a EngineId,
    /// Time that is left.
    pub left: Duration,
    /// 0 is served first.
    pub priority: u8,
    /// The last event that the caller has, where a stream goes on.
    pub last_event: Option<u64>,
    /// Who sends it.
    pub sender: SentBy<'a>,
}

/// Who sends a request, as engines are told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SentBy<'a> {
    /// No customers are configured, and what callers show is theirs and the engines'.
    Unknown,
    /// Anybody, on an open route.
    Anybody,
    /// A customer. Its key stays here.
    Customer(&'a CustomerId),
}

/// What engines speak.
pub trait Upstreams {
    /// The fields of a request to an engine.
    fn headers(&self, caller: &Parts, sending: &Sending<'_>) -> HeaderMap;

    /// What the head of an answer says.
    fn read(&self, head: &Head) -> Marks;

    /// Fields of an engine's answer that the caller gets.
    fn answer(&self, head: &Head) -> HeaderMap;

    /// An order.
    fn order(&self, order: &Order<'_>) -> Request;

    /// A question for what an engine holds.
    fn ask_report(&self, addr: SocketAddr, engine: &EngineId) -> Request;

    /// Its answer.
    fn report(&self, body: &[u8]) -> Result<Report, Malformed>;
}

/// What the head of an engine's answer says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Marks {
    /// The request that it answers.
    pub id: Option<String>,
    /// Whether it bears the engine's signature.
    pub sealed: bool,
    /// Whether the engine says that the request has not run.
    pub not_run: bool,
    /// Whether the address belongs to another engine, or the model is not there.
    pub misdirected: bool,
    /// The engine that answers, where it says so.
    pub engine: Option<EngineId>,
    /// The load that the engine tells.
    pub load: Option<Load>,
}

/// What an order is to bring about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum OrderKind {
    /// Hold a model or an adapter.
    #[display("load")]
    Load,
    /// Drop it.
    #[display("unload")]
    Unload,
}

/// An order to an engine.
#[derive(Debug, Clone, Copy)]
pub struct Order<'a> {
    /// Where the engine is reached.
    pub addr: SocketAddr,
    /// The engine.
    pub engine: &'a EngineId,
    /// What to do.
    pub kind: OrderKind,
    /// With what.
    pub wanted: &'a ModelRef,
    /// Orders that the engine had accepted when this one was decided on; it refuses another count.
    pub seq: u64,
    /// The machine that gives it.
    pub holder: &'a str,
    /// The holder's fencing number.
    pub fence: u64,
}

/// What an engine holds and does.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Report {
    /// What it holds.
    pub held: Vec<LoadedModel>,
    /// What it need not fetch to load.
    pub at_hand: CachedWeights,
    /// Adapters that are on their way to it.
    pub coming: Vec<ModelRef>,
    /// Whether an order for a model is under way.
    pub busy: bool,
    /// Orders that it has accepted.
    pub seq: u64,
    /// When the engine was started.
    pub start: StartTime,
    /// Its load.
    pub load: Load,
}

/// Bytes that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("cannot read {what}: {why}")]
pub struct Malformed {
    /// What they should have been.
    pub what: &'static str,
    /// Why not.
    #[error(not(source))]
    pub why: String,
}

/// Why a call to the store did not bring what was asked for.
#[derive(Debug, Display, Error)]
pub enum StoreError {
    /// The store refused it and did nothing: too many calls, or not able to.
    #[display("the store refused the call: status {status}")]
    Refused {
        /// The status of its answer.
        status: u16,
    },
    /// The condition did not hold; nothing was done.
    #[display("the condition did not hold")]
    Condition,
    /// A newer holder has taken over; nothing was done.
    #[display("fenced off by a newer holder")]
    Fenced,
    /// No answer: it may have been done, or may yet be.
    #[display("no answer from the store: {why}")]
    Lost {
        /// What happened to the connection.
        #[error(not(source))]
        why: String,
    },
    /// Its answer cannot be read.
    #[display("{_0}")]
    Malformed(Malformed),
    /// The answer is of an earlier era than is known: it was long on its way, or comes from what is left of an earlier
    /// life of the store.
    #[display("the answer is of era {era}, and the store is in era {known}")]
    Outdated {
        /// The era of the answer.
        era: Era,
        /// The newest that is known.
        known: Era,
    },
    /// The store has come back from a copy, and the place that the call goes on from is not there any more. What was
    /// appended stands in another log than was meant.
    #[display("the store has come back in era {era}")]
    NewEra {
        /// Its era now.
        era: Era,
    },
}

/// Result of a call to the store.
pub type StoreResult<T> = Result<T, StoreError>;

/// News of the configuration.
#[derive(Debug, Clone)]
pub struct CatalogNews {
    /// Where to read on.
    pub cursor: Cursor,
    /// The text of the newest one, where there is one since the cursor.
    pub catalog: Option<Bytes>,
}

/// News of the list of engines.
#[derive(Debug, Clone, Default)]
pub struct EngineNews {
    /// Where to read on.
    pub cursor: Cursor,
    /// Whether `entries` is the whole list, and not what changed.
    pub whole: bool,
    /// The entries.
    pub entries: Vec<EngineChange>,
    /// Entries that could not be read.
    pub malformed: Vec<Malformed>,
}

/// An entry of the list of engines, and where in the store's log it stands.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineChange {
    /// The place.
    pub at: Cursor,
    /// The entry.
    pub entry: EngineEntry,
}

/// An entry of the list of engines.
#[derive(Debug, Clone, PartialEq)]
pub enum EngineEntry {
    /// An engine, with the time until it is gone where it leaves.
    Listed {
        /// The engine.
        listed: Box<EngineInfo>,
        /// Time that is left to it.
        left: Option<Duration>,
    },
    /// The entry is gone.
    Gone(EngineId),
    /// It cannot be read.
    Unreadable(EngineId),
}

/// A record of the claim's log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Its place, unique and rising.
    pub at: Cursor,
    /// What it says.
    pub data: Bytes,
}

/// News of the claim's log.
#[derive(Debug, Clone, Default)]
pub struct ClaimNews {
    /// The end of the log: where the next record goes.
    pub end: Cursor,
    /// Records since the cursor.
    pub records: Vec<Record>,
}

/// What the platform's store speaks.
pub trait Store {
    /// Waits for a configuration since the cursor; reads the newest one without a cursor.
    fn catalog(
        &self,
        since: Option<Cursor>,
        wait: Duration,
    ) -> LocalBoxFuture<'_, StoreResult<CatalogNews>>;

    /// Reads the text of a configuration.
    fn read_catalog(&self, text: &[u8]) -> Result<Catalog, Malformed>;

    /// Reads what changed in the list of engines since the cursor, or the whole list without one.
    fn engines(&self, since: Option<Cursor>) -> LocalBoxFuture<'_, StoreResult<EngineNews>>;

    /// Waits for records of the claim's log.
    fn claims(
        &self,
        since: Option<Cursor>,
        wait: Duration,
    ) -> LocalBoxFuture<'_, StoreResult<ClaimNews>>;

    /// Appends to the claim's log if it ends at `at`; the record stands there then.
    fn claim(&self, at: Cursor, data: Bytes) -> LocalBoxFuture<'_, StoreResult<()>>;

    /// Makes this node known to the others, by its name.
    fn announce(&self, node: &str, data: Bytes) -> LocalBoxFuture<'_, StoreResult<()>>;

    /// All nodes that made themselves known.
    fn nodes(&self) -> LocalBoxFuture<'_, StoreResult<Vec<(String, Bytes)>>>;

    /// The newest era that is known.
    fn era(&self) -> Era;

    /// Another node knows of this era: no answer of an earlier one counts any more.
    fn heard_of(&self, era: Era);
}
