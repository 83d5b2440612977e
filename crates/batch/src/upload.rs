//! Stores the chunks and the metadata record of a file.

use stdx::Name;

use crate::{
    input::SplitFile,
    key::{FileId, Key},
    store::{self, Now, RetryState, StoreAction, StoreOutcome},
};

/// Stores a valid file: all chunks, then the metadata record.
///
/// Keys contain the digest of the file, so a key that already exists holds the same value and is treated as written.
#[derive(Debug)]
pub struct FileUpload {
    account: Name,
    file: SplitFile,
    next: usize,
    retry: RetryState,
}

impl FileUpload {
    /// Starts storing a file of an account.
    pub fn new(account: Name, file: SplitFile) -> Self {
        assert_eq!(file.chunks.len(), file.meta.chunk_items.len());
        Self { account, file, next: 0, retry: RetryState::default() }
    }

    /// Returns the identity of the file.
    pub fn id(&self) -> &FileId {
        &self.file.id
    }

    /// Returns whether the file is stored and may be used by jobs.
    pub fn is_stored(&self) -> bool {
        self.next > self.file.chunks.len()
    }

    /// Returns the next call if one is due.
    pub fn poll(&mut self, now: Now) -> Option<StoreAction> {
        if self.is_stored() || !self.retry.is_due(now) {
            return None;
        }
        self.retry.mark_sent();
        let (account, file) = (self.account.clone(), self.file.id.clone());
        Some(match self.file.chunks.get(self.next) {
            Some(chunk) => StoreAction::Create {
                key: Key::FileChunk { account, file, n: self.next as u32 },
                value: chunk.clone(),
            },
            None => StoreAction::Create {
                key: Key::FileMeta { account, file },
                value: store::encode(&self.file.meta),
            },
        })
    }

    /// Takes the outcome of the last call.
    pub fn on_outcome(&mut self, now: Now, outcome: StoreOutcome) {
        if self.retry.record_outcome(now, &outcome) {
            self.next += 1;
        }
    }
}
