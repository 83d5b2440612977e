//! What traffic tasks and peers tell the control thread.

use std::{collections::BTreeMap, sync::Arc};

use fleet::{Document, QualifiedName};
use policy::{
    dispatch::{self, TargetInfo},
    rate::{AccountId, RateMessage},
    slots::{SlotOutcome, SlotRecord, StoredSlot},
};
use stdx::{Name, value_type};

use super::Directive;
use crate::status::{ControlStatus, LoadStatus};

/// A request that asks for a decision.
#[derive(Debug)]
pub struct SubmittedRequest {
    /// The request.
    pub request: dispatch::Request,
    /// The account whose rate the request counts against; `None` for batch items and open routes.
    pub rate_account: Option<AccountId>,
    /// Where the task waits for directives.
    pub directives: async_channel::Sender<Directive>,
}

value_type! {
    /// A daemon that admits callers.
    pub struct AdmittingInstance {
        /// Its failure domain.
        pub failure_domain: Name,
        /// The processor share of its instance in thousandths of a core.
        pub capacity: u32,
    }
}

/// Something that the control thread must know.
#[derive(Debug)]
pub enum ControlEvent {
    /// A request asks for a decision.
    Submit(Box<SubmittedRequest>),
    /// Something happened to a request, target or peer.
    Dispatch(dispatch::Event),
    /// A loan message arrived.
    Rate {
        /// The peer.
        from: Name,
        /// The message.
        message: RateMessage,
    },
    /// A peer link opened or closed.
    PeerLink {
        /// The peer.
        peer: Name,
        /// Whether the link is open.
        up: bool,
    },
    /// A peer shuts down; the platform's list may name it for a while.
    PeerLeaving {
        /// The peer.
        peer: Name,
    },
    /// A document came into force.
    Document {
        /// The document.
        document: Arc<Document>,
        /// The keys that it withdraws, with their accounts.
        withdrawn: Vec<(QualifiedName, Name)>,
    },
    /// All slot records were read.
    SlotsRead {
        /// The number of the read.
        read: u64,
        /// The records by slot.
        records: BTreeMap<u32, StoredSlot>,
    },
    /// A step on a slot record ended.
    SlotWritten {
        /// The slot.
        slot: u32,
        /// The record that was to be written.
        record: SlotRecord,
        /// How the write ended.
        outcome: SlotOutcome,
    },
    /// The registered daemons changed.
    Members {
        /// Those that admit callers.
        admitting: BTreeMap<Name, AdmittingInstance>,
    },
    /// The registered targets changed; they replace those of the document.
    Registry {
        /// The targets by service.
        services: BTreeMap<QualifiedName, Vec<TargetInfo>>,
    },
    /// Release slots; no request is submitted any more.
    Drain,
    /// Somebody asks for the requests in flight.
    GetLoads(async_channel::Sender<LoadStatus>),
    /// Somebody asks for the state.
    GetStatus(async_channel::Sender<ControlStatus>),
    /// Stop the thread.
    Stop,
}
