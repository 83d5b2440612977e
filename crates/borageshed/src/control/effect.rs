//! What the control thread has others do, because it does no I/O.

use fleet::QualifiedName;
use policy::{
    dispatch::{Claim, Fingerprint, Suspicion},
    rate::RateMessage,
    slots::SlotAction,
};
use stdx::{Name, record_type};

record_type! {
    /// A step outside the control thread.
    pub enum Effect {
        /// Send a loan message to a peer.
        SendRate {
            /// The peer.
            to: Name,
            /// The message.
            message: RateMessage,
        },
        /// Probe a target over a new connection.
        Probe {
            /// The service of the target.
            service: QualifiedName,
            /// The name of the target.
            target: Name,
        },
        /// Tell peers the requests in flight before the next heartbeat is due.
        ShareLoad,
        /// Tell peers and the platform's service that requests with the fingerprint kill targets.
        ShareVerdict {
            /// The fingerprint.
            fingerprint: Fingerprint,
        },
        /// Tell peers of a verdict again.
        RepeatVerdict {
            /// The peer; `None` for all.
            to: Option<Name>,
            /// The fingerprint.
            fingerprint: Fingerprint,
        },
        /// Remove a verdict from the platform's service.
        LiftVerdict {
            /// The fingerprint.
            fingerprint: Fingerprint,
        },
        /// Tell peers that a target died while it ran a request.
        ShareSuspicion(Suspicion),
        /// Tell peers where a suspect is to run, runs or no longer runs.
        ShareClaim {
            /// The peer; `None` for all.
            to: Option<Name>,
            /// The run.
            claim: Claim,
        },
        /// Perform a step on the slot records.
        Slot(SlotAction),
    }
}
