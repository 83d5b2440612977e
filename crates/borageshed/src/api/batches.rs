//! Batch jobs over uploaded input files.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use batch::{
    Cancellation, FileMeta, JobId, JobManifest, JobSpec, JobState, JobStatus, Key, Span,
    StatusReader, Submission, SubmissionAnswer, manifest::OpenJobEntry, submit::AcceptanceStatus,
    submit::CancellationAnswer,
};
use fleet::BatchLimits;
use http_edge::problem::{Execution, Problem, ProblemKind};
use http_types::Response;
use serde::Deserialize;
use serde_json::{Value, json};
use stdx::Name;

use super::{
    Request, Result, STORE_TIMEOUT, admit,
    files::{json_answer, list_page, page_params, parse_input_id, result_ids},
    identity::Identity,
    plain, read_body, store_problem, store_timeout,
};
use crate::{
    batch_work::{Notice, executor, prepare},
    shared::Shared,
};

/// The maximum completion window of a job: 30 days.
const MAX_WINDOW_S: u64 = 30 * 24 * 3_600;
/// The number of index entries of open jobs that one read returns.
const OPEN_JOBS_PAGE_SIZE: usize = 100;

/// The body of a submission.
#[derive(Debug, Deserialize)]
struct Create {
    input_file_id: String,
    endpoint: String,
    #[serde(default)]
    completion_window: Option<String>,
    #[serde(default)]
    metadata: Option<BTreeMap<Name, Name>>,
}

/// Accepts a job.
///
/// # Errors
///
/// Returns a problem if the submission is invalid or over a limit, or if the store does not confirm it.
pub async fn create(mut req: Request) -> Result<Response> {
    let identity = admit(&req).await?;
    let idempotency_key = plain::idempotency_key(&req)?;
    let body = read_body(&mut req).await?;
    let cx = Arc::clone(req.state());
    let create: Create = serde_json::from_slice(&body)
        .map_err(|e| malformed_problem(format!("the body is no valid batch: {e}")))?;
    let (spec, meta) = build_spec(&cx, &identity, create).await?;
    let job = spec.job_id(idempotency_key.as_deref());
    if read_manifest(&cx, &spec.account, &job).await?.is_none() {
        // The limits do not apply to a resend of an accepted job.
        check_limits(&cx, &identity, &spec, &meta).await?;
    }
    let idempotent = prepare::is_idempotent(&identity.in_force, identity.origin(), &spec.endpoint)?;
    let mut submission = Submission::new(spec, idempotency_key.as_deref(), idempotent);
    let deadline = cx.clock.now() + STORE_TIMEOUT;
    let is_done = executor::drive(
        &cx,
        &mut submission,
        deadline,
        |it| it.answer().is_some(),
        Submission::poll,
        Submission::on_outcome,
    )
    .await;
    if !is_done {
        return Err(store_timeout(match submission.give_up() {
            AcceptanceStatus::NotAccepted => Execution::NotRun,
            AcceptanceStatus::Unknown => Execution::Unknown,
        }));
    }
    match submission.answer() {
        Some(SubmissionAnswer::Accepted(manifest)) => {
            cx.batch.notify(Notice::Accepted {
                account: manifest.spec.account.clone(),
                job: manifest.job.clone(),
            });
            let counts = manifest
                .counts
                .unwrap_or(batch::Counts { total: manifest.items, ..batch::Counts::default() });
            let status = JobStatus { manifest: (**manifest).clone(), counts };
            Ok(json_answer(batch_object(&status)))
        }
        Some(SubmissionAnswer::Conflict) => {
            Err(conflict("the Idempotency-Key was used for another batch"))
        }
        Some(SubmissionAnswer::Abandoned) => Err(conflict(
            "an earlier submission of this batch was never finished; use a new Idempotency-Key",
        )),
        Some(SubmissionAnswer::Unreadable) => Err(conflict("a record of the batch cannot be read")),
        Some(SubmissionAnswer::NoSuchFile) | None => {
            Err(malformed_problem("the input file is gone".to_owned()))
        }
        Some(SubmissionAnswer::WrongEndpoint(endpoint)) => {
            Err(malformed_problem(format!("the requests of the input file go to {endpoint}")))
        }
    }
}

/// Lists the caller's jobs in the order of their ids.
///
/// The manifest is the first key of each job, so reading a single key finds the next job. A list costs one read per job
/// and includes every accepted job at once, without an index that a crash could leave out of date. An index by time
/// would cost one more write per job and the same reads of manifests.
///
/// # Errors
///
/// Returns a problem if the list cannot be read.
pub async fn list(req: Request) -> Result<Response> {
    let identity = admit(&req).await?;
    let (limit, after) = page_params(&req)?;
    let cx = req.state();
    let account = Name::from(identity.account.name.to_string());
    let prefix = jobs_prefix(&account);
    let after_job = |job: &str| format!("{prefix}{job}0");
    let mut start = after.map(|it| after_job(it.trim_start_matches("batch_")));
    let mut data = Vec::new();
    let mut has_more = false;
    loop {
        let page = cx.store.page(&prefix, start.as_deref(), 1).await;
        let page = page.map_err(|e| store_problem(&e))?;
        let Some(entry) = page.entries.first() else { break };
        if data.len() as u32 == limit {
            has_more = true;
            break;
        }
        let Some(job) = entry.key[prefix.len()..].split('/').next() else { break };
        start = Some(after_job(job));
        let manifest = serde_json::from_slice::<JobManifest>(&entry.value).ok();
        let Some(manifest) = manifest.filter(|it| it.state != JobState::Abandoned) else {
            continue;
        };
        // Counts of an unfinished job take reads of all its segments, so a list has counts of ended jobs only.
        let counts = manifest
            .counts
            .unwrap_or(batch::Counts { total: manifest.items, ..batch::Counts::default() });
        data.push(batch_object(&JobStatus { manifest, counts }));
    }
    Ok(json_answer(list_page(data, has_more)))
}

/// Describes a job.
///
/// # Errors
///
/// Returns a problem if there is no such job, or if it cannot be read.
pub async fn retrieve(req: Request) -> Result<Response> {
    let identity = admit(&req).await?;
    let account = Name::from(identity.account.name.to_string());
    let status = read_status(req.state(), account, job_id_param(&req)?).await?;
    Ok(json_answer(batch_object(&status.ok_or_else(|| job_not_found(&req))?)))
}

/// Cancels a job.
///
/// # Errors
///
/// Returns a problem if there is no such job, or if the store does not confirm the cancellation.
pub async fn cancel(req: Request) -> Result<Response> {
    let identity = admit(&req).await?;
    let account = Name::from(identity.account.name.to_string());
    let job = job_id_param(&req)?;
    let cx = req.state();
    let mut cancellation = Cancellation::new(account.clone(), job.clone());
    let deadline = cx.clock.now() + STORE_TIMEOUT;
    let is_done = executor::drive(
        cx,
        &mut cancellation,
        deadline,
        |it| it.answer().is_some(),
        Cancellation::poll,
        Cancellation::on_outcome,
    )
    .await;
    match cancellation.answer() {
        Some(CancellationAnswer::Settled(_)) if is_done => {}
        Some(CancellationAnswer::NoSuchJob) => return Err(job_not_found(&req)),
        _ => return Err(store_timeout(Execution::Unknown)),
    }
    cx.batch.notify(Notice::Cancelled { account: account.clone(), job: job.clone() });
    let status = read_status(cx, account, job).await?;
    Ok(json_answer(batch_object(&status.ok_or_else(|| job_not_found(&req))?)))
}

async fn build_spec(
    cx: &Shared,
    identity: &Identity,
    create: Create,
) -> Result<(JobSpec, FileMeta)> {
    let account = Name::from(identity.account.name.to_string());
    let file_not_found =
        || malformed_problem(format!("there is no input file {:?}", create.input_file_id));
    let file = parse_input_id(&create.input_file_id).ok_or_else(file_not_found)?;
    let key = Key::FileMeta { account: account.clone(), file: file.clone() };
    let meta = executor::get(cx, &key).await.map_err(|e| store_problem(&e))?;
    let meta: FileMeta =
        meta.and_then(|it| serde_json::from_str(&it).ok()).ok_or_else(file_not_found)?;
    let path = meta.endpoint.split_once(' ').map_or(&*meta.endpoint, |(_, path)| path);
    if create.endpoint != path && create.endpoint != *meta.endpoint {
        return Err(malformed_problem(format!(
            "endpoint {:?} is not that of the input file, whose requests go to {}",
            create.endpoint, meta.endpoint
        )));
    }
    let limits = batch_limits(identity);
    let window_s = match &create.completion_window {
        Some(text) => parse_window(text).ok_or_else(|| {
            malformed_problem(format!(
                "completion_window {text:?} must be like \"24h\", up to 30 days"
            ))
        })?,
        None => limits.map_or(24 * 3_600, |it| it.default_window_s),
    };
    let metadata = create.metadata.unwrap_or_default();
    check_metadata(&metadata)?;
    let spec = JobSpec { account, file, endpoint: meta.endpoint.clone(), window_s, metadata };
    Ok((spec, meta))
}

fn check_metadata(metadata: &BTreeMap<Name, Name>) -> Result<()> {
    const MAX_PAIRS: usize = 16;
    const MAX_KEY_CHARS: usize = 64;
    const MAX_VALUE_CHARS: usize = 512;
    let fits = |(key, value): (&Name, &Name)| {
        key.chars().count() <= MAX_KEY_CHARS && value.chars().count() <= MAX_VALUE_CHARS
    };
    if metadata.len() <= MAX_PAIRS && metadata.iter().all(fits) {
        return Ok(());
    }
    Err(malformed_problem(format!(
        "metadata must have up to {MAX_PAIRS} pairs, keys up to {MAX_KEY_CHARS} and values up to {MAX_VALUE_CHARS} \
         characters"
    )))
}

fn batch_limits(identity: &Identity) -> Option<&BatchLimits> {
    identity.in_force.document().batch.get(identity.origin())
}

/// Checks a submission against the limits of its account.
///
/// Two concurrent submissions may both pass: the limits protect the fleet and are not an invariant.
async fn check_limits(
    cx: &Shared,
    identity: &Identity,
    spec: &JobSpec,
    meta: &FileMeta,
) -> Result<()> {
    let Some(limits) = batch_limits(identity) else { return Ok(()) };
    if meta.items() > u64::from(limits.max_items_per_job) {
        return Err(malformed_problem(format!(
            "the input file has {} items, more than the {} that a batch may have",
            meta.items(),
            limits.max_items_per_job
        )));
    }
    let mut open = 0;
    let mut after = None;
    loop {
        let span = Span::OpenJobs { after }.bounds();
        let page = cx.store.page(&span.prefix, span.after.as_deref(), OPEN_JOBS_PAGE_SIZE).await;
        let page = page.map_err(|e| store_problem(&e))?;
        let entries = page.entries.iter();
        open += entries
            .filter_map(|it| serde_json::from_slice::<OpenJobEntry>(&it.value).ok())
            .filter(|it| it.account == spec.account)
            .count();
        if open >= limits.max_open_jobs_per_account as usize {
            let detail = format!("the account has {open} unfinished batches, its limit");
            return Err(Problem::new(ProblemKind::RateLimited, Execution::NotRun, detail)
                .with_retry_after(Duration::from_secs(60)));
        }
        let last = page.entries.last().and_then(|it| match Key::parse(&it.key) {
            Some(Key::OpenJob { job }) => Some(job),
            _ => None,
        });
        match last {
            Some(last) if page.more => after = Some(last),
            _ => return Ok(()),
        }
    }
}

async fn read_manifest(cx: &Shared, account: &Name, job: &JobId) -> Result<Option<JobManifest>> {
    let key = Key::Manifest { account: account.clone(), job: job.clone() };
    let value = executor::get(cx, &key).await.map_err(|e| store_problem(&e))?;
    Ok(value.and_then(|it| serde_json::from_str(&it).ok()))
}

async fn read_status(cx: &Shared, account: Name, job: JobId) -> Result<Option<JobStatus>> {
    let mut reader = StatusReader::new(account, job);
    let deadline = cx.clock.now() + STORE_TIMEOUT;
    executor::drive(
        cx,
        &mut reader,
        deadline,
        |it| it.answer().is_some(),
        StatusReader::poll,
        StatusReader::on_outcome,
    )
    .await;
    match reader.answer() {
        Some(status) => Ok(status.cloned()),
        None => Err(store_timeout(Execution::NotRun)),
    }
}

/// Parses a duration such as `24h` into seconds.
fn parse_window(text: &str) -> Option<u64> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let unit_s = match unit {
        "s" => 1,
        "m" => 60,
        "h" => 3_600,
        "d" => 24 * 3_600,
        _ => return None,
    };
    let seconds = number.parse::<u64>().ok()?.checked_mul(unit_s)?;
    (1..=MAX_WINDOW_S).contains(&seconds).then_some(seconds)
}

fn format_window(seconds: u64) -> String {
    match seconds {
        it if it % 3_600 == 0 => format!("{}h", it / 3_600),
        it if it % 60 == 0 => format!("{}m", it / 60),
        it => format!("{it}s"),
    }
}

fn batch_object(status: &JobStatus) -> Value {
    let JobStatus { manifest, counts } = status;
    let spec = &manifest.spec;
    let (output, errors) = result_ids(&manifest.job);
    let is_ended = manifest.state == JobState::Ended;
    let state = match manifest.state {
        JobState::Open if counts.ended() == counts.total => "finalizing",
        JobState::Open => "in_progress",
        JobState::Cancelling => "cancelling",
        JobState::Ended if manifest.cancelled => "cancelled",
        JobState::Ended if counts.expired > 0 => "expired",
        JobState::Ended => "completed",
        JobState::Abandoned => "failed",
    };
    let endpoint = spec.endpoint.split_once(' ').map_or(&*spec.endpoint, |(_, path)| path);
    json!({
        "id": format!("batch_{}", manifest.job.0),
        "object": "batch",
        "endpoint": endpoint,
        "errors": null,
        "input_file_id": format!("file-{}", spec.file.0),
        "completion_window": format_window(spec.window_s),
        "status": state,
        "output_file_id": (is_ended && counts.done > 0).then_some(output),
        "error_file_id": (is_ended && counts.done < counts.total).then_some(errors),
        "created_at": manifest.created_ms / 1_000,
        "in_progress_at": manifest.created_ms / 1_000,
        "expires_at": manifest.deadline_ms / 1_000,
        "finalizing_at": null,
        "completed_at": null,
        "failed_at": null,
        "expired_at": null,
        "cancelling_at": null,
        "cancelled_at": null,
        "request_counts": {
            "total": counts.total,
            "completed": counts.done,
            "failed": counts.ended() - counts.done,
        },
        "metadata": spec.metadata,
    })
}

fn jobs_prefix(account: &str) -> String {
    let key = Key::Manifest { account: Name::new(account), job: JobId(Name::new("")) };
    key.to_string().trim_end_matches("/manifest").to_owned()
}

fn job_id_param(req: &Request) -> Result<JobId> {
    let id = req.param("id").unwrap_or_default();
    let job = id.strip_prefix("batch_").filter(|it| it.bytes().all(|b| b.is_ascii_hexdigit()));
    job.map(|it| JobId(Name::new(it))).ok_or_else(|| job_not_found(req))
}

fn job_not_found(req: &Request) -> Problem {
    let id = req.param("id").unwrap_or_default();
    Problem::new(ProblemKind::NotFound, Execution::NotRun, format!("there is no batch {id:?}"))
}

fn malformed_problem(detail: String) -> Problem {
    Problem::new(ProblemKind::MalformedRequest, Execution::NotRun, detail)
}

fn conflict(detail: &str) -> Problem {
    Problem::new(ProblemKind::Conflict, Execution::NotRun, detail)
}
