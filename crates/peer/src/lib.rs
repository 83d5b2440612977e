//! Links between daemons: messages, framing, and the hub that owns the listener and the links.
//!
//! - [`exchange`]: exchanges with targets that one daemon carries out for another.
//! - [`hub`]: the listener, the set of peers and the links to them.
//! - [`message`]: the messages and their encoding.
//! - [`schedule`]: how often heartbeats are sent.
//! - [`stats`]: counters of bytes, messages and closed links.

mod codec;
mod dial;
pub mod exchange;
pub mod hub;
mod link;
pub mod message;
pub mod schedule;
pub mod stats;

pub use hub::{DownReason, Hub, HubConfig, Peer, PeerEvent, SendError};
pub use message::{
    ClearedParts, ClosedLoan, ConfigChunk, ConfigFetch, Flood, Forward, Heartbeat, Hello,
    JobAccepted, JobAnswer, JobCancelled, JobRequest, JobStatus, Leaving, LinkRole, LoadPart,
    Loads, LoanGrant, LoanRequest, LoanReturn, Message, OriginAnswer, OriginRequest, PartCrash,
    PartVerdict, PoisonSuspicion, PoisonVerdict, ReadAnswer, ReadRequest, ReadStatus, StoreCall,
    StoreCallAnswer, StoreCallOutcome, StoreMethod, StoredItem, StreamOrigin, SuspectClaim,
    SuspectState, TargetLimit,
};
pub use stats::Stats;
