//! Claims a job and reads its stored data.

use std::sync::Arc;

use jobs::{
    Checkpoint, Discovery, Item, JobId, JobRecord, JobRun, JobTimes, OpenJob,
    claim::{self, ClaimState},
    model,
};
use kv_store::{CommitOutcome, Entry, LeaseId, Revision};
use peer::JobAccepted;
use slog::warn;
use stdx::Name;

use crate::{clock, shared::Shared};

/// The maximum number of attempts at a claim whose record changes concurrently.
const MAX_CLAIM_ATTEMPTS: u32 = 4;

/// A job that was handed over by the daemon that accepted it.
#[derive(Debug)]
pub struct HandedOverJob {
    /// The id of the job.
    pub id: JobId,
    /// Its entry in the index of unfinished jobs.
    pub open: OpenJob,
    /// The revision at which the job was accepted.
    pub revision: Revision,
    record: JobRecord,
    items: Vec<Item>,
}

impl HandedOverJob {
    /// Decodes a job that was handed over.
    ///
    /// # Errors
    ///
    /// Fails if the id is not valid or a value cannot be decoded.
    pub fn decode(job: &JobAccepted) -> serde_json::Result<Self> {
        let Some(id) = JobId::parse(&job.job) else {
            return Err(serde::de::Error::custom("the id is not valid"));
        };
        let mut items = Vec::new();
        for part in &job.parts {
            items.extend(model::items_of_part(part)?);
        }
        Ok(Self {
            id,
            open: serde_json::from_slice(&job.open)?,
            record: serde_json::from_slice(&job.record)?,
            revision: Revision(job.revision),
            items,
        })
    }
}

/// What a claim found.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// The job is claimed by this daemon.
    Claimed(Box<ClaimedJob>),
    /// Another daemon has claimed the job.
    ClaimedElsewhere,
    /// The job has ended.
    Ended,
}

/// A job that this daemon has just claimed.
#[derive(Debug)]
pub struct ClaimedJob {
    /// The job, as it is stored.
    pub run: JobRun,
    /// The stored partial outputs.
    pub checkpoint: Checkpoint,
}

/// Claims a job that was handed over; if its record has changed since, reads the job from the store.
///
/// # Errors
///
/// Fails in the same cases as [`claim`].
pub async fn claim_handed_over(
    cx: &Shared,
    lease: LeaseId,
    handed_over: HandedOverJob,
    discovery: Discovery,
) -> kv_store::Result<ClaimOutcome> {
    let HandedOverJob { id, open, record, revision, items } = handed_over;
    let transaction = claim::first_claim(&id, &cx.settings.instance, lease, revision);
    match cx.store.commit(&transaction).await? {
        CommitOutcome::Won(_) => {
            let times = job_times(cx, &record, discovery);
            let run = JobRun::new(id, record, revision, open.route, items, Vec::new(), times);
            let claimed = ClaimedJob { run, checkpoint: Checkpoint::default() };
            Ok(ClaimOutcome::Claimed(Box::new(claimed)))
        }
        CommitOutcome::Lost(_) => claim(cx, &id, lease, open.route, discovery).await,
        CommitOutcome::Unknown => Err(unconfirmed_claim()),
    }
}

/// Claims a job and reads its stored data, unless another daemon has claimed it or it has ended.
///
/// # Errors
///
/// Fails if the key-value service does not answer or a stored value cannot be decoded; the claim may have been stored even so.
pub async fn claim(
    cx: &Shared,
    id: &JobId,
    lease: LeaseId,
    route: Name,
    discovery: Discovery,
) -> kv_store::Result<ClaimOutcome> {
    let own = &cx.settings.instance;
    let mut known = cx.store.get(&id.record_key()).await?;
    let mut claimed_at = Revision(0);
    for _ in 0..MAX_CLAIM_ATTEMPTS {
        let Some(entry) = known else { return Ok(ClaimOutcome::Ended) };
        let record = decode_record(&entry)?;
        if record.is_ended() {
            return Ok(ClaimOutcome::Ended);
        }
        let takeover =
            claim::takeover(id, own, lease, claimed_at, entry.mod_revision, &entry.value);
        let entries = match cx.store.commit(&takeover).await? {
            CommitOutcome::Won(revision) => {
                return load(cx, id, record, revision, route, discovery).await;
            }
            CommitOutcome::Unknown => return Err(unconfirmed_claim()),
            CommitOutcome::Lost(entries) => entries,
        };
        let stored_claim = entries.iter().find(|it| *it.key == *id.claim_key());
        let state = claim::claim_state(stored_claim, own, lease);
        known = entries.into_iter().find(|it| *it.key == *id.record_key());
        claimed_at = match (state, &known) {
            // An earlier call stored the claim but could not read the job.
            (ClaimState::Held, Some(entry)) => {
                let record = decode_record(entry)?;
                if record.is_ended() {
                    return Ok(ClaimOutcome::Ended);
                }
                let revision = entry.mod_revision;
                return load(cx, id, record, revision, route, discovery).await;
            }
            (ClaimState::Held, None) => return Ok(ClaimOutcome::Ended),
            (ClaimState::Foreign, _) => return Ok(ClaimOutcome::ClaimedElsewhere),
            (ClaimState::Former(revision), _) => revision,
            // The record has changed since it was read.
            (ClaimState::Free, _) => Revision(0),
        };
    }
    Err(unconfirmed_claim())
}

fn decode_record(entry: &Entry) -> kv_store::Result<JobRecord> {
    serde_json::from_slice(&entry.value).map_err(|e| decode_error(&entry.key, &e))
}

fn decode_error(key: &str, error: &serde_json::Error) -> kv_store::Error {
    kv_store::Error::Protocol(format!("the stored value {key} cannot be read: {error}"))
}

fn unconfirmed_claim() -> kv_store::Error {
    kv_store::Error::AnswerLost("the claim is not confirmed".to_owned())
}

fn job_times(cx: &Shared, record: &JobRecord, discovery: Discovery) -> JobTimes {
    JobTimes::of(record, discovery, cx.clock.now(), clock::unix_millis())
}

/// Reads the items, stored results and partial outputs of a claimed job.
async fn load(
    cx: &Shared,
    id: &JobId,
    record: JobRecord,
    revision: Revision,
    route: Name,
    discovery: Discovery,
) -> kv_store::Result<ClaimOutcome> {
    let mut items = Vec::with_capacity(record.total);
    for part in cx.store.range(&id.parts_prefix()).await?.entries {
        items.extend(model::items_of_part(&part.value).map_err(|e| decode_error(&part.key, &e))?);
    }
    let stored = match record.listed.is_empty() {
        true => Vec::new(),
        false => stored_results(cx, id, record.listed.len()).await?,
    };
    let times = job_times(cx, &record, discovery);
    let run = JobRun::new(id.clone(), record, revision, route, items, stored, times);
    let checkpoint = read_checkpoint(cx, id).await?;
    Ok(ClaimOutcome::Claimed(Box::new(ClaimedJob { run, checkpoint })))
}

/// Reads the stored partial outputs. Without them, items run from the start, so a value that cannot be decoded does no harm.
async fn read_checkpoint(cx: &Shared, id: &JobId) -> kv_store::Result<Checkpoint> {
    let Some(entry) = cx.store.get(&id.checkpoint_key()).await? else {
        return Ok(Checkpoint::default());
    };
    Ok(Checkpoint::decode(&entry.value).unwrap_or_else(|e| {
        warn!(cx.log, "partial outputs cannot be decoded"; "job" => id.as_str(), "error" => %e);
        Checkpoint::default()
    }))
}

/// Reads the first `count` stored results, which are those that the record lists.
async fn stored_results(cx: &Shared, id: &JobId, count: usize) -> kv_store::Result<Vec<Arc<[u8]>>> {
    let listing = cx.store.range(&id.results_prefix()).await?;
    let stored: Vec<Arc<[u8]>> =
        listing.entries.iter().take(count).map(|it| Arc::from(it.value.as_slice())).collect();
    match stored.len() == count {
        true => Ok(stored),
        false => {
            Err(kv_store::Error::Protocol(format!("{} lacks stored results", id.results_prefix())))
        }
    }
}
