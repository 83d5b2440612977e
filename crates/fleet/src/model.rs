//! The typed records of every section and of the assembled document.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use stdx::{Name, wire_type};

use crate::{
    host_route::HostRoutes,
    names::{self, Kind, QualifiedName},
};

/// The default path of the targets' health check.
pub const DEFAULT_HEALTH_PATH: &str = "/health";

/// The default number of shares into which every account's rate and burst are divided.
pub const DEFAULT_RATE_SLOTS: u32 = 60;

wire_type! {
    /// The section that describes the fleet as a whole.
    pub struct FleetSection {
        /// The fleets that were merged.
        pub origins: Vec<Name>,
        /// The failure domains by name.
        pub failure_domains: BTreeMap<Name, FailureDomain>,
        /// The number of shares of every account's rate and burst; it cannot change after the first accepted revision.
        #[serde(default = "default_rate_slots")]
        pub rate_slots: u32,
        /// The service-level objective of online requests.
        #[serde(default)]
        pub objective: Objective,
    }
}

wire_type! {
    /// A service-level objective: the share of online requests whose first byte arrives in time.
    #[derive(Copy)]
    #[serde(default)]
    pub struct Objective {
        /// The minimum share of good requests, in percent; the rest is the error budget.
        pub good_percent: f64,
        /// The maximum time to the first byte of a good request, in milliseconds.
        pub first_byte_ms: u64,
    }
}

wire_type! {
    /// A failure domain: instances and targets that can be lost or cut off together.
    pub struct FailureDomain {
        /// The region that the failure domain belongs to.
        pub region: Name,
    }
}

wire_type! {
    /// A client account.
    pub struct Account {
        /// Requests per second over all instances together.
        pub rate_per_s: f64,
        /// The maximum number of requests at once after an idle period, over all instances together.
        pub burst: f64,
        /// The account's weight when accounts compete for capacity.
        #[serde(default = "default_weight")]
        pub weight: u32,
        /// The rank of the account's requests, which overrides that of their route; 0 is the most urgent.
        #[serde(default)]
        pub priority: Option<u32>,
        /// The keys that callers of the account present.
        #[serde(default)]
        pub keys: Vec<Key>,
    }
}

wire_type! {
    /// A caller's key, stored as a hash.
    pub struct Key {
        /// A label by which operators identify the key to withdraw it.
        pub id: Name,
        /// The SHA-256 of the key, in lower-case hexadecimal digits.
        pub sha256: Name,
    }
}

wire_type! {
    /// A model that services offer.
    pub struct Model {
        /// The versions that targets may load.
        pub versions: Vec<Name>,
    }
}

wire_type! {
    /// A service: routes, and the targets that serve them.
    pub struct Service {
        /// The kind of requests that the service handles.
        pub serves: ServiceKind,
        /// The targets by name; names are unique within the service.
        pub targets: BTreeMap<Name, Target>,
        /// The maximum time that a request may wait and run, in milliseconds.
        #[serde(default = "default_timeout_ms")]
        pub timeout_ms: u64,
        /// The path of the targets' health check.
        #[serde(default = "default_health_path")]
        pub health_path: Name,
        /// The requests per second that a target tolerates while it is cold, in thousandths; 0 for no limit. Only operators of a platform
        /// declare it.
        #[serde(skip)]
        pub cold_rate_millis: u64,
    }
}

/// The kind of requests that a service handles, written as `{"model": "name"}` or `{"routes": [..]}`.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines that serve completions and chat for a model of the service's own fleet.
    Model(Name),
    /// Plain HTTP, routed by path; a request takes the route with the longest matching path prefix.
    Routes(Vec<Route>),
}

wire_type! {
    /// A path of a plain service.
    pub struct Route {
        /// The path prefix below the service, starting with a slash.
        pub path: Name,
        /// The methods that are allowed.
        pub methods: Vec<Name>,
        /// Whether calls are idempotent and may be repeated.
        pub idempotent: bool,
        /// Whether requests are accepted without a key.
        #[serde(default)]
        pub open: bool,
    }
}

wire_type! {
    /// A target: one server behind a service.
    pub struct Target {
        /// The IP address and port.
        pub address: SocketAddr,
        /// The failure domain of the target.
        pub failure_domain: Name,
        /// The maximum number of requests that the target runs concurrently.
        pub concurrency: u32,
        /// Whether the target rejects commands with an outdated fencing token.
        #[serde(default)]
        pub honours_fencing: bool,
        /// Whether the target is leaving and takes no new work.
        #[serde(default)]
        pub leaving: bool,
    }
}

wire_type! {
    /// The limits of batch jobs of one fleet.
    pub struct BatchLimits {
        /// The maximum number of items in one job.
        pub max_items_per_job: u32,
        /// The maximum number of unfinished jobs of one account.
        pub max_open_jobs_per_account: u32,
        /// The completion window of jobs whose submission specifies none, in seconds.
        pub default_window_s: u64,
    }
}

/// The whole document, validated.
#[derive(Debug, Clone, PartialEq)]
pub struct Document {
    /// The fleet as a whole.
    pub fleet: FleetSection,
    /// The client accounts.
    pub accounts: BTreeMap<QualifiedName, Account>,
    /// The models.
    pub models: BTreeMap<QualifiedName, Model>,
    /// The services.
    pub services: BTreeMap<QualifiedName, Service>,
    /// The batch limits by fleet of origin.
    pub batch: BTreeMap<Name, BatchLimits>,
    /// The routes by host and path prefix.
    pub host_routes: HostRoutes,
}

impl Document {
    /// Resolves a service name for a caller of fleet `origin`.
    ///
    /// # Errors
    ///
    /// Returns an error if the name is unknown or ambiguous.
    pub fn resolve_service(
        &self,
        origin: Option<&Name>,
        text: &str,
    ) -> names::Result<&QualifiedName> {
        names::resolve(self.services.keys(), origin, Kind::Service, text)
    }

    /// Resolves a model name for a caller of fleet `origin`.
    ///
    /// # Errors
    ///
    /// Returns an error if the name is unknown or ambiguous.
    pub fn resolve_model(
        &self,
        origin: Option<&Name>,
        text: &str,
    ) -> names::Result<&QualifiedName> {
        names::resolve(self.models.keys(), origin, Kind::Model, text)
    }

    /// Returns the service that offers a model.
    pub fn service_of_model(&self, model: &QualifiedName) -> Option<(&QualifiedName, &Service)> {
        self.services.iter().find(|(id, service)| {
            id.origin == model.origin
                && matches!(&service.serves, ServiceKind::Model(offered) if *offered == model.name)
        })
    }
}

impl Objective {
    /// Returns the maximum time to the first byte of a good request.
    pub fn first_byte(&self) -> Duration {
        Duration::from_millis(self.first_byte_ms)
    }
}

impl Default for Objective {
    fn default() -> Self {
        Self { good_percent: 95.0, first_byte_ms: 480 }
    }
}

impl Service {
    /// Returns the maximum time that a request may wait and run.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Returns the route that a call of a plain service takes: the matching one with the longest path.
    pub fn route(&self, method: &str, path: &str) -> RouteMatch<'_> {
        let ServiceKind::Routes(routes) = &self.serves else { return RouteMatch::NoPath };
        let Some(longest) =
            routes.iter().filter(|it| it.matches(path)).map(|it| it.path.len()).max()
        else {
            return RouteMatch::NoPath;
        };
        let mut candidates =
            routes.iter().filter(|it| it.matches(path) && it.path.len() == longest);
        candidates
            .find(|it| it.methods.iter().any(|allowed| allowed.as_str() == method))
            .map_or(RouteMatch::NoMethod, RouteMatch::Found)
    }
}

/// The result of matching a method and path against the routes of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RouteMatch<'a> {
    /// The route to take.
    Found(&'a Route),
    /// A route matches the path but does not allow the method.
    NoMethod,
    /// No route matches the path.
    NoPath,
}

impl Route {
    fn matches(&self, path: &str) -> bool {
        let Some(rest) = path.strip_prefix(self.path.as_str()) else { return false };
        rest.is_empty() || rest.starts_with(['/', '?']) || self.path.ends_with('/')
    }
}

fn default_rate_slots() -> u32 {
    DEFAULT_RATE_SLOTS
}

fn default_weight() -> u32 {
    1
}

fn default_health_path() -> Name {
    Name::new(DEFAULT_HEALTH_PATH)
}

fn default_timeout_ms() -> u64 {
    const DEFAULT_TIMEOUT_MS: u64 = 30_000;
    DEFAULT_TIMEOUT_MS
}
