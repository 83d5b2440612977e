//! The status lines of answers whose code the encoder does not know.

use http_types::StatusCode;

use crate::status::Status;

/// Replaces the status line in the first `n` bytes of an encoded answer if the encoder does not know its code; returns the number of bytes
/// of the answer after that. The new line has no reason phrase, so it is not longer than the line in its place.
pub(super) fn replace_unknown(buf: &mut [u8], n: usize, status: Status) -> usize {
    if StatusCode::try_from(status.code()).is_ok() {
        return n;
    }
    let Some(end) = buf[..n].windows(2).position(|it| it == b"\r\n") else { return n };
    let line = format!("HTTP/1.1 {} ", status.code());
    let removed = end - line.len();
    buf[..line.len()].copy_from_slice(line.as_bytes());
    buf.copy_within(end..n, line.len());
    n - removed
}
