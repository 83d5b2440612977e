//! Exchanges on connections of their own, beside the links of a hub.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use async_std::{future::timeout, io::WriteExt as _, net::TcpListener, task};
use peer::{
    Hub, HubConfig,
    exchange::{self, EXCHANGE_SILENCE, ExchangeError, IncomingExchange},
    message::exchange::{
        BodyEnd, BodyPiece, ExchangeMessage, ExchangeOpen, ExchangeReady, MAX_PIECE_BYTES,
    },
};
use stdx::Name;

const LOCAL: ([u8; 4], u16) = ([127, 0, 0, 1], 0);
const LIMIT: Duration = Duration::from_secs(10);

struct Helper {
    hub: Hub,
    exchanges: async_channel::Receiver<IncomingExchange>,
}

async fn start_helper() -> Helper {
    let cfg = HubConfig::new(Name::new("helper"), 1, Name::new("a"), LOCAL.into());
    let (events, _) = async_channel::unbounded();
    let (tx, exchanges) = async_channel::bounded(4);
    let hub = Hub::start_with_exchanges(cfg, events, Some(tx)).await.expect("a free port");
    Helper { hub, exchanges }
}

fn request() -> ExchangeOpen {
    ExchangeOpen {
        instance: "entry".to_owned(),
        token: "secret".to_owned(),
        target: "t-1".to_owned(),
        ..ExchangeOpen::default()
    }
}

async fn open(
    helper: &Helper,
) -> (exchange::ExchangeSender, exchange::ExchangeReceiver, IncomingExchange) {
    let address = helper.hub.address();
    let name = Name::new("helper");
    let opened = exchange::open(&name, address, request());
    let (tx, rx) = timeout(LIMIT, opened).await.expect("in time").expect("an exchange");
    let incoming = timeout(LIMIT, helper.exchanges.recv()).await.expect("in time");
    (tx, rx, incoming.expect("an exchange"))
}

fn piece(byte: u8) -> ExchangeMessage {
    ExchangeMessage::Piece(BodyPiece { bytes: vec![byte; MAX_PIECE_BYTES].into() })
}

// Guards against messages that get lost or mixed up between the two ends.
#[async_std::test]
async fn both_ends_receive_what_the_other_sends() {
    let helper = start_helper().await;
    let (mut tx, mut rx, mut incoming) = open(&helper).await;
    assert_eq!((&*incoming.open.token, &*incoming.open.target), ("secret", "t-1"));
    let ready = ExchangeReady { load: 3, contact_age_ms: 7 };
    incoming.tx.send(ExchangeMessage::Ready(ready.clone())).await.unwrap();
    incoming.tx.keep_alive().await.unwrap();
    assert_eq!(rx.next().await, Ok(Some(ExchangeMessage::Ready(ready))));
    assert_eq!(rx.next().await, Ok(None));
    tx.send(piece(1)).await.unwrap();
    tx.send(ExchangeMessage::End(BodyEnd {})).await.unwrap();
    assert_eq!(incoming.rx.next().await, Ok(Some(piece(1))));
    assert_eq!(incoming.rx.next().await, Ok(Some(ExchangeMessage::End(BodyEnd {}))));
}

// Guards against an end of the connection that reads as the end of a body.
#[async_std::test]
async fn an_end_without_a_message_is_an_error_at_both_ends() {
    let helper = start_helper().await;
    let (tx, mut rx, mut incoming) = open(&helper).await;
    drop(incoming.tx);
    assert_eq!(rx.next().await, Err(ExchangeError::Closed));
    drop(tx);
    assert_eq!(incoming.rx.next().await, Err(ExchangeError::Closed));
}

// Guards against an exchange that waits without an end for a daemon that has fallen silent.
#[async_std::test]
async fn silence_is_an_error() {
    let helper = start_helper().await;
    let (_tx, mut rx, _incoming) = open(&helper).await;
    let started = Instant::now();
    assert_eq!(rx.next().await, Err(ExchangeError::Silent));
    assert!(started.elapsed() >= EXCHANGE_SILENCE);
}

// Guards against memory that grows with what a reader does not take.
#[async_std::test]
async fn a_sender_waits_for_a_receiver_that_does_not_read() {
    let helper = start_helper().await;
    let (mut tx, _rx, incoming) = open(&helper).await;
    let send_all = async {
        for n in 0..10_000_u32 {
            tx.send(piece(n as u8)).await.unwrap();
        }
    };
    assert!(timeout(Duration::from_millis(500), send_all).await.is_err(), "160 MB are not taken");
    drop(incoming);
}

// Guards against an exchange with the wrong daemon, after another one has taken over the address of the helper.
#[async_std::test]
async fn another_daemon_at_the_address_is_not_taken_for_the_helper() {
    let helper = start_helper().await;
    let opened = exchange::open(&Name::new("former"), helper.hub.address(), request()).await;
    assert_eq!(opened.err(), Some(ExchangeError::OtherInstance));
}

// Guards against a daemon that takes bytes which are no exchange for one, or waits for it.
#[async_std::test]
async fn what_is_no_exchange_fails() {
    let listener = TcpListener::bind(SocketAddr::from(LOCAL)).await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            stream.write_all(b"HTTP/1.1 400 Bad Request\r\n\r\n").await.unwrap();
        }
    });
    let opened = exchange::open(&Name::new("helper"), address, request()).await;
    assert_eq!(opened.err(), Some(ExchangeError::Malformed));
}

// Guards against exchanges that wait for a daemon which does not take them.
#[async_std::test]
async fn a_hub_without_a_queue_closes_exchanges() {
    let cfg = HubConfig::new(Name::new("helper"), 1, Name::new("a"), LOCAL.into());
    let (events, _) = async_channel::unbounded();
    let hub = Hub::start(cfg, events).await.unwrap();
    let opened = exchange::open(&Name::new("helper"), hub.address(), request()).await;
    let (_tx, mut rx) = opened.expect("the helper has said who it is");
    assert_eq!(rx.next().await, Err(ExchangeError::Closed));
}
