//! Claims a job and reads what is stored of it.

use jobs::{JobId, JobRecord, JobRun, claim, model};
use kv_store::{Committed, LeaseId, Revision};
use stdx::Name;

use crate::shared::Shared;

/// Claims a job and reads what is stored of it; `None` if somebody else has it or it has ended.
///
/// # Errors
///
/// Fails if the service does not answer or a stored value cannot be read; the claim may have been made then.
pub async fn claim(
    cx: &Shared,
    id: &JobId,
    lease: LeaseId,
    route: Name,
) -> kv_store::Result<Option<JobRun>> {
    let transaction = claim::transaction(id, &cx.settings.instance, lease);
    match cx.store.commit(&transaction).await? {
        Committed::Won(_) => {}
        // An earlier call made the claim, and the job could not be read then.
        Committed::Lost(entries) if entries.iter().any(|it| is_own_claim(cx, it, lease)) => {}
        Committed::Lost(_) => return Ok(None),
        Committed::Unknown => {
            return Err(kv_store::Error::AnswerLost("the claim is not confirmed".to_owned()));
        }
    }
    load_job(cx, id, route).await
}

fn is_own_claim(cx: &Shared, entry: &kv_store::Entry, lease: LeaseId) -> bool {
    entry.lease == Some(lease) && entry.value == cx.settings.instance.as_bytes()
}

async fn load_job(cx: &Shared, id: &JobId, route: Name) -> kv_store::Result<Option<JobRun>> {
    let damaged = |key: &str, e: serde_json::Error| {
        kv_store::Error::Protocol(format!("the stored value {key} cannot be read: {e}"))
    };
    let Some(entry) = cx.store.get(&id.record()).await? else { return Ok(None) };
    let record: JobRecord =
        serde_json::from_slice(&entry.value).map_err(|e| damaged(&entry.key, e))?;
    if record.is_ended() {
        return Ok(None);
    }
    let mut items = Vec::with_capacity(record.total);
    for part in cx.store.range(&id.parts()).await?.entries {
        items.extend(model::items_of_part(&part.value).map_err(|e| damaged(&part.key, e))?);
    }
    let revision: Revision = entry.mod_revision;
    Ok(Some(JobRun::new(id.clone(), record, revision, route, items)))
}
