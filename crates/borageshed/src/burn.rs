//! Counts good and bad online requests by account and service, for reports on the burn rate of the error budget.
//!
//! A request is good if it is not answered with a server error and the first byte of the answer arrives within the
//! objective. Requests that are refused because their account is over its rate, or because they are poison, count as
//! neither.

use std::{
    collections::HashMap,
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll},
    time::Duration,
};

use async_std::io::{BufRead, Read};
use fleet::{Objective, QualifiedName};
use futures::ready;
use http_edge::{problem::ProblemKind, status::Status};
use http_types::Body;
use serde::Serialize;
use stdx::{Name, Timestamp};

use crate::{
    online::{self, Ended},
    shared::Shared,
};

/// The sliding windows and the number of buckets of each. A sum covers the window and at most one additional bucket.
const WINDOWS: [(Duration, u64); 4] = [
    (Duration::from_secs(5 * 60), 10),
    (Duration::from_secs(60 * 60), 12),
    (Duration::from_secs(6 * 60 * 60), 12),
    (Duration::from_secs(3 * 24 * 60 * 60), 12),
];

/// The maximum number of pairs of account and service that are counted separately. A row takes about 600 bytes, so the
/// table stays under 5 MB.
const MAX_ROWS: usize = 8_192;

/// The minimum interval between scans of a full table for rows whose counts have all expired.
const SWEEP_INTERVAL: Duration = Duration::from_secs(60);

/// How a request counts towards the objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The first byte arrived within the objective.
    Good,
    /// The first byte arrived later, or the request failed.
    Bad,
    /// The request is no evidence about the quality of the service.
    Ignored,
}

/// The counters of a daemon.
#[derive(Debug, Default)]
pub struct BurnCounters {
    table: Mutex<Table>,
}

/// The response of `/burn`.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// The name of this instance.
    pub instance: Name,
    /// The objective in force.
    pub objective: Objective,
    /// The counts.
    pub rows: Vec<ReportRow>,
}

/// The counts of an account and a service.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ReportRow {
    /// The account as `origin/name`; `None` for the sum of all accounts beyond the limit of the table.
    pub account: Option<String>,
    /// The service as `origin/name`.
    pub service: String,
    /// The counts by window.
    pub windows: Vec<ReportWindow>,
}

/// The counts of a window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ReportWindow {
    /// The length of the window.
    pub seconds: u64,
    /// Good requests.
    pub good: u64,
    /// Bad requests.
    pub bad: u64,
}

/// Wraps the body of a stream and counts the request when the first byte arrives.
///
/// A target sends the head of a stream before it has computed anything, so the time of the head does not measure the
/// service.
pub struct FirstByteObserver {
    body: Body,
    /// The request to count; `None` after it was counted.
    pending: Option<Pending>,
}

struct Pending {
    cx: Arc<Shared>,
    account: QualifiedName,
    service: QualifiedName,
    started: Timestamp,
}

#[derive(Debug, Default)]
struct Table {
    rows: HashMap<(Option<QualifiedName>, QualifiedName), Row>,
    swept_at: Timestamp,
}

#[derive(Debug)]
struct Row {
    rings: [Ring; WINDOWS.len()],
}

/// The buckets of a window as a ring buffer.
#[derive(Debug)]
struct Ring {
    width: Duration,
    /// The number of the newest bucket, counted from the start of the clock.
    newest: u64,
    buckets: Box<[Count]>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Count {
    good: u32,
    bad: u32,
}

impl Verdict {
    /// Classifies a request that ended, or whose answer started, after `elapsed`.
    pub fn classify(ended: &Ended, elapsed: Duration, objective: &Objective) -> Self {
        let in_time = elapsed <= objective.first_byte();
        match ended {
            Ended::Answered(it) if Status::of(it.response()).is_server_error() => Self::Bad,
            Ended::Answered(_) if in_time => Self::Good,
            Ended::Answered(_) => Self::Bad,
            Ended::Refused(problem) => match problem.kind() {
                ProblemKind::RateLimited | ProblemKind::PoisonRequest => Self::Ignored,
                _ => Self::Bad,
            },
            Ended::CallerGone if in_time => Self::Ignored,
            Ended::CallerGone => Self::Bad,
        }
    }
}

/// Counts a request that ended or whose answer started; a stream is counted when the first byte of its body arrives.
pub fn count(
    cx: &Arc<Shared>,
    account: QualifiedName,
    service: QualifiedName,
    started: Timestamp,
    ended: &mut Ended,
) {
    let pending = Pending { cx: Arc::clone(cx), account, service, started };
    match ended {
        Ended::Answered(answer) if online::is_event_stream(answer.response()) => {
            answer.map_body(|body| {
                let body = FirstByteObserver { body, pending: Some(pending) };
                Body::from_reader(body, None)
            });
        }
        ended => pending.count(|elapsed, objective| Verdict::classify(ended, elapsed, objective)),
    }
}

impl Pending {
    fn count(self, judge: impl FnOnce(Duration, &Objective) -> Verdict) {
        let now = self.cx.clock.now();
        let verdict = judge(now.since(self.started), &self.cx.in_force.objective());
        self.cx.burn.record(now, &self.account, &self.service, verdict);
    }
}

impl FirstByteObserver {
    /// Counts the request after the first read of the body.
    fn observe(&mut self, read: &io::Result<usize>) {
        let Some(pending) = self.pending.take() else { return };
        let has_byte = read.as_ref().is_ok_and(|n| *n > 0);
        pending.count(|elapsed, objective| match has_byte && elapsed <= objective.first_byte() {
            true => Verdict::Good,
            false => Verdict::Bad,
        });
    }
}

impl Read for FirstByteObserver {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = ready!(Pin::new(&mut self.body).poll_read(cx, out));
        self.observe(&read);
        Poll::Ready(read)
    }
}

impl BufRead for FirstByteObserver {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        if this.pending.is_some() {
            let read = ready!(Pin::new(&mut this.body).poll_fill_buf(cx)).map(<[u8]>::len);
            this.observe(&read);
            read?;
        }
        Pin::new(&mut this.body).poll_fill_buf(cx)
    }

    fn consume(mut self: Pin<&mut Self>, amount: usize) {
        Pin::new(&mut self.body).consume(amount);
    }
}

impl Drop for FirstByteObserver {
    /// Counts a stream whose caller disconnected before the first byte.
    fn drop(&mut self) {
        if let Some(pending) = self.pending.take() {
            pending.count(|elapsed, objective| {
                Verdict::classify(&Ended::CallerGone, elapsed, objective)
            });
        }
    }
}

impl BurnCounters {
    /// Counts a request.
    pub fn record(
        &self,
        now: Timestamp,
        account: &QualifiedName,
        service: &QualifiedName,
        verdict: Verdict,
    ) {
        if verdict == Verdict::Ignored {
            return;
        }
        let mut table = self.table();
        let key = (Some(account.clone()), service.clone());
        let key = match table.rows.contains_key(&key) || table.make_room(now) {
            true => key,
            // There are few services, so these rows exceed `MAX_ROWS` by little.
            false => (None, service.clone()),
        };
        table.rows.entry(key).or_insert_with(Row::new).record(now, verdict);
    }

    /// Returns the counts, ordered by account and service.
    pub fn report(&self, now: Timestamp, instance: &Name, objective: Objective) -> Report {
        let table = self.table();
        let mut rows: Vec<ReportRow> = table
            .rows
            .iter()
            .map(|((account, service), row)| ReportRow {
                account: account.as_ref().map(ToString::to_string),
                service: service.to_string(),
                windows: row.windows(now),
            })
            .collect();
        drop(table);
        rows.sort_by(|a, b| (&a.account, &a.service).cmp(&(&b.account, &b.service)));
        Report { instance: instance.clone(), objective, rows }
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Table {
    /// Returns whether a row can be added; removes expired rows first if the table is full.
    fn make_room(&mut self, now: Timestamp) -> bool {
        if self.rows.len() >= MAX_ROWS && now.since(self.swept_at) >= SWEEP_INTERVAL {
            self.swept_at = now;
            self.rows.retain(|_, row| !row.is_empty(now));
        }
        self.rows.len() < MAX_ROWS
    }
}

impl Row {
    fn new() -> Self {
        Self { rings: WINDOWS.map(|(length, buckets)| Ring::new(length, buckets)) }
    }

    fn record(&mut self, now: Timestamp, verdict: Verdict) {
        for ring in &mut self.rings {
            ring.record(now, verdict);
        }
    }

    fn windows(&self, now: Timestamp) -> Vec<ReportWindow> {
        let windows = WINDOWS.iter().zip(&self.rings).map(|((length, _), ring)| {
            let (good, bad) = ring.sum(now);
            ReportWindow { seconds: length.as_secs(), good, bad }
        });
        windows.collect()
    }

    fn is_empty(&self, now: Timestamp) -> bool {
        self.rings.iter().all(|it| it.sum(now) == (0, 0))
    }
}

impl Ring {
    /// Creates an empty ring. It has one more bucket than the window is divided into, because the newest one covers
    /// only part of its time.
    fn new(length: Duration, buckets: u64) -> Self {
        let width = Duration::from_secs(length.as_secs() / buckets);
        let buckets = vec![Count::default(); buckets as usize + 1].into_boxed_slice();
        Self { width, newest: 0, buckets }
    }

    fn record(&mut self, now: Timestamp, verdict: Verdict) {
        let number = self.bucket_number(now);
        let len = self.buckets.len() as u64;
        // Buckets that were skipped since the last record hold expired counts of the previous cycle.
        let first = (self.newest + 1).max((number + 1).saturating_sub(len));
        for stale in first..=number {
            self.buckets[(stale % len) as usize] = Count::default();
        }
        self.newest = self.newest.max(number);
        let bucket = &mut self.buckets[(self.newest % len) as usize];
        match verdict {
            Verdict::Good => bucket.good = bucket.good.saturating_add(1),
            Verdict::Bad => bucket.bad = bucket.bad.saturating_add(1),
            Verdict::Ignored => {}
        }
    }

    /// Returns the numbers of good and bad requests in the window that ends at `now`.
    fn sum(&self, now: Timestamp) -> (u64, u64) {
        let len = self.buckets.len() as u64;
        let oldest = (self.bucket_number(now) + 1).saturating_sub(len);
        let first = oldest.max((self.newest + 1).saturating_sub(len));
        (first..=self.newest).fold((0, 0), |(good, bad), number| {
            let bucket = self.buckets[(number % len) as usize];
            (good + u64::from(bucket.good), bad + u64::from(bucket.bad))
        })
    }

    fn bucket_number(&self, now: Timestamp) -> u64 {
        now.as_micros() / self.width.as_micros() as u64
    }
}
