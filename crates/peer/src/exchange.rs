//! One exchange with a target that one daemon carries out for another, on a connection of its own, so that a long body delays no heartbeat.
//!
//! Decides nothing: the two ends send and receive messages, and learn of an end of the connection that no message announced.

use std::{
    io,
    net::{Shutdown, SocketAddr},
    time::Duration,
};

use async_std::{future, net::TcpStream};
use bytes::Bytes;
use futures::{SinkExt as _, StreamExt as _};
use stdx::Name;
use thiserror::Error;
use tokio_util::codec::{FramedRead, FramedWrite};
use tokio_util::compat::FuturesAsyncReadCompatExt as _;

use crate::{
    codec::{FrameCodec, UnfinishedBytes},
    link::{Reader, Writer},
    message::{
        self, Message, PROTOCOL,
        exchange::{ExchangeMessage, ExchangeOpen, MAX_EXCHANGE_FRAME},
    },
};

/// A side that has nothing to send sends an empty frame at this interval.
pub const EXCHANGE_KEEP_ALIVE: Duration = Duration::from_millis(400);

/// A side from which nothing arrives for this long has failed.
pub const EXCHANGE_SILENCE: Duration = Duration::from_millis(1_500);

/// Why an exchange ended without its last message.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ExchangeError {
    /// No connection could be opened.
    #[error("no connection to the daemon could be opened: {0}")]
    Connect(io::ErrorKind),
    /// Another daemon has the address.
    #[error("another daemon answers at the address")]
    OtherInstance,
    /// Nothing arrived in time.
    #[error("the daemon fell silent")]
    Silent,
    /// The connection ended.
    #[error("the connection to the daemon ended")]
    Closed,
    /// A message is malformed, too large, or has no place here.
    #[error("the daemon sent a message that is not valid here")]
    Malformed,
}

/// The result of an operation on an exchange.
pub type Result<T> = std::result::Result<T, ExchangeError>;

/// The end of an exchange that receives messages.
#[derive(Debug)]
pub struct ExchangeReceiver(Reader);

/// The end of an exchange that sends messages.
#[derive(Debug)]
pub struct ExchangeSender {
    writer: Writer,
    stream: TcpStream,
}

/// An exchange that another daemon asks for.
#[derive(Debug)]
pub struct IncomingExchange {
    /// What it asks for.
    pub open: ExchangeOpen,
    /// Receives the request.
    pub rx: ExchangeReceiver,
    /// Sends the answer.
    pub tx: ExchangeSender,
}

impl IncomingExchange {
    pub(crate) fn new(
        open: ExchangeOpen,
        mut reader: Reader,
        writer: Writer,
        stream: TcpStream,
    ) -> Self {
        reader.decoder_mut().set_max_frame_length(MAX_EXCHANGE_FRAME);
        Self { open, rx: ExchangeReceiver(reader), tx: ExchangeSender { writer, stream } }
    }
}

/// Asks a daemon for an exchange; its answer is the first message that arrives.
///
/// # Errors
///
/// Fails if no connection can be opened, or another daemon answers. Nothing has been asked of the right one then.
pub async fn open(
    peer: &Name,
    address: SocketAddr,
    open: ExchangeOpen,
) -> Result<(ExchangeSender, ExchangeReceiver)> {
    let stream = TcpStream::connect(address).await;
    let stream = stream.map_err(|e| ExchangeError::Connect(e.kind()))?;
    // Without this, a small frame waits for the acknowledgement of the previous one.
    let _ = stream.set_nodelay(true);
    let codec = || FrameCodec::new(MAX_EXCHANGE_FRAME, UnfinishedBytes::default());
    let reader = FramedRead::new(stream.clone().compat(), codec());
    let writer = FramedWrite::new(stream.clone().compat(), codec());
    let (mut tx, mut rx) = (ExchangeSender { writer, stream }, ExchangeReceiver(reader));
    let open = ExchangeOpen { protocol: PROTOCOL, ..open };
    let frame = message::encode(&Message::ExchangeOpen(open));
    tx.send_frame(frame.map_err(|_| ExchangeError::Malformed)?).await?;
    match message::decode(rx.frame().await?) {
        Ok(Some(Message::Hello(hello))) if hello.protocol != PROTOCOL => {
            Err(ExchangeError::Malformed)
        }
        Ok(Some(Message::Hello(hello))) if hello.instance == peer.as_str() => Ok((tx, rx)),
        Ok(Some(Message::Hello(_))) => Err(ExchangeError::OtherInstance),
        Ok(_) | Err(_) => Err(ExchangeError::Malformed),
    }
}

impl ExchangeReceiver {
    /// Returns the next message; `None` for an empty frame, which shows that the other side is alive.
    ///
    /// Dropping the future loses nothing.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends or falls silent, or a message is malformed.
    pub async fn next(&mut self) -> Result<Option<ExchangeMessage>> {
        let frame = self.frame().await?;
        if frame.is_empty() {
            return Ok(None);
        }
        ExchangeMessage::from_frame(frame).map(Some).map_err(|_| ExchangeError::Malformed)
    }

    async fn frame(&mut self) -> Result<Bytes> {
        match future::timeout(EXCHANGE_SILENCE, self.0.next()).await {
            Ok(Some(Ok(frame))) => Ok(frame.freeze()),
            Ok(Some(Err(e))) if e.kind() == io::ErrorKind::InvalidData => {
                Err(ExchangeError::Malformed)
            }
            Ok(Some(Err(_)) | None) => Err(ExchangeError::Closed),
            Err(_) => Err(ExchangeError::Silent),
        }
    }
}

impl ExchangeSender {
    /// Sends a message; waits until the other side has taken enough of what was sent before.
    ///
    /// # Errors
    ///
    /// Fails if the connection has ended, or the message is too large.
    pub async fn send(&mut self, message: ExchangeMessage) -> Result<()> {
        self.send_frame(message.into_frame().map_err(|_| ExchangeError::Malformed)?).await
    }

    /// Shows the other side that this one is alive.
    ///
    /// # Errors
    ///
    /// Fails if the connection has ended.
    pub async fn keep_alive(&mut self) -> Result<()> {
        self.send_frame(Bytes::new()).await
    }

    async fn send_frame(&mut self, frame: Bytes) -> Result<()> {
        self.writer.send(frame).await.map_err(|_| ExchangeError::Closed)
    }
}

impl Drop for ExchangeSender {
    fn drop(&mut self) {
        // The receiver holds a clone of the stream, so dropping this one would not close the connection.
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// Where incoming exchanges go; without a receiver they are closed.
pub(crate) type ExchangeQueue = Option<async_channel::Sender<IncomingExchange>>;

/// Passes on an exchange, unless too many wait.
pub(crate) fn pass_on(queue: &ExchangeQueue, exchange: IncomingExchange) {
    if let Some(queue) = queue {
        // A full queue closes the connection, which the other side takes for a refusal.
        let _ = queue.try_send(exchange);
    }
}
