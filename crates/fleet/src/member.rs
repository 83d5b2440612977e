//! The record by which daemons find each other in the key-value service.

use std::net::SocketAddr;

use stdx::{Name, wire_type};

/// The prefix of the records; the name of the instance follows.
pub const MEMBERS_PREFIX: &str = "members/";

wire_type! {
    /// The record of a daemon.
    pub struct MemberRecord {
        /// Where it listens for daemons.
        pub address: SocketAddr,
        /// Its failure domain.
        pub failure_domain: Name,
        /// Whether it admits requests of callers.
        pub admits_callers: bool,
        /// Whether it runs batch items.
        pub runs_items: bool,
        /// The processor share of its instance in thousandths of a core; 0 if it does not say.
        #[serde(default)]
        pub capacity: u32,
    }
}
