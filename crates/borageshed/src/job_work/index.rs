//! Follows the index of unfinished jobs and their claims.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use jobs::{JobId, OpenJob, key::INDEX_PREFIX};
use kv_store::Revision;
use platform::mirror::{EntryChange, WatchTiming};
use slog::{info, warn};
use stdx::Name;

use crate::shared::Shared;

/// How the index is followed. New jobs do not depend on its delay, since the daemon that accepts a job hands it over to its
/// preferred owner, but a job that has ended must be stopped within 3 s.
pub const INDEX_WATCH_TIMING: WatchTiming = WatchTiming {
    wait: Duration::from_secs(15),
    max_coalescing_delay: Duration::from_millis(1_200),
};

/// A change of the index or of the claims.
#[derive(Debug)]
pub enum IndexChange {
    /// All unfinished jobs and all claims. Replaces all earlier changes, some of which may have been missed.
    Listed {
        /// The unfinished jobs.
        open: BTreeMap<JobId, OpenJob>,
        /// The claimed jobs and their owners.
        claimed: BTreeMap<JobId, Name>,
        /// The revision of the key-value service up to which the listing is complete.
        revision: Revision,
    },
    /// A job was accepted, or its index entry was rewritten.
    Opened(JobId, OpenJob),
    /// A job has ended.
    Closed(JobId),
    /// A daemon has claimed a job.
    Claimed(JobId, Name),
    /// A claim was removed, or its lease ended.
    ClaimEnded(JobId),
    /// All changes up to this revision of the key-value service have been reported.
    CompleteTo(Revision),
}

/// Follows the index of unfinished jobs and their claims until `on_change` returns `false`.
pub async fn follow(cx: Arc<Shared>, on_change: impl Fn(IndexChange) -> bool) {
    let store = cx.platform_store().clone();
    store
        .follow_entries(INDEX_PREFIX, INDEX_WATCH_TIMING, |change| {
            let change = match change {
                EntryChange::Listed { entries, revision } => {
                    let open = entries.iter().filter_map(|it| decode_open_job(&cx, it)).collect();
                    let claimed = entries.iter().filter_map(decode_claim).collect();
                    Some(IndexChange::Listed { open, claimed, revision })
                }
                EntryChange::CompleteTo(revision) => Some(IndexChange::CompleteTo(revision)),
                EntryChange::Written(entry) => written_change(&cx, &entry),
                EntryChange::Removed(key) => removed_change(&key),
                EntryChange::Damaged(e) => {
                    warn!(cx.log, "cannot decode an index entry of a job"; "error" => %e);
                    None
                }
                EntryChange::Lost(e) => {
                    warn!(cx.log, "cannot read the index of jobs"; "error" => %e);
                    None
                }
                EntryChange::Regained => {
                    info!(cx.log, "index of jobs can be read again");
                    None
                }
            };
            cx.platform_answered();
            change.is_none_or(&on_change)
        })
        .await;
}

fn written_change(cx: &Shared, entry: &kv_store::Entry) -> Option<IndexChange> {
    match decode_claim(entry) {
        Some((id, owner)) => Some(IndexChange::Claimed(id, owner)),
        None => decode_open_job(cx, entry).map(|(id, job)| IndexChange::Opened(id, job)),
    }
}

fn removed_change(key: &str) -> Option<IndexChange> {
    let claim_ended = JobId::from_claim_key(key).map(IndexChange::ClaimEnded);
    claim_ended.or_else(|| JobId::from_open_key(key).map(IndexChange::Closed))
}

fn decode_claim(entry: &kv_store::Entry) -> Option<(JobId, Name)> {
    let owner = Name::new(String::from_utf8_lossy(&entry.value));
    Some((JobId::from_claim_key(&entry.key)?, owner))
}

/// Decodes an index entry; one that cannot be decoded is logged and skipped.
pub fn decode_open_job(cx: &Shared, entry: &kv_store::Entry) -> Option<(JobId, OpenJob)> {
    let id = JobId::from_open_key(&entry.key)?;
    match serde_json::from_slice(&entry.value) {
        Ok(job) => Some((id, job)),
        Err(e) => {
            warn!(cx.log, "cannot decode an index entry of a job"; "key" => %entry.key, "error" => %e);
            None
        }
    }
}
