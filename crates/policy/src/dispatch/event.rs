//! The events that the dispatcher handles.

use std::{collections::BTreeSet, time::Duration};

use fleet::{QualifiedName, Service};
use stdx::{Name, Timestamp, record_type, value_type};

use super::{
    allowance::TargetLimit,
    limits::{Instances, LimitNews},
    prompt_parts::PartId,
    request::{Claim, Fingerprint, Suspicion},
};

record_type! {
    /// Something that happened to a request, a target or a peer.
    ///
    /// Events for requests, services and targets that the dispatcher does not hold are ignored, because events can arrive
    /// late.
    pub enum Event {
        /// The first byte of the request left for the target.
        Started {
            /// The request.
            id: u64,
        },
        /// The first byte of the answer arrived.
        FirstByte {
            /// The request.
            id: u64,
        },
        /// The answer of the current attempt comes through another instance, so that its times say less about the target.
        AnsweredThroughPeer {
            /// The request.
            id: u64,
        },
        /// The first output of the current attempt arrived, such as the first whole event of a stream.
        OutputBegun {
            /// The request.
            id: u64,
        },
        /// The whole answer arrived.
        Completed {
            /// The request.
            id: u64,
            /// The tokens that the request took, if known; they replace the estimated cost.
            tokens: Option<u64>,
        },
        /// The attempt failed and no byte of the request left.
        FailedBeforeSend {
            /// The request.
            id: u64,
        },
        /// The attempt failed after a byte of the request may have left.
        FailedAfterSend {
            /// The request.
            id: u64,
            /// What ended the attempt.
            cause: FailureCause,
        },
        /// The target says that it has not run the request and will not.
        NotRun {
            /// The request.
            id: u64,
            /// Why it was not run.
            cause: NotRunCause,
        },
        /// The batch request's attempt was stopped after [`CancelBatch`](super::Action::CancelBatch).
        Yielded {
            /// The request.
            id: u64,
        },
        /// The caller closed its connection, or the batch item was cancelled.
        CallerGone {
            /// The request.
            id: u64,
        },
        /// A target reported the requests that it runs and queues.
        LoadReport {
            /// The service of the target.
            service: QualifiedName,
            /// The name of the target.
            target: Name,
            /// The load when the report was made.
            load: TargetLoad,
            /// When the request that the report answers was sent; `None` if the report answers none.
            sent_at: Option<Timestamp>,
        },
        /// The complete target list of a service.
        TargetsChanged {
            /// The service.
            service: QualifiedName,
            /// The targets.
            targets: Vec<TargetInfo>,
        },
        /// The time between the events of a target's streams was measured.
        EventGap {
            /// The service of the target.
            service: QualifiedName,
            /// The name of the target.
            target: Name,
            /// The mean time between two events.
            gap: Duration,
        },
        /// A target announced its shutdown in an answer.
        TargetLeaving {
            /// The service of the target.
            service: QualifiedName,
            /// The name of the target.
            target: Name,
        },
        /// An answer arrived, which names the limit of its target or none.
        AnswerLimit {
            /// The service of the target.
            service: QualifiedName,
            /// The name of the target.
            target: Name,
            /// The limit.
            limit: Option<TargetLimit>,
            /// When the request of the answer was sent.
            sent_at: Timestamp,
        },
        /// The registration of this instance was renewed or has ended.
        Registration {
            /// When the call that renewed it was sent; `None` if it has ended.
            renewed_at: Option<Timestamp>,
        },
        /// A target said in an answer how long it stays cold.
        TargetCold {
            /// The service of the target.
            service: QualifiedName,
            /// The name of the target.
            target: Name,
            /// The remaining time.
            left: Duration,
        },
        /// A peer knows something about the limit of a target.
        LimitNews(LimitNews),
        /// A probe ended.
        Probed {
            /// The service of the target.
            service: QualifiedName,
            /// The name of the target.
            target: Name,
            /// Whether the target answered.
            ok: bool,
        },
        /// A peer's heartbeat arrived; it replaces the previous one.
        PeerHeartbeat {
            /// The peer instance.
            peer: Name,
            /// The failure domain of the peer.
            failure_domain: Name,
            /// The peer's requests in flight; targets without any may be left out.
            loads: Vec<PeerLoad>,
            /// The services for which online requests wait at the peer. A peer that reports for several instances lists a
            /// service once for each of them at which requests wait.
            waiting: Vec<QualifiedName>,
            /// The services for which batch requests wait at the peer, listed in the same way.
            batch_waiting: Vec<QualifiedName>,
        },
        /// A verdict arrived from a peer or the key-value service.
        PoisonVerdict {
            /// The fingerprint of the poison request.
            fingerprint: Fingerprint,
        },
        /// A peer saw a target crash on which a request with these prompt parts was in flight without any output.
        PartCrash {
            /// The name of the target.
            target: Name,
            /// The parts, in the order of the prompt.
            parts: Vec<PartId>,
        },
        /// A verdict on a prompt part arrived from a peer or the key-value service.
        PartVerdict {
            /// The part.
            part: PartId,
            /// The least time for which the part is refused.
            lifetime: Duration,
        },
        /// Targets of a peer answer on prompt parts that were suspects or condemned.
        ClearedParts(Vec<PartId>),
        /// A peer saw a target die.
        PoisonSuspicion(Suspicion),
        /// A peer claims a run of a suspect.
        SuspectClaim {
            /// The peer instance.
            peer: Name,
            /// The run.
            claim: Claim,
        },
        /// The complete list of registered instances.
        Instances(Instances),
        /// The complete set of evacuated failure domains.
        Evacuations {
            /// The domains.
            domains: BTreeSet<Name>,
            /// The store had no others at this time; `None` if that is not certain.
            confirmed_at: Option<Timestamp>,
        },
        /// The link to a peer opened or closed.
        PeerLink {
            /// The peer instance.
            peer: Name,
            /// Whether the link is open.
            up: bool,
        },
        /// An account key was withdrawn.
        KeyWithdrawn {
            /// The account.
            account: QualifiedName,
            /// The identifier of the key; `None` for all keys of the account.
            key: Option<Name>,
        },
    }
}

value_type! {
    /// What ended an attempt after bytes had left.
    #[derive(Copy)]
    pub enum FailureCause {
        /// The connection broke, so that a request in flight may have crashed the target.
        ConnectionLost,
        /// The connection broke and nothing listens at the address of the target any more, so the target has ended.
        Crashed,
        /// The connection broke, but the target accepts new ones, so that it has not died.
        AnswerLost,
        /// The target did not answer in time, or its answer violated the protocol.
        BadAnswer,
        /// The target shut down gracefully, which makes no request a suspect.
        Drained,
        /// The link of this instance to the target is lost, which says nothing about the target or the request.
        LinkLost,
    }
}

value_type! {
    /// Why a target did not run a request.
    #[derive(Copy)]
    pub enum NotRunCause {
        /// It has no room.
        Full,
        /// Another target listens at its address.
        Replaced,
        /// It was not sent, because the failure domain of the target is evacuated or may be.
        Evacuated,
    }
}

value_type! {
    /// The load that a target reports.
    #[derive(Copy, Default)]
    pub struct TargetLoad {
        /// Running requests.
        pub running: u32,
        /// Waiting requests.
        pub waiting: u32,
        /// The requests that the target runs concurrently, if it says so.
        pub slots: Option<u32>,
        /// How long work takes on the machine of the target now, in percent of the usual time, if it says so.
        pub slowdown: Option<u32>,
    }
}

impl TargetLoad {
    /// Returns the running and the waiting requests.
    pub fn in_flight(self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

value_type! {
    /// A target as the target list describes it.
    pub struct TargetInfo {
        /// The name of the target, unique in the service.
        pub name: Name,
        /// The failure domain of the target.
        pub failure_domain: Name,
        /// The requests that the target runs concurrently, over all instances.
        pub concurrency: u32,
        /// Whether the target takes no new work.
        pub leaving: bool,
        /// Whether a registry lists the target as serving, so that it needs no probe before its first request.
        pub registered: bool,
        /// Distinguishes restarts of a target under the same name, as far as the target list does.
        pub incarnation: u64,
        /// The version of the target's software; empty if unknown. What two versions write does not fit together.
        pub version: Name,
        /// Until when the target is cold, as far as the target list says; [`Timestamp::ZERO`] if it is not.
        pub cold_until: Timestamp,
        /// The requests per second that the target tolerates while it is cold, in thousandths; 0 for no limit.
        pub cold_rate_millis: u64,
    }
}

value_type! {
    /// A peer's requests in flight on one target.
    pub struct PeerLoad {
        /// The service of the target.
        pub service: QualifiedName,
        /// The name of the target.
        pub target: Name,
        /// Online requests in flight.
        pub online: u32,
        /// Batch requests in flight.
        pub batch: u32,
        /// Suspects in flight. A second suspect on the target could be blamed for a crash that one of these causes.
        pub suspects: u32,
        /// The online requests in flight from instances at which other online requests for the service wait.
        pub contending: u32,
        /// The batch requests in flight from instances at which other batch requests for the service wait.
        pub batch_contending: u32,
        /// The mean time between two events of the target's streams, in milliseconds; 0 without a recent measurement.
        pub event_gap_ms: u32,
        /// The requests sent in the last four seconds; 0 if the target names no limit.
        pub starts: u32,
        /// How long work takes on the machine of the target, in percent of the usual time, by a report of the last moment; 0 if
        /// there was none.
        pub slowdown: u32,
    }
}

/// Returns the targets of a service of the fleet document.
pub fn target_infos(service: &Service) -> Vec<TargetInfo> {
    service
        .targets
        .iter()
        .map(|(name, target)| TargetInfo {
            name: name.clone(),
            failure_domain: target.failure_domain.clone(),
            concurrency: target.concurrency,
            leaving: target.leaving,
            registered: false,
            incarnation: 0,
            version: Name::from(""),
            cold_until: Timestamp::ZERO,
            cold_rate_millis: 0,
        })
        .collect()
}
