//! All events, with their numbers, levels and texts.

use log::Level;

macro_rules! catalogue {
    ($($name:ident = $number:literal, $level:ident, $text:literal;)*) => {
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Event {
            $(#[doc = $text] $name,)*
        }

        impl Event {
            /// All events, ordered by number.
            pub const ALL: &'static [Event] = &[$(Event::$name),*];

            /// The number, which is never reused for another event.
            pub fn number(self) -> u32 {
                match self {
                    $(Event::$name => $number,)*
                }
            }

            pub fn level(self) -> Level {
                match self {
                    $(Event::$name => Level::$level,)*
                }
            }

            pub fn text(self) -> &'static str {
                match self {
                    $(Event::$name => $text,)*
                }
            }

            pub fn name(self) -> &'static str {
                match self {
                    $(Event::$name => stringify!($name),)*
                }
            }
        }
    };
}

catalogue! {
    ProcessStarted = 1001, Info, "the process has started";
    ProcessStopping = 1002, Info, "graceful shutdown has started";
    ProcessStopped = 1003, Info, "the process has stopped";
    ReadinessChanged = 1004, Info, "readiness for callers has changed";
    StopForced = 1005, Warn, "the process exits immediately after a second signal";
    ListenerFailed = 1006, Error, "a listener has failed";
    MessagesLeft = 1007, Warn, "messages to peers were not sent before shutdown";
    StoodStill = 1008, Warn, "the machine was paused";
    SettingsChanged = 1009, Info, "the settings have changed";
    SettingsRejected = 1010, Warn, "the settings file is invalid; the previous settings remain active";
    LinesLeftOut = 1011, Warn, "log lines were dropped";
    ConnectionsRefused = 1012, Info, "the node has begun or ceased to refuse some new connections, as it runs late";
    CallerClosedUnread = 1013, Info, "the node has closed a caller's connection with unread bytes";
    PeerDead = 1020, Info, "a connection was closed, as its peer acknowledges nothing";
    MemberUp = 2001, Info, "a node is considered alive";
    MemberDown = 2002, Info, "a node is considered dead or is shutting down";
    PeerRefused = 2003, Warn, "a peer's connection was refused";
    PeerUnreachable = 2004, Info, "could not connect to a peer";
    PeerSilent = 2005, Warn, "a connection to a peer timed out and was closed";
    PeerAnswers = 2006, Info, "a peer responds again";
    ConfigInForce = 3001, Info, "a configuration is active";
    ConfigFromPeer = 3002, Info, "a configuration was received from a peer";
    ConfigRejected = 3003, Warn, "a configuration change in the log was rejected";
    ConfigLost = 3004, Warn, "no configuration is stored anywhere; this node starts without one";
    ProofLost = 3005, Warn, "the configuration is not confirmed as current; requests with keys are refused";
    ProofGained = 3006, Info, "the configuration is confirmed as current";
    ConfigFetchFailed = 3007, Info, "the text of a configuration did not arrive from another node; it is requested again";
    ConfigOutdated = 3008, Info, "the node has begun or ceased to send callers elsewhere, as it lacks a newer configuration";
    ConfigReported = 3009, Info, "another node has a newer configuration than this one";
    LogDown = 3101, Warn, "the platform's log does not respond";
    LogUp = 3102, Info, "the platform's log responds again";
    StoreCameBack = 3103, Warn, "the platform's store was restored from a backup; lost records are rewritten";
    KeeperGained = 4001, Info, "this node became the leader of its failure domain";
    KeeperLost = 4002, Info, "this node is no longer the leader of its failure domain";
    OrderSent = 4003, Info, "an order was sent to an engine";
    OrderNotDone = 4004, Warn, "an order was refused or got no response";
    EnginesLost = 4005, Warn, "the set of unresponsive engines has changed";
    PlacementPlanned = 4006, Info, "an engine was assigned another model";
    EngineJudged = 4007, Info, "an engine's health has changed";
    AdapterPlanned = 4008, Info, "an engine was assigned another adapter";
    EngineStartedAnew = 4009, Info, "an engine has restarted under the same id";
    EngineStands = 4010, Info, "an engine has started or stopped accepting new work";
    EnginesListed = 4011, Info, "further engines have started accepting new work";
    EngineLimited = 4012, Info, "the rate of requests that an engine takes has changed";
    EngineLimitInvalid = 4013, Warn, "an engine named a rate of requests that cannot be parsed; what was known stays";
    EnginePathChanged = 4014, Warn, "this node has lost or regained its path to the engines of a service";
    EngineBrittle = 4015, Info, "an engine has said how many requests it may have to reject before it fails, or no longer does";
    VersionsAdmitted = 4016, Info, "the software versions at which streams of a service may begin have changed";
    VersionsUnknown = 4017, Info, "the record of software versions was not read or written";
    EngineNotice = 4018, Info, "an engine has said in a response that it leaves or wants rest";
    EngineNoticeInvalid = 4019, Warn, "an engine said in a response what cannot be parsed; it is ignored";
    EngineSurveyed = 4020, Info, "an engine has reported what it has loaded";
    LeaderReported = 4021, Info, "another node has said who leads, which neither the store nor the polled node did";
    PlannerGained = 4101, Info, "this node became the planner of its region";
    PlannerLost = 4102, Info, "this node is no longer the planner of its region";
    FloorInForce = 4103, Info, "a plan of minimum model replicas is active";
    OwnerGained = 4201, Info, "this node became the owner of a key shard";
    OwnerLost = 4202, Info, "this node is no longer the owner of a key shard";
    LimitsAlone = 4301, Info, "a domain has started or stopped using only its own share of the limits";
    RequestFailed = 5001, Info, "a caller got no complete response";
    RequestResumed = 5002, Info, "a request was resumed at another upstream";
    UpstreamLeaving = 5003, Info, "the set of draining upstreams has changed";
    StreamReconnected = 5004, Info, "a stream was resumed over a new connection to its engine";
    RequestRefused = 5005, Info, "a request was refused and has not run";
    RequestServed = 5006, Info, "an engine has sent a complete response";
    TryFailed = 5007, Info, "an attempt at an engine has failed";
    CallerLeft = 5008, Info, "a caller disconnected before its response was complete";
    CallerDenied = 5009, Info, "a request was refused: its key is missing, invalid or could not be verified";
    EngineEnded = 5010, Info, "an engine has ended under a request";
    RequestBlocked = 5011, Warn, "three engines have ended under a request or a part of prompts, which is sent to no more";
    RequestAcquitted = 5012, Info, "an engine has outlived a request or a part of prompts under which others had ended";
    RequestForwarded = 5013, Info, "a request was served by way of another node";
    ForwardFailed = 5014, Info, "another node has not served a request that was forwarded to it";
    StreamBegan = 5015, Info, "an engine has sent the first event of a stream";
    StreamTakenUp = 5016, Info, "a caller takes up a stream that an earlier attempt began";
    TrialBegan = 5017, Info, "a request is sent to find out whether a part of its prompt crashes engines";
    EngineSilent = 5018, Info, "a request looks for another way, as its engine, or the node that forwards it, is silent";
    ForwardCounted = 5019, Info, "attempts of another node were counted for a request that it was to forward";
    ResponseMalformed = 5020, Info, "an engine has sent what is no response; its connection is closed";
    AttemptRequested = 5021, Info, "another node has asked to send a request to a further engine";
}
