//! The daemon's settings: JSON with comments, read once at start.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use http_edge::server::ServerLimits;
use platform::evacuation;
use policy::dispatch::{self, ColdBound};
use stdx::{
    Name,
    jsonc::{Result, Source, Step},
    wire_type,
};

wire_type! {
    /// The settings of a daemon. All other configuration comes from the key-value service.
    pub struct Settings {
        /// The name of this instance; it stays the same over restarts, so that the instance gets its slots back.
        pub instance: Name,
        /// The failure domain of this instance.
        pub failure_domain: Name,
        /// Where callers connect; without it the instance only runs batch items.
        #[serde(default)]
        pub listen: Option<SocketAddr>,
        /// Who declares accounts, services and routes, and which targets there are.
        #[serde(default)]
        pub source: FleetSource,
        /// Whether running requests and connections of a key are cut when it is withdrawn; otherwise they end by
        /// themselves, and only new requests are refused.
        #[serde(default = "default_cut_withdrawn")]
        pub cut_withdrawn: bool,
        /// How far an account may go above its rate and burst, over all instances together.
        #[serde(default)]
        pub rate_allowance: RateAllowance,
        /// Where operators read health, status and metrics.
        pub admin_listen: SocketAddr,
        /// Where other daemons connect.
        pub peer_listen: SocketAddr,
        /// Where other daemons reach `peer_listen`, if that differs.
        #[serde(default)]
        pub peer_advertise: Option<SocketAddr>,
        /// Daemons to contact if the registered ones cannot be read.
        #[serde(default)]
        pub peers: Vec<PeerAddress>,
        /// The processor share of this instance in cores; instances with more of it pass messages on first.
        #[serde(default)]
        pub cpu_share: f64,
        /// Whether all daemons of the fleet start for the first time, so that each waits a moment for the others to
        /// register.
        #[serde(default)]
        pub fresh_fleet: bool,
        /// The platform's key-value service and instance list.
        pub platform: PlatformSettings,
        /// A folder for copies of bulk data; without one the daemon keeps nothing on disk.
        #[serde(default)]
        pub data_folder: Option<PathBuf>,
        /// Limits that protect the daemon itself.
        #[serde(default)]
        pub limits: Limits,
        /// The batch work that this instance takes on.
        #[serde(default)]
        pub batch: BatchSettings,
        /// The least severe level that is logged: `error`, `warning`, `info` or `debug`.
        #[serde(default)]
        pub log_level: LogLevel,
        /// Whether the operator can evacuate failure domains. Then nothing is sent to targets before it is known which are evacuated.
        #[serde(default)]
        pub evacuation: bool,
        /// The bound on the requests that a cold target gets in a second, from all instances together.
        #[serde(default)]
        pub cold_start: ColdStart,
        /// Whether requests go to targets through other daemons while this one's links to the targets are lost, and whether this daemon sends
        /// requests for others.
        #[serde(default)]
        pub calls_through_peers: bool,
        /// The services for which the choice of a target follows what was learned of each: `off`, `reported` for those of
        /// which targets report how slow their machines are, or `on`.
        #[serde(default)]
        pub learned_capacity: LearnedCapacity,
    }
}

/// The source of accounts, services, routes and targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum FleetSource {
    /// The fleet document, whose sections operators edit with `borageshedctl`.
    #[default]
    Document,
    /// The operator of the platform; targets register themselves.
    Operator,
}

wire_type! {
    /// How far an account may go above its rate and burst.
    #[derive(Copy, Default)]
    #[serde(default)]
    pub struct RateAllowance {
        /// As a share of rate and burst.
        pub share: f64,
        /// Added to the burst, in requests.
        pub burst: f64,
        /// The time whose refill an instance may spend right after its start, in milliseconds.
        pub head_start_ms: u64,
        /// The bytes per second that loans between instances may take; 0 for the share of the control traffic at full size.
        pub loan_bytes_per_s: u32,
    }
}

wire_type! {
    /// The bound on the requests that a cold target gets: the rate that it tolerates times a factor, and further requests.
    #[derive(Copy, Default)]
    #[serde(default)]
    pub struct ColdStart {
        /// The factor; 0 if cold targets are treated as others.
        pub factor: f64,
        /// The further requests.
        pub extra: f64,
    }
}

wire_type! {
    /// Another daemon.
    pub struct PeerAddress {
        /// Its name.
        pub instance: Name,
        /// Its failure domain.
        pub failure_domain: Name,
        /// Where it listens for daemons.
        pub address: SocketAddr,
    }
}

wire_type! {
    /// How to reach the key-value service.
    pub struct PlatformSettings {
        /// The address of the key-value service.
        pub address: SocketAddr,
        /// The longest that one call may take, in milliseconds.
        #[serde(default = "default_call_timeout_ms")]
        pub call_timeout_ms: u64,
        /// The writes per second that this instance may use.
        #[serde(default = "default_writes_per_s")]
        pub writes_per_s: u32,
        /// The reads per second that this instance may use.
        #[serde(default = "default_reads_per_s")]
        pub reads_per_s: u32,
    }
}

wire_type! {
    /// Limits that protect the daemon itself. Where an operator declares limits of heads, bodies and idle connections,
    /// those replace the ones here.
    #[serde(default)]
    pub struct Limits {
        /// Connections from callers.
        pub connections: usize,
        /// Requests that are queued or running.
        pub requests: usize,
        /// Bytes of a request head.
        pub head_bytes: usize,
        /// Bytes of a request body.
        pub body_bytes: usize,
        /// How long a connection may be idle, in milliseconds.
        pub idle_ms: u64,
        /// How long a target may take to accept a connection, in milliseconds.
        pub connect_ms: u64,
        /// How long a target may take to its first byte, in milliseconds.
        pub first_byte_ms: u64,
        /// Lines of the log per second; further ones are dropped and counted.
        pub log_lines_per_s: u32,
        /// How long a daemon that drains goes on accepting connections, so that the balancer notices first, in
        /// milliseconds.
        pub drain_lead_ms: u64,
        /// How long a drain may take before the daemon gives up on what still runs, in milliseconds.
        pub drain_ms: u64,
        /// The memory of the machine in megabytes; 0 for what the system reports. Callers get a share of it.
        pub memory_mb: u64,
        /// Connections from one address; 0 for no limit, which suits callers behind a balancer.
        pub connections_per_address: usize,
        /// The slowest rate at which callers send a body and read an answer, in bytes per second; 0 for none.
        pub min_bytes_per_s: u32,
    }
}

wire_type! {
    /// The batch work that an instance takes on.
    #[serde(default)]
    pub struct BatchSettings {
        /// Whether the instance runs batch items at all.
        pub enabled: bool,
        /// Segments that the instance owns at once.
        pub segments: usize,
        /// How often unfinished jobs are looked up, in milliseconds.
        pub poll_ms: u64,
    }
}

/// The services for which the choice of a target follows what was learned of each.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LearnedCapacity {
    /// None.
    #[default]
    Off,
    /// Those of which targets report how slow their machines are.
    Reported,
    /// All.
    On,
}

impl From<LearnedCapacity> for dispatch::LearnedCapacity {
    fn from(setting: LearnedCapacity) -> Self {
        match setting {
            LearnedCapacity::Off => Self::Off,
            LearnedCapacity::Reported => Self::Reported,
            LearnedCapacity::On => Self::On,
        }
    }
}

/// The least severe level that is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Only what an operator must act on.
    Error,
    /// Also what may need an operator.
    Warning,
    /// Also changes of state.
    #[default]
    Info,
    /// Also each request.
    Debug,
}

impl Settings {
    /// Reads settings from JSON with comments.
    ///
    /// # Errors
    ///
    /// Returns the first invalid setting with its file, line, column, value and what is allowed.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let source = Source::new(file, text);
        let settings: Self = source.read()?;
        settings.validate(&source)?;
        Ok(settings)
    }

    fn validate(&self, source: &Source) -> Result<()> {
        let limits = &self.limits;
        check_name(source, "instance", &self.instance)?;
        check_name(source, "failure_domain", &self.failure_domain)?;
        check_positive(source, ["platform", "call_timeout_ms"], self.platform.call_timeout_ms)?;
        check_positive(source, ["limits", "connections"], limits.connections as u64)?;
        check_positive(source, ["limits", "requests"], limits.requests as u64)?;
        check_positive(source, ["limits", "head_bytes"], limits.head_bytes as u64)?;
        check_positive(source, ["limits", "idle_ms"], limits.idle_ms)?;
        check_positive(source, ["limits", "first_byte_ms"], limits.first_byte_ms)?;
        check_positive(source, ["batch", "poll_ms"], self.batch.poll_ms)?;
        check_positive(source, ["batch", "segments"], self.batch.segments as u64)
    }
}

impl FleetSource {
    /// Returns the prefix of the keys of orders to evacuate failure domains.
    pub fn evacuations_prefix(self) -> &'static str {
        match self {
            Self::Document => fleet::EVACUATIONS_PREFIX,
            Self::Operator => evacuation::PREFIX,
        }
    }
}

impl ColdStart {
    /// Returns the bound; `None` if cold targets are treated as others.
    pub fn bound(&self) -> Option<ColdBound> {
        let millis = |it: f64| (it * 1_000.0) as u64;
        let bound =
            ColdBound { factor_millis: millis(self.factor), extra_millis: millis(self.extra) };
        (self.factor > 0.0).then_some(bound)
    }
}

impl PlatformSettings {
    /// Returns the timeout of one call.
    pub fn call_timeout(&self) -> Duration {
        Duration::from_millis(self.call_timeout_ms)
    }
}

impl Limits {
    /// Returns the limits of the server that callers connect to.
    pub fn server_limits(&self) -> ServerLimits {
        ServerLimits {
            max_connections: self.connections,
            max_connections_per_address: (self.connections_per_address > 0)
                .then_some(self.connections_per_address),
            min_bytes_per_s: self.min_bytes_per_s,
            max_head_bytes: self.head_bytes,
            max_body_bytes: self.body_bytes as u64,
            idle_timeout: Duration::from_millis(self.idle_ms),
            ..ServerLimits::default()
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            requests: 8_192,
            head_bytes: 16 * 1024,
            body_bytes: 8 * 1024 * 1024,
            idle_ms: 60_000,
            connect_ms: 1_000,
            first_byte_ms: 10_000,
            log_lines_per_s: 500,
            drain_lead_ms: 500,
            drain_ms: 30_000,
            memory_mb: 0,
            connections_per_address: 0,
            min_bytes_per_s: 256,
        }
    }
}

impl Default for BatchSettings {
    fn default() -> Self {
        Self { enabled: true, segments: 16, poll_ms: 1_000 }
    }
}

/// Checks a name. Names become parts of keys in the key-value service, so they must not contain a slash.
fn check_name(source: &Source, field: &str, name: &Name) -> Result<()> {
    let allowed = |it: char| it.is_ascii_alphanumeric() || matches!(it, '-' | '_' | '.');
    if !name.is_empty() && name.len() <= fleet::section::MAX_NAME_CHARS && name.chars().all(allowed)
    {
        return Ok(());
    }
    let message = "must be 1 to 64 characters of a-z, A-Z, 0-9, `-`, `_` and `.`";
    Err(source.error_at(&[Step::Key(Name::new(field))], message))
}

fn check_positive(source: &Source, path: [&str; 2], value: u64) -> Result<()> {
    let path = path.map(|it| Step::Key(Name::new(it)));
    if value > 0 { Ok(()) } else { Err(source.error_at(&path, "must be at least 1")) }
}

fn default_cut_withdrawn() -> bool {
    true
}

fn default_call_timeout_ms() -> u64 {
    const DEFAULT_CALL_TIMEOUT_MS: u64 = 1_000;
    DEFAULT_CALL_TIMEOUT_MS
}

fn default_writes_per_s() -> u32 {
    const DEFAULT_WRITES_PER_S: u32 = 40;
    DEFAULT_WRITES_PER_S
}

fn default_reads_per_s() -> u32 {
    const DEFAULT_READS_PER_S: u32 = 200;
    DEFAULT_READS_PER_S
}
