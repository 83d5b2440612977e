//! The record by which daemons discover each other through the key-value service.

use std::net::SocketAddr;

use stdx::{Name, wire_type};

/// The key prefix of the orders to evacuate failure domains of the fleet document, followed by the name of the domain. An order is in force
/// as long as its key exists.
pub const EVACUATIONS_PREFIX: &str = "evacuations/";
/// The key prefix of the records, followed by the name of the instance.
pub const MEMBERS_PREFIX: &str = "members/";

wire_type! {
    /// The registration record of a daemon.
    pub struct MemberRecord {
        /// The address on which it accepts connections of other daemons.
        pub address: SocketAddr,
        /// Its failure domain.
        pub failure_domain: Name,
        /// Whether it accepts requests of callers.
        pub admits_callers: bool,
        /// Whether it runs batch items.
        pub runs_items: bool,
        /// The processor share of its instance in thousandths of a core; 0 if unspecified.
        #[serde(default)]
        pub capacity: u32,
        /// What another daemon has to know to send requests to targets through this one; empty if this one sends none for others. It is left out then,
        /// because earlier versions do not know it.
        #[serde(default, skip_serializing_if = "String::is_empty")]
        pub exchange_token: String,
    }
}
