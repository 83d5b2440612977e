//! Routes by host and path prefix, with the guarantees and limits for requests on each.

use std::{collections::HashMap, sync::Arc, time::Duration};

use stdx::{Name, record_type, value_type};

use crate::names::QualifiedName;

record_type! {
    /// A route by host and path prefix.
    pub struct HostRoute {
        /// The name of the route.
        pub name: Name,
        /// The host, without a port.
        pub host: Name,
        /// The path prefix; it begins and ends with a slash.
        pub path_prefix: Name,
        /// Whether requests may be repeated or resumed.
        pub call: CallKind,
        /// The maximum duration of a request.
        pub timeout: Duration,
        /// The time within which an answer meets the objective; for streams, the time to the first event.
        pub objective: Duration,
        /// The rank of the route; 0 is the most urgent.
        pub priority: u32,
        /// The services that serve the route.
        pub backends: Vec<Backend>,
        /// The maximum number of targets that one request may be sent to.
        pub max_attempts: u32,
        /// Whether requests are accepted without a key.
        pub open: bool,
        /// Whether requests that share a prompt prefix prefer the same target.
        pub affinity: bool,
    }
}

value_type! {
    /// Whether and how requests of a route may be repeated.
    #[derive(Copy)]
    pub enum CallKind {
        /// A request that may run more than once.
        Idempotent,
        /// A request that runs at most once.
        NonIdempotent,
        /// A request that is answered with a stream of events.
        Stream {
            /// Whether another target may continue the stream after its last event.
            resumable: bool,
            /// The maximum gap between two events for which the answer meets the objective.
            max_gap: Duration,
        },
        /// The submission of a batch job.
        Batch(BatchTerms),
    }
}

value_type! {
    /// The deadlines and limits of batch jobs on a route.
    #[derive(Copy)]
    pub struct BatchTerms {
        /// The time from the submission until all results are due.
        pub due: Duration,
        /// The time from the submission until unfinished items may be failed.
        pub give_up_after: Duration,
        /// The maximum number of waiting tokens per account; `None` for no limit.
        pub max_waiting_tokens: Option<u64>,
    }
}

value_type! {
    /// A service with its share of the requests on a route.
    pub struct Backend {
        /// The service.
        pub service: QualifiedName,
        /// The share relative to the other backends; 0 for no requests.
        pub weight: u32,
    }
}

/// All routes by host and path prefix.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct HostRoutes {
    /// The routes of each host, those with the longest prefix first.
    by_host: HashMap<Name, Vec<Arc<HostRoute>>>,
}

impl HostRoutes {
    /// Indexes routes by host.
    pub fn new(routes: impl IntoIterator<Item = HostRoute>) -> Self {
        let mut by_host: HashMap<Name, Vec<Arc<HostRoute>>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|it| std::cmp::Reverse(it.path_prefix.len()));
        }
        Self { by_host }
    }

    /// Returns the route with the longest prefix that matches a path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<HostRoute>> {
        let routes = self.by_host.get(host)?;
        routes.iter().find(|it| path.starts_with(it.path_prefix.as_str()))
    }

    /// Returns the routes of a host.
    pub fn of_host(&self, host: &str) -> impl Iterator<Item = &Arc<HostRoute>> {
        self.by_host.get(host).into_iter().flatten()
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.by_host.values().map(Vec::len).sum()
    }

    /// Returns whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.by_host.is_empty()
    }
}

impl HostRoute {
    /// Returns the service for a request, selected by weight; the same `draw` yields the same service until the weights change.
    pub fn backend(&self, draw: u64) -> Option<&QualifiedName> {
        let total: u64 = self.backends.iter().map(|it| u64::from(it.weight)).sum();
        let mut at = draw.checked_rem(total)?;
        let chosen = self.backends.iter().find(|it| {
            let is_chosen = at < u64::from(it.weight);
            at = at.saturating_sub(u64::from(it.weight));
            is_chosen
        });
        chosen.map(|it| &it.service)
    }
}

impl CallKind {
    /// Returns whether a request may run more than once.
    pub fn is_idempotent(self) -> bool {
        match self {
            Self::Idempotent | Self::Stream { resumable: true, .. } => true,
            Self::NonIdempotent | Self::Stream { resumable: false, .. } | Self::Batch(_) => false,
        }
    }
}
