//! Batch jobs whose items come with their submission.

use std::{sync::Arc, time::Duration};

use async_std::task;
use fleet::{BatchTerms, HostRoute, QualifiedName};
use http_edge::problem::{Execution, Problem, ProblemKind};
use http_types::{Response, StatusCode};
use jobs::{
    Item, ItemResult, JobId, JobRecord, OpenJob, Submission, claim, key::OPEN_PREFIX, model,
    submission,
};
use kv_store::{CommitOutcome, Entry, Error, Revision, Transaction};
use peer::{JobAccepted, JobAnswer, JobRequest, JobStatus};
use platform::{ingress::RequestHints, jobs as wire, jobs::JobCall};
use slog::{debug, info};
use stdx::Name;

use super::{Request, Result, identity::Identity, kept_answer, read_body, reserve_for_parsing};
use crate::{clock, job_work::index, shared::Shared};

/// The maximum bytes of results in one answer. Callers accept answers of up to one megabyte.
const MAX_RESULT_BYTES: usize = 900_000;
/// The maximum time that a call waits for another result.
const MAX_RESULT_WAIT: Duration = Duration::from_millis(900);
/// How many daemons are asked about a job: its preferred owner, and the owner that this one names.
const MAX_OWNERS_ASKED: usize = 2;
/// The maximum number of attempts to cancel a job that is changed concurrently.
const MAX_CANCEL_ATTEMPTS: u32 = 8;
/// How many more times a submission is in memory while it is decoded, encoded for the store and sent there.
const COPIES_OF_SUBMISSION: usize = 4;
/// The `retry-after` of a refusal while the store is unavailable.
const STORE_RETRY_AFTER: Duration = Duration::from_millis(500);
/// The `retry-after` of a refusal because the account has reached its limit of waiting tokens.
const TOKEN_LIMIT_RETRY_AFTER: Duration = Duration::from_secs(2);

/// The stored record of a job and its revision.
struct StoredJob {
    record: JobRecord,
    revision: Revision,
}

/// Accepts a job.
///
/// # Errors
///
/// Returns a problem if the job is invalid, exceeds the limit of waiting tokens, or may not have been stored.
pub async fn submit(
    mut req: Request,
    hints: &RequestHints,
    route: &HostRoute,
    terms: BatchTerms,
    service: QualifiedName,
    identity: &Identity,
) -> Result<Response> {
    let cx = Arc::clone(req.state());
    let Some(id) = JobId::parse(&hints.request_id) else {
        return Err(malformed_problem("the request id cannot be the id of a job".to_owned()));
    };
    let body = read_body(&mut req).await?;
    reserve_for_parsing(&req, body.len() * COPIES_OF_SUBMISSION).await?;
    let submission = Submission {
        id,
        account: identity.account.name.clone(),
        service,
        route: route.name.clone(),
        host: route.host.clone(),
        items: wire::parse_items(&body).map_err(|e| malformed_problem(e.to_string()))?,
        terms,
        max_attempts: route.max_attempts,
        received_ms: clock::unix_millis(),
    };
    drop(body);
    let transaction = submission.transaction().map_err(|e| malformed_problem(e.to_string()))?;
    if terms.max_waiting_tokens.is_some() {
        let open = read_open_jobs(&cx).await.map_err(store_problem)?;
        // A resend of an accepted job is not refused. If the limit has room, the transaction detects the resend.
        if !submission::fits_token_limit(&submission, open.iter())
            && read_job(&cx, &submission.id).await.map_err(store_problem)?.is_none()
        {
            let detail = "the account has as many tokens waiting as it may";
            return Err(Problem::new(ProblemKind::RateLimited, Execution::NotRun, detail)
                .with_retry_after(TOKEN_LIMIT_RETRY_AFTER));
        }
    }
    let committed = cx.store.commit(&transaction).await.map_err(store_problem)?;
    info!(
        cx.log, "job submitted";
        "request" => submission.id.as_str(), "account" => %submission.account,
        "items" => submission.items.len(), "tokens" => submission.tokens(), "outcome" => ?outcome_name(&committed)
    );
    match committed {
        CommitOutcome::Won(revision) => {
            hand_over_job(&cx, &submission.id, revision, transaction);
            Ok(accepted_answer())
        }
        // The job exists: this is a resend, unless another account chose the same id.
        CommitOutcome::Lost(entries) => match entries.first().and_then(|it| decode_job(it).ok()) {
            Some(it) if it.record.account() == submission.account => Ok(accepted_answer()),
            _ => Err(Problem::new(
                ProblemKind::Conflict,
                Execution::NotRun,
                "another job has this id",
            )),
        },
        CommitOutcome::Unknown => Err(Problem::new(
            ProblemKind::TargetTimeout,
            Execution::Unknown,
            "the store did not say whether the job was accepted; send it again",
        )),
    }
}

/// Sends an accepted job to its preferred owner, which then need not read what was just written.
fn hand_over_job(cx: &Shared, id: &JobId, revision: Revision, transaction: Transaction) {
    let runners = cx.item_runners();
    let (Some(peers), Some(owner)) = (cx.peers.get(), claim::preferred_owner(id, &runners)) else {
        return;
    };
    let mut job =
        JobAccepted { job: id.as_str().to_owned(), revision: revision.0, ..JobAccepted::default() };
    for write in transaction.writes {
        let value = write.value.into();
        match &*write.key {
            key if *key == *id.record_key() => job.record = value,
            key if *key == *id.open_key() => job.open = value,
            _ => job.parts.push(value),
        }
    }
    peers.hand_over(owner, job);
}

/// Answers a call that concerns an accepted job.
///
/// # Errors
///
/// Returns a problem if there is no such job or the store does not answer.
pub async fn respond(cx: &Shared, identity: &Identity, call: JobCall) -> Result<Response> {
    let id = match &call {
        JobCall::Results { id, .. } | JobCall::Body { id, .. } | JobCall::Cancel { id } => id,
    };
    let id = JobId::parse(id).ok_or_else(job_not_found)?;
    match call {
        JobCall::Results { after, wait, .. } => job_results(cx, identity, &id, after, wait).await,
        JobCall::Body { item, .. } => item_body(cx, identity, &id, &item).await,
        JobCall::Cancel { .. } => cancel(cx, identity, &id).await,
    }
}

async fn job_results(
    cx: &Shared,
    identity: &Identity,
    id: &JobId,
    after: usize,
    wait: Duration,
) -> Result<Response> {
    let wait = wait.min(MAX_RESULT_WAIT);
    let answer = ask_owner(cx, identity, id, &OwnerQuery::Results { after, wait }).await?;
    let (total, results) = match answer {
        Some(answer) => {
            (answer.total as usize, decode_results(answer.content.iter().map(|it| &it[..]))?)
        }
        None => wait_for_stored_results(cx, identity, id, after, wait).await?,
    };
    let mut res = kept_answer(cx, wire::encode_results(total, after, &results))?;
    res.insert_header("content-type", "application/json");
    Ok(res)
}

/// A query to the owner of a job.
enum OwnerQuery<'a> {
    Results { after: usize, wait: Duration },
    Body { item: &'a str },
}

/// Asks the daemon that runs a job. Returns `None` if no daemon is certain to own the job; the store must be read then.
async fn ask_owner(
    cx: &Shared,
    identity: &Identity,
    id: &JobId,
    query: &OwnerQuery<'_>,
) -> Result<Option<JobAnswer>> {
    let Some(peers) = cx.peers.get() else { return Ok(None) };
    let runners = cx.item_runners();
    let mut owner = claim::preferred_owner(id, &runners).cloned();
    for _ in 0..MAX_OWNERS_ASKED {
        let Some(daemon) = owner.take() else { return Ok(None) };
        let job = id.as_str().to_owned();
        let req = match query {
            OwnerQuery::Results { after, wait } => JobRequest {
                job,
                after: u32::try_from(*after).unwrap_or(u32::MAX),
                wait_ms: wait.as_millis() as u32,
                ..JobRequest::default()
            },
            OwnerQuery::Body { item } => {
                JobRequest { job, item: (*item).to_owned(), ..JobRequest::default() }
            }
        };
        let Some(answer) = peers.ask_about_job(&daemon, req).await else {
            debug!(cx.log, "owner of a job did not answer"; "job" => id.as_str(), "owner" => %daemon);
            return Ok(None);
        };
        if answer.status == i32::from(JobStatus::Known) {
            let is_own = answer.account == identity.account.name.to_string();
            return if is_own { Ok(Some(answer)) } else { Err(job_not_found()) };
        }
        owner = (!answer.owner.is_empty() && *answer.owner != *daemon)
            .then(|| Name::from(answer.owner));
    }
    Ok(None)
}

/// Reads the results of a job from the store. If there are no new ones yet, waits before returning, so that the caller
/// does not ask again at once.
async fn wait_for_stored_results(
    cx: &Shared,
    identity: &Identity,
    id: &JobId,
    after: usize,
    wait: Duration,
) -> Result<(usize, Vec<ItemResult>)> {
    let (known, entries) = match cached_record(cx, identity, id)? {
        Some(known) => (known, read_results_after(cx, id, after).await?),
        None => read_record_and_results(cx, identity, id, after).await?,
    };
    if entries.is_empty() && after < known.total {
        task::sleep(wait).await;
    }
    Ok((known.total, decode_results(entries.iter().map(|it| &it.value[..]))?))
}

/// Decodes as many results as fit into one answer.
fn decode_results<'a>(stored: impl Iterator<Item = &'a [u8]>) -> Result<Vec<ItemResult>> {
    let mut results: Vec<ItemResult> = Vec::new();
    let mut bytes = 0;
    for value in stored {
        bytes += value.len();
        if !results.is_empty() && bytes > MAX_RESULT_BYTES {
            break;
        }
        results.push(serde_json::from_slice(value).map_err(|e| damaged_value("of a result", &e))?);
    }
    Ok(results)
}

/// Reads the record of a job together with its results in one call to the store.
async fn read_record_and_results(
    cx: &Shared,
    identity: &Identity,
    id: &JobId,
    after: usize,
) -> Result<(Arc<JobRecord>, Vec<Entry>)> {
    let page =
        cx.store.page(&id.progress_prefix(), None, usize::MAX).await.map_err(store_problem)?;
    cx.platform_answered();
    let mut entries = page.entries.into_iter();
    let entry = entries.next().filter(|it| *it.key == id.record_key()).ok_or_else(job_not_found)?;
    let record =
        Arc::new(check_account(identity, decode_job(&entry).map_err(store_problem)?)?.record);
    cx.job_cache.insert_record(id, &record);
    let later: Vec<_> = entries.skip(after).collect();
    match later.is_empty() && page.more {
        true => Ok((record, read_results_after(cx, id, after).await?)),
        false => Ok((record, later)),
    }
}

async fn read_results_after(cx: &Shared, id: &JobId, after: usize) -> Result<Vec<Entry>> {
    let last = after.checked_sub(1).map(|it| id.result_key(it));
    let page = cx.store.page(&id.results_prefix(), last.as_deref(), usize::MAX).await;
    Ok(page.map_err(store_problem)?.entries)
}

async fn item_body(cx: &Shared, identity: &Identity, id: &JobId, item: &str) -> Result<Response> {
    if let Some(answer) = ask_owner(cx, identity, id, &OwnerQuery::Body { item }).await?
        && let Some(body) = answer.content.first()
    {
        return kept_answer(cx, body.to_vec());
    }
    let known = job_record(cx, identity, id).await?;
    let items = match cx.job_cache.items(id) {
        Some(items) => items,
        None => read_items(cx, id, &known).await?,
    };
    let Some(found) = items.iter().find(|it| it.id.as_str() == item) else {
        let detail = "the job has no such item";
        return Err(Problem::new(ProblemKind::NotFound, Execution::NotRun, detail));
    };
    kept_answer(cx, found.body.0.clone())
}

async fn read_items(cx: &Shared, id: &JobId, record: &JobRecord) -> Result<Arc<[Item]>> {
    let mut items = Vec::with_capacity(record.total);
    for n in 0..record.parts {
        let part = cx
            .store
            .get(&id.part_key(n))
            .await
            .map_err(store_problem)?
            .ok_or_else(job_not_found)?;
        items.extend(model::items_of_part(&part.value).map_err(|e| damaged_value(&part.key, &e))?);
    }
    let items: Arc<[Item]> = items.into();
    cx.job_cache.insert_items(id, &items);
    Ok(items)
}

/// Returns a record of a job that may be outdated. Use only what never changes: its account and its items.
async fn job_record(cx: &Shared, identity: &Identity, id: &JobId) -> Result<Arc<JobRecord>> {
    if let Some(it) = cached_record(cx, identity, id)? {
        return Ok(it);
    }
    let record = Arc::new(read_owned_job(cx, identity, id).await?.record);
    cx.job_cache.insert_record(id, &record);
    Ok(record)
}

/// Returns the record of a job if it was read before; it may be outdated.
fn cached_record(cx: &Shared, identity: &Identity, id: &JobId) -> Result<Option<Arc<JobRecord>>> {
    match cx.job_cache.record(id) {
        Some(it) if it.account() != identity.account.name => Err(job_not_found()),
        known => Ok(known),
    }
}

async fn cancel(cx: &Shared, identity: &Identity, id: &JobId) -> Result<Response> {
    let mut may_be_cancelled = false;
    for _ in 0..MAX_CANCEL_ATTEMPTS {
        let job = match read_owned_job(cx, identity, id).await {
            Err(_) if may_be_cancelled => break,
            read => read?,
        };
        if job.record.is_ended() {
            return Ok(Response::new(StatusCode::Ok));
        }
        let transaction = model::cancellation(id, &job.record, job.revision);
        let committed = match cx.store.commit(&transaction).await {
            Err(_) if may_be_cancelled => break,
            committed => committed.map_err(store_problem)?,
        };
        info!(cx.log, "job ended by its account"; "request" => id.as_str(), "outcome" => ?outcome_name(&committed));
        match committed {
            CommitOutcome::Won(_) => return Ok(Response::new(StatusCode::Ok)),
            // The owner stored a result in the meantime; try again with the new revision.
            CommitOutcome::Lost(_) => {}
            // The job may be cancelled: from here on, no error may say that nothing has changed.
            CommitOutcome::Unknown => may_be_cancelled = true,
        }
    }
    Err(Problem::new(
        ProblemKind::TargetTimeout,
        Execution::Unknown,
        "the store did not confirm the end of the job; send the call again",
    ))
}

async fn read_owned_job(cx: &Shared, identity: &Identity, id: &JobId) -> Result<StoredJob> {
    check_account(
        identity,
        read_job(cx, id).await.map_err(store_problem)?.ok_or_else(job_not_found)?,
    )
}

fn check_account(identity: &Identity, job: StoredJob) -> Result<StoredJob> {
    if job.record.account() == identity.account.name { Ok(job) } else { Err(job_not_found()) }
}

async fn read_job(cx: &Shared, id: &JobId) -> kv_store::Result<Option<StoredJob>> {
    let entry = cx.store.get(&id.record_key()).await?;
    cx.platform_answered();
    entry.map(|it| decode_job(&it)).transpose()
}

fn decode_job(entry: &Entry) -> kv_store::Result<StoredJob> {
    let record = serde_json::from_slice(&entry.value)
        .map_err(|e| Error::Protocol(format!("{}: {e}", entry.key)))?;
    Ok(StoredJob { record, revision: entry.mod_revision })
}

async fn read_open_jobs(cx: &Shared) -> kv_store::Result<Vec<OpenJob>> {
    let listing = cx.store.range(OPEN_PREFIX).await?;
    let decode = |entry: &Entry| index::decode_open_job(cx, entry).map(|(_, job)| job);
    Ok(listing.entries.iter().filter_map(decode).collect())
}

fn accepted_answer() -> Response {
    Response::new(StatusCode::Accepted)
}

fn outcome_name(committed: &CommitOutcome) -> &'static str {
    match committed {
        CommitOutcome::Won(_) => "stored",
        CommitOutcome::Lost(_) => "changed meanwhile",
        CommitOutcome::Unknown => "unknown",
    }
}

fn job_not_found() -> Problem {
    Problem::new(ProblemKind::NotFound, Execution::NotRun, "there is no such job")
}

fn malformed_problem(detail: String) -> Problem {
    Problem::new(ProblemKind::MalformedRequest, Execution::NotRun, detail)
}

fn damaged_value(key: &str, error: &serde_json::Error) -> Problem {
    let detail = format!("the stored value {key} cannot be read: {error}");
    Problem::new(ProblemKind::Internal, Execution::NotRun, detail)
}

/// Returns the problem for a call that changed nothing because the store is unavailable. Writes of unknown outcome are
/// not errors.
fn store_problem(error: Error) -> Problem {
    Problem::new(ProblemKind::StoreUnavailable, Execution::NotRun, error.to_string())
        .with_retry_after(STORE_RETRY_AFTER)
}
