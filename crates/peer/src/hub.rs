//! The hub, which owns the listener, the set of peers and the links to them.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use async_channel::{Receiver, Sender, TrySendError};
use async_std::{net::TcpListener, task};
use bytes::Bytes;
use futures::future::{AbortHandle, abortable};
use stdx::{Name, panics, value_type};
use thiserror::Error;

use crate::{
    codec::UnfinishedBytes,
    dial,
    exchange::{ExchangeQueue, IncomingExchange},
    link,
    message::{self, Heartbeat, Message},
    schedule::heartbeat_interval,
    stats::{Counters, Stats, add},
};

/// The maximum number of messages that are queued on one link.
const QUEUE_MESSAGES: usize = 256;

/// The maximum number of bytes that are queued on one link: two of the largest frames.
const QUEUE_BYTES: usize = 2 * message::MAX_FRAME;

/// The maximum number of accepted connections; a failure domain has about 53 instances, a fleet 370.
const MAX_ACCEPTED: usize = 1024;

/// The configuration of a hub.
#[derive(Debug, Clone)]
pub struct HubConfig {
    /// The id of this instance.
    pub id: Name,
    /// Increases with each start of this instance.
    pub incarnation: u64,
    /// The failure domain of this instance.
    pub failure_domain: Name,
    /// The address to listen on.
    pub listen: SocketAddr,
    /// A link that receives nothing for this long is closed; also the timeout of dials, handshakes and writes.
    pub silence_limit: Duration,
    /// The first redial after a failure is delayed by a random time between this and twice this.
    pub min_backoff: Duration,
    /// The maximum delay before a redial.
    pub max_backoff: Duration,
    /// The maximum byte rate of all heartbeats sent, over all links.
    pub heartbeat_bytes_per_second: u32,
}

impl HubConfig {
    /// Creates a configuration with the intervals given in the design documentation.
    ///
    /// Heartbeats get 5,000 bytes/s in each direction, which leaves 3 of the 13 KB/s of control traffic for
    /// other messages.
    pub fn new(id: Name, incarnation: u64, failure_domain: Name, listen: SocketAddr) -> Self {
        Self {
            id,
            incarnation,
            failure_domain,
            listen,
            silence_limit: Duration::from_secs(1),
            min_backoff: Duration::from_millis(100),
            max_backoff: Duration::from_secs(2),
            heartbeat_bytes_per_second: 5_000,
        }
    }
}

value_type! {
    /// Another instance.
    pub struct Peer {
        /// The id of the instance.
        pub id: Name,
        /// The address at which its hub listens.
        pub address: SocketAddr,
    }
}

value_type! {
    /// Why a link ended.
    #[derive(Copy)]
    pub enum DownReason {
        /// Nothing was received from the peer, or a write to it did not finish, within the silence limit.
        Silent,
        /// The connection was closed or failed.
        Cut,
        /// The peer sent a malformed or oversized frame.
        Malformed,
        /// The peer opened a newer connection.
        Replaced,
        /// The peer was removed from the set, or the hub was dropped.
        Removed,
    }
}

/// An event on a link. For each peer, `Up` and `Down` alternate, and messages arrive only between them.
#[derive(Debug, Clone, PartialEq)]
#[expect(clippy::large_enum_variant, reason = "almost all events are messages")]
pub enum PeerEvent {
    /// A link came up.
    Up {
        /// The id of the peer.
        peer: Name,
        /// The incarnation of the peer.
        incarnation: u64,
        /// The failure domain of the peer.
        failure_domain: Name,
    },
    /// A link ended.
    Down {
        /// The id of the peer.
        peer: Name,
        /// The incarnation of the peer.
        incarnation: u64,
        /// Why the link ended.
        reason: DownReason,
    },
    /// A message was received; never `Hello`.
    Message {
        /// The id of the peer.
        from: Name,
        /// The message.
        message: Message,
    },
}

/// Why a message was not queued.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SendError {
    /// There is no link to the peer.
    #[error("there is no link to the peer")]
    NotConnected,
    /// The queue of the link has no room for the message.
    #[error("the queue of the link is full")]
    QueueFull,
    /// The message exceeds the frame limit.
    #[error(transparent)]
    Message(#[from] message::Error),
}

/// The links to all peers; they are closed when the hub is dropped.
///
/// Each pair of instances keeps one connection, which lasts as long as the side that dialled it has the peer in its
/// set. Links from all instances are accepted, since their lists of instances are not updated at the same time.
#[derive(Debug)]
pub struct Hub {
    shared: Arc<Shared>,
    address: SocketAddr,
    accept: AbortHandle,
    dialled: Mutex<HashMap<Name, DialTask>>,
}

#[derive(Debug)]
struct DialTask {
    address: SocketAddr,
    /// The dialling task ends when this sender is dropped.
    _stop: Sender<()>,
}

#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) cfg: HubConfig,
    pub(crate) events: Sender<PeerEvent>,
    pub(crate) counters: Counters,
    links: Mutex<HashMap<Name, LinkHandle>>,
    heartbeat: Mutex<HeartbeatState>,
    next_serial: AtomicU64,
    accepted: AtomicUsize,
    pub(crate) unfinished: UnfinishedBytes,
    pub(crate) exchanges: ExchangeQueue,
}

#[derive(Debug, Default)]
struct HeartbeatState {
    heartbeat: Heartbeat,
    encoded: Bytes,
}

/// The hub's handle of a link.
#[derive(Debug, Clone)]
struct LinkHandle {
    serial: u64,
    incarnation: u64,
    /// Whether this instance dialled.
    is_dialled: bool,
    queue: Sender<Bytes>,
    queued_bytes: Arc<AtomicUsize>,
    close_reason: Sender<DownReason>,
    /// Closed when the link has reported its end.
    done: Receiver<()>,
}

/// The link's side of its [`LinkHandle`].
#[derive(Debug)]
pub(crate) struct Registration {
    pub(crate) serial: u64,
    pub(crate) queue: Receiver<Bytes>,
    pub(crate) queued_bytes: Arc<AtomicUsize>,
    pub(crate) close_reason: Receiver<DownReason>,
    /// Held until the link has reported its end.
    pub(crate) done: Sender<()>,
}

impl Hub {
    /// Listens for links and sends their events to `events`. While that channel is full, the links stop reading, and no
    /// event is lost.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn start(cfg: HubConfig, events: Sender<PeerEvent>) -> io::Result<Self> {
        Self::start_with_exchanges(cfg, events, None).await
    }

    /// Listens for links as [`Self::start`] does, and for exchanges, which it passes on; while that channel is full, it closes them.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn start_with_exchanges(
        cfg: HubConfig,
        events: Sender<PeerEvent>,
        exchanges: Option<Sender<IncomingExchange>>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(cfg.listen).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            cfg,
            events,
            counters: Counters::default(),
            links: Mutex::default(),
            heartbeat: Mutex::default(),
            next_serial: AtomicU64::new(1),
            accepted: AtomicUsize::new(0),
            unfinished: UnfinishedBytes::default(),
            exchanges,
        });
        let accept = accept_loop(listener, Arc::clone(&shared));
        let (run, accept) = abortable(panics::essential("listener for peers", accept));
        task::spawn(run);
        Ok(Self { shared, address, accept, dialled: Mutex::default() })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the set of peers that this instance dials. Links that it dialled to other peers are closed.
    pub fn set_dialled_peers(&self, peers: &[Peer]) {
        let own = &self.shared.cfg.id;
        let wanted: HashMap<&Name, SocketAddr> = peers
            .iter()
            .filter(|peer| peer.id != *own)
            .map(|peer| (&peer.id, peer.address))
            .collect();
        let mut dialled = lock(&self.dialled);
        dialled.retain(|id, dial| wanted.get(id) == Some(&dial.address));
        for (id, address) in &wanted {
            if !dialled.contains_key(*id) {
                let (stop_tx, stop) = async_channel::bounded(1);
                dialled.insert((*id).clone(), DialTask { address: *address, _stop: stop_tx });
                let peer = Peer { id: (*id).clone(), address: *address };
                let dialled = link::DialledPeer { id: peer.id.clone(), stop };
                let run = dial::run(Arc::clone(&self.shared), peer, dialled);
                task::spawn(panics::essential("link to a peer", run));
            }
        }
    }

    /// Replaces the heartbeat that is sent; the hub sets its sequence. A changed revision is sent immediately.
    ///
    /// # Errors
    ///
    /// Fails if the heartbeat exceeds the frame limit; the previous one is kept then.
    pub fn set_heartbeat(&self, heartbeat: Heartbeat) -> message::Result<()> {
        let mut state = lock(&self.shared.heartbeat);
        let heartbeat = Heartbeat { sequence: state.heartbeat.sequence + 1, ..heartbeat };
        let encoded = message::encode(&Message::Heartbeat(heartbeat.clone()))?;
        let is_new_revision = heartbeat.revision != state.heartbeat.revision;
        *state = HeartbeatState { heartbeat, encoded: encoded.clone() };
        drop(state);
        if is_new_revision {
            for link in lock(&self.shared.links).values() {
                // A link whose queue is full sends the change with its next regular heartbeat.
                let _ = link.enqueue(&self.shared.counters, encoded.clone());
            }
        }
        Ok(())
    }

    /// Sends only empty frames instead of heartbeats until the next [`Self::set_heartbeat`].
    pub fn clear_heartbeat(&self) {
        lock(&self.shared.heartbeat).encoded = Bytes::new();
    }

    /// Queues a message for a peer without blocking.
    ///
    /// # Errors
    ///
    /// Fails if there is no link, its queue is full, or the message exceeds the frame limit. A queued message is lost
    /// if the link ends before it is sent.
    pub fn send(&self, to: &str, message: &Message) -> Result<(), SendError> {
        self.send_encoded(to, message::encode(message)?)
    }

    /// Queues a message that is already encoded, as [`Self::send`] does.
    ///
    /// # Errors
    ///
    /// Fails if there is no link, or its queue is full.
    pub fn send_encoded(&self, to: &str, frame: Bytes) -> Result<(), SendError> {
        let links = lock(&self.shared.links);
        let link = links.get(to).ok_or(SendError::NotConnected)?;
        link.enqueue(&self.shared.counters, frame)
    }

    /// Queues a message for every linked peer without blocking; returns the number of peers it was queued for.
    ///
    /// # Errors
    ///
    /// Fails if the message exceeds the frame limit.
    pub fn broadcast(&self, message: &Message) -> message::Result<usize> {
        let frame = message::encode(message)?;
        let links = lock(&self.shared.links);
        let enqueue =
            |link: &&LinkHandle| link.enqueue(&self.shared.counters, frame.clone()).is_ok();
        Ok(links.values().filter(enqueue).count())
    }

    /// Returns the ids of the linked peers.
    pub fn linked_peers(&self) -> Vec<Name> {
        lock(&self.shared.links).keys().cloned().collect()
    }

    /// Returns the counters.
    pub fn stats(&self) -> Stats {
        self.shared.counters.snapshot()
    }
}

impl Drop for Hub {
    fn drop(&mut self) {
        self.accept.abort();
        lock(&self.dialled).clear();
        for link in lock(&self.shared.links).values() {
            link.close(DownReason::Removed);
        }
    }
}

impl LinkHandle {
    fn close(&self, reason: DownReason) {
        // A full channel means that the link is already being closed.
        let _ = self.close_reason.try_send(reason);
    }

    fn enqueue(&self, counters: &Counters, frame: Bytes) -> Result<(), SendError> {
        let len = frame.len();
        let before = self.queued_bytes.fetch_add(len, Ordering::Relaxed);
        let result = match before + len <= QUEUE_BYTES {
            true => self.queue.try_send(frame).map_err(|error| match error {
                TrySendError::Full(_) => SendError::QueueFull,
                TrySendError::Closed(_) => SendError::NotConnected,
            }),
            false => Err(SendError::QueueFull),
        };
        if let Err(error) = &result {
            self.queued_bytes.fetch_sub(len, Ordering::Relaxed);
            if *error == SendError::QueueFull {
                add(&counters.queue_full, 1);
            }
        }
        result
    }
}

impl Shared {
    /// Registers a link as the only one to its peer, after the previous one has reported its end. Returns `None` if an
    /// existing link takes precedence, such as one to a newer incarnation.
    ///
    /// A connection of the same incarnation that the same side dialled also replaces the previous one: a side dials
    /// again only after it has given up the previous connection. If both sides dialled, the connection dialled by the
    /// side with the lower id is kept.
    pub(crate) async fn register(
        &self,
        peer: &Name,
        incarnation: u64,
        is_dialled: bool,
    ) -> Option<Registration> {
        let is_preferred = is_dialled == (self.cfg.id < *peer);
        let serial = self.next_serial.fetch_add(1, Ordering::Relaxed);
        loop {
            let previous = {
                let mut links = lock(&self.links);
                match links.get(peer) {
                    None => {
                        let (handle, registration) = new_link(serial, incarnation, is_dialled);
                        links.insert(peer.clone(), handle);
                        return Some(registration);
                    }
                    Some(previous) if previous.incarnation > incarnation => return None,
                    Some(previous)
                        if previous.incarnation == incarnation
                            && previous.is_dialled != is_dialled
                            && !is_preferred =>
                    {
                        return None;
                    }
                    // A connection that arrived later than this one is already registered.
                    Some(previous) if previous.serial > serial => return None,
                    Some(previous) => {
                        previous.close(DownReason::Replaced);
                        previous.done.clone()
                    }
                }
            };
            // Nothing is ever sent; the channel closes when the previous link has reported its end.
            let _ = previous.recv().await;
        }
    }

    /// Returns whether there is a link to a peer.
    pub(crate) fn is_linked(&self, peer: &Name) -> bool {
        lock(&self.links).contains_key(peer)
    }

    /// Removes a link.
    pub(crate) fn unregister(&self, peer: &Name, serial: u64) {
        let mut links = lock(&self.links);
        if links.get(peer).is_some_and(|link| link.serial == serial) {
            links.remove(peer);
        }
    }

    /// Returns the encoded heartbeat, empty while none is set, and the interval until the next one.
    pub(crate) fn heartbeat(&self) -> (Bytes, Duration) {
        let encoded = lock(&self.heartbeat).encoded.clone();
        let links = lock(&self.links).len();
        let rate = self.cfg.heartbeat_bytes_per_second;
        let interval = heartbeat_interval(links, encoded.len(), rate);
        (encoded, interval)
    }
}

fn new_link(serial: u64, incarnation: u64, is_dialled: bool) -> (LinkHandle, Registration) {
    let (queue_tx, queue) = async_channel::bounded(QUEUE_MESSAGES);
    let (close_reason_tx, close_reason) = async_channel::bounded(1);
    let (done_tx, done) = async_channel::bounded(1);
    let queued_bytes = Arc::new(AtomicUsize::new(0));
    let handle = LinkHandle {
        serial,
        incarnation,
        is_dialled,
        queue: queue_tx,
        queued_bytes: Arc::clone(&queued_bytes),
        close_reason: close_reason_tx,
        done,
    };
    (handle, Registration { serial, queue, queued_bytes, close_reason, done: done_tx })
}

async fn accept_loop(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of file descriptors; the delay gives open connections time to close.
            task::sleep(Duration::from_millis(50)).await;
            continue;
        };
        if shared.accepted.fetch_add(1, Ordering::Relaxed) >= MAX_ACCEPTED {
            shared.accepted.fetch_sub(1, Ordering::Relaxed);
            continue;
        }
        let shared = Arc::clone(&shared);
        task::spawn(async move {
            // The peer dials again. A panic is on the error output; here it only ends this link.
            let _ = panics::catch(link::run(&shared, stream, None)).await;
            shared.accepted.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
