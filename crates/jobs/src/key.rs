//! The keys of a job in the key-value service.

use serde::{Deserialize, Serialize};
use stdx::{Name, value_type};

/// The common prefix of the index and the claims, so that daemons that run items can watch both with one call.
pub const INDEX_PREFIX: &str = "work/index/";
/// The prefix of the index of jobs with unfinished items.
pub const OPEN_PREFIX: &str = "work/index/open/";
/// The prefix of the claims; a claim is deleted when the lease of its owner ends.
const CLAIM_PREFIX: &str = "work/index/claim/";
const JOB_PREFIX: &str = "work/job/";

/// The maximum length of a job id, in bytes; it keeps all keys below the 200 bytes that the key-value service accepts.
pub const MAX_ID_BYTES: usize = 64;

value_type! {
    /// The id of a job, chosen by its submitter.
    #[derive(Serialize, Deserialize)]
    #[serde(transparent)]
    pub struct JobId(Name);
}

impl JobId {
    /// Parses an id; returns `None` if the text cannot be used in a key.
    pub fn parse(text: &str) -> Option<Self> {
        let is_valid = |it: u8| it.is_ascii_alphanumeric() || matches!(it, b'-' | b'_' | b'.');
        let fits = !text.is_empty() && text.len() <= MAX_ID_BYTES;
        (fits && text.bytes().all(is_valid)).then(|| Self(Name::new(text)))
    }

    /// Returns the id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the common prefix of the job's record and results; a listing returns them in this order.
    pub fn progress_prefix(&self) -> String {
        format!("{JOB_PREFIX}{}/progress/", self.0)
    }

    /// Returns the key of the job's record.
    pub fn record_key(&self) -> String {
        format!("{}record", self.progress_prefix())
    }

    /// Returns the key of a part of the job's items.
    pub fn part_key(&self, n: usize) -> String {
        format!("{}{n:04}", self.parts_prefix())
    }

    /// Returns the prefix of the parts of the job's items.
    pub fn parts_prefix(&self) -> String {
        format!("{JOB_PREFIX}{}/items/", self.0)
    }

    /// Returns the key of the result at a position.
    pub fn result_key(&self, position: usize) -> String {
        format!("{}{position:04}", self.results_prefix())
    }

    /// Returns the prefix of the job's results.
    pub fn results_prefix(&self) -> String {
        format!("{}results/", self.progress_prefix())
    }

    /// Returns the key of the partial outputs of the job's running items.
    pub fn checkpoint_key(&self) -> String {
        format!("{JOB_PREFIX}{}/checkpoint", self.0)
    }

    /// Returns the key of the job in the index of unfinished jobs.
    pub fn open_key(&self) -> String {
        format!("{OPEN_PREFIX}{}", self.0)
    }

    /// Returns the key of the claim on the job.
    pub fn claim_key(&self) -> String {
        format!("{CLAIM_PREFIX}{}", self.0)
    }

    /// Parses the job id from a key in the index of unfinished jobs.
    pub fn from_open_key(key: &str) -> Option<Self> {
        Self::parse(key.strip_prefix(OPEN_PREFIX)?)
    }

    /// Parses the job id from the key of a claim.
    pub fn from_claim_key(key: &str) -> Option<Self> {
        Self::parse(key.strip_prefix(CLAIM_PREFIX)?)
    }
}
