//! I/O that the control thread leaves to other tasks, because it does none itself.

use std::time::Duration;

use fleet::QualifiedName;
use policy::{
    dispatch::{Claim, Fingerprint, LimitNews, PartId, Suspicion},
    rate::RateMessage,
    slots::SlotAction,
};
use stdx::{Name, record_type};

record_type! {
    /// An action that another task performs for the control thread.
    pub enum Effect {
        /// Send a loan message to a peer.
        SendRate {
            /// The peer.
            to: Name,
            /// The message.
            message: RateMessage,
        },
        /// Read the load of a target.
        ReadLoad {
            /// The service of the target.
            service: QualifiedName,
            /// The target.
            target: Name,
        },
        /// Probe a target over a new connection.
        Probe {
            /// The service of the target.
            service: QualifiedName,
            /// The name of the target.
            target: Name,
        },
        /// Read the evacuated failure domains again.
        ReadEvacuations,
        /// Send the requests in flight to the peers now, instead of with the next regular heartbeat.
        ShareLoad,
        /// Report to peers and the platform's key-value service that requests with the fingerprint crash targets.
        ShareVerdict {
            /// The fingerprint.
            fingerprint: Fingerprint,
        },
        /// Send a verdict to peers again.
        RepeatVerdict {
            /// The peer; `None` for all.
            to: Option<Name>,
            /// The fingerprint.
            fingerprint: Fingerprint,
        },
        /// Remove a verdict from the platform's key-value service.
        LiftVerdict {
            /// The fingerprint.
            fingerprint: Fingerprint,
        },
        /// Report to peers that a target died while it ran a request.
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
        /// Report to peers on which target a suspect is to run, runs or no longer runs.
        ShareClaim {
            /// The peer; `None` for all.
            to: Option<Name>,
            /// The claim of the suspect on the target.
            claim: Claim,
        },
        /// Tell peers what is known about the limit of a target.
        ShareLimit {
            /// The peer; `None` for all.
            to: Option<Name>,
            /// What is known.
            news: LimitNews,
        },
        /// Read or write slot records.
        Slot(SlotAction),
    }
}
