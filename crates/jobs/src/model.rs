//! What is stored about a job.

use std::collections::BTreeMap;

use base64::{Engine as _, engine::general_purpose::STANDARD};
use fleet::{Kind, QualifiedName};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};
use stdx::{Name, wire_type};

use crate::key::JobId;

wire_type! {
    /// The record of a job; its creation is the acceptance of the job.
    pub struct JobRecord {
        /// The fleet of origin of account and service.
        pub origin: Name,
        /// The account that the job belongs to.
        pub account: Name,
        /// The service that runs the items.
        pub service: Name,
        /// The host that the job was submitted to, which items are sent with.
        pub host: Name,
        /// The number of items.
        pub total: usize,
        /// The number of parts in which the items are stored.
        pub parts: usize,
        /// When the job was accepted, in milliseconds since the Unix epoch by the clock of the accepting instance, which may
        /// differ by seconds from others.
        pub received_ms: u64,
        /// How long after that all results are due, in milliseconds.
        pub due_after_ms: u64,
        /// How long after that items may be given up, likewise.
        pub give_up_after_ms: u64,
        /// How often an item may fail at a target before it ends as failed.
        pub max_attempts: u32,
        /// The index of the item at each position of the results.
        pub listed: Vec<usize>,
        /// Whether the job was ended by its account.
        pub cancelled: bool,
    }
}

wire_type! {
    /// An entry of the index of unfinished jobs.
    pub struct OpenJob {
        /// The fleet of origin of the account.
        pub origin: Name,
        /// The account that the job belongs to.
        pub account: Name,
        /// The route that the job was submitted to.
        pub route: Name,
        /// The tokens of the items without a result.
        pub tokens: u64,
    }
}

wire_type! {
    /// An item as it was submitted.
    pub struct Item {
        /// The id, unique in the job.
        pub id: Name,
        /// Path and query of the request.
        pub path: Name,
        /// The headers of the request.
        pub headers: BTreeMap<Name, Name>,
        /// The body of the request.
        pub body: Bytes,
        /// The tokens of the prompt and the most tokens of the answer, together.
        pub tokens: u64,
    }
}

wire_type! {
    /// The result of an item.
    pub struct ItemResult {
        /// The id of the item.
        pub id: Name,
        /// How the item ended.
        pub state: ItemState,
        /// The data of all events, separated by line feeds; empty for a failed item.
        pub text: String,
    }
}

/// How an item ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemState {
    /// Its whole output is there.
    Completed,
    /// It cannot be done, or was given up.
    Failed,
}

/// Bytes that are base64 in JSON.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Bytes(pub Vec<u8>);

impl Serialize for Bytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Bytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Self).map_err(D::Error::custom)
    }
}

impl JobRecord {
    /// Returns the identity of the account.
    pub fn account(&self) -> QualifiedName {
        QualifiedName::new(&self.origin, Kind::Account, &self.account)
    }

    /// Returns the identity of the service.
    pub fn service(&self) -> QualifiedName {
        QualifiedName::new(&self.origin, Kind::Service, &self.service)
    }

    /// Returns whether no item is to be run any more.
    pub fn is_ended(&self) -> bool {
        self.cancelled || self.listed.len() == self.total
    }
}

/// Encodes a record; the types of this crate always encode.
pub(crate) fn encode<T: Serialize>(record: &T) -> Vec<u8> {
    serde_json::to_vec(record).expect("records hold only JSON types")
}

/// Reads the items of one stored part.
///
/// # Errors
///
/// Fails if the value is no part of a job.
pub fn items_of_part(value: &[u8]) -> serde_json::Result<Vec<Item>> {
    serde_json::from_slice(value)
}

/// Returns the transaction that ends a job for its account.
pub fn cancellation(
    id: &JobId,
    record: &JobRecord,
    revision: kv_store::Revision,
) -> kv_store::Transaction {
    let ended = JobRecord { cancelled: true, ..record.clone() };
    kv_store::Transaction::default()
        .expect(id.record_key(), revision)
        .write(id.record_key(), encode(&ended))
        .remove(id.open_key())
}
