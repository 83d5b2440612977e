//! Bodies of answers to callers that tasks fill while they are sent.

use std::io;

use async_channel::{Receiver, Sender};
use async_std::task;
use futures::{Stream, TryStreamExt as _, stream};
use http_types::{Body, Response};
use slog::Logger;
use thiserror::Error;

use crate::tasks::contain;

/// The result of passing on a part of a body.
pub type Result<T> = std::result::Result<T, ReaderGone>;

/// Nobody reads the body any more, because its caller has gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the caller of the answer has gone")]
pub struct ReaderGone;

/// Fills a body piece by piece.
///
/// Only [`Self::end`] ends the body as complete. If the last sender is dropped without it, the body ends with an error, so that an
/// answer that is cut for whatever reason never looks complete.
#[derive(Debug, Clone)]
pub struct BodySender(Sender<Part>);

#[derive(Debug)]
enum Part {
    Piece(Vec<u8>),
    Error(io::Error),
    End,
}

impl BodySender {
    /// Passes on a piece as soon as there is room for it.
    ///
    /// # Errors
    ///
    /// Fails if nobody reads the body any more.
    pub async fn piece(&self, bytes: Vec<u8>) -> Result<()> {
        self.send(Part::Piece(bytes)).await
    }

    /// Ends the body as incomplete.
    ///
    /// # Errors
    ///
    /// Fails if nobody reads the body any more.
    pub async fn error(&self, error: io::Error) -> Result<()> {
        self.send(Part::Error(error)).await
    }

    /// Ends the body as complete.
    ///
    /// # Errors
    ///
    /// Fails if nobody reads the body any more.
    pub async fn end(&self) -> Result<()> {
        self.send(Part::End).await
    }

    /// Returns whether the caller has not read what waits for it, so that nothing more can be passed on at once.
    pub fn is_full(&self) -> bool {
        self.0.is_full()
    }

    async fn send(&self, part: Part) -> Result<()> {
        self.0.send(part).await.map_err(|_| ReaderGone)
    }
}

/// Creates a body of unknown length, of which at most `capacity` pieces wait for the caller.
pub fn body_channel(capacity: usize) -> (BodySender, Body) {
    let (tx, rx) = async_channel::bounded(capacity);
    (BodySender(tx), Body::from_reader(Box::pin(pieces(rx)).into_async_read(), None))
}

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
    let (tx, body) = body_channel(1);
    let log = log.clone();
    let forward = async move {
        let mut pieces = Box::pin(pieces);
        loop {
            let sent = match pieces.try_next().await {
                Ok(Some(piece)) => tx.piece(piece).await,
                Ok(None) => return tx.end().await,
                Err(e) => return tx.error(e).await,
            };
            sent?;
        }
    };
    task::spawn(async move {
        // The caller may have gone, and a panic has been logged.
        let _ = contain(&log, "", forward).await;
    });
    body
}

fn pieces(rx: Receiver<Part>) -> impl Stream<Item = io::Result<Vec<u8>>> + Send {
    stream::unfold(Some(rx), |rx| async move {
        let rx = rx?;
        match rx.recv().await {
            Ok(Part::Piece(bytes)) => Some((Ok(bytes), Some(rx))),
            Ok(Part::Error(e)) => Some((Err(e), None)),
            Ok(Part::End) => None,
            Err(_) => {
                let error = "the answer was not forwarded to its end";
                Some((Err(io::Error::new(io::ErrorKind::ConnectionAborted, error)), None))
            }
        }
    })
}
