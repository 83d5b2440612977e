//! One connection to a peer: handshake, reading and writing.

use std::{
    net::Shutdown,
    sync::{Arc, atomic::Ordering},
    time::Instant,
};

use async_channel::Receiver;
use async_std::{future, net::TcpStream};
use bytes::Bytes;
use futures::{
    SinkExt, StreamExt,
    future::{Either, select},
    pin_mut,
};
use stdx::Name;
use tokio_util::{
    codec::{FramedRead, FramedWrite},
    compat::{Compat, FuturesAsyncReadCompatExt},
};

use crate::{
    codec::FrameCodec,
    exchange::{self, IncomingExchange},
    hub::{DownReason, PeerEvent, Registration, Shared},
    message::{self, ExchangeOpen, Hello, LENGTH_BYTES, MAX_FRAME, Message, PROTOCOL},
    schedule::KEEP_ALIVE_INTERVAL,
    stats::add,
};

/// The largest frame accepted before the peer's `Hello`, which limits the memory that an unknown peer can take.
const MAX_HELLO_FRAME: usize = 4 << 10;

pub(crate) type Reader = FramedRead<Compat<TcpStream>, FrameCodec>;
pub(crate) type Writer = FramedWrite<Compat<TcpStream>, FrameCodec>;

/// The peer that a connection was dialled to.
#[derive(Debug)]
pub(crate) struct DialledPeer {
    /// The id that the peer must send in its `Hello`.
    pub(crate) id: Name,
    /// Closed when the peer is removed from the set.
    pub(crate) stop: Receiver<()>,
}

/// Runs a connection until it ends; returns whether the link came up.
pub(crate) async fn run(shared: &Shared, stream: TcpStream, dialled: Option<&DialledPeer>) -> bool {
    // Without this, a small frame waits for the acknowledgement of the previous one.
    let _ = stream.set_nodelay(true);
    let codec = |max_frame| FrameCodec::new(max_frame, Arc::clone(&shared.unfinished));
    let mut reader = FramedRead::new(stream.clone().compat(), codec(MAX_HELLO_FRAME));
    let mut writer = FramedWrite::new(stream.clone().compat(), codec(MAX_FRAME));
    let handshake = exchange_hellos(shared, &mut reader, &mut writer);
    let first = future::timeout(shared.cfg.silence_limit, handshake).await.ok().flatten();
    let hello = match first {
        Some(FirstMessage::Exchange(open)) if dialled.is_none() => {
            let exchange = IncomingExchange::new(open, reader, writer, stream);
            exchange::pass_on(&shared.exchanges, exchange);
            return false;
        }
        Some(FirstMessage::Link(hello)) => Some(hello),
        Some(FirstMessage::Exchange(_)) | None => None,
    };
    let hello = hello.filter(|hello| is_acceptable(&shared.cfg.id, hello, dialled));
    let peer = hello.as_ref().map(|hello| Name::new(&hello.instance));
    let registration = match (&hello, &peer) {
        (Some(hello), Some(peer)) => {
            shared.register(peer, hello.incarnation, dialled.is_some()).await
        }
        _ => None,
    };
    let (Some(hello), Some(peer), Some(registration)) = (hello, peer, registration) else {
        add(&shared.counters.failed_handshakes, 1);
        let _ = stream.shutdown(Shutdown::Both);
        return false;
    };
    reader.decoder_mut().set_max_frame_length(MAX_FRAME);
    add(&shared.counters.links_up, 1);
    let mut up_reported = false;
    let reason = {
        let read = async {
            // `Up` is reported by the reading side, so that a slow owner of the hub doesn't block writes.
            let up = PeerEvent::Up {
                peer: peer.clone(),
                incarnation: hello.incarnation,
                failure_domain: Name::new(&hello.failure_domain),
            };
            if shared.events.send(up).await.is_err() {
                return DownReason::Removed;
            }
            up_reported = true;
            read_loop(shared, &peer, &mut reader).await
        };
        let write = write_loop(shared, &mut writer, &registration);
        let closed = wait_for_close(&registration, dialled);
        pin_mut!(read, write, closed);
        match select(select(read, write), closed).await {
            Either::Left((Either::Left((reason, _)) | Either::Right((reason, _)), _)) => reason,
            Either::Right((reason, _)) => reason,
        }
    };
    let _ = stream.shutdown(Shutdown::Both);
    match reason {
        DownReason::Silent => add(&shared.counters.closed_silent, 1),
        DownReason::Malformed => add(&shared.counters.closed_malformed, 1),
        DownReason::Replaced => add(&shared.counters.closed_replaced, 1),
        DownReason::Cut | DownReason::Removed => {}
    }
    let down = PeerEvent::Down { peer: peer.clone(), incarnation: hello.incarnation, reason };
    if up_reported {
        // An error means that the owner has dropped the receiver.
        let _ = shared.events.send(down).await;
    }
    shared.unregister(&peer, registration.serial);
    drop(registration.done);
    true
}

/// The first message on a connection, which tells what the connection is for.
enum FirstMessage {
    Link(Hello),
    Exchange(ExchangeOpen),
}

async fn exchange_hellos(
    shared: &Shared,
    reader: &mut Reader,
    writer: &mut Writer,
) -> Option<FirstMessage> {
    let own = Hello {
        protocol: PROTOCOL,
        instance: shared.cfg.id.to_string(),
        incarnation: shared.cfg.incarnation,
        failure_domain: shared.cfg.failure_domain.to_string(),
    };
    let frame = message::encode(&Message::Hello(own)).ok()?;
    count_sent(shared, &frame);
    writer.send(frame).await.ok()?;
    let frame = reader.next().await?.ok()?.freeze();
    count_received(shared, &frame);
    match message::decode(frame) {
        Ok(Some(Message::Hello(hello))) => Some(FirstMessage::Link(hello)),
        Ok(Some(Message::ExchangeOpen(open))) if open.protocol == PROTOCOL => {
            Some(FirstMessage::Exchange(open))
        }
        _ => None,
    }
}

/// Checks the protocol version and the id: a dialled peer must have the id that was dialled, and an accepted peer must
/// not have this instance's own id.
fn is_acceptable(own: &Name, hello: &Hello, dialled: Option<&DialledPeer>) -> bool {
    let right_peer = match dialled {
        Some(dialled) => hello.instance == dialled.id.as_str(),
        None => hello.instance.as_str() != own.as_str(),
    };
    hello.protocol == PROTOCOL && right_peer
}

/// Waits until the hub closes the link.
async fn wait_for_close(registration: &Registration, dialled: Option<&DialledPeer>) -> DownReason {
    let requested = registration.close_reason.recv();
    let stopped = async {
        match dialled {
            // Nothing is ever sent; the channel closes when the peer is removed from the set.
            Some(dialled) => drop(dialled.stop.recv().await),
            None => std::future::pending().await,
        }
    };
    pin_mut!(requested, stopped);
    match select(requested, stopped).await {
        Either::Left((reason, _)) => reason.unwrap_or(DownReason::Removed),
        Either::Right(_) => DownReason::Removed,
    }
}

async fn read_loop(shared: &Shared, peer: &Name, reader: &mut Reader) -> DownReason {
    loop {
        let frame = match future::timeout(shared.cfg.silence_limit, reader.next()).await {
            Err(_) => return DownReason::Silent,
            Ok(None) => return DownReason::Cut,
            Ok(Some(Err(error))) => {
                // The codec reports an oversized frame as invalid data, and a truncated frame as another error.
                return match error.kind() {
                    std::io::ErrorKind::InvalidData => DownReason::Malformed,
                    _ => DownReason::Cut,
                };
            }
            Ok(Some(Ok(frame))) => frame.freeze(),
        };
        count_received(shared, &frame);
        if frame.is_empty() {
            continue;
        }
        let message = match message::decode(frame) {
            Ok(Some(Message::Hello(_) | Message::ExchangeOpen(_))) | Err(_) => {
                return DownReason::Malformed;
            }
            Ok(Some(message)) => message,
            // A kind of message that only a newer version knows.
            Ok(None) => continue,
        };
        let event = PeerEvent::Message { from: peer.clone(), message };
        if shared.events.send(event).await.is_err() {
            return DownReason::Removed;
        }
    }
}

async fn write_loop(
    shared: &Shared,
    writer: &mut Writer,
    registration: &Registration,
) -> DownReason {
    let mut heartbeat_due = Instant::now();
    loop {
        let wait = heartbeat_due.saturating_duration_since(Instant::now());
        let frame = if wait.is_zero() {
            // Sent before queued messages, so that a busy link still carries heartbeats.
            next_heartbeat(shared, &mut heartbeat_due)
        } else {
            match future::timeout(wait.min(KEEP_ALIVE_INTERVAL), registration.queue.recv()).await {
                Ok(Ok(frame)) => {
                    registration.queued_bytes.fetch_sub(frame.len(), Ordering::Relaxed);
                    frame
                }
                Ok(Err(_)) => return DownReason::Removed,
                Err(_) => next_heartbeat(shared, &mut heartbeat_due),
            }
        };
        count_sent(shared, &frame);
        match future::timeout(shared.cfg.silence_limit, writer.send(frame)).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return DownReason::Cut,
            Err(_) => return DownReason::Silent,
        }
    }
}

/// Returns the heartbeat if it is due, and an empty frame otherwise.
fn next_heartbeat(shared: &Shared, heartbeat_due: &mut Instant) -> Bytes {
    let (encoded, interval) = shared.heartbeat();
    let now = Instant::now();
    let due = *heartbeat_due <= now;
    if due {
        *heartbeat_due = now + interval;
    }
    if due && !encoded.is_empty() {
        add(&shared.counters.heartbeats_sent, 1);
        return encoded;
    }
    add(&shared.counters.keep_alives_sent, 1);
    Bytes::new()
}

fn count_sent(shared: &Shared, frame: &Bytes) {
    add(&shared.counters.bytes_sent, (LENGTH_BYTES + frame.len()) as u64);
    add(&shared.counters.messages_sent, u64::from(!frame.is_empty()));
}

fn count_received(shared: &Shared, frame: &Bytes) {
    add(&shared.counters.bytes_received, (LENGTH_BYTES + frame.len()) as u64);
    add(&shared.counters.messages_received, u64::from(!frame.is_empty()));
}
