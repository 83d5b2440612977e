//! Partial outputs of running items, stored so that a restart does not lose them.
//!
//! An item occupies its slot for seconds. When all daemons lose power, or when the owner of a job is cut off, the next owner
//! continues its items after the last stored event instead of running them from the start.

use std::{collections::BTreeMap, time::Duration};

use stdx::{Name, Timestamp, wire_type};

/// The time between two transactions that store only partial outputs. Outputs that are stored along with results cost no
/// further call of the key-value service.
pub const CHECKPOINT_INTERVAL: Duration = Duration::from_millis(1_500);
/// The age from which partial outputs are stored along with the results or partial outputs of other jobs.
const MIN_SHARED_INTERVAL: Duration = Duration::from_millis(800);
/// The maximum size of the texts in one checkpoint, in bytes; it leaves room in a transaction for results.
const MAX_TEXT_BYTES: usize = 256 << 10;

wire_type! {
    /// The output of an item up to a whole event, after which another run can continue.
    pub struct PartialOutput {
        /// The data of the events, separated by line feeds.
        pub text: String,
        /// The number of events.
        pub events: u64,
        /// The id of the last event.
        pub last_event: u64,
        /// The software version of the target that began the output; `None` if an earlier release stored it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub version: Option<Name>,
    }
}

wire_type! {
    /// The partial outputs of a job, by the index of the item.
    #[derive(Default)]
    pub struct Checkpoint {
        /// The outputs.
        pub items: BTreeMap<usize, PartialOutput>,
    }
}

impl Checkpoint {
    /// Collects the outputs that fit into one checkpoint, the longest first, since they save the most time.
    pub fn collect(outputs: impl IntoIterator<Item = (usize, PartialOutput)>) -> Self {
        let mut outputs: Vec<_> = outputs.into_iter().collect();
        outputs.sort_by_key(|(index, it)| (std::cmp::Reverse(it.events), *index));
        let mut bytes = 0;
        let fitting = outputs.into_iter().filter(|(_, it)| {
            let fits = bytes + it.text.len() <= MAX_TEXT_BYTES;
            bytes += if fits { it.text.len() } else { 0 };
            fits
        });
        Self { items: fitting.collect() }
    }

    /// Returns the size of the texts, in bytes.
    pub fn bytes(&self) -> usize {
        self.items.values().map(|it| it.text.len()).sum()
    }

    /// Decodes a stored checkpoint.
    ///
    /// # Errors
    ///
    /// Fails if the value is not a checkpoint.
    pub fn decode(value: &[u8]) -> serde_json::Result<Self> {
        serde_json::from_slice(value)
    }
}

/// Decides when partial outputs are stored without results.
#[derive(Debug, Clone)]
pub struct CheckpointTimer {
    due_at: Timestamp,
}

impl CheckpointTimer {
    /// Starts the first interval.
    pub fn new(now: Timestamp) -> Self {
        Self { due_at: now + CHECKPOINT_INTERVAL }
    }

    /// Returns whether partial outputs should be stored even if there are no results to store.
    pub fn is_due(&self, now: Timestamp) -> bool {
        self.due_at <= now
    }

    /// Returns when partial outputs should be stored even if there are no results to store.
    pub fn due_at(&self) -> Timestamp {
        self.due_at
    }

    /// Returns whether partial outputs should be stored in a transaction that other jobs need.
    pub fn may_join(&self, now: Timestamp) -> bool {
        self.due_at <= now + (CHECKPOINT_INTERVAL - MIN_SHARED_INTERVAL)
    }

    /// Starts the next interval.
    pub fn restart(&mut self, now: Timestamp) {
        self.due_at = now + CHECKPOINT_INTERVAL;
    }
}
