//! The lines of output and error files, and result chunks.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use stdx::{Name, record_type};

use crate::{
    items::FinalState,
    store::{MAX_VALUE_BYTES, Value},
};

/// The maximum length of a result line, in bytes. It keeps result chunks far below the value limit.
pub const MAX_LINE_BYTES: usize = 256 * 1024;
/// The maximum size of a chunk that holds more than one result line.
pub const MAX_RESULT_CHUNK_BYTES: usize = 512 * 1024;

const _: () = assert!(MAX_RESULT_CHUNK_BYTES + MAX_LINE_BYTES < MAX_VALUE_BYTES);

/// The answer of a target.
#[derive(Debug, Serialize)]
struct Response<'a> {
    status_code: u16,
    body: &'a RawValue,
}

#[derive(Debug, Serialize)]
struct Fault<'a> {
    code: &'a str,
    message: &'a str,
}

#[derive(Debug, Serialize)]
struct OutputLine<'a> {
    custom_id: &'a str,
    response: Option<Response<'a>>,
    error: Option<Fault<'a>>,
}

/// A stored result line with the index of its item.
#[derive(Debug, Serialize, Deserialize)]
struct StoredLine<'a> {
    item: u32,
    #[serde(borrow)]
    line: &'a RawValue,
}

record_type! {
    /// A result line is longer than [`MAX_LINE_BYTES`].
    pub struct TooLong {
        /// The length of the line, in bytes.
        pub bytes: usize,
    }
}

/// Encodes the output line of an answer; a body that is not JSON is encoded as a string.
///
/// # Errors
///
/// Returns an error if the line is longer than [`MAX_LINE_BYTES`].
pub fn answer_line(custom_id: &str, status: u16, body: &str) -> Result<Box<str>, TooLong> {
    let raw = match serde_json::from_str::<&RawValue>(body) {
        // JSON Lines files must not have line breaks within a value; valid JSON has them only between tokens.
        Ok(it) if !it.get().contains(['\n', '\r']) => it.to_owned(),
        Ok(it) => RawValue::from_string(it.get().replace(['\n', '\r'], " ")).expect("valid JSON"),
        Err(_) => serde_json::value::to_raw_value(body).expect("a string encodes as JSON"),
    };
    let response = Some(Response { status_code: status, body: &raw });
    let line = encode(&OutputLine { custom_id, response, error: None });
    if line.len() > MAX_LINE_BYTES { Err(TooLong { bytes: line.len() }) } else { Ok(line) }
}

/// Encodes the error line of an item without an answer.
pub fn error_line(custom_id: &str, final_state: FinalState, reason: &str) -> Box<str> {
    const MAX_REASON_CHARS: usize = 1_000;
    let message: String = reason.chars().take(MAX_REASON_CHARS).collect();
    let error = Some(Fault { code: error_code(final_state), message: &message });
    encode(&OutputLine { custom_id, response: None, error })
}

/// Returns the reason that is reported for a final state without a stored reason.
pub fn default_reason(final_state: FinalState) -> &'static str {
    match final_state {
        FinalState::Done => "the result is missing",
        FinalState::Failed => "the request failed",
        FinalState::Cancelled => "the job was cancelled before the request was run",
        FinalState::Expired => "the job's window ended before the request was run",
        FinalState::Unknown => "the request was started and its outcome was lost; it may have run",
    }
}

/// Packs result lines into chunks.
pub(crate) fn pack<'a>(lines: impl Iterator<Item = (u32, &'a str)>) -> Vec<Value> {
    let mut chunks = Vec::new();
    let mut chunk = String::new();
    for (item, line) in lines {
        let raw: &RawValue = serde_json::from_str(line).expect("a result line is JSON");
        let stored = encode(&StoredLine { item, line: raw });
        if !chunk.is_empty() && chunk.len() + stored.len() + 1 > MAX_RESULT_CHUNK_BYTES {
            chunks.push(Value::from(std::mem::take(&mut chunk)));
        }
        chunk.push_str(&stored);
        chunk.push('\n');
    }
    if !chunk.is_empty() {
        chunks.push(Value::from(chunk));
    }
    chunks
}

/// Decodes the lines of a result chunk; returns `None` if this version cannot read the chunk.
pub(crate) fn unpack(chunk: &str) -> Option<Vec<(u32, Name)>> {
    chunk
        .lines()
        .map(|it| {
            let stored: StoredLine<'_> = serde_json::from_str(it).ok()?;
            Some((stored.item, Name::new(stored.line.get())))
        })
        .collect()
}

fn error_code(final_state: FinalState) -> &'static str {
    match final_state {
        FinalState::Done => "result_missing",
        FinalState::Failed => "request_failed",
        FinalState::Cancelled => "job_cancelled",
        FinalState::Expired => "job_expired",
        FinalState::Unknown => "outcome_unknown",
    }
}

fn encode<T: Serialize>(line: &T) -> Box<str> {
    serde_json::to_string(line).expect("a result line encodes as JSON").into_boxed_str()
}
