//! Maps a caller's key to its account.
//!
//! Keys are known only by their SHA-256, so neither the document nor a memory dump of the table yields a usable key.

#[cfg(test)]
mod tests;

use std::fmt;

use fleet::{Document, QualifiedName};
use sha2::{Digest, Sha256};
use stdx::value_type;
use subtle::ConstantTimeEq;

use crate::rate::AccountId;

const HASH_BYTES: usize = 32;
const PREFIX_BYTES: usize = 8;

/// The SHA-256 of a caller's key.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyHash([u8; HASH_BYTES]);

value_type! {
    /// The account of an authenticated caller and the key that it presented.
    pub struct AccountRef {
        /// The identifier that rate decisions use.
        pub id: AccountId,
        /// The name of the account in the document.
        pub name: QualifiedName,
        /// The hash of the presented key, which identifies it in the result of [`KeyTable::withdrawn_by`].
        pub key: KeyHash,
    }
}

/// The keys of one document revision.
#[derive(Debug, Clone, Default)]
pub struct KeyTable {
    /// Sorted by hash; no hash occurs twice.
    entries: Vec<AccountRef>,
}

impl KeyTable {
    /// Collects the keys of all accounts.
    ///
    /// Malformed hashes are left out, and so is a hash that several accounts list, since it does not identify one account.
    pub fn new(doc: &Document) -> Self {
        let mut entries: Vec<_> = doc
            .accounts
            .iter()
            .flat_map(|(name, account)| account.keys.iter().map(move |key| (name, key)))
            .filter_map(|(name, key)| {
                let key = KeyHash::parse(&key.sha256)?;
                Some(AccountRef { id: AccountId::of(name), name: name.clone(), key })
            })
            .collect();
        entries.sort_by(|a, b| (a.key, &a.name).cmp(&(b.key, &b.name)));
        entries.dedup_by(|a, b| (a.key, &a.name) == (b.key, &b.name));
        let entries = entries
            .chunk_by(|a, b| a.key == b.key)
            .filter(|same_hash| same_hash.len() == 1)
            .flatten()
            .cloned()
            .collect();
        Self { entries }
    }

    /// Returns the account that the key `bearer` belongs to.
    ///
    /// The search uses a prefix of the hash, which a caller cannot choose without inverting SHA-256; the whole hash is
    /// compared in constant time. If no key matches, a dummy comparison is made, so that an unknown prefix costs one too.
    pub fn authenticate(&self, bearer: &str) -> Option<AccountRef> {
        let hash = KeyHash::of(bearer);
        let start = self.entries.partition_point(|it| it.key.prefix() < hash.prefix());
        let mut found = None;
        let same_prefix =
            self.entries[start..].iter().take_while(|it| it.key.prefix() == hash.prefix());
        for entry in same_prefix {
            if bool::from(entry.key.0.ct_eq(&hash.0)) {
                found = Some(entry);
            }
        }
        if found.is_none() {
            let _ = std::hint::black_box(hash.0.ct_eq(&[0; HASH_BYTES]));
        }
        found.cloned()
    }

    /// Returns the keys of this table that `next` does not map to the same account, in order of hash.
    pub fn withdrawn_by(&self, next: &Self) -> Vec<AccountRef> {
        let is_kept = |entry: &&AccountRef| {
            let at = next.entries.binary_search_by(|it| it.key.cmp(&entry.key));
            at.is_ok_and(|at| next.entries[at].name == entry.name)
        };
        self.entries.iter().filter(|it| !is_kept(it)).cloned().collect()
    }

    /// Returns the number of keys that can authenticate.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key can authenticate.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

impl KeyHash {
    /// Hashes a key in the form that callers present.
    pub fn of(bearer: &str) -> Self {
        Self(Sha256::digest(bearer.as_bytes()).into())
    }

    /// Returns the hash in lower-case hexadecimal digits, as in the document.
    pub fn to_hex(self) -> String {
        hex::encode(self.0)
    }

    fn parse(text: &str) -> Option<Self> {
        let mut bytes = [0; HASH_BYTES];
        hex::decode_to_slice(text, &mut bytes).ok()?;
        Some(Self(bytes))
    }

    fn prefix(&self) -> &[u8] {
        &self.0[..PREFIX_BYTES]
    }
}

impl fmt::Debug for KeyHash {
    /// Shows a prefix only, so that logs do not help to test guesses of a weak key.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyHash({}..)", hex::encode(&self.0[..4]))
    }
}
