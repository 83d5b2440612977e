//! Tests that the end of a task by a panic reaches its owner.

use std::{
    future::{self, Future},
    io,
};

use async_std::{io::ReadExt as _, task};
use borageshed::{
    answer::streamed_body,
    tasks::{EndNotice, contain},
};
use futures::future::abortable;
use futures::{StreamExt as _, stream};
use slog::{Discard, Logger, o};
use stdx::panics::{self, Panic};

#[derive(Debug, PartialEq, Eq)]
enum Event {
    Ended,
    Interrupted,
}

/// Runs a task like that of an item, which notifies its owner of its end.
fn start(run: impl Future<Output = ()> + Send + 'static) -> async_channel::Receiver<Event> {
    let (tx, rx) = async_channel::unbounded();
    let notice = EndNotice::new(tx, Event::Interrupted);
    task::spawn(async move {
        let log = Logger::root(Discard, o!());
        if contain(&log, "r-1", run).await.is_some() {
            notice.send(Event::Ended);
        }
    });
    rx
}

async fn events(rx: async_channel::Receiver<Event>) -> Vec<Event> {
    let mut events = Vec::new();
    while let Ok(event) = rx.recv().await {
        events.push(event);
    }
    events
}

// Guards against an item that counts as running for ever because its task panicked.
#[async_std::test]
async fn the_owner_of_a_task_that_panics_learns_of_its_end_once() {
    assert_eq!(events(start(async { panic!("probe") })).await, [Event::Interrupted]);
    assert_eq!(events(start(async {})).await, [Event::Ended]);
}

// Guards against an item that counts as running for ever because its task was aborted before its first poll.
#[async_std::test]
async fn the_owner_of_a_task_that_is_aborted_learns_of_its_end() {
    let (tx, rx) = async_channel::unbounded();
    let notice = EndNotice::new(tx, Event::Interrupted);
    let (run, handle) = abortable(async move {
        future::pending::<()>().await;
        notice.send(Event::Ended);
    });
    handle.abort();
    drop(run);
    assert_eq!(events(rx).await, [Event::Interrupted]);
}

// Guards against a daemon that goes on without a task that it needs: the handler ends the process.
#[async_std::test]
async fn a_panic_of_an_essential_task_or_thread_reaches_the_handler() {
    let (tx, rx) = async_channel::unbounded();
    panics::on_essential_panic(move |name, panic| {
        tx.try_send((name, panic.clone())).expect("an open channel");
    });
    panics::essential("task", async { panic!("probe {}", 1) }).await;
    std::thread::spawn(|| panics::essential_thread("thread", || panic!("probe")));
    let panic = |text: &str| Panic { message: text.to_owned() };
    assert_eq!(rx.recv().await, Ok(("task", panic("probe 1"))));
    assert_eq!(rx.recv().await, Ok(("thread", panic("probe"))));
}

// Guards against the content of a file that looks complete because the task that sends it panicked.
#[async_std::test]
async fn a_body_whose_pieces_panic_ends_with_an_error() {
    let log = Logger::root(Discard, o!());
    let piece = |n: usize| {
        assert!(n < 2, "probe");
        io::Result::Ok(format!("line {n}\n").into_bytes())
    };
    let pieces = |count: usize| stream::iter(0..count).map(piece);
    let mut read = String::new();
    let complete = streamed_body(&log, pieces(2)).read_to_string(&mut read).await;
    assert!(complete.is_ok_and(|n| n == read.len()), "{read}");
    let mut cut = Vec::new();
    let broken = streamed_body(&log, pieces(3)).read_to_end(&mut cut).await;
    assert_eq!(cut, read.as_bytes());
    assert!(broken.is_err(), "the body looks complete: {broken:?}");
}
