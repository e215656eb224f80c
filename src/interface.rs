//! What the balancer is told and what it asks for: settings, ids, events, actions. No logic.

/// A point in time, or a span of it, in seconds. The origin is the caller's.
pub type Time = f64;

/// A request, named by the caller; never used twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// A backend: a server that requests can be sent to. Keeps its id over restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BackendId(pub u32);

/// Which backends drop repeats of each other's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupGroup {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// What repeating a request would do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// Nothing: it may be repeated at will.
    Safe,
    /// Dropped by the group that has seen it, for `window` seconds from the first send.
    Keyed {
        /// The backends that know of each other's requests.
        group: DedupGroup,
        /// How long they remember.
        window: Time,
    },
    /// It would happen again.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Answers within this span are worth all.
    pub aim: Time,
    /// The whole patience of a client, over all its tries.
    pub deadline: Time,
    /// The part of the worth that an answer between aim and deadline has.
    pub late_worth: f64,
    /// What a timely answer is worth.
    pub worth: f64,
    /// May it run again.
    pub effect: Effect,
    /// Requests of such classes with one key run singly, in the order in which they came.
    pub in_order: bool,
}

impl Default for Class {
    fn default() -> Self {
        Self { aim: 0.5, deadline: 1.0, late_worth: 0.0, worth: 1.0, effect: Effect::Safe, in_order: false }
    }
}

/// What a balancer is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The classes; requests name them by index.
    pub classes: Vec<Class>,
    /// For each tenant, the requests a second within its share, over all balancers.
    pub quotas: Vec<f64>,
    /// Worth of a request beyond its tenant's share, as a part of the class worth.
    pub over_share_worth: f64,
    /// Number of balancers like this one.
    pub instance_count: usize,
    /// Number of this one among them.
    pub instance_index: usize,
    /// How many tiers lie between the clients and this balancer; 0 is the entry.
    pub tier: usize,
    /// The zone this balancer is in, as [`BackendEntry::zone`] numbers them.
    pub zone: u32,
    /// What each attempt that crosses zones costs, in parts of the worth of an average request.
    pub cross_zone_cost: f64,
    /// Open or new connections have a price.
    pub costly_connections: bool,
    /// Load reports come with the results of probes only, and probes are allowed.
    pub probe_for_reports: bool,
    /// Attempts may be cancelled.
    pub can_cancel: bool,
    /// A request may have two attempts out at once.
    pub allow_concurrent_attempts: bool,
    /// Attempts that a request may have.
    pub max_attempts: usize,
    /// Clients are told how long to stay away, up to this; 0 where they don't listen.
    pub max_retry_after: Time,
    /// The list must be asked for.
    pub must_watch: bool,
    /// Without asking for so long, a balancer counts as told what was listed then.
    pub list_request_deadline: Time,
    /// A started backend has at least this part of its capacity,
    pub cold_capacity_fraction: f64,
    /// and all of it after this span.
    pub cold_duration: Time,
    /// Sent more than this multiple of its capacity of the moment,
    pub overload_multiple: f64,
    /// for this span, a cold backend falls over.
    pub overload_duration: Time,
    /// A key rests so long after an attempt that may still be running.
    pub key_settle_time: Time,
    /// Idle connections to a draining backend must be closed within this, where it is stated.
    pub connection_release_deadline: Option<Time>,
    /// Least span between two calls of [`crate::Balancer::handle`] at different times.
    pub quantum: Time,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            classes: Vec::new(),
            quotas: Vec::new(),
            over_share_worth: 1.0,
            instance_count: 1,
            instance_index: 0,
            tier: 0,
            zone: 0,
            cross_zone_cost: 0.0,
            costly_connections: false,
            probe_for_reports: false,
            can_cancel: true,
            allow_concurrent_attempts: true,
            max_attempts: 4,
            max_retry_after: 0.0,
            must_watch: false,
            list_request_deadline: 10.0,
            cold_capacity_fraction: 0.1,
            cold_duration: 10.0,
            overload_multiple: 3.0,
            overload_duration: 1.0,
            key_settle_time: 0.0,
            connection_release_deadline: None,
            quantum: 0.001,
        }
    }
}

/// State of a listed backend.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Status {
    /// Takes requests.
    #[default]
    InService,
    /// Completes what it has; nothing new may be sent to it.
    Draining,
    /// Gone.
    Gone,
}

/// One line of the list of backends.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendEntry {
    /// Which backend.
    pub id: BackendId,
    /// Its cell.
    pub cell: u32,
    /// Its zone.
    pub zone: u32,
    /// Its size beside the others'.
    pub weight: f64,
    /// Its state.
    pub status: Status,
    /// When it started, where that is not long past.
    pub started: Option<Time>,
    /// What this balancer would usually send it, in requests a second, where somebody says so who knows
    /// what all balancers send: while it is cold it is sent a part of that, and no more than a part of
    /// what the balancer itself takes for usual.
    pub usual_rate: Option<f64>,
}

impl Default for BackendEntry {
    fn default() -> Self {
        Self {
            id: BackendId(0),
            cell: 0,
            zone: 0,
            weight: 1.0,
            status: Status::InService,
            started: None,
            usual_rate: None,
        }
    }
}

/// News of the list of backends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ListUpdate<'a> {
    /// Entries that changed.
    Changes(&'a [BackendEntry]),
    /// The whole list: what is absent is gone.
    Full(&'a [BackendEntry]),
    /// The whole list as it was known before a restart.
    Remembered(&'a [BackendEntry]),
    /// A call for the list failed, or the watch broke.
    Failed,
}

/// A request that has come in.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Request {
    /// Its name.
    pub id: RequestId,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant, where there are any.
    pub tenant: Option<usize>,
    /// What it is about; orders the requests of classes that ask for it.
    pub key: Option<u64>,
    /// Time until the caller gives this try up.
    pub budget: Time,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered.
    Served,
    /// The backend answered with an error; it may have run.
    Error,
    /// Turned away unseen.
    Rejected,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection.
    NoConnection,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NeverSent,
}

/// What a backend said of its load. It is late and noisy; what is not reported is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// How long a request takes it, waiting left out.
    pub service_time: Option<Time>,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptResult {
    /// The request.
    pub id: RequestId,
    /// Where the attempt went.
    pub backend: BackendId,
    /// Its number, from 0, in the order of the sends.
    pub attempt: usize,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub duration: Time,
    /// The request has its final answer.
    pub is_final: bool,
    /// The load report that came along.
    pub report: Option<Report>,
}

/// What happens to a balancer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event<'a> {
    /// A request came in; it needs exactly one final answer.
    Request(Request),
    /// A streamed answer has begun: the attempt is the caller's now.
    StreamStarted {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: usize,
    },
    /// An attempt ended.
    Outcome(AttemptResult),
    /// The caller has left: nothing is owed any more.
    ClientDisconnected(RequestId),
    /// A timer set with [`Action::Timer`] is due.
    Timer(u64),
    /// A probe ended.
    Probed {
        /// The backend probed.
        backend: BackendId,
        /// How it ended.
        outcome: Outcome,
        /// The load report that came along.
        report: Option<Report>,
    },
    /// News of the list.
    List(ListUpdate<'a>),
    /// What many balancers together hold of a backend: it is so many times slower than normal, a failure being
    /// 8; 0 takes it back. What this one sees of attempts that it sends after it was told counts instead.
    BackendHint {
        /// Which.
        backend: BackendId,
        /// How much slower.
        slowness: f64,
    },
}

/// What a balancer wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the next attempt of a request.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        backend: BackendId,
        /// When to stop waiting, from now.
        timeout: Time,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: usize,
    },
    /// Final answer: not done, and harmless to try again.
    Reject {
        /// The request.
        id: RequestId,
        /// How long to stay away, if said.
        retry_after: Option<Time>,
    },
    /// Final answer: failed; it may have had its effect.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Hand back `token` at time `at` or soon after.
    Timer {
        /// When.
        at: Time,
        /// What to hand back.
        token: u64,
    },
    /// See whether a backend answers.
    Probe(BackendId),
    /// Close the idle connections to a backend.
    CloseIdleConnections(BackendId),
    /// Ask to be told of changes to the list, or no longer.
    Watch(bool),
    /// Ask for the whole list once.
    Fetch,
    /// A line for the operator's log.
    Log(String),
}
