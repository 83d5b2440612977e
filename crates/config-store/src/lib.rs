//! Reads and writes the head record and the chunks of the configuration in the platform's key-value service.

use std::sync::Arc;

use fleet::revision::{self, Chunks, Head};
use kv_store::{Entry, Outcome, Revision as ModRevision, Store};
use stdx::Name;
use thiserror::Error;

/// The key of the head record.
pub const HEAD_KEY: &str = "config/head";

/// The result of an operation on the stored configuration.
pub type Result<T> = std::result::Result<T, ConfigStoreError>;

/// Why the stored configuration cannot be read or written.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ConfigStoreError {
    /// The key-value service failed.
    #[error(transparent)]
    Platform(#[from] kv_store::Error),
    /// The head record cannot be decoded.
    #[error("the record {HEAD_KEY} cannot be read: {reason}")]
    DamagedHead {
        /// What is wrong.
        reason: Name,
    },
    /// A chunk is missing or damaged.
    #[error("chunk {digest} is missing or damaged in the platform's service")]
    MissingChunk {
        /// The digest of the chunk.
        digest: Name,
    },
    /// It is not known whether a chunk was written.
    #[error("it is not known whether chunk {digest} was written")]
    UnknownWrite {
        /// The digest of the chunk.
        digest: Name,
    },
}

/// A head record with its revision in the key-value service.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredHead {
    /// The head; the default one if the service has none.
    pub head: Head,
    /// The revision that the next write expects.
    pub mod_revision: ModRevision,
}

/// Reads the head record.
///
/// # Errors
///
/// Fails if the service does not answer, or if the value is not a head record.
pub async fn read_head(store: &dyn Store) -> Result<StoredHead> {
    match store.get(HEAD_KEY).await? {
        Some(entry) => parse_head(&entry),
        None => Ok(StoredHead { head: Head::default(), mod_revision: ModRevision(0) }),
    }
}

/// Decodes a head record from an entry of the key-value service.
///
/// # Errors
///
/// Fails if the value is not a head record.
pub fn parse_head(entry: &Entry) -> Result<StoredHead> {
    let head = serde_json::from_slice(&entry.value)
        .map_err(|e| ConfigStoreError::DamagedHead { reason: Name::from(e.to_string()) })?;
    Ok(StoredHead { head, mod_revision: entry.mod_revision })
}

/// Returns the chunks that a head names; those that are not in `known` are read from the service.
///
/// # Errors
///
/// Fails if the service does not answer, or if a chunk is missing or damaged.
pub async fn read_chunks(store: &dyn Store, head: &Head, known: &Chunks) -> Result<Chunks> {
    let mut chunks = Chunks::new();
    for digest in head.digests() {
        let chunk = match known.get(digest) {
            Some(chunk) => Arc::clone(chunk),
            None => read_chunk(store, digest).await?,
        };
        chunks.insert(digest.clone(), chunk);
    }
    Ok(chunks)
}

/// Writes the chunks that the expected head does not name, and then the head by compare-and-swap.
///
/// # Errors
///
/// Fails if the service does not answer, or if it is unknown whether a chunk was written. The head has not been written in
/// these cases; an uncertain write of the head is reported as [`Outcome::Unknown`] instead.
pub async fn write(
    store: &dyn Store,
    chunks: &Chunks,
    head: &Head,
    expected: &StoredHead,
) -> Result<Outcome> {
    let present = expected.head.digests();
    for (digest, chunk) in chunks.iter().filter(|(digest, _)| !present.contains(digest)) {
        match store.create(&chunk_key(digest), chunk).await? {
            // Chunks are content-addressed, so an existing one is identical.
            Outcome::Won(_) | Outcome::Lost(_) => {}
            Outcome::Unknown => {
                return Err(ConfigStoreError::UnknownWrite { digest: digest.clone() });
            }
        }
    }
    let value = serde_json::to_vec(head)
        .map_err(|e| ConfigStoreError::DamagedHead { reason: Name::from(e.to_string()) })?;
    Ok(store.compare_and_swap(HEAD_KEY, expected.mod_revision, &value).await?)
}

async fn read_chunk(store: &dyn Store, digest: &Name) -> Result<Arc<[u8]>> {
    let missing_chunk = || ConfigStoreError::MissingChunk { digest: digest.clone() };
    let entry = store.get(&chunk_key(digest)).await?.ok_or_else(missing_chunk)?;
    if revision::digest(&entry.value) == *digest {
        Ok(entry.value.into())
    } else {
        Err(missing_chunk())
    }
}

fn chunk_key(digest: &str) -> String {
    format!("config/chunk/{digest}")
}
