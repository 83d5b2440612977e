//! Splits the bytes of a link into frames, with a bound on what unfinished frames hold.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use bytes::{Bytes, BytesMut};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::message::LENGTH_BYTES;

/// Frames of at most this size are not counted; most messages are smaller.
const SMALL_FRAME: usize = 16 << 10;

/// The bytes that unfinished large frames of all links may hold together. A peer sends a large frame at once, so that few are
/// unfinished at the same time.
const MAX_UNFINISHED_BYTES: usize = 8 << 20;

/// What the unfinished large frames of all links hold.
pub(crate) type UnfinishedBytes = Arc<AtomicUsize>;

/// A codec for frames with a length prefix.
#[derive(Debug)]
pub(crate) struct FrameCodec {
    inner: LengthDelimitedCodec,
    unfinished: UnfinishedBytes,
    /// The share of the current frame; `None` between two frames.
    share: Option<usize>,
}

impl FrameCodec {
    pub(crate) fn new(max_frame: usize, unfinished: UnfinishedBytes) -> Self {
        let inner = LengthDelimitedCodec::builder()
            .length_field_length(LENGTH_BYTES)
            .max_frame_length(max_frame)
            .new_codec();
        Self { inner, unfinished, share: None }
    }

    pub(crate) fn set_max_frame_length(&mut self, max_frame: usize) {
        self.inner.set_max_frame_length(max_frame);
    }

    /// Takes the share of a frame whose length has arrived.
    fn begin_frame(&mut self, src: &BytesMut) -> io::Result<()> {
        let Some(prefix) = src.first_chunk::<LENGTH_BYTES>() else { return Ok(()) };
        let len = u32::from_be_bytes(*prefix) as usize;
        // The codec below refuses a frame over its limit.
        let share = match len {
            len if len <= SMALL_FRAME || len > self.inner.max_frame_length() => 0,
            len => len,
        };
        let add = |held: usize| held.checked_add(share).filter(|it| *it <= MAX_UNFINISHED_BYTES);
        self.unfinished
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add)
            .map_err(|_| io::Error::other("too many unfinished frames"))?;
        self.share = Some(share);
        Ok(())
    }

    fn end_frame(&mut self) {
        let share = self.share.take().unwrap_or(0);
        self.unfinished.fetch_sub(share, Ordering::Relaxed);
    }
}

impl Decoder for FrameCodec {
    type Item = BytesMut;
    type Error = io::Error;

    fn decode(&mut self, src: &mut BytesMut) -> io::Result<Option<BytesMut>> {
        if self.share.is_none() {
            self.begin_frame(src)?;
        }
        let frame = self.inner.decode(src)?;
        if frame.is_some() {
            self.end_frame();
        }
        Ok(frame)
    }
}

impl Encoder<Bytes> for FrameCodec {
    type Error = io::Error;

    fn encode(&mut self, frame: Bytes, dst: &mut BytesMut) -> io::Result<()> {
        self.inner.encode(frame, dst)
    }
}

impl Drop for FrameCodec {
    fn drop(&mut self) {
        self.end_frame();
    }
}
