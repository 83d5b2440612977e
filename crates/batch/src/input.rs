//! Validates input files and splits them into chunks of whole lines.

use std::{collections::HashSet, ops::Range, sync::Arc};

use serde::Deserialize;
use serde_json::value::RawValue;
use sha2::{Digest, Sha256};
use stdx::{Name, record_type, wire_type};
use thiserror::Error;

use crate::{items::MAX_SEGMENT_ITEMS, key::FileId, store::Value};

/// The maximum size of a chunk, and so of a line.
pub const MAX_CHUNK_BYTES: usize = 256 * 1024;
/// The maximum length of a `custom_id`, in bytes.
pub const MAX_CUSTOM_ID_BYTES: usize = 256;
/// The maximum number of chunks of a file.
///
/// It keeps the metadata record far below the value limit and the chunk numbers within six digits.
pub const MAX_CHUNKS: usize = 100_000;

/// The result of checking an input file.
pub type Result<T> = std::result::Result<T, InputError>;

/// An invalid line of an input file.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("line {line}: {kind}")]
pub struct InputError {
    /// The one-based line number.
    pub line: u64,
    /// The reason why the line is invalid.
    pub kind: InputErrorKind,
}

/// The reason why a line of an input file is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum InputErrorKind {
    /// The line is not a JSON object with exactly the four fields of [`InputLine`].
    #[error("not a request object: {0}")]
    Malformed(Name),
    /// The line is not UTF-8.
    #[error("not valid UTF-8")]
    NotUtf8,
    /// The line is longer than a chunk.
    #[error("longer than {MAX_CHUNK_BYTES} bytes")]
    TooLong,
    /// The line is blank.
    #[error("empty line")]
    Empty,
    /// The `custom_id` is empty or too long.
    #[error("custom_id must have 1 to {MAX_CUSTOM_ID_BYTES} bytes")]
    BadCustomId,
    /// An earlier line has the same `custom_id`.
    #[error("custom_id {0:?} occurs twice")]
    DuplicateCustomId(Name),
    /// The method is not one of the allowed ones, in upper case.
    #[error("method {0:?} is not allowed; use POST, PUT, PATCH, GET or DELETE")]
    BadMethod(Name),
    /// The URL is not an absolute path.
    #[error("url {0:?} must be an absolute path")]
    BadUrl(Name),
    /// The body is not a JSON object.
    #[error("body must be a JSON object")]
    BadBody,
    /// The method or URL differs from the one of the first line.
    #[error("all lines must use the same method and url as line 1 ({0})")]
    MixedEndpoints(Name),
    /// The file has no lines.
    #[error("the file is empty")]
    NoLines,
    /// The file has too many chunks.
    #[error("the file has more than {MAX_CHUNKS} chunks")]
    TooManyChunks,
}

/// One request of an input file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InputLine<'a> {
    /// The caller's identifier of the request, unique within the file.
    pub custom_id: std::borrow::Cow<'a, str>,
    /// The HTTP method.
    pub method: std::borrow::Cow<'a, str>,
    /// The path that the request is sent to.
    pub url: std::borrow::Cow<'a, str>,
    /// The request body, byte for byte as in the file.
    #[serde(borrow)]
    pub body: &'a RawValue,
}

wire_type! {
    /// The metadata record of a stored file; it is written last, so a file that has one is complete.
    pub struct FileMeta {
        /// The size of the file as it was received, in bytes.
        pub bytes: u64,
        /// The method and path of all its requests, such as `POST /v1/completions`.
        pub endpoint: Name,
        /// The number of items in each chunk.
        pub chunk_items: Arc<[u32]>,
    }
}

record_type! {
    /// A valid file, ready to be stored.
    pub struct SplitFile {
        /// The identity of the file.
        pub id: FileId,
        /// The metadata record.
        pub meta: FileMeta,
        /// The chunks in order.
        pub chunks: Vec<Value>,
    }
}

/// Validates and splits a file that arrives in pieces.
#[derive(Debug, Default)]
pub struct FileSplitter {
    digest: Sha256,
    bytes: u64,
    line: u64,
    partial_line: Vec<u8>,
    chunk: String,
    chunk_items: u32,
    chunks: Vec<Value>,
    counts: Vec<u32>,
    endpoint: Option<Name>,
    // 128-bit digests instead of the ids themselves limit the memory for 610,000 ids to about 20 MB.
    custom_id_digests: HashSet<[u8; 16]>,
}

impl FileMeta {
    /// Returns the number of items in the file.
    pub fn items(&self) -> u64 {
        self.chunk_items.iter().map(|it| u64::from(*it)).sum()
    }
}

impl FileSplitter {
    /// Adds the next piece of the file.
    ///
    /// # Errors
    ///
    /// Returns an error for the first invalid line.
    pub fn push(&mut self, mut piece: &[u8]) -> Result<()> {
        self.digest.update(piece);
        self.bytes += piece.len() as u64;
        while let Some(end) = piece.iter().position(|it| *it == b'\n') {
            self.partial_line.extend_from_slice(&piece[..end]);
            let line = std::mem::take(&mut self.partial_line);
            self.add_line(&line)?;
            piece = &piece[end + 1..];
        }
        self.partial_line.extend_from_slice(piece);
        if self.partial_line.len() > MAX_CHUNK_BYTES {
            return Err(InputError { line: self.line + 1, kind: InputErrorKind::TooLong });
        }
        Ok(())
    }

    /// Finishes the file.
    ///
    /// # Errors
    ///
    /// Returns an error if the last line is invalid or the file has no lines.
    pub fn finish(mut self) -> Result<SplitFile> {
        if !self.partial_line.is_empty() {
            let line = std::mem::take(&mut self.partial_line);
            self.add_line(&line)?;
        }
        self.close_chunk();
        let Some(endpoint) = self.endpoint else {
            return Err(InputError { line: 1, kind: InputErrorKind::NoLines });
        };
        let meta = FileMeta { bytes: self.bytes, endpoint, chunk_items: self.counts.into() };
        let id = FileId(Name::from(hex::encode(self.digest.finalize())));
        Ok(SplitFile { id, meta, chunks: self.chunks })
    }

    fn add_line(&mut self, line: &[u8]) -> Result<()> {
        self.line += 1;
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let number = self.line;
        let text = self.check_line(line).map_err(|kind| InputError { line: number, kind })?;
        let is_full = self.chunk_items == MAX_SEGMENT_ITEMS
            || self.chunk.len() + text.len() + 1 > MAX_CHUNK_BYTES;
        if is_full {
            self.close_chunk();
        }
        if self.chunks.len() >= MAX_CHUNKS {
            return Err(InputError { line: number, kind: InputErrorKind::TooManyChunks });
        }
        self.chunk.push_str(text);
        self.chunk.push('\n');
        self.chunk_items += 1;
        Ok(())
    }

    fn check_line<'a>(&mut self, line: &'a [u8]) -> std::result::Result<&'a str, InputErrorKind> {
        // The line feed is counted too, so that a line always fits into a chunk.
        if line.len() >= MAX_CHUNK_BYTES {
            return Err(InputErrorKind::TooLong);
        }
        let text = std::str::from_utf8(line).map_err(|_| InputErrorKind::NotUtf8)?;
        if text.trim().is_empty() {
            return Err(InputErrorKind::Empty);
        }
        let parsed: InputLine<'_> = serde_json::from_str(text)
            .map_err(|e| InputErrorKind::Malformed(malformed_reason(&e)))?;
        if parsed.custom_id.is_empty() || parsed.custom_id.len() > MAX_CUSTOM_ID_BYTES {
            return Err(InputErrorKind::BadCustomId);
        }
        if !matches!(&*parsed.method, "POST" | "PUT" | "PATCH" | "GET" | "DELETE") {
            return Err(InputErrorKind::BadMethod(truncated(&parsed.method)));
        }
        let is_path = parsed.url.starts_with('/') && !parsed.url.contains(char::is_whitespace);
        if !is_path || parsed.url.len() > MAX_CUSTOM_ID_BYTES {
            return Err(InputErrorKind::BadUrl(truncated(&parsed.url)));
        }
        if !parsed.body.get().starts_with('{') {
            return Err(InputErrorKind::BadBody);
        }
        let endpoint = Name::from(format!("{} {}", parsed.method, parsed.url));
        let first = self.endpoint.get_or_insert_with(|| endpoint.clone());
        if *first != endpoint {
            return Err(InputErrorKind::MixedEndpoints(first.clone()));
        }
        let digest: [u8; 32] = Sha256::digest(parsed.custom_id.as_bytes()).into();
        let mut short = [0; 16];
        short.copy_from_slice(&digest[..16]);
        if !self.custom_id_digests.insert(short) {
            return Err(InputErrorKind::DuplicateCustomId(truncated(&parsed.custom_id)));
        }
        Ok(text)
    }

    fn close_chunk(&mut self) {
        if self.chunk_items > 0 {
            self.chunks.push(Value::from(std::mem::take(&mut self.chunk)));
            self.counts.push(std::mem::take(&mut self.chunk_items));
        }
    }
}

/// Returns the byte ranges of the lines of a stored chunk.
pub(crate) fn line_ranges(chunk: &str) -> Vec<Range<usize>> {
    let mut start = 0;
    chunk
        .split_inclusive('\n')
        .map(|line| {
            let range = start..start + line.trim_end_matches('\n').len();
            start += line.len();
            range
        })
        .collect()
}

/// Validates and splits a whole file.
///
/// # Errors
///
/// Returns an error for the first invalid line.
pub fn split(text: &[u8]) -> Result<SplitFile> {
    let mut splitter = FileSplitter::default();
    splitter.push(text)?;
    splitter.finish()
}

/// Returns the parser's message with the column only; the parser sees one line at a time and always reports line 1.
fn malformed_reason(e: &serde_json::Error) -> Name {
    let text = e.to_string();
    let message = text.rsplit_once(" at line ").map_or(text.as_str(), |(message, _)| message);
    Name::from(format!("{message} (column {})", e.column()))
}

fn truncated(text: &str) -> Name {
    const MAX_SHOWN_CHARS: usize = 60;
    Name::from(text.chars().take(MAX_SHOWN_CHARS).collect::<String>())
}
