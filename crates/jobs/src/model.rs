//! The stored records of a job.

use std::collections::BTreeMap;

use base64::{Engine as _, engine::general_purpose::STANDARD};
use fleet::{Kind, QualifiedName};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};
use stdx::{Name, wire_type};

use crate::key::JobId;

wire_type! {
    /// The record of a job; the job is accepted when the record is created.
    pub struct JobRecord {
        /// The fleet of origin of account and service.
        pub origin: Name,
        /// The account that the job belongs to.
        pub account: Name,
        /// The service that runs the items.
        pub service: Name,
        /// The host that the job was submitted to; items are sent with the same host.
        pub host: Name,
        /// The number of items.
        pub total: usize,
        /// The number of parts in which the items are stored.
        pub parts: usize,
        /// When the job was accepted, in milliseconds since the Unix epoch by the clock of the accepting instance, which may
        /// differ by seconds from others.
        pub received_ms: u64,
        /// The time from the acceptance until all results are due, in milliseconds.
        pub due_after_ms: u64,
        /// The time from the acceptance until unfinished items may be failed, in milliseconds.
        pub give_up_after_ms: u64,
        /// The number of failed attempts at targets after which an item ends as failed.
        pub max_attempts: u32,
        /// For each result, in the order of storage, the index of its item.
        pub listed: Vec<usize>,
        /// Whether the account cancelled the job.
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
        /// The tokens of all items that have no result.
        pub tokens: u64,
    }
}

wire_type! {
    /// An item as it was submitted.
    pub struct Item {
        /// The id, unique within the job.
        pub id: Name,
        /// The path and query of the request.
        pub path: Name,
        /// The headers of the request.
        pub headers: BTreeMap<Name, Name>,
        /// The body of the request.
        pub body: Bytes,
        /// The number of prompt tokens plus the maximum number of answer tokens.
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
    /// The output is complete.
    Completed,
    /// The item cannot be completed, or was given up.
    Failed,
}

/// Bytes that are serialized as base64.
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
    /// Returns the qualified name of the account.
    pub fn account(&self) -> QualifiedName {
        QualifiedName::new(&self.origin, Kind::Account, &self.account)
    }

    /// Returns the qualified name of the service.
    pub fn service(&self) -> QualifiedName {
        QualifiedName::new(&self.origin, Kind::Service, &self.service)
    }

    /// Returns whether no item is left to run.
    pub fn is_ended(&self) -> bool {
        self.cancelled || self.listed.len() == self.total
    }
}

/// Encodes a record as JSON; this cannot fail for the types of this crate.
pub(crate) fn encode<T: Serialize>(record: &T) -> Vec<u8> {
    serde_json::to_vec(record).expect("records hold only JSON types")
}

/// Decodes the items of one stored part.
///
/// # Errors
///
/// Fails if the value is not a part of a job.
pub fn items_of_part(value: &[u8]) -> serde_json::Result<Vec<Item>> {
    serde_json::from_slice(value)
}

/// Returns the transaction that cancels a job on behalf of its account.
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
