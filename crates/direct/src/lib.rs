//! Routing, placement and quota decisions.
//!
//! Nothing here does I/O or reads a clock: the time is passed in, so that every decision can be
//! tested.

mod admitted_versions;
pub mod aggregation;
mod attempt_count;
mod brittleness;
mod catalog;
mod catalog_lag;
mod change_log;
mod change_position;
mod choice;
mod connection_gate;
mod crash_history;
mod crash_subject;
mod cursor;
mod customer;
mod deadline;
mod decay;
mod demand;
mod engine;
mod engine_limits;
mod engine_memory;
mod engine_notices;
mod engine_path;
pub mod engine_speed;
mod engines;
mod forwarders;
mod freshness;
mod health;
pub mod hubs;
mod idle_connection;
mod idle_trust;
pub mod in_flight;
mod isolation;
mod leader_liveness;
mod leader_search;
mod list_changes;
pub mod overload;
mod peer_silence;
pub mod placement;
mod prefill;
mod prompt;
pub mod quota;
mod read_ahead;
mod refusal;
mod request_digest;
mod request_rate;
mod retry_budget;
mod retry_outcomes;
mod retry_time;
mod room_queue;
mod route_table;
mod service_silence;
mod software_version;
mod stream_versions;
pub mod subset;
mod text_transfer;
pub mod unreachable;

pub use admitted_versions::{AdmissionParams, AdmittedVersions, ServiceVersions, VersionAdmission};
pub use attempt_count::{AttemptCount, GrantId};
pub use brittleness::Brittleness;
pub use catalog::{
    CallerLimits, Catalog, Model, ModelPool, Route, RouteKind, RouteMatch, Service, ServiceId,
    Target,
};
pub use catalog_lag::{CatalogLag, LagEffect};
pub use change_log::ChangeLog;
pub use change_position::ChangePosition;
pub use choice::{Choice, ChoiceParams, CostWeights, NoEngine, VersionRule, choose_engine};
pub use connection_gate::{ConnectionGate, DELAY_INTERVAL};
pub use crash_history::{
    BlockedSubject, CrashHistory, CrashReport, CrashState, ENDS_TO_BLOCK, ENDS_TO_STOP_RETRIES,
    JudgeParams, Origin, SendPermission, Verdict,
};
pub use crash_subject::{CrashSubject, InvalidSubject, RankedSubject, crash_subjects};
pub use cursor::{Cursor, Era, InvalidEra, KnownEra};
pub use customer::{
    ApiKey, CallerIdentity, Credentials, Customer, CustomerId, Customers, Quota, QuotaBounds,
    QuotaUnit,
};
pub use deadline::{Deadline, MIN_TIME_TO_SEND};
pub use demand::{Demand, DemandSnapshot, Rates};
pub use engine::{
    CachedWeights, Engine, EngineId, EngineInfo, EngineState, Load, LoadedModel, StartTime,
};
pub use engine_limits::{EngineLimits, LimitChange, LimitState};
pub use engine_memory::{HeldTokens, MemoryParams, RequestMemory};
pub use engine_notices::{EngineNotices, InvalidNotice, RestTime};
pub use engine_path::{EnginePath, MIN_FAILED_ENGINES, PATH_CHECK_INTERVAL, PathChange};
pub use engines::Engines;
pub use forwarders::Forwarders;
pub use freshness::{FreshnessProof, VersionCheck};
pub use health::{AttemptOutcome, Health, HealthTracker};
pub use idle_connection::{ConnectionLimits, IdleConnection};
pub use idle_trust::{IdleTrust, LONG_IDLE, SHORT_IDLE};
pub use isolation::is_isolated;
pub use leader_liveness::LeaderLiveness;
pub use leader_search::LeaderSearch;
pub use list_changes::{
    EngineRecord, EngineStateChange, ListChanges, ListReceiver, ListUpdate, ListUpdateKind,
    ListVersion, is_large_list, polls_store,
};
pub use peer_silence::{PeerContact, PeerSilence};
pub use prefill::{PrefillBacklog, PrefillRate, SendId, broadcasts_sends};
pub use prompt::{EmptyModelName, ModelRef, Prompt, PromptPart};
pub use read_ahead::{HeldBytes, MIN_STREAM_BYTES, ReadAheadBound, ResponseSize, SMALL_BODY_BYTES};
pub use refusal::{MIN_RETRY_AFTER, Refusal, retry_after};
pub use request_digest::{DigestedParts, InvalidDigest, RequestDigest};
pub use request_rate::{InvalidRequestRate, RequestRate};
pub use retry_budget::{RetryBudget, RetryBudgetLimits};
pub use retry_outcomes::{FailedAttempt, FailureCause, RetryAdvice, RetryOutcomes};
pub use retry_time::{RefusalDuration, retry_time};
pub use room_queue::{
    BeginTimes, Entered, RoomGroup, RoomQueue, RoomReason, TicketId, max_room_wait,
};
pub use route_table::RouteTable;
pub use service_silence::{ServiceSilence, is_silent};
pub use software_version::{SoftwareVersion, VersionKey};
pub use stream_versions::{BegunStream, StreamKey, StreamVersions};
pub use text_transfer::{NextStep, PackedTextId, PartialText, SendSlots, TransferSource};

/// Milliseconds since the start of the process.
pub type Millis = u64;
