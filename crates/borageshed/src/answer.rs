//! Helpers for answers to callers.

use std::io;

use async_std::task;
use futures::{Stream, TryStreamExt as _};
use http_types::{Body, Response};
use slog::Logger;

use crate::tasks::contain;

/// Replaces the body but keeps the content type, which `http-types` would otherwise set from the body.
pub fn set_body(res: &mut Response, body: Body) {
    let content_type = res.header("content-type").map(|it| it.last().clone());
    res.set_body(body);
    match content_type {
        Some(value) => {
            res.insert_header("content-type", value);
        }
        None => {
            res.remove_header("content-type");
        }
    }
}

/// Returns a body of unknown length that a task fills with the pieces.
///
/// The body ends at the first error, or if the stream panics. It then lacks its last chunk, so the caller can tell that it is
/// incomplete.
pub fn streamed_body(
    log: &Logger,
    pieces: impl Stream<Item = io::Result<Vec<u8>>> + Send + 'static,
) -> Body {
    let (tx, rx) = async_channel::bounded(1);
    let (log, end_tx) = (log.clone(), tx.clone());
    let forward = async move {
        let mut pieces = Box::pin(pieces);
        while let Some(piece) = pieces.try_next().await.transpose() {
            let is_error = piece.is_err();
            if tx.send(piece).await.is_err() || is_error {
                return;
            }
        }
    };
    task::spawn(async move {
        if contain(&log, "", forward).await.is_none() {
            // Without an error, a closed channel is the end of a complete body. The caller may have gone.
            let _ = end_tx.send(Err(io::Error::other("the answer was not forwarded"))).await;
        }
    });
    Body::from_reader(Box::pin(rx).into_async_read(), None)
}
