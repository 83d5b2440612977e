//! Limits and intervals.

use std::time::Duration;

use stdx::{Name, Timestamp, record_type, value_type};

use super::cold_start::ColdBound;

value_type! {
    /// The services for which the choice of a target follows what was learned of each.
    #[derive(Copy, Default)]
    pub enum LearnedCapacity {
        /// None; targets count as equal unless they are much slower than the others.
        #[default]
        Off,
        /// Those of which targets report how slow their machines are.
        Reported,
        /// All.
        On,
    }
}

record_type! {
    /// The settings of a dispatcher.
    pub struct Settings {
        /// The name by which peers know this instance.
        pub instance: Name,
        /// The failure domain of this instance.
        pub failure_domain: Name,
        /// The most waiting requests of one account in one class of one service.
        pub max_queued_per_account: usize,
        /// The most bytes of waiting requests of one account in one class of one service.
        pub max_queued_bytes_per_account: usize,
        /// The most waiting requests in one class of one service.
        pub max_queued: usize,
        /// The most bytes of waiting requests in one class of one service.
        pub max_queued_bytes: usize,
        /// The slots per target that batch leaves free, so that the first online request of a burst finds one.
        pub batch_reserve: u32,
        /// The share of a target's slots that a batch request leaves free until its `large_reserve_until`. Instances learn
        /// late of each other's requests, so in a burst many requests reach the same target before its batch requests have
        /// made room.
        pub large_batch_reserve: f64,
        /// Until this time, batch requests leave the large reserve free and stay in this failure domain. An instance that
        /// has just started does not know the requests of the others: after a loss of power, all instances together would
        /// fill every target beyond its limit while the callers' requests come back.
        pub warm_up_until: Timestamp,
        /// The load of a prefix's preferred target, relative to the mean, from which another target is chosen.
        pub affinity_bound: f64,
        /// The estimated local wait above which a request goes to another failure domain.
        pub spill_wait: Duration,
        /// The share of a target's limit above which other failure domains send it no work.
        pub spill_limit: f64,
        /// How long a target gets no requests after it refused one for lack of room.
        pub full_backoff: Duration,
        /// How often targets may refuse a request before the dispatcher refuses it.
        pub max_refusals: u32,
        /// The duration of the first hold-down.
        pub hold_down_min: Duration,
        /// The longest duration of a hold-down; equal to `hold_down_min` for a fixed duration.
        pub hold_down_max: Duration,
        /// How long a target must stay up before its next hold-down starts from the minimum again.
        pub recovery_time: Duration,
        /// The time after which a probe without a result counts as failed.
        pub probe_timeout: Duration,
        /// Retries as a share of first attempts; infinite for no limit.
        pub retry_ratio: f64,
        /// The retries that are always allowed within `retry_window`.
        pub retry_floor: u32,
        /// The span over which attempts and retries are counted.
        pub retry_window: Duration,
        /// The age at which a peer's heartbeat no longer counts.
        pub peer_expiry: Duration,
        /// The age at which a target's load report no longer counts.
        pub report_expiry: Duration,
        /// How long verdicts and suspicions are kept.
        pub verdict_expiry: Duration,
        /// The most verdicts and suspicions that are kept.
        pub max_verdicts: usize,
        /// Whether the operator can evacuate failure domains. Then no target gets work before it is known which are evacuated.
        pub evacuation: bool,
        /// The bound on the requests that cold targets get; `None` for no limit.
        pub cold_start: Option<ColdBound>,
        /// For which services the choice of a target follows what was learned of each.
        pub learned_capacity: LearnedCapacity,
        /// Whether every call checks the invariants of the whole state, in time linear in the requests held.
        pub check_invariants: bool,
    }
}

impl Settings {
    /// Creates the default settings for the instance of that name in `failure_domain`.
    pub fn new(instance: Name, failure_domain: Name) -> Self {
        Self {
            instance,
            failure_domain,
            max_queued_per_account: 512,
            max_queued_bytes_per_account: 16 << 20,
            max_queued: 4_096,
            max_queued_bytes: 32 << 20,
            batch_reserve: 1,
            large_batch_reserve: 0.375,
            warm_up_until: Timestamp::ZERO,
            affinity_bound: 1.25,
            spill_wait: Duration::from_millis(20),
            spill_limit: 0.8,
            full_backoff: Duration::from_millis(50),
            max_refusals: 4,
            hold_down_min: Duration::from_millis(500),
            hold_down_max: Duration::from_secs(60),
            recovery_time: Duration::from_secs(30),
            probe_timeout: Duration::from_secs(2),
            retry_ratio: 0.1,
            retry_floor: 3,
            retry_window: Duration::from_secs(10),
            // A peer link is closed after 1 s of silence.
            peer_expiry: Duration::from_secs(1),
            report_expiry: Duration::from_secs(5),
            verdict_expiry: Duration::from_secs(3_600),
            max_verdicts: 10_000,
            evacuation: false,
            cold_start: None,
            learned_capacity: LearnedCapacity::Off,
            check_invariants: cfg!(debug_assertions),
        }
    }
}
