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

use super::{Request, Result, identity::Identity, read_body};
use crate::{clock, job_work::index, shared::Shared};

/// The bytes of results in one answer, which callers take up to a megabyte of.
const MAX_RESULT_BYTES: usize = 900_000;
/// The longest time that a caller is kept waiting for another result.
const MAX_WAIT: Duration = Duration::from_millis(900);
/// How many daemons are asked about a job: the one that claims it first, and the one that this names.
const MAX_OWNERS: usize = 2;
/// How often the end of a job is tried that others change at the same time.
const MAX_CANCEL_TRIES: u32 = 8;
/// When a caller should come back that found the store away.
const STORE_RETRY: Duration = Duration::from_millis(500);
/// When a caller should come back whose account has as many tokens waiting as it may.
const FULL_RETRY: Duration = Duration::from_secs(2);

/// A job as it is stored.
struct Stored {
    record: JobRecord,
    revision: Revision,
}

/// Accepts a job.
///
/// # Errors
///
/// Returns a problem if the job is not valid, does not fit, or may not have been stored.
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
        return Err(malformed("the request id cannot be the id of a job".to_owned()));
    };
    let body = read_body(&mut req).await?;
    let submission = Submission {
        id,
        account: identity.account.name.clone(),
        service,
        route: route.name.clone(),
        host: route.host.clone(),
        items: wire::parse_items(&body).map_err(|e| malformed(e.to_string()))?,
        terms,
        max_attempts: route.max_attempts,
        received_ms: clock::unix_millis(),
    };
    drop(body);
    let transaction = submission.transaction().map_err(|e| malformed(e.to_string()))?;
    if terms.max_waiting_tokens.is_some() {
        let open = open_jobs(&cx).await.map_err(store_problem)?;
        // A job that was accepted before is no new one; the transaction finds out where there is room.
        if !submission::fits_token_limit(&submission, open.iter())
            && read(&cx, &submission.id).await.map_err(store_problem)?.is_none()
        {
            let detail = "the account has as many tokens waiting as it may";
            return Err(Problem::new(ProblemKind::RateLimited, Execution::NotRun, detail)
                .with_retry_after(FULL_RETRY));
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
            hand_over(&cx, &submission.id, revision, transaction);
            Ok(accepted())
        }
        // The job exists: this is a resend, unless another account chose the same id.
        CommitOutcome::Lost(entries) => match entries.first().and_then(|it| stored(it).ok()) {
            Some(it) if it.record.account() == submission.account => Ok(accepted()),
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

/// Gives an accepted job to the daemon that claims it, so that this needs not read what was just written.
fn hand_over(cx: &Shared, id: &JobId, revision: Revision, transaction: Transaction) {
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
    let id = JobId::parse(id).ok_or_else(no_job)?;
    match call {
        JobCall::Results { after, wait, .. } => results(cx, identity, &id, after, wait).await,
        JobCall::Body { item, .. } => body(cx, identity, &id, &item).await,
        JobCall::Cancel { .. } => end(cx, identity, &id).await,
    }
}

async fn results(
    cx: &Shared,
    identity: &Identity,
    id: &JobId,
    after: usize,
    wait: Duration,
) -> Result<Response> {
    let wait = wait.min(MAX_WAIT);
    let told = ask_owner(cx, identity, id, &Wanted::Results { after, wait }).await?;
    let (total, results) = match told {
        Some(told) => (told.total as usize, read_results(told.content.iter().map(|it| &it[..]))?),
        None => stored_after(cx, identity, id, after, wait).await?,
    };
    let mut res = Response::new(StatusCode::Ok);
    res.set_body(wire::encode_results(total, after, &results));
    res.insert_header("content-type", "application/json");
    Ok(res)
}

/// What the owner of a job is asked for.
enum Wanted<'a> {
    Results { after: usize, wait: Duration },
    Body { item: &'a str },
}

/// Asks the daemon that runs a job; `None` if none is sure of it, so that the store must tell.
async fn ask_owner(
    cx: &Shared,
    identity: &Identity,
    id: &JobId,
    wanted: &Wanted<'_>,
) -> Result<Option<JobAnswer>> {
    let Some(peers) = cx.peers.get() else { return Ok(None) };
    let runners = cx.item_runners();
    let mut owner = claim::preferred_owner(id, &runners).cloned();
    for _ in 0..MAX_OWNERS {
        let Some(asked) = owner.take() else { return Ok(None) };
        let job = id.as_str().to_owned();
        let req = match wanted {
            Wanted::Results { after, wait } => JobRequest {
                job,
                after: u32::try_from(*after).unwrap_or(u32::MAX),
                wait_ms: wait.as_millis() as u32,
                ..JobRequest::default()
            },
            Wanted::Body { item } => {
                JobRequest { job, item: (*item).to_owned(), ..JobRequest::default() }
            }
        };
        let Some(answer) = peers.ask_about_job(&asked, req).await else {
            debug!(cx.log, "owner of a job did not answer"; "job" => id.as_str(), "owner" => %asked);
            return Ok(None);
        };
        if answer.status == i32::from(JobStatus::Known) {
            let is_own = answer.account == identity.account.name.to_string();
            return if is_own { Ok(Some(answer)) } else { Err(no_job()) };
        }
        owner =
            (!answer.owner.is_empty() && *answer.owner != *asked).then(|| Name::from(answer.owner));
    }
    Ok(None)
}

/// Reads the results of a job from the store. If there are no others yet, the answer waits, so that the caller does not ask
/// again at once.
async fn stored_after(
    cx: &Shared,
    identity: &Identity,
    id: &JobId,
    after: usize,
    wait: Duration,
) -> Result<(usize, Vec<ItemResult>)> {
    let (known, entries) = match known_here(cx, identity, id)? {
        Some(known) => (known, later_results(cx, id, after).await?),
        None => first_read(cx, identity, id, after).await?,
    };
    if entries.is_empty() && after < known.total {
        task::sleep(wait).await;
    }
    Ok((known.total, read_results(entries.iter().map(|it| &it.value[..]))?))
}

/// Reads as many results as one answer takes.
fn read_results<'a>(stored: impl Iterator<Item = &'a [u8]>) -> Result<Vec<ItemResult>> {
    let mut results: Vec<ItemResult> = Vec::new();
    let mut bytes = 0;
    for value in stored {
        bytes += value.len();
        if !results.is_empty() && bytes > MAX_RESULT_BYTES {
            break;
        }
        results.push(serde_json::from_slice(value).map_err(|e| damaged("of a result", &e))?);
    }
    Ok(results)
}

/// Reads the record of a job together with its results in one call of the store.
async fn first_read(
    cx: &Shared,
    identity: &Identity,
    id: &JobId,
    after: usize,
) -> Result<(Arc<JobRecord>, Vec<Entry>)> {
    let page =
        cx.store.page(&id.progress_prefix(), None, usize::MAX).await.map_err(store_problem)?;
    cx.platform_answered();
    let mut entries = page.entries.into_iter();
    let entry = entries.next().filter(|it| *it.key == id.record_key()).ok_or_else(no_job)?;
    let record = Arc::new(owned_by(identity, stored(&entry).map_err(store_problem)?)?.record);
    cx.known_jobs.keep_record(id, &record);
    let later: Vec<_> = entries.skip(after).collect();
    match later.is_empty() && page.more {
        true => Ok((record, later_results(cx, id, after).await?)),
        false => Ok((record, later)),
    }
}

async fn later_results(cx: &Shared, id: &JobId, after: usize) -> Result<Vec<Entry>> {
    let last = after.checked_sub(1).map(|it| id.result_key(it));
    let page = cx.store.page(&id.results_prefix(), last.as_deref(), usize::MAX).await;
    Ok(page.map_err(store_problem)?.entries)
}

async fn body(cx: &Shared, identity: &Identity, id: &JobId, item: &str) -> Result<Response> {
    if let Some(told) = ask_owner(cx, identity, id, &Wanted::Body { item }).await?
        && let Some(body) = told.content.first()
    {
        let mut res = Response::new(StatusCode::Ok);
        res.set_body(&body[..]);
        return Ok(res);
    }
    let known = known(cx, identity, id).await?;
    let items = match cx.known_jobs.items(id) {
        Some(items) => items,
        None => read_items(cx, id, &known).await?,
    };
    let Some(found) = items.iter().find(|it| it.id.as_str() == item) else {
        let detail = "the job has no such item";
        return Err(Problem::new(ProblemKind::NotFound, Execution::NotRun, detail));
    };
    let mut res = Response::new(StatusCode::Ok);
    res.set_body(found.body.0.as_slice());
    Ok(res)
}

async fn read_items(cx: &Shared, id: &JobId, record: &JobRecord) -> Result<Arc<[Item]>> {
    let mut items = Vec::with_capacity(record.total);
    for n in 0..record.parts {
        let part =
            cx.store.get(&id.part_key(n)).await.map_err(store_problem)?.ok_or_else(no_job)?;
        items.extend(model::items_of_part(&part.value).map_err(|e| damaged(&part.key, &e))?);
    }
    let items: Arc<[Item]> = items.into();
    cx.known_jobs.keep_items(id, &items);
    Ok(items)
}

/// Returns what never changes about a job: to whom it belongs and of what it consists.
async fn known(cx: &Shared, identity: &Identity, id: &JobId) -> Result<Arc<JobRecord>> {
    if let Some(it) = known_here(cx, identity, id)? {
        return Ok(it);
    }
    let record = Arc::new(owned(cx, identity, id).await?.record);
    cx.known_jobs.keep_record(id, &record);
    Ok(record)
}

/// Returns the same if it was read before.
fn known_here(cx: &Shared, identity: &Identity, id: &JobId) -> Result<Option<Arc<JobRecord>>> {
    match cx.known_jobs.record(id) {
        Some(it) if it.account() != identity.account.name => Err(no_job()),
        known => Ok(known),
    }
}

async fn end(cx: &Shared, identity: &Identity, id: &JobId) -> Result<Response> {
    let mut may_have_ended = false;
    for _ in 0..MAX_CANCEL_TRIES {
        let job = match owned(cx, identity, id).await {
            Err(_) if may_have_ended => break,
            read => read?,
        };
        if job.record.is_ended() {
            return Ok(Response::new(StatusCode::Ok));
        }
        let transaction = model::cancellation(id, &job.record, job.revision);
        let committed = match cx.store.commit(&transaction).await {
            Err(_) if may_have_ended => break,
            committed => committed.map_err(store_problem)?,
        };
        info!(cx.log, "job ended by its account"; "request" => id.as_str(), "outcome" => ?outcome_name(&committed));
        match committed {
            CommitOutcome::Won(_) => return Ok(Response::new(StatusCode::Ok)),
            // The owner stored a result meanwhile.
            CommitOutcome::Lost(_) => {}
            // From here on nobody may be told that nothing has happened.
            CommitOutcome::Unknown => may_have_ended = true,
        }
    }
    Err(Problem::new(
        ProblemKind::TargetTimeout,
        Execution::Unknown,
        "the store did not confirm the end of the job; send the call again",
    ))
}

async fn owned(cx: &Shared, identity: &Identity, id: &JobId) -> Result<Stored> {
    owned_by(identity, read(cx, id).await.map_err(store_problem)?.ok_or_else(no_job)?)
}

fn owned_by(identity: &Identity, job: Stored) -> Result<Stored> {
    if job.record.account() == identity.account.name { Ok(job) } else { Err(no_job()) }
}

async fn read(cx: &Shared, id: &JobId) -> kv_store::Result<Option<Stored>> {
    let entry = cx.store.get(&id.record_key()).await?;
    cx.platform_answered();
    entry.map(|it| stored(&it)).transpose()
}

fn stored(entry: &Entry) -> kv_store::Result<Stored> {
    let record = serde_json::from_slice(&entry.value)
        .map_err(|e| Error::Protocol(format!("{}: {e}", entry.key)))?;
    Ok(Stored { record, revision: entry.mod_revision })
}

async fn open_jobs(cx: &Shared) -> kv_store::Result<Vec<OpenJob>> {
    let listing = cx.store.range(OPEN_PREFIX).await?;
    let read = |entry: &Entry| index::decode_open_job(cx, entry).map(|(_, job)| job);
    Ok(listing.entries.iter().filter_map(read).collect())
}

fn accepted() -> Response {
    Response::new(StatusCode::Accepted)
}

fn outcome_name(committed: &CommitOutcome) -> &'static str {
    match committed {
        CommitOutcome::Won(_) => "stored",
        CommitOutcome::Lost(_) => "changed meanwhile",
        CommitOutcome::Unknown => "unknown",
    }
}

fn no_job() -> Problem {
    Problem::new(ProblemKind::NotFound, Execution::NotRun, "there is no such job")
}

fn malformed(detail: String) -> Problem {
    Problem::new(ProblemKind::MalformedRequest, Execution::NotRun, detail)
}

fn damaged(key: &str, error: &serde_json::Error) -> Problem {
    let detail = format!("the stored value {key} cannot be read: {error}");
    Problem::new(ProblemKind::Internal, Execution::NotRun, detail)
}

/// Returns the answer to a call that changed nothing because the store is away: writes of unknown outcome are no errors.
fn store_problem(error: Error) -> Problem {
    Problem::new(ProblemKind::StoreUnavailable, Execution::NotRun, error.to_string())
        .with_retry_after(STORE_RETRY)
}
