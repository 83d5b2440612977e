//! The metrics of the daemon. Their label sets are bounded, so figures by account are only part of the burn report.

use std::sync::atomic::AtomicU64;

use prometheus_client::{
    encoding::{EncodeLabelSet, EncodeLabelValue, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::{Registry, Unit},
};
use stdx::Name;

use crate::status::ServiceStatus;

/// The counters, gauges and histograms of one daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests that got their final answer.
    pub requests: Family<RequestLabels, Counter>,
    /// Time from a request's head to the end of its answer.
    pub request_seconds: Family<ServiceLabels, Histogram, fn() -> Histogram>,
    /// Time from a request's head to the first byte of its answer.
    pub first_byte_seconds: Family<ServiceLabels, Histogram, fn() -> Histogram>,
    /// Attempts that were dispatched to targets.
    pub attempts: Family<ServiceLabels, Counter>,
    /// Calls to the key-value service.
    pub platform_calls: Family<CallLabels, Counter>,
    /// Messages and bytes exchanged with peers.
    pub peer_traffic: Family<PeerLabels, Counter>,
    /// The revision in force.
    pub revision: Gauge,
    /// Peers with an open link.
    pub peers: Gauge,
    /// Rate slots held.
    pub slots: Gauge,
    /// Requests that are queued or running.
    pub requests_open: Gauge,
    /// Evacuated failure domains.
    pub evacuated_domains: Gauge,
    /// Targets that are limited because they are cold.
    pub cold_targets: Gauge,
    /// Time since the evacuated failure domains were last read, in milliseconds.
    pub evacuations_age_ms: Gauge,
    /// How long each target usually takes for its work, relative to the others of its service, where that is learned.
    pub target_relative_time: Family<TargetLabels, Gauge<f64, AtomicU64>>,
    /// The requests that each target takes without getting slower, where that is learned.
    pub target_handled_well: Family<TargetLabels, Gauge<f64, AtomicU64>>,
    /// Reads of the load of targets for waiting requests.
    pub load_reads: Counter,
    /// Requests that this daemon sent to targets through other daemons.
    pub exchanges_through_peers: Counter,
    /// Requests that this daemon sent to targets for other daemons.
    pub exchanges_for_peers: Counter,
    /// Links to targets that are lost although other daemons reach the targets.
    pub lost_links: Gauge,
    /// Bytes that callers make the process hold, and the most that they may.
    pub caller_memory: Gauge,
    /// See [`Self::caller_memory`].
    pub caller_memory_limit: Gauge,
    /// Clients that were refused or cut to protect the process, by reason.
    pub refused_clients: Family<ReasonLabels, Counter>,
}

/// The labels of a target.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TargetLabels {
    /// The service.
    pub service: String,
    /// The target.
    pub target: String,
}

/// The reason why clients were refused or cut.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReasonLabels {
    /// For example `memory` or `too_slow`.
    pub reason: String,
}

/// The labels of a final answer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// The service, or `none` before it is known.
    pub service: String,
    /// The outcome.
    pub outcome: Outcome,
}

/// The labels of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceLabels {
    /// The service.
    pub service: String,
    /// The class of the requests.
    pub class: ClassLabel,
}

/// The labels of a call to the key-value service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabels {
    /// The kind of call.
    pub kind: String,
}

/// The labels of the traffic with peers.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PeerLabels {
    /// `sent` or `received`.
    pub direction: String,
    /// `bytes` or `messages`.
    pub unit: String,
}

/// The class of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum ClassLabel {
    /// A request that a caller waits for.
    Online,
    /// An item of a batch job.
    Batch,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Outcome {
    /// The whole answer was delivered.
    Delivered,
    /// The request was refused and not run.
    Refused,
    /// The request failed, and may have run.
    Failed,
    /// The caller disconnected before the end of the answer.
    CallerGone,
}

impl Metrics {
    /// Creates and registers every metric.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("borageshed");
        let requests = Family::default();
        let request_seconds = Family::new_with_constructor(duration_histogram as fn() -> Histogram);
        let first_byte_seconds =
            Family::new_with_constructor(duration_histogram as fn() -> Histogram);
        let attempts = Family::default();
        let platform_calls = Family::default();
        let peer_traffic = Family::default();
        let revision = Gauge::default();
        let peers = Gauge::default();
        let slots = Gauge::default();
        let requests_open = Gauge::default();
        let evacuated_domains = Gauge::default();
        let evacuations_age_ms = Gauge::default();
        let cold_targets = Gauge::default();
        registry.register("requests", "Requests that got their final answer", requests.clone());
        registry.register_with_unit(
            "request",
            "Time to the end of the answer",
            Unit::Seconds,
            request_seconds.clone(),
        );
        registry.register_with_unit(
            "first_byte",
            "Time to the first byte of the answer",
            Unit::Seconds,
            first_byte_seconds.clone(),
        );
        registry.register("attempts", "Attempts dispatched to targets", attempts.clone());
        registry.register(
            "platform_calls",
            "Calls on the platform's service",
            platform_calls.clone(),
        );
        registry.register(
            "peer_traffic",
            "Messages and bytes exchanged with peers",
            peer_traffic.clone(),
        );
        registry.register("revision", "Configuration revision in force", revision.clone());
        registry.register("peers", "Peers with an open link", peers.clone());
        registry.register("rate_slots", "Rate slots held", slots.clone());
        registry.register("requests_open", "Requests queued or running", requests_open.clone());
        registry.register(
            "evacuated_domains",
            "Evacuated failure domains",
            evacuated_domains.clone(),
        );
        registry.register(
            "evacuations_age_ms",
            "Milliseconds since the evacuated failure domains were read",
            evacuations_age_ms.clone(),
        );
        registry.register(
            "cold_targets",
            "Targets that are limited because they are cold",
            cold_targets.clone(),
        );
        let target_relative_time = Family::default();
        registry.register(
            "target_relative_time",
            "Time that a target takes for its work relative to the others of its service",
            target_relative_time.clone(),
        );
        let target_handled_well = Family::default();
        registry.register(
            "target_handled_well",
            "Requests that a target takes without getting slower",
            target_handled_well.clone(),
        );
        let load_reads = Counter::default();
        registry.register(
            "load_reads",
            "Reads of the load of targets for waiting requests",
            load_reads.clone(),
        );
        let exchanges_through_peers = Counter::default();
        registry.register(
            "exchanges_through_peers",
            "Requests sent to targets through other daemons",
            exchanges_through_peers.clone(),
        );
        let exchanges_for_peers = Counter::default();
        registry.register(
            "exchanges_for_peers",
            "Requests sent to targets for other daemons",
            exchanges_for_peers.clone(),
        );
        let lost_links = Gauge::default();
        registry.register(
            "lost_links",
            "Links to targets that are lost although other daemons reach the targets",
            lost_links.clone(),
        );
        let caller_memory = Gauge::default();
        let caller_memory_limit = Gauge::default();
        let refused_clients = Family::default();
        registry.register(
            "caller_memory_bytes",
            "Bytes that callers make the process hold",
            caller_memory.clone(),
        );
        registry.register(
            "caller_memory_limit_bytes",
            "Bytes that callers may make the process hold",
            caller_memory_limit.clone(),
        );
        registry.register(
            "refused_clients",
            "Clients refused or cut to protect the process",
            refused_clients.clone(),
        );
        Self {
            registry,
            target_relative_time,
            target_handled_well,
            load_reads,
            exchanges_through_peers,
            exchanges_for_peers,
            lost_links,
            requests,
            request_seconds,
            first_byte_seconds,
            attempts,
            platform_calls,
            peer_traffic,
            revision,
            peers,
            slots,
            requests_open,
            evacuated_domains,
            evacuations_age_ms,
            cold_targets,
            caller_memory,
            caller_memory_limit,
            refused_clients,
        }
    }

    /// Updates what is known of targets.
    pub fn set_targets(&self, services: &[ServiceStatus]) {
        // Targets that have gone are left out.
        self.target_relative_time.clear();
        self.target_handled_well.clear();
        for service in services {
            for target in &service.targets {
                let Some(learned) = &target.learned else { continue };
                let labels = TargetLabels {
                    service: service.service.clone(),
                    target: target.target.to_string(),
                };
                self.target_relative_time.get_or_create(&labels).set(learned.relative_time);
                self.target_handled_well.get_or_create(&labels).set(learned.handled_well);
            }
        }
    }

    /// Counts a final answer.
    pub fn count_request(&self, service: Option<&Name>, outcome: Outcome) {
        let service = service.map_or_else(|| "none".to_owned(), ToString::to_string);
        self.requests.get_or_create(&RequestLabels { service, outcome }).inc();
    }

    /// Returns all metrics in the text format of OpenMetrics.
    pub fn text(&self) -> String {
        let mut buf = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut buf, &self.registry);
        buf
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

/// Creates a histogram with buckets from 1 ms to 65 s, which cover the objectives of 34 ms and 480 ms.
fn duration_histogram() -> Histogram {
    const FIRST_BUCKET_S: f64 = 0.001;
    const BUCKETS: u16 = 17;
    Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKETS))
}
