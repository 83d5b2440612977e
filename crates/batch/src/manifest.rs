//! The specification, identity and state of a job.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use stdx::{Name, value_type, wire_type};

use crate::{
    items::Counts,
    key::{FileId, JobId, Key},
};

wire_type! {
    /// The content of a submission.
    pub struct JobSpec {
        /// The account that owns the job.
        pub account: Name,
        /// The input file.
        pub file: FileId,
        /// The method and path of all requests, such as `POST /v1/completions`.
        pub endpoint: Name,
        /// The completion window of the job, in seconds.
        pub window_s: u64,
        /// Key-value pairs that the caller attaches to the job.
        pub metadata: BTreeMap<Name, Name>,
    }
}

value_type! {
    /// The state of a job. It only changes to a state that is further down in this list.
    #[derive(Copy, Serialize, Deserialize)]
    #[serde(rename_all = "snake_case")]
    pub enum JobState {
        /// Items may run.
        Open,
        /// The caller cancelled the job; its unfinished items are being ended.
        Cancelling,
        /// Every item has a final state.
        Ended,
        /// The job was never accepted: its submission was interrupted, and the window has ended since.
        Abandoned,
    }
}

wire_type! {
    /// The record of a job; the job is accepted once this record is created.
    pub struct JobManifest {
        /// The job.
        pub job: JobId,
        /// What was submitted.
        pub spec: JobSpec,
        /// Whether requests of the job may be repeated, as configured for the route at submission.
        pub idempotent: bool,
        /// The number of segments, one for each chunk of the file.
        pub segments: u32,
        /// The number of items.
        pub items: u64,
        /// When the job was submitted, in milliseconds since the Unix epoch.
        pub created_ms: u64,
        /// When the job's window ends, in milliseconds since the Unix epoch.
        pub deadline_ms: u64,
        /// The state.
        pub state: JobState,
        /// Whether the job was cancelled.
        pub cancelled: bool,
        /// The final counts; set when the job ends.
        pub counts: Option<Counts>,
    }
}

wire_type! {
    /// The index entry of an unfinished job.
    pub struct OpenJobEntry {
        /// The account that owns the job.
        pub account: Name,
        /// The number of items.
        pub items: u64,
        /// When the window of the submission that wrote this entry ends, in milliseconds since the Unix epoch.
        pub deadline_ms: u64,
    }
}

impl JobSpec {
    /// Derives the job's identity from the idempotency key, or from the content if there is none.
    pub fn job_id(&self, idempotency_key: Option<&str>) -> JobId {
        let text = match idempotency_key {
            Some(key) => serde_json::to_string(&("key", &self.account, key)),
            None => serde_json::to_string(&("content", self)),
        };
        // 128 bits of the digest suffice against accidental and deliberate collisions within one account.
        const ID_BYTES: usize = 16;
        let digest = Sha256::digest(text.expect("a specification encodes as JSON"));
        JobId(Name::from(hex::encode(&digest[..ID_BYTES])))
    }
}

impl JobManifest {
    /// Returns the key of the manifest.
    pub fn key(&self) -> Key {
        Key::Manifest { account: self.spec.account.clone(), job: self.job.clone() }
    }

    /// Returns whether the window has ended.
    pub fn is_expired(&self, unix_ms: u64) -> bool {
        unix_ms >= self.deadline_ms
    }

    /// Returns the manifest of the ended job.
    ///
    /// # Panics
    ///
    /// Panics if an item has no final state, or if the job has ended before.
    pub fn to_ended(&self, counts: Counts) -> Self {
        assert!(matches!(self.state, JobState::Open | JobState::Cancelling));
        assert_eq!(counts.total, self.items, "the counts must cover every item of the job");
        assert_eq!(
            counts.ended(),
            counts.total,
            "every item of an ended job must have a final state"
        );
        Self { state: JobState::Ended, counts: Some(counts), ..self.clone() }
    }
}
