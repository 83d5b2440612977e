//! Files: input files of batch jobs, and the output and error files of ended jobs.
//!
//! | id | file |
//! |---|---|
//! | `file-<sha256>` | an input file |
//! | `file-output-<job>` | the answers of a job, in input order |
//! | `file-errors-<job>` | one line for each item of a job that has no answer, in input order |

use std::{collections::BTreeMap, io, sync::Arc, time::Duration};

use async_std::task;
use batch::{
    FileId, FileMeta, FileUpload, JobId, JobManifest, JobState, Key, ResultFile, ResultReader,
    ResultStep, SplitFile, input,
};
use bytes::Bytes;
use http_edge::problem::{Execution, Problem, ProblemKind};
use http_types::Response;
use multer::Multipart;
use serde_json::{Value, json};
use stdx::{Name, wire_type};

use super::{Request, Result, admit, read_body, reserve_for_parsing, store_problem, store_timeout};
use crate::{
    answer::{set_body, streamed_body},
    batch_work::executor,
    clock,
    shared::Shared,
};

/// The maximum number of files or jobs in one page of a list.
const MAX_PAGE_SIZE: u32 = 100;
/// How long a download waits for the key-value service before it is aborted.
const CONTENT_STORE_TIMEOUT: Duration = Duration::from_secs(30);

wire_type! {
    /// The index entry of an input file; files are listed by a range over the entries of an account.
    ///
    /// The chunks of a file hold up to 256 KiB and precede its meta record in key order, so a range over the files
    /// themselves would read all of them.
    struct FileEntry {
        /// The name that the caller gave.
        filename: Name,
        /// Bytes of the file as it was received.
        bytes: u64,
        /// When the file was first uploaded, in seconds since the Unix epoch.
        created_at: u64,
    }
}

/// How many more times an input file is in memory while it is split and stored.
const COPIES_OF_INPUT: usize = 2;

/// The file that an id refers to.
#[derive(Debug)]
enum FileRef {
    Input(FileId),
    Result(JobId, ResultFile),
}

/// Stores an input file, sent as a multipart form or as raw JSON lines.
///
/// # Errors
///
/// Returns a problem if the file is invalid, with the line number, or if it cannot be stored.
pub async fn upload(mut req: Request) -> Result<Response> {
    let identity = admit(&req).await?;
    let content_type = req.header("content-type").map(|it| it.last().as_str().to_owned());
    let body = read_body(&mut req).await?;
    reserve_for_parsing(&req, body.len() * COPIES_OF_INPUT).await?;
    let cx = Arc::clone(req.state());
    let (filename, content) = match content_type {
        Some(it) if it.starts_with("multipart/form-data") => read_form(&it, body).await?,
        _ => (Name::new("input.jsonl"), body),
    };
    // Validating a file of a few megabytes takes tens of milliseconds, which must not delay other requests.
    let file = task::spawn_blocking(move || input::split(&content)).await;
    let file = file.map_err(|e| malformed_problem(format!("the input file is not valid: {e}")))?;
    let account = Name::from(identity.account.name.to_string());
    let entry = store_file(&cx, &account, file.clone(), filename).await?;
    Ok(json_answer(input_object(&file.id, &entry)))
}

/// Lists the caller's input files.
///
/// # Errors
///
/// Returns a problem if the list cannot be read.
pub async fn list(req: Request) -> Result<Response> {
    let identity = admit(&req).await?;
    let (limit, after) = page_params(&req)?;
    let account = Name::from(identity.account.name.to_string());
    let prefix = index_prefix(&account);
    let after = after.map(|it| format!("{prefix}{}", it.trim_start_matches("file-")));
    let store = &req.state().store;
    let page = store.page(&prefix, after.as_deref(), limit as usize).await;
    let page = page.map_err(|e| store_problem(&e))?;
    let data: Vec<Value> = page
        .entries
        .iter()
        .filter_map(|it| {
            let id = FileId(Name::new(it.key.strip_prefix(&prefix)?));
            Some(input_object(&id, &serde_json::from_slice(&it.value).ok()?))
        })
        .collect();
    Ok(json_answer(list_page(data, page.more)))
}

/// Describes a file.
///
/// # Errors
///
/// Returns a problem if there is no such file.
pub async fn retrieve(req: Request) -> Result<Response> {
    let identity = admit(&req).await?;
    let account = Name::from(identity.account.name.to_string());
    let cx = req.state();
    let object = match parse_file_ref(&req)? {
        FileRef::Input(id) => {
            let key = format!("{}{}", index_prefix(&account), id.0);
            let found = cx.store.get(&key).await.map_err(|e| store_problem(&e))?;
            let entry = found.and_then(|it| serde_json::from_slice(&it.value).ok());
            input_object(&id, &entry.ok_or_else(|| file_not_found(&req))?)
        }
        FileRef::Result(job, file) => {
            let manifest =
                read_ended_job(cx, &account, &job).await?.ok_or_else(|| file_not_found(&req))?;
            let (id, name) = result_id_and_filename(&job, file);
            json!({
                "id": id, "object": "file", "bytes": null, "created_at": manifest.created_ms / 1_000,
                "filename": name, "purpose": "batch_output", "status": "processed",
            })
        }
    };
    Ok(json_answer(object))
}

/// Streams the content of a file, segment by segment.
///
/// # Errors
///
/// Returns a problem if there is no such file, or if its first segment cannot be read.
pub async fn content(req: Request) -> Result<Response> {
    let identity = admit(&req).await?;
    let account = Name::from(identity.account.name.to_string());
    let cx = Arc::clone(req.state());
    let mut source = match parse_file_ref(&req)? {
        FileRef::Input(id) => {
            let key = Key::FileMeta { account: account.clone(), file: id.clone() };
            let meta = executor::get(&cx, &key).await.map_err(|e| store_problem(&e))?;
            let meta: Option<FileMeta> = meta.and_then(|it| serde_json::from_str(&it).ok());
            let chunks = meta.ok_or_else(|| file_not_found(&req))?.chunk_items.len() as u32;
            ContentSource::Input { account, file: id, next_chunk: 0, chunks }
        }
        FileRef::Result(job, file) => {
            let manifest =
                read_ended_job(&cx, &account, &job).await?.ok_or_else(|| file_not_found(&req))?;
            let reader = ResultReader::new(Arc::new(manifest), file);
            ContentSource::Result(Box::new(reader.ok_or_else(|| file_not_found(&req))?))
        }
    };
    // The first piece is read before the head of the answer is sent, so that the status code can report an outage.
    let first = source.next_piece(&cx, super::STORE_TIMEOUT).await.map_err(|e| {
        let detail = format!("the file cannot be read: {e}");
        Problem::new(ProblemKind::StoreUnavailable, Execution::NotRun, detail)
            .with_retry_after(Duration::from_secs(1))
    })?;
    let mut res = Response::new(200);
    res.insert_header("content-type", "application/jsonl");
    let pieces =
        futures::stream::try_unfold((cx, source, first), |(cx, mut source, piece)| async {
            let Some(piece) = piece else { return Ok::<_, io::Error>(None) };
            let next = source.next_piece(&cx, CONTENT_STORE_TIMEOUT).await?;
            Ok(Some((piece.into_bytes(), (cx, source, next))))
        });
    set_body(&mut res, streamed_body(&req.state().log, pieces));
    Ok(res)
}

/// Returns the ids of the output and error files of a job.
pub fn result_ids(job: &JobId) -> (String, String) {
    (
        result_id_and_filename(job, ResultFile::Output).0,
        result_id_and_filename(job, ResultFile::Errors).0,
    )
}

/// Parses the id of an input file.
pub fn parse_input_id(text: &str) -> Option<FileId> {
    const SHA256_DIGITS: usize = 64;
    let digits = text.strip_prefix("file-")?;
    let is_digest =
        digits.len() == SHA256_DIGITS && digits.bytes().all(|it| it.is_ascii_hexdigit());
    is_digest.then(|| FileId(Name::new(digits)))
}

/// Parses the query parameters `limit` and `after` of a list.
///
/// # Errors
///
/// Returns a problem if the limit is not a number in range.
pub fn page_params(req: &Request) -> Result<(u32, Option<String>)> {
    const DEFAULT_PAGE_SIZE: u32 = 20;
    let query: BTreeMap<String, String> = req.url().query_pairs().into_owned().collect();
    let limit = match query.get("limit") {
        None => DEFAULT_PAGE_SIZE,
        Some(text) => match text.parse() {
            Ok(limit @ 1..=MAX_PAGE_SIZE) => limit,
            _ => {
                return Err(malformed_problem(format!(
                    "limit {text:?} must be 1 to {MAX_PAGE_SIZE}"
                )));
            }
        },
    };
    Ok((limit, query.get("after").cloned()))
}

/// Builds one page of a list.
pub fn list_page(data: Vec<Value>, has_more: bool) -> Value {
    let id = |it: Option<&Value>| it.map_or(Value::Null, |it| it["id"].clone());
    let (first, last) = (id(data.first()), id(data.last()));
    json!({ "object": "list", "data": data, "first_id": first, "last_id": last, "has_more": has_more })
}

/// Returns the exclusive upper bound of the keys with a prefix that ends in a slash.
pub fn range_end(prefix: &str) -> String {
    // `0` follows `/` in ASCII.
    format!("{}0", prefix.trim_end_matches('/'))
}

/// Builds a JSON answer.
pub fn json_answer(object: Value) -> Response {
    let mut res = Response::new(200);
    res.set_body(object);
    res
}

fn malformed_problem(detail: String) -> Problem {
    Problem::new(ProblemKind::MalformedRequest, Execution::NotRun, detail)
}

async fn read_form(content_type: &str, body: Vec<u8>) -> Result<(Name, Vec<u8>)> {
    let invalid_form =
        |e: multer::Error| malformed_problem(format!("the multipart form is not valid: {e}"));
    let boundary = multer::parse_boundary(content_type).map_err(invalid_form)?;
    let body = futures::stream::once(async { Ok::<_, io::Error>(Bytes::from(body)) });
    let mut form = Multipart::new(body, boundary);
    let mut file = None;
    while let Some(field) = form.next_field().await.map_err(invalid_form)? {
        match field.name() {
            Some("file") => {
                let filename = Name::new(field.file_name().unwrap_or("input.jsonl"));
                file = Some((filename, field.bytes().await.map_err(invalid_form)?.to_vec()));
            }
            Some("purpose") => {
                let purpose = field.text().await.map_err(invalid_form)?;
                if purpose != "batch" {
                    return Err(malformed_problem(format!(
                        "purpose {purpose:?} must be \"batch\""
                    )));
                }
            }
            _ => {}
        }
    }
    file.ok_or_else(|| malformed_problem("the form has no field \"file\"".to_owned()))
}

async fn store_file(
    cx: &Shared,
    account: &Name,
    file: SplitFile,
    filename: Name,
) -> Result<FileEntry> {
    let entry = FileEntry { filename, bytes: file.meta.bytes, created_at: clock::unix_seconds() };
    let id = file.id.clone();
    // Larger files get more time: 50 ms per chunk, far more than the service needs.
    let timeout = super::STORE_TIMEOUT + Duration::from_millis(50) * file.chunks.len() as u32;
    let mut upload = FileUpload::new(account.clone(), file);
    let deadline = cx.clock.now() + timeout;
    let is_stored = executor::drive(
        cx,
        &mut upload,
        deadline,
        |it| it.is_stored(),
        FileUpload::poll,
        FileUpload::on_outcome,
    )
    .await;
    if !is_stored {
        return Err(store_timeout(Execution::NotRun));
    }
    let key = format!("{}{}", index_prefix(account), id.0);
    let value = serde_json::to_vec(&entry).map_err(|e| malformed_problem(e.to_string()))?;
    match cx.store.create(&key, &value).await.map_err(|e| store_problem(&e))? {
        kv_store::Outcome::Won(_) => Ok(entry),
        // The file was uploaded before; lists show its first upload.
        kv_store::Outcome::Lost(Some(it)) => Ok(serde_json::from_slice(&it.value).unwrap_or(entry)),
        // The index entry may not be stored, so the file could be missing from lists; the caller has to send it again.
        kv_store::Outcome::Lost(None) | kv_store::Outcome::Unknown => {
            Err(store_timeout(Execution::NotRun))
        }
    }
}

fn index_prefix(account: &str) -> String {
    // The keys of the `batch` crate contain the account in the same escaped form.
    let key = Key::FileMeta { account: Name::new(account), file: FileId(Name::new("")) };
    format!("file-index/{}", key.to_string().trim_start_matches("files/").trim_end_matches("/meta"))
}

fn input_object(id: &FileId, entry: &FileEntry) -> Value {
    json!({
        "id": format!("file-{}", id.0), "object": "file", "bytes": entry.bytes,
        "created_at": entry.created_at, "filename": entry.filename, "purpose": "batch",
        "status": "processed",
    })
}

fn result_id_and_filename(job: &JobId, file: ResultFile) -> (String, String) {
    let kind = match file {
        ResultFile::Output => "output",
        ResultFile::Errors => "errors",
    };
    (format!("file-{kind}-{}", job.0), format!("batch_{}_{kind}.jsonl", job.0))
}

fn parse_file_ref(req: &Request) -> Result<FileRef> {
    let id = req.param("id").unwrap_or_default();
    if let Some(job) = id.strip_prefix("file-output-") {
        return Ok(FileRef::Result(JobId(Name::new(job)), ResultFile::Output));
    }
    if let Some(job) = id.strip_prefix("file-errors-") {
        return Ok(FileRef::Result(JobId(Name::new(job)), ResultFile::Errors));
    }
    parse_input_id(id).map(FileRef::Input).ok_or_else(|| file_not_found(req))
}

fn file_not_found(req: &Request) -> Problem {
    let id = req.param("id").unwrap_or_default();
    Problem::new(ProblemKind::NotFound, Execution::NotRun, format!("there is no file {id:?}"))
}

async fn read_ended_job(cx: &Shared, account: &Name, job: &JobId) -> Result<Option<JobManifest>> {
    let key = Key::Manifest { account: account.clone(), job: job.clone() };
    let value = executor::get(cx, &key).await.map_err(|e| store_problem(&e))?;
    let manifest: Option<JobManifest> = value.and_then(|it| serde_json::from_str(&it).ok());
    Ok(manifest.filter(|it| it.state == JobState::Ended))
}

/// The stored content of a file, read piece by piece.
enum ContentSource {
    Input { account: Name, file: FileId, next_chunk: u32, chunks: u32 },
    Result(Box<ResultReader>),
}

impl ContentSource {
    /// Reads the next piece, or `None` at the end of the file.
    async fn next_piece(&mut self, cx: &Shared, timeout: Duration) -> io::Result<Option<String>> {
        let deadline = cx.clock.now() + timeout;
        match self {
            Self::Input { next_chunk, chunks, .. } if *next_chunk >= *chunks => Ok(None),
            Self::Input { account, file, next_chunk, .. } => {
                let key =
                    Key::FileChunk { account: account.clone(), file: file.clone(), n: *next_chunk };
                loop {
                    match executor::get(cx, &key).await {
                        Ok(Some(value)) => {
                            *next_chunk += 1;
                            return Ok(Some(value.to_string()));
                        }
                        Ok(None) => return Err(damaged_segment(*next_chunk)),
                        Err(e) if cx.clock.now() >= deadline => return Err(io::Error::other(e)),
                        Err(_) => task::sleep(Duration::from_millis(200)).await,
                    }
                }
            }
            Self::Result(reader) => loop {
                match reader.take() {
                    ResultStep::Lines(lines) if lines.is_empty() => {}
                    ResultStep::Lines(lines) => return Ok(Some(lines)),
                    ResultStep::Complete => return Ok(None),
                    ResultStep::Damaged(n) => return Err(damaged_segment(n)),
                    ResultStep::Pending => {
                        if cx.clock.now() >= deadline {
                            return Err(io::ErrorKind::TimedOut.into());
                        }
                        match reader.poll(executor::now(cx)) {
                            Some(action) => {
                                let outcome = executor::perform(cx, action).await;
                                reader.on_outcome(executor::now(cx), outcome);
                            }
                            None => task::sleep(Duration::from_millis(20)).await,
                        }
                    }
                }
            },
        }
    }
}

fn damaged_segment(segment: u32) -> io::Error {
    io::Error::other(format!("segment {segment} cannot be read"))
}
