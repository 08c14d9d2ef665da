use log::Level;

macro_rules! catalogue {
    ($($name:ident = $number:literal, $level:ident, $text:literal;)*) => {
        /// Something that a process logs.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Event {
            $(#[doc = $text] $name,)*
        }

        impl Event {
            /// All events, by number.
            pub const ALL: &'static [Event] = &[$(Event::$name),*];

            /// The number, which never changes its meaning.
            pub fn number(self) -> u32 {
                match self {
                    $(Event::$name => $number,)*
                }
            }

            /// How much it matters.
            pub fn level(self) -> Level {
                match self {
                    $(Event::$name => Level::$level,)*
                }
            }

            /// What happened, in words.
            pub fn text(self) -> &'static str {
                match self {
                    $(Event::$name => $text,)*
                }
            }

            /// The name in the code.
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
    ProcessStopping = 1002, Info, "a planned stop has begun";
    ProcessStopped = 1003, Info, "the process has stopped";
    ReadinessChanged = 1004, Info, "readiness for callers has changed";
    StopForced = 1005, Warn, "the process ends at once on a second signal";
    ListenerFailed = 1006, Error, "a listener cannot be served";
    MessagesLeft = 1007, Warn, "messages to peers were left unsent at the end";
    StoodStill = 1008, Warn, "the machine stood still";
    SettingsChanged = 1009, Info, "the settings have changed";
    SettingsRejected = 1010, Warn, "the settings file cannot be used: the last settings stay";
    LinesLeftOut = 1011, Warn, "log lines were left out";
    MemberUp = 2001, Info, "a node counts as alive";
    MemberDown = 2002, Info, "a node counts as dead or leaves";
    PeerRefused = 2003, Warn, "a connection of a peer was refused";
    PeerUnreachable = 2004, Info, "a connection to a peer could not be made";
    PeerSilent = 2005, Warn, "a connection to a peer went silent and was closed";
    PeerAnswers = 2006, Info, "a peer answers again";
    ConfigInForce = 3001, Info, "a configuration is in force";
    ConfigFromPeer = 3002, Info, "a configuration was taken from a peer";
    ConfigRejected = 3003, Warn, "a change in the log was rejected";
    ConfigLost = 3004, Warn, "no configuration is kept anywhere: this node begins with none";
    ProofLost = 3005, Warn, "the configuration cannot be shown to be the newest: requests with keys are refused";
    ProofGained = 3006, Info, "the configuration is shown to be the newest";
    LogDown = 3101, Warn, "the platform's log does not answer";
    LogUp = 3102, Info, "the platform's log answers again";
    StoreCameBack = 3103, Warn, "the platform's store has come back from a copy: what it had lost is read and written anew";
    KeeperGained = 4001, Info, "this node keeps its failure domain";
    KeeperLost = 4002, Info, "this node keeps its failure domain no longer";
    OrderSent = 4003, Info, "an order was sent to an engine";
    OrderNotDone = 4004, Warn, "an order was refused or lost";
    EnginesLost = 4005, Warn, "the engines that do not answer have changed";
    PlacementPlanned = 4006, Info, "an engine is to hold another model";
    EngineJudged = 4007, Info, "an engine is judged anew by its answers";
    AdapterPlanned = 4008, Info, "an engine is to hold another adapter";
    EngineStartedAnew = 4009, Info, "an engine has started anew under its identity";
    EngineStands = 4010, Info, "an engine is known to take new work, or to take none";
    PlannerGained = 4101, Info, "this node plans its region";
    PlannerLost = 4102, Info, "this node plans its region no longer";
    FloorInForce = 4103, Info, "a residency floor is in force";
    OwnerGained = 4201, Info, "this node owns a key shard";
    OwnerLost = 4202, Info, "this node owns a key shard no longer";
    LimitsAlone = 4301, Info, "a domain uses its own share of the limits, or hears again what it may use";
    RequestFailed = 5001, Info, "a caller was given no whole answer";
    RequestResumed = 5002, Info, "a request goes on at another upstream";
    UpstreamLeaving = 5003, Info, "the upstreams that take no new work have changed";
    StreamReconnected = 5004, Info, "a stream goes on over a new connection to its engine";
    RequestRefused = 5005, Info, "a request was refused and has not run";
    RequestServed = 5006, Info, "an engine has answered a request whole";
    TryFailed = 5007, Info, "a try at an engine brought no answer";
    CallerLeft = 5008, Info, "a caller left before its answer was whole";
    CallerDenied = 5009, Info, "a request was not run for want of a valid key, or of the proof that it is one";
}
