//! Follows the index of unfinished jobs and the claims.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use async_std::{future::timeout, task};
use futures::future::{Either, select};
use jobs::{
    JobId, OpenJob,
    key::{CLAIM_PREFIX, OPEN_PREFIX},
};
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
    let claims = cx.store.range(CLAIM_PREFIX).await?;
    let index = cx.store.range(OPEN_PREFIX).await?;
    cx.platform_answered();
    let open = index.entries.iter().filter_map(|it| open_job(cx, it)).collect();
    let claimed = claims.entries.iter().filter_map(claim).collect();
    if !on_change(IndexChange::Listed { open, claimed }) {
        return Ok(false);
    }
    let opened = cx.store.watch(OPEN_PREFIX, index.revision.next());
    let claimed = cx.store.watch(CLAIM_PREFIX, claims.revision.next());
    let until = cx.clock.now() + REREAD;
    loop {
        let next = select(Box::pin(opened.next()), Box::pin(claimed.next()));
        let Ok(next) = timeout(until.since(cx.clock.now()), next).await else { return Ok(true) };
        let (Either::Left((event, _)) | Either::Right((event, _))) = next;
        let change = match event {
            Some(WatchEvent::Put(entry)) if entry.key.starts_with(CLAIM_PREFIX) => {
                claim(&entry).map(|(id, owner)| IndexChange::Claimed(id, owner))
            }
            Some(WatchEvent::Put(entry)) => {
                open_job(cx, &entry).map(|(id, job)| IndexChange::Open(id, job))
            }
            Some(WatchEvent::Delete { key, .. }) if key.starts_with(CLAIM_PREFIX) => {
                JobId::of_claim(&key).map(IndexChange::ClaimEnded)
            }
            Some(WatchEvent::Delete { key, .. }) => JobId::of_open(&key).map(IndexChange::Closed),
            Some(WatchEvent::Reset) | None => return Ok(true),
        };
        if let Some(change) = change
            && !on_change(change)
        {
            return Ok(false);
        }
    }
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
