//! Follows the index of unfinished jobs and the claims.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use async_std::{future::timeout, task};
use jobs::{JobId, OpenJob, key::FOLLOWED_PREFIX};
use kv_store::WatchEvent;
use slog::warn;
use stdx::Name;

use crate::shared::Shared;

/// The pause before the index is read again after a failure.
const RETRY: Duration = Duration::from_millis(300);
/// How often the index is read again, in case the service has dropped a change that a watch should have shown.
const REREAD: Duration = Duration::from_secs(6);

/// A change of the index or of the claims.
#[derive(Debug)]
pub enum IndexChange {
    /// All unfinished jobs and all claims.
    Listed {
        /// The unfinished jobs.
        open: BTreeMap<JobId, OpenJob>,
        /// The jobs that are claimed, with the instance that did.
        claimed: BTreeMap<JobId, Name>,
    },
    /// A job was accepted, or its entry was written again.
    Open(JobId, OpenJob),
    /// A job has ended.
    Closed(JobId),
    /// A daemon has claimed a job.
    Claimed(JobId, Name),
    /// A claim has ended.
    ClaimEnded(JobId),
}

/// Follows the index of unfinished jobs and the claims until `on_change` returns `false`.
pub async fn follow(cx: Arc<Shared>, on_change: impl Fn(IndexChange) -> bool) {
    loop {
        match follow_once(&cx, &on_change).await {
            Ok(true) => {}
            Ok(false) => return,
            Err(e) => {
                warn!(cx.log, "index of jobs not read"; "error" => %e);
                task::sleep(RETRY).await;
            }
        }
    }
}

/// Follows the index until it should be read again; `false` if nobody wants to know more.
async fn follow_once(
    cx: &Shared,
    on_change: impl Fn(IndexChange) -> bool,
) -> kv_store::Result<bool> {
    let listing = cx.store.range(FOLLOWED_PREFIX).await?;
    cx.platform_answered();
    let open = listing.entries.iter().filter_map(|it| open_job(cx, it)).collect();
    let claimed = listing.entries.iter().filter_map(claim).collect();
    if !on_change(IndexChange::Listed { open, claimed }) {
        return Ok(false);
    }
    let changes = cx.store.watch(FOLLOWED_PREFIX, listing.revision.next());
    let until = cx.clock.now() + REREAD;
    loop {
        let next = changes.next();
        let Ok(event) = timeout(until.since(cx.clock.now()), next).await else { return Ok(true) };
        let change = match event {
            Some(WatchEvent::Put(entry)) => written(cx, &entry),
            Some(WatchEvent::Delete { key, .. }) => removed(&key),
            Some(WatchEvent::Reset) | None => return Ok(true),
        };
        if let Some(change) = change
            && !on_change(change)
        {
            return Ok(false);
        }
    }
}

fn written(cx: &Shared, entry: &kv_store::Entry) -> Option<IndexChange> {
    match claim(entry) {
        Some((id, owner)) => Some(IndexChange::Claimed(id, owner)),
        None => open_job(cx, entry).map(|(id, job)| IndexChange::Open(id, job)),
    }
}

fn removed(key: &str) -> Option<IndexChange> {
    let claim_ended = JobId::of_claim(key).map(IndexChange::ClaimEnded);
    claim_ended.or_else(|| JobId::of_open(key).map(IndexChange::Closed))
}

fn claim(entry: &kv_store::Entry) -> Option<(JobId, Name)> {
    let owner = Name::new(String::from_utf8_lossy(&entry.value));
    Some((JobId::of_claim(&entry.key)?, owner))
}

/// Reads an index entry; one that cannot be read is logged and left out.
pub fn open_job(cx: &Shared, entry: &kv_store::Entry) -> Option<(JobId, OpenJob)> {
    let id = JobId::of_open(&entry.key)?;
    match serde_json::from_slice(&entry.value) {
        Ok(job) => Some((id, job)),
        Err(e) => {
            warn!(cx.log, "index entry of a job cannot be read"; "key" => %entry.key, "error" => %e);
            None
        }
    }
}
