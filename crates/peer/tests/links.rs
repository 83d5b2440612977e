//! Links between hubs over loopback, with closed, silent, delayed and malformed connections.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use async_channel::Receiver;
use async_std::{future, net::TcpStream, task};
use futures::{AsyncReadExt, AsyncWriteExt};
use peer::{
    ConfigChunk, DownReason, Heartbeat, Hello, Hub, HubConfig, LoanGrant, LoanRequest, Message,
    Peer, PeerEvent, SendError, message,
};
use test_support::link::Relay;

struct Node {
    hub: Hub,
    events: Receiver<PeerEvent>,
}

impl Node {
    async fn start(id: &str, incarnation: u64) -> Self {
        let listen = ([127, 0, 0, 1], 0).into();
        Self::start_with(HubConfig::new(id.into(), incarnation, "z1".into(), listen)).await
    }

    async fn start_with(cfg: HubConfig) -> Self {
        let (tx, events) = async_channel::bounded(64);
        let hub = Hub::start(cfg, tx).await.expect("loopback port");
        Self { hub, events }
    }

    fn peer(&self, id: &str) -> Peer {
        peer_at(id, self.hub.address())
    }

    async fn next(&self) -> PeerEvent {
        let event = future::timeout(Duration::from_secs(10), self.events.recv());
        event.await.expect("an event in time").expect("the hub runs")
    }

    /// Returns the next event that is not a heartbeat.
    async fn next_non_heartbeat(&self) -> PeerEvent {
        loop {
            match self.next().await {
                PeerEvent::Message { message: Message::Heartbeat(_), .. } => {}
                event => return event,
            }
        }
    }
}

fn peer_at(id: &str, address: SocketAddr) -> Peer {
    Peer { id: id.into(), address }
}

fn up(peer: &str, incarnation: u64) -> PeerEvent {
    PeerEvent::Up { peer: peer.into(), incarnation, failure_domain: "z1".into() }
}

fn down(peer: &str, incarnation: u64, reason: DownReason) -> PeerEvent {
    PeerEvent::Down { peer: peer.into(), incarnation, reason }
}

fn loan(request: u64) -> Message {
    Message::LoanRequest(LoanRequest { account: 5, request, want: 7, closed: Vec::new() })
}

fn from(peer: &str, message: Message) -> PeerEvent {
    PeerEvent::Message { from: peer.into(), message }
}

/// Links `a` to `b` through a relay.
async fn linked_pair() -> (Node, Node, Relay) {
    let a = Node::start("a", 1).await;
    let b = Node::start("b", 1).await;
    let relay = Relay::start(b.hub.address()).await.expect("loopback port");
    a.hub.set_dialled_peers(&[peer_at("b", relay.address())]);
    assert_eq!(a.next().await, up("b", 1));
    assert_eq!(b.next().await, up("a", 1));
    (a, b, relay)
}

// Guards against two connections per pair, and against messages that are lost, changed or reordered on a working link.
#[async_std::test]
async fn a_pair_keeps_one_connection_dialled_by_the_lower_id_and_carries_messages_in_order() {
    let (a, b, relay) = linked_pair().await;
    b.hub.set_dialled_peers(&[a.peer("a")]);
    a.hub.send("b", &loan(1)).expect("linked");
    a.hub.send("b", &loan(2)).expect("linked");
    assert_eq!(b.next_non_heartbeat().await, from("a", loan(1)));
    assert_eq!(b.next_non_heartbeat().await, from("a", loan(2)));
    let grant = Message::LoanGrant(LoanGrant {
        account: 5,
        request: 1,
        amount: 3,
        level: 0,
        is_busy: false,
    });
    assert_eq!(b.hub.broadcast(&grant), Ok(1));
    assert_eq!(a.next_non_heartbeat().await, from("b", grant));
    task::sleep(Duration::from_millis(1_500)).await;
    assert_eq!((relay.accepted(), a.hub.stats().links_up, b.hub.stats().links_up), (1, 1, 1));
    assert_eq!(a.hub.send("c", &loan(3)), Err(SendError::NotConnected));
    assert!(a.hub.stats().messages_sent >= 3 && b.hub.stats().messages_received >= 3);
}

// Guards against two connections, or none, between instances that dial each other at the same time.
#[async_std::test]
async fn two_instances_that_dial_each_other_agree_on_one_link() {
    for n in 0..20 {
        let (a, b) = (Node::start("a", 1).await, Node::start("b", 1).await);
        let (to_a, to_b) = (a.peer("a"), b.peer("b"));
        match n % 2 {
            0 => (a.hub.set_dialled_peers(&[to_b]), b.hub.set_dialled_peers(&[to_a])),
            _ => (b.hub.set_dialled_peers(&[to_a]), a.hub.set_dialled_peers(&[to_b])),
        };
        task::sleep(Duration::from_millis(300)).await;
        assert_eq!((a.hub.linked_peers().len(), b.hub.linked_peers().len()), (1, 1));
        let before = a.hub.stats().links_up;
        task::sleep(Duration::from_millis(300)).await;
        assert_eq!(a.hub.stats().links_up, before, "the link stays");
        a.hub.send("b", &loan(1)).expect("linked");
    }
}

// Guards against refusing a restarted instance whose clock was set back: the incarnation is the time of the start, so
// it is lower than before.
#[async_std::test]
async fn a_restarted_instance_is_linked_at_once_though_its_incarnation_is_lower() {
    let b = Node::start("b", 1).await;
    let first = Node::start("a", 9_000).await;
    first.hub.set_dialled_peers(&[b.peer("b")]);
    assert_eq!(b.next_non_heartbeat().await, up("a", 9_000));
    drop(first);
    assert_eq!(b.next_non_heartbeat().await, down("a", 9_000, DownReason::Cut));
    let second = Node::start("a", 3_000).await;
    let started = Instant::now();
    second.hub.set_dialled_peers(&[b.peer("b")]);
    assert_eq!(b.next_non_heartbeat().await, up("a", 3_000));
    assert!(started.elapsed() < Duration::from_millis(500));
}

// Guards against treating a peer as alive when its connection has gone silent.
#[async_std::test]
async fn a_silent_link_is_closed_after_a_second_and_redialled() {
    let (a, b, relay) = linked_pair().await;
    // A quiet link stays up.
    task::sleep(Duration::from_millis(1_500)).await;
    let silenced = Instant::now();
    relay.silence();
    assert_eq!(a.next_non_heartbeat().await, down("b", 1, DownReason::Silent));
    let waited = silenced.elapsed();
    assert!((550..1_400).contains(&waited.as_millis()), "closed after {waited:?}");
    assert_eq!(a.next_non_heartbeat().await, up("b", 1));
    assert!(matches!(b.next_non_heartbeat().await, PeerEvent::Down { .. }));
    assert_eq!(b.next_non_heartbeat().await, up("a", 1));
    a.hub.send("b", &loan(1)).expect("linked");
    assert_eq!(b.next_non_heartbeat().await, from("a", loan(1)));
}

// Guards against redials that never happen, repeat without delay, or back off beyond the maximum.
#[async_std::test]
async fn a_cut_link_is_redialled_with_backoff_until_the_peer_answers() {
    let (a, _b, relay) = linked_pair().await;
    relay.refuse(true);
    relay.cut();
    assert_eq!(a.next_non_heartbeat().await, down("b", 1, DownReason::Cut));
    task::sleep(Duration::from_secs(3)).await;
    let dials = a.hub.stats().failed_handshakes;
    assert!((2..=12).contains(&dials), "{dials} dials in 3 s");
    relay.refuse(false);
    let allowed = Instant::now();
    assert_eq!(a.next_non_heartbeat().await, up("b", 1));
    assert!(allowed.elapsed() < Duration::from_millis(2_500));
}

// Guards against keeping the link to the previous process of a restarted instance, whose connection may hang.
#[async_std::test]
async fn a_new_incarnation_replaces_the_link_and_an_old_one_is_refused() {
    let b = Node::start("b", 1).await;
    let first = Node::start("a", 5).await;
    first.hub.set_dialled_peers(&[b.peer("b")]);
    assert_eq!(b.next_non_heartbeat().await, up("a", 5));
    let second = Node::start("a", 6).await;
    second.hub.set_dialled_peers(&[b.peer("b")]);
    assert_eq!(b.next_non_heartbeat().await, down("a", 5, DownReason::Replaced));
    assert_eq!(b.next_non_heartbeat().await, up("a", 6));
    // The previous process continues to dial.
    task::sleep(Duration::from_millis(1_200)).await;
    assert!(b.hub.stats().failed_handshakes > 0);
    b.hub.send("a", &loan(1)).expect("linked");
    assert_eq!(second.next_non_heartbeat().await, up("b", 1));
    assert_eq!(second.next_non_heartbeat().await, from("b", loan(1)));
    assert!(b.events.is_empty());
}

/// Opens a connection to a hub as the instance `id` and sends `frame` after the `Hello`.
async fn send_raw(to: &Node, id: &str, frame: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(to.hub.address()).await.expect("the hub listens");
    let hello = Hello {
        protocol: message::PROTOCOL,
        instance: id.to_owned(),
        incarnation: 1,
        failure_domain: "z1".to_owned(),
    };
    let hello = message::encode(&Message::Hello(hello)).expect("small");
    let length = u32::try_from(hello.len()).expect("small").to_be_bytes();
    stream.write_all(&[&length, &*hello, frame].concat()).await.expect("connected");
    stream
}

// Guards against a faulty peer that causes large allocations or closes links other than its own.
#[async_std::test]
async fn a_malformed_or_oversized_frame_closes_only_its_own_link() {
    let (a, b, _relay) = linked_pair().await;
    let malformed = [&3_u32.to_be_bytes()[..], &[0xff; 3]].concat();
    let oversized = (message::MAX_FRAME as u32 + 1).to_be_bytes();
    for frame in [&malformed[..], &oversized[..]] {
        let mut stream = send_raw(&b, "aa", frame).await;
        assert_eq!(b.next_non_heartbeat().await, up("aa", 1));
        assert_eq!(b.next_non_heartbeat().await, down("aa", 1, DownReason::Malformed));
        let mut rest = Vec::new();
        let closed = future::timeout(Duration::from_secs(1), stream.read_to_end(&mut rest)).await;
        assert!(closed.is_ok(), "the connection is closed");
    }
    // A malformed frame instead of a `Hello`, a `Hello` with the hub's own id, and no `Hello` at all.
    let mut no_hello = TcpStream::connect(b.hub.address()).await.expect("the hub listens");
    no_hello.write_all(&malformed).await.expect("connected");
    let _itself = send_raw(&b, "b", &[]).await;
    let _quiet = TcpStream::connect(b.hub.address()).await.expect("the hub listens");
    task::sleep(Duration::from_millis(1_300)).await;
    let stats = b.hub.stats();
    assert_eq!((stats.closed_malformed, stats.failed_handshakes), (2, 3));
    a.hub.send("b", &loan(1)).expect("the other link is up");
    assert_eq!(b.next_non_heartbeat().await, from("a", loan(1)));
    let chunk =
        ConfigChunk { content: vec![0; message::MAX_FRAME].into(), ..ConfigChunk::default() };
    let too_large = a.hub.send("b", &Message::ConfigChunk(chunk));
    assert!(matches!(too_large, Err(SendError::Message(message::Error::TooLarge(_)))));
}

// Guards against a send that blocks the control thread or takes unbounded memory when a peer is slow.
#[async_std::test]
async fn a_full_queue_refuses_messages_at_once() {
    let (a, _b, relay) = linked_pair().await;
    relay.delay(Duration::from_secs(3));
    let chunk = ConfigChunk { content: vec![0; 256 << 10].into(), ..ConfigChunk::default() };
    let chunk = Message::ConfigChunk(chunk);
    let started = Instant::now();
    let refused = (0..40).filter(|_| a.hub.send("b", &chunk) == Err(SendError::QueueFull)).count();
    assert!(started.elapsed() < Duration::from_millis(500));
    assert!(refused > 20, "{refused} of 40 messages were refused");
    assert_eq!(a.hub.stats().queue_full, refused as u64);
}

// Guards against losing messages, or closing links as silent, while the owner of the hub is slow to receive events.
#[async_std::test]
async fn a_slow_owner_holds_messages_back_and_loses_none() {
    let (a, b, _relay) = linked_pair().await;
    for id in 0..200 {
        a.hub.send("b", &loan(id)).expect("the queue has room");
    }
    task::sleep(Duration::from_millis(2_500)).await;
    for id in 0..200 {
        assert_eq!(b.next_non_heartbeat().await, from("a", loan(id)));
    }
    assert_eq!(a.hub.stats().links_up, 1);
}

// Guards against links to instances that were removed from the set.
#[async_std::test]
async fn a_peer_that_is_taken_out_is_not_linked_any_more() {
    let (a, b, relay) = linked_pair().await;
    a.hub.set_dialled_peers(&[]);
    assert_eq!(a.next_non_heartbeat().await, down("b", 1, DownReason::Removed));
    assert_eq!(b.next_non_heartbeat().await, down("a", 1, DownReason::Cut));
    task::sleep(Duration::from_millis(500)).await;
    assert!(a.hub.linked_peers().is_empty() && b.hub.linked_peers().is_empty());
    // The same holds if the peer is removed while the link is being opened.
    relay.delay(Duration::from_millis(200));
    a.hub.set_dialled_peers(&[peer_at("b", relay.address())]);
    task::sleep(Duration::from_millis(100)).await;
    a.hub.set_dialled_peers(&[]);
    task::sleep(Duration::from_millis(1_500)).await;
    assert!(a.hub.linked_peers().is_empty() && b.hub.linked_peers().is_empty());
}

// Guards against a changed revision that waits for the next regular heartbeat, a long time in a large failure domain.
#[async_std::test]
async fn heartbeats_carry_the_owners_contents_and_a_new_revision_goes_out_at_once() {
    let listen = ([127, 0, 0, 1], 0).into();
    let slow = HubConfig {
        heartbeat_bytes_per_second: 1,
        ..HubConfig::new("a".into(), 1, "z1".into(), listen)
    };
    let (a, b) = (Node::start_with(slow).await, Node::start("b", 1).await);
    a.hub.set_dialled_peers(&[b.peer("b")]);
    assert_eq!(b.next().await, up("a", 1));
    task::sleep(Duration::from_millis(100)).await;
    let set = Instant::now();
    let contents = Heartbeat { sequence: 0, revision: 3, waiting: vec![4], ..Heartbeat::default() };
    a.hub.set_heartbeat(contents).expect("small");
    let sent = Heartbeat { sequence: 1, revision: 3, waiting: vec![4], ..Heartbeat::default() };
    assert_eq!(b.next().await, from("a", Message::Heartbeat(sent)));
    let waited = set.elapsed();
    assert!(waited < Duration::from_millis(100), "sent after {waited:?}");
}
