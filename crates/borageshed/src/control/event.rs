//! The input of the control thread: events from request tasks, peers and other parts of the daemon.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use fleet::{Document, QualifiedName};
use policy::{
    dispatch::{self, TargetInfo},
    rate::{AccountId, RateMessage},
    slots::{SlotOutcome, SlotRecord, StoredSlot},
};
use stdx::{Name, value_type};

use super::Directive;
use crate::status::{ControlStatus, LoadStatus};

/// A request on which the control thread is to decide.
#[derive(Debug)]
pub struct SubmittedRequest {
    /// The request.
    pub request: dispatch::Request,
    /// The account whose rate the request counts against; `None` for batch items and open routes.
    pub rate_account: Option<AccountId>,
    /// The channel from which the request task receives directives.
    pub directives: async_channel::Sender<Directive>,
}

value_type! {
    /// An instance that admits requests of callers.
    pub struct AdmittingInstance {
        /// Its failure domain.
        pub failure_domain: Name,
        /// Its processor share in thousandths of a core.
        pub capacity: u32,
    }
}

/// An event that the control thread handles.
#[derive(Debug)]
pub enum ControlEvent {
    /// A request was submitted.
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
    /// A peer is shutting down; the platform may still list it for a while.
    PeerLeaving {
        /// The peer.
        peer: Name,
    },
    /// A configuration document took effect.
    Document {
        /// The document.
        document: Arc<Document>,
        /// The keys that it withdraws, each with its account.
        withdrawn: Vec<(QualifiedName, Name)>,
    },
    /// All slot records were read.
    SlotsRead {
        /// The sequence number of the read.
        read: u64,
        /// The records by slot.
        records: BTreeMap<u32, StoredSlot>,
    },
    /// A write of a slot record ended.
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
        /// The ones that admit requests of callers.
        admitting: BTreeMap<Name, AdmittingInstance>,
        /// The ones that run batch items.
        runners: BTreeSet<Name>,
        /// Whether the store or a relay answers for them.
        are_current: bool,
    },
    /// The registered targets changed; they replace those of the document.
    Registry {
        /// The targets by service.
        services: BTreeMap<QualifiedName, Vec<TargetInfo>>,
    },
    /// Release the rate slots; no further requests are submitted.
    Drain,
    /// Reply with the requests in flight.
    GetLoads(async_channel::Sender<LoadStatus>),
    /// Reply with the state.
    GetStatus(async_channel::Sender<ControlStatus>),
    /// Reply with the state, without that of the services.
    GetSummary(async_channel::Sender<ControlStatus>),
    /// Stop the thread.
    Stop,
}
