//! The interface of request tasks and other tasks to the control thread.

use std::sync::{
    Arc,
    atomic::{AtomicU64, AtomicUsize, Ordering},
    mpsc::Sender,
};

use async_channel::Receiver;
use policy::{
    dispatch::{Event, FailureCause, NotRunCause, Request},
    rate::AccountId,
};
use thiserror::Error;

use super::{ControlEvent, Directive, SubmittedRequest};
use crate::status::{ControlStatus, LoadStatus};

/// The capacity of a request's directive channel, in which a dispatch, its cancellation and a refusal can wait.
const DIRECTIVE_CAPACITY: usize = 8;

/// Sends events to the control thread.
#[derive(Debug, Clone)]
pub struct ControlHandle {
    tx: Sender<ControlEvent>,
    open: Arc<AtomicUsize>,
    max_open: usize,
    next_id: Arc<AtomicU64>,
}

/// The error that the daemon already holds as many requests as its limit allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the daemon holds {limit} requests, its limit")]
pub struct TooManyRequests {
    /// The limit.
    pub limit: usize,
}

/// A submitted request; if it is dropped before the request ended, it reports that the caller has gone.
#[derive(Debug)]
pub struct Admission {
    id: u64,
    control: ControlHandle,
    directives: Receiver<Directive>,
    is_ended: bool,
}

impl ControlHandle {
    /// Creates a handle; at most `max_open` requests are open at once.
    pub fn new(tx: Sender<ControlEvent>, max_open: usize) -> Self {
        Self { tx, open: Arc::default(), max_open, next_id: Arc::default() }
    }

    /// Sends an event.
    ///
    /// The channel is unbounded: the number of open requests is limited, and events other than those of requests are
    /// rare.
    pub fn send(&self, event: ControlEvent) {
        // The thread ends only after the last request, so events that cannot be delivered need no handling.
        let _ = self.tx.send(event);
    }

    /// Submits a request and sets its id.
    ///
    /// # Errors
    ///
    /// Returns an error if too many requests are open.
    pub fn submit(
        &self,
        mut request: Request,
        rate_account: Option<AccountId>,
    ) -> std::result::Result<Admission, TooManyRequests> {
        if self.open.fetch_add(1, Ordering::AcqRel) >= self.max_open {
            self.open.fetch_sub(1, Ordering::AcqRel);
            return Err(TooManyRequests { limit: self.max_open });
        }
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        request.id = id;
        let (tx, rx) = async_channel::bounded(DIRECTIVE_CAPACITY);
        self.send(ControlEvent::Submit(Box::new(SubmittedRequest {
            request,
            rate_account,
            directives: tx,
        })));
        Ok(Admission { id, control: self.clone(), directives: rx, is_ended: false })
    }

    /// Returns the number of requests that are queued or running.
    pub fn open_requests(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// Returns the requests in flight, or `None` if the thread has ended.
    pub async fn loads(&self) -> Option<LoadStatus> {
        let (tx, rx) = async_channel::bounded(1);
        self.send(ControlEvent::GetLoads(tx));
        rx.recv().await.ok()
    }

    /// Returns the state of the thread, or `None` if it has ended.
    pub async fn status(&self) -> Option<ControlStatus> {
        let (tx, rx) = async_channel::bounded(1);
        self.send(ControlEvent::GetStatus(tx));
        rx.recv().await.ok()
    }

    /// Returns the state of the thread without that of the services, which may have thousands of targets; `None` if it has ended.
    pub async fn summary(&self) -> Option<ControlStatus> {
        let (tx, rx) = async_channel::bounded(1);
        self.send(ControlEvent::GetSummary(tx));
        rx.recv().await.ok()
    }
}

impl Admission {
    /// Waits for the next directive and returns it, or `None` if the control thread has ended.
    pub async fn next(&self) -> Option<Directive> {
        self.directives.recv().await.ok()
    }

    /// Reports that the answer comes through another daemon.
    pub fn answered_through_peer(&self) {
        self.report(Event::AnsweredThroughPeer { id: self.id });
    }

    /// Reports that the first byte of the answer arrived.
    pub fn first_byte(&self) {
        self.report(Event::FirstByte { id: self.id });
    }

    /// Reports that the first output of the attempt arrived.
    pub fn output_begun(&self) {
        self.report(Event::OutputBegun { id: self.id });
    }

    /// Reports that an attempt failed before any byte was sent; a directive follows.
    pub fn failed_before_send(&self) {
        self.report(Event::FailedBeforeSend { id: self.id });
    }

    /// Reports that an attempt failed after a byte may have been sent; a directive follows.
    pub fn failed_after_send(&self, cause: FailureCause) {
        self.report(Event::FailedAfterSend { id: self.id, cause });
    }

    /// Reports that the target did not run the request and will not; a directive follows.
    pub fn not_run(&self, cause: NotRunCause) {
        self.report(Event::NotRun { id: self.id, cause });
    }

    /// Reports that a batch attempt was stopped for online requests; a directive follows.
    pub fn yielded(&self) {
        self.report(Event::Yielded { id: self.id });
    }

    /// Reports that the answer is complete.
    pub fn completed(mut self, tokens: Option<u64>) {
        self.is_ended = true;
        self.report(Event::Completed { id: self.id, tokens });
    }

    /// Ends a request that the control thread has refused and no longer holds.
    pub fn refused(mut self) {
        self.is_ended = true;
    }

    fn report(&self, event: Event) {
        self.control.send(ControlEvent::Dispatch(event));
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        if !self.is_ended {
            self.report(Event::CallerGone { id: self.id });
        }
        self.control.open.fetch_sub(1, Ordering::AcqRel);
    }
}
