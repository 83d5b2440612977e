//! Requests, actions and refusals.

use std::time::Duration;

use fleet::QualifiedName;
use stdx::{Name, Timestamp, record_type, value_type};

use super::{
    allowance::TargetLimit, capacity::Belief, health::HealthState, limits::LimitNews,
    prompt_parts::PartId,
};

/// The SHA-256 by which a request is recognised when it is sent again.
pub type Fingerprint = [u8; 32];

value_type! {
    /// The class of a request; batch requests use only the capacity that online requests leave free.
    #[derive(Copy)]
    pub enum Class {
        /// A caller waits for the answer.
        Online,
        /// An item of a batch job, which can be interrupted and run again.
        Batch,
    }
}

record_type! {
    /// A request to be queued and dispatched.
    pub struct Request {
        /// Unique among the requests that this dispatcher holds.
        pub id: u64,
        /// The client account that the request runs for.
        pub account: QualifiedName,
        /// The identifier of the account's key; `None` for batch items and open routes.
        pub key: Option<Name>,
        /// The account's weight; zero counts as one.
        pub weight: u32,
        /// The service that the request goes to.
        pub service: QualifiedName,
        /// The class of the request.
        pub class: Class,
        /// The estimated cost in tokens; zero counts as one.
        pub cost: u64,
        /// The bytes that the request holds in memory while it waits.
        pub bytes: usize,
        /// The latest time at which the request may start.
        pub deadline: Timestamp,
        /// The latest time at which a start still meets the objective. Later, requests that can still meet theirs go first.
        pub due: Timestamp,
        /// Until this time, a batch request leaves [`Settings::large_batch_reserve`](super::Settings::large_batch_reserve)
        /// of a target's slots free.
        pub large_reserve_until: Timestamp,
        /// Whether the request may be run more than once.
        pub idempotent: bool,
        /// Whether another target may continue the answer where it broke off.
        pub resumable: bool,
        /// The version of the target that began the answer, if this request continues one: only targets of it may run the request.
        pub version: Option<Name>,
        /// The most targets that the request may run on.
        pub max_attempts: u32,
        /// The hash of the prompt prefix; requests with the same prefix prefer the same target.
        pub prefix: Option<u64>,
        /// The parts of the prompt that other requests may share, in the order of the prompt.
        pub shared_parts: Vec<PartId>,
        /// The hash of everything that determines what the request does to a target.
        pub fingerprint: Fingerprint,
        /// Whether it is known that the request does not crash targets by itself, so that crashes of its targets say nothing about
        /// it. No other request may have its fingerprint.
        pub harmless: bool,
    }
}

record_type! {
    /// What the caller of the dispatcher must do.
    pub enum Action {
        /// Send the request to the target.
        Dispatch {
            /// The request.
            id: u64,
            /// The name of the target within the request's service.
            target: Name,
            /// The version of the target.
            version: Name,
            /// The number of the attempt, starting at one; a preempted attempt is not counted.
            attempt: u32,
        },
        /// Send the final answer; the dispatcher no longer holds the request.
        Refuse {
            /// The request.
            id: u64,
            /// The answer.
            refusal: Refusal,
        },
        /// Stop the attempt of a batch request at once and report [`Yielded`](super::Event::Yielded).
        CancelBatch {
            /// The request.
            id: u64,
        },
        /// A target has turned cold or warm.
        ColdChanged {
            /// The service of the target.
            service: QualifiedName,
            /// The name of the target.
            target: Name,
            /// How long it is expected to stay cold; `None` if it is warm.
            cold_for: Option<Duration>,
        },
        /// Read the evacuated failure domains again, because the process has not run for a while.
        ReadEvacuations,
        /// The evacuation of a failure domain has begun or ended.
        EvacuationChanged {
            /// The domain.
            domain: Name,
            /// Whether it has begun.
            evacuated: bool,
            /// The targets in the domain.
            targets: usize,
            /// This instance's requests in flight there.
            in_flight: usize,
            /// The waiting requests for the services of these targets.
            waiting: usize,
        },
        /// Close the stream of a request in flight; a [`Action::Refuse`] for the caller follows.
        Cancel {
            /// The request.
            id: u64,
        },
        /// What is believed of a target has changed so much that operators should know.
        BeliefChanged {
            /// The service of the target.
            service: QualifiedName,
            /// The name of the target.
            target: Name,
            /// What is believed now.
            belief: Belief,
        },
        /// Read the load of the target and report it as [`LoadReport`](super::Event::LoadReport). Without an answer, nothing is
        /// reported.
        ReadLoad {
            /// The service of the target.
            service: QualifiedName,
            /// The name of the target.
            target: Name,
        },
        /// Probe the target over a new connection and report [`Probed`](super::Event::Probed).
        Probe {
            /// The service of the target.
            service: QualifiedName,
            /// The name of the target.
            target: Name,
        },
        /// The health of a target changed, which is to be logged and requires nothing else.
        HealthChanged {
            /// The service of the target.
            service: QualifiedName,
            /// The name of the target.
            target: Name,
            /// The new health.
            health: HealthState,
            /// This instance's requests in flight there.
            in_flight: u32,
        },
        /// The limit that a target names changed, which is to be logged and requires nothing else.
        LimitChanged {
            /// The service of the target.
            service: QualifiedName,
            /// The name of the target.
            target: Name,
            /// The new limit; `None` if there is none any more.
            limit: Option<TargetLimit>,
        },
        /// Tell peers what is known about the limit of a target.
        ShareLimit {
            /// The peer; `None` for all.
            to: Option<Name>,
            /// What is known.
            news: LimitNews,
        },
        /// Send a heartbeat with the requests in flight to the peers now: an online request took the slot that batch
        /// leaves free, or one above the limit, so that peers must start no batch requests there, or stop some.
        ShareLoad,
        /// Tell peers and the key-value service that requests with the fingerprint crash targets.
        ShareVerdict {
            /// The fingerprint.
            fingerprint: Fingerprint,
        },
        /// Send a verdict again to peers, but not to the key-value service, because a peer may have missed it.
        RepeatVerdict {
            /// The peer; `None` for all.
            to: Option<Name>,
            /// The fingerprint.
            fingerprint: Fingerprint,
        },
        /// Remove a verdict of this instance from the key-value service: a target whose death it counts is alive.
        LiftVerdict {
            /// The fingerprint.
            fingerprint: Fingerprint,
        },
        /// Tell peers at once that a target died while it ran a request.
        ShareSuspicion(Suspicion),
        /// Tell peers that a target crashed on which a request with these prompt parts was in flight without any output.
        SharePartCrash {
            /// The name of the target.
            target: Name,
            /// The parts, in the order of the prompt.
            parts: Vec<PartId>,
        },
        /// Tell peers and the key-value service that a prompt part crashes targets.
        SharePartVerdict {
            /// The part.
            part: PartId,
            /// The least time for which the part is refused.
            lifetime: Duration,
        },
        /// Tell peers that targets answer on prompt parts that were suspects or condemned.
        ShareClearedParts(Vec<PartId>),
        /// Remove a verdict on a prompt part from the key-value service.
        LiftPartVerdict {
            /// The part.
            part: PartId,
        },
        /// Tell peers at once where a suspect is to run, runs or no longer runs.
        ShareClaim {
            /// The peer; `None` for all.
            to: Option<Name>,
            /// The run.
            claim: Claim,
        },
    }
}

value_type! {
    /// The death of a target while it ran a request.
    pub struct Suspicion {
        /// The fingerprint of the request.
        pub fingerprint: Fingerprint,
        /// The service of the target.
        pub service: QualifiedName,
        /// The name of the target.
        pub target: Name,
    }
}

value_type! {
    /// The exclusive run of a suspect: meanwhile, other instances run neither this suspect nor another one on this target.
    pub struct Claim {
        /// The fingerprint of the suspect.
        pub fingerprint: Fingerprint,
        /// The service of the target.
        pub service: QualifiedName,
        /// The name of the target.
        pub target: Name,
        /// The state of the run.
        pub state: ClaimState,
    }
}

value_type! {
    /// The state of a suspect's run.
    #[derive(Copy)]
    pub enum ClaimState {
        /// The run starts unless a peer objects.
        Announced,
        /// The suspect is in flight.
        Running,
        /// The run ended, or the claim is withdrawn.
        Ended,
    }
}

value_type! {
    /// The final answer to a request that is not completed.
    pub struct Refusal {
        /// Why the request is refused.
        pub reason: Reason,
        /// Whether the request was run.
        pub execution: Execution,
        /// The time after which the caller should retry.
        pub retry_after: Duration,
    }
}

value_type! {
    /// Why a request is refused.
    #[derive(Copy)]
    pub enum Reason {
        /// The queue is full in count or bytes.
        QueueFull,
        /// The estimated wait exceeds the deadline.
        WaitTooLong,
        /// The service is unknown or has no target that will take work before the deadline.
        NoTarget,
        /// The failure domains of targets are evacuated, or it is not known yet which are, and no other target will take the request.
        Evacuated,
        /// The answer has begun, and no target of the version that began it is left.
        NoTargetOfVersion,
        /// Two targets died while they ran requests with this fingerprint.
        Poison,
        /// A part of the prompt crashed several targets.
        PoisonPart,
        /// The account key was withdrawn.
        KeyWithdrawn,
        /// The attempt failed and the retry budget is exhausted.
        RetryBudget,
        /// The attempt failed and the request must not be sent again.
        TargetFailed,
    }
}

value_type! {
    /// Whether a request was run, as the `execution` member of an error states it.
    #[derive(Copy)]
    pub enum Execution {
        /// No byte reached a target.
        NotRun,
        /// A target answered in part.
        Ran,
        /// A target may have run the request.
        Unknown,
    }
}
