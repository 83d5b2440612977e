//! The requests that this instance may send to a target that limits those of all instances together.
//!
//! Each instance computes its own part of the limit from the list of registered instances, which is the same everywhere. So no
//! agreement is needed, and instances that have lost touch with each other never send more than their parts. Tokens of online
//! and batch requests accrue separately: neither can use up the tokens of the other.

use std::{collections::VecDeque, time::Duration};

use stdx::{Timestamp, value_type};

use super::request::Class;

/// The span over which the requests to a limited target are counted for load reports.
pub(super) const COUNTING_WINDOW: Duration = Duration::from_secs(4);
/// The number of instances that run batch items on one limited target.
const BATCH_USERS: usize = 2;
/// The part of a limit that batch requests get even if online requests could use all of it, where no other target would run them.
pub(super) const BATCH_SHARE: f64 = 0.15;
/// The further part of a limit that batch requests get while less than this part of it is used.
const BATCH_FILL: f64 = 0.7;
/// How often that use is compared; load reports of all instances arrive within this time.
const FILL_INTERVAL: Duration = Duration::from_secs(1);
/// All instances together save up the tokens for online requests that accrue in this time, since callers come in peaks that are much
/// shorter than the troughs between them.
const ONLINE_BURST: Duration = Duration::from_secs(1);
/// The number of tokens that all instances together save up beyond that, so that several of them can send at once under a low limit.
const EXTRA_ONLINE_BURST: f64 = 3.0;
/// The time in which an instance saves up tokens for batch requests beyond the first.
const BATCH_BURST: Duration = Duration::from_millis(250);
/// A target with a lower limit gets this many requests a second all the same. Without any answer, nobody would learn that the
/// limit has ended.
const MIN_PER_S: f64 = 0.25;

value_type! {
    /// A limit on the requests that a target takes from all instances together, in thousandths of a request per second.
    #[derive(Copy)]
    pub struct TargetLimit(pub u64);
}

value_type! {
    /// The instances that share a limit, and whether this one is among them.
    #[derive(Copy, Default)]
    pub(super) struct Sharing {
        /// The number of instances that send online requests.
        pub online_users: usize,
        /// Whether this instance sends online requests.
        pub is_online_user: bool,
        /// The number of instances that send batch requests.
        pub batch_users: usize,
        /// Whether this instance sends batch requests.
        pub is_batch_user: bool,
        /// Whether all targets of the service are limited, so that batch requests depend on the limits.
        pub all_limited: bool,
    }
}

/// This instance's part of the requests to a cold target: the tokens that accrue per second, and those that are saved up.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct ColdShare {
    pub online: (f64, f64),
    pub batch: (f64, f64),
}

/// What this instance knows of the limit of a target, and its part of it. A target that is cold has a second limit; a request needs a token
/// of each.
#[derive(Debug, Default)]
pub(super) struct Allowance {
    limited: Option<Limited>,
    cold: Option<Cold>,
    /// When the newest news about the limit was true.
    news_at: Timestamp,
    /// When peers were last told of the limit, by this instance or another one.
    pub announced_at: Timestamp,
}

#[derive(Debug)]
struct Limited {
    limit: TargetLimit,
    sharing: Sharing,
    online: Bucket,
    batch: Bucket,
    /// When this instance sent requests, within [`COUNTING_WINDOW`].
    starts: VecDeque<Timestamp>,
    /// Whether batch requests use what online requests leave.
    is_filling: bool,
    next_fill_check: Timestamp,
}

/// The limit of a target that is cold.
#[derive(Debug)]
struct Cold {
    until: Timestamp,
    online: Bucket,
    batch: Bucket,
}

#[derive(Debug)]
struct Bucket {
    per_s: f64,
    /// The maximum of `tokens`.
    burst: f64,
    tokens: f64,
    refilled_at: Timestamp,
}

impl TargetLimit {
    /// Returns the requests per second that the instances share.
    pub(super) fn per_s(self) -> f64 {
        (self.0 as f64 / 1_000.0).max(MIN_PER_S)
    }

    /// Returns the maximum number of instances that send online requests. Each holds a token when it is idle, so that with more
    /// of them a burst at all instances would exceed a low limit several times over.
    pub(super) fn max_online_users(self) -> usize {
        self.per_s() as usize + 2
    }

    /// Returns the maximum number of instances that send batch requests.
    pub(super) fn max_batch_users(self) -> usize {
        BATCH_USERS
    }
}

impl Sharing {
    fn online_per_s(self, limit: TargetLimit) -> f64 {
        match self.is_online_user {
            true => limit.per_s() * (1.0 - self.batch_share()) / self.online_users as f64,
            false => 0.0,
        }
    }

    fn batch_per_s(self, limit: TargetLimit, fill: f64) -> f64 {
        match self.is_batch_user {
            true => limit.per_s() * (self.batch_share() + fill).min(1.0) / self.batch_users as f64,
            false => 0.0,
        }
    }

    /// Returns the tokens that this instance saves up for online requests.
    fn online_burst(self, limit: TargetLimit) -> f64 {
        let of_all = limit.per_s() * ONLINE_BURST.as_secs_f64() + EXTRA_ONLINE_BURST;
        of_all / self.online_users.max(1) as f64
    }

    fn batch_share(self) -> f64 {
        match (self.online_users, self.batch_users) {
            (_, 0) => 0.0,
            (0, _) => 1.0,
            (_, _) if self.all_limited => BATCH_SHARE,
            (_, _) => 0.0,
        }
    }
}

impl Allowance {
    /// Returns the limit; `None` if the target has none.
    pub fn limit(&self) -> Option<TargetLimit> {
        self.limited.as_ref().map(|it| it.limit)
    }

    /// Returns whether the target has a limit, named or because it is cold.
    pub fn is_limited(&self) -> bool {
        self.limited.is_some() || self.cold.is_some()
    }

    /// Returns whether the target is cold.
    pub fn is_cold(&self) -> bool {
        self.cold.is_some()
    }

    /// Sets until when the target is cold; returns whether it has turned cold or warm. No token accrues before that.
    pub fn set_cold(&mut self, now: Timestamp, until: Option<Timestamp>) -> bool {
        let was_cold = self.cold.is_some();
        match (&mut self.cold, until) {
            (Some(cold), Some(until)) => cold.until = until,
            (None, Some(until)) => {
                let (online, batch) = (Bucket::empty(now), Bucket::empty(now));
                self.cold = Some(Cold { until, online, batch });
            }
            (_, None) => self.cold = None,
        }
        was_cold != until.is_some()
    }

    /// Sets this instance's part of the requests to a cold target.
    pub fn set_cold_share(&mut self, now: Timestamp, share: ColdShare) {
        let Some(it) = &mut self.cold else { return };
        it.online.set_rate(now, share.online.0, share.online.1);
        it.batch.set_rate(now, share.batch.0, share.batch.1);
    }

    /// Records a limit that was true at `as_of`; returns whether it is new.
    pub fn set(&mut self, now: Timestamp, as_of: Timestamp, limit: TargetLimit) -> bool {
        if as_of < self.news_at {
            return false;
        }
        self.news_at = as_of;
        match &mut self.limited {
            Some(it) => std::mem::replace(&mut it.limit, limit) != limit,
            None => {
                self.limited = Some(Limited::new(now, limit));
                true
            }
        }
    }

    /// Records that the target named no limit at `as_of`, or later; returns whether this ends a limit.
    pub fn clear(&mut self, as_of: Timestamp) -> bool {
        if as_of <= self.news_at {
            return false;
        }
        self.news_at = as_of;
        self.limited.take().is_some()
    }

    /// Returns when the newest news about the limit was true.
    pub fn news_at(&self) -> Timestamp {
        self.news_at
    }

    /// Sets this instance's part of the limit.
    pub fn set_sharing(&mut self, now: Timestamp, sharing: Sharing) {
        let Some(it) = &mut self.limited else { return };
        it.sharing = sharing;
        it.online.set_rate(now, sharing.online_per_s(it.limit), sharing.online_burst(it.limit));
        it.set_batch_rate(now);
    }

    /// Adds the tokens that have accrued.
    pub fn refill(&mut self, now: Timestamp) {
        if let Some(it) = &mut self.cold {
            it.online.refill(now);
            it.batch.refill(now);
        }
        let Some(it) = &mut self.limited else { return };
        it.starts.retain(|at| now.since(*at) < COUNTING_WINDOW);
        it.online.refill(now);
        it.batch.refill(now);
    }

    /// Returns whether it is time to compare the use of the limit, so that batch requests may fill what is left.
    pub fn is_fill_check_due(&self, now: Timestamp) -> bool {
        let due = |it: &Limited| it.sharing.is_batch_user && now >= it.next_fill_check;
        self.limited.as_ref().is_some_and(due)
    }

    /// Decides whether batch requests fill the limit, given the requests of the other instances within [`COUNTING_WINDOW`], if
    /// they are known.
    pub fn check_fill(&mut self, now: Timestamp, of_others: Option<u32>) {
        let Some(it) = &mut self.limited else { return };
        it.next_fill_check = now + FILL_INTERVAL;
        let part = BATCH_FILL * it.limit.per_s() * COUNTING_WINDOW.as_secs_f64();
        let own = it.starts.len() as f64;
        it.is_filling = of_others.is_some_and(|others| f64::from(others) + own < part);
        it.set_batch_rate(now);
    }

    /// Stops batch requests from filling the limit, because online requests wait.
    pub fn stop_filling(&mut self, now: Timestamp) {
        let Some(it) = self.limited.as_mut().filter(|it| it.is_filling) else { return };
        it.is_filling = false;
        it.next_fill_check = now + FILL_INTERVAL;
        it.set_batch_rate(now);
    }

    /// Returns whether the limit lets this instance send a request now.
    pub fn has_token(&self, class: Class) -> bool {
        self.tokens(class) >= 1
    }

    /// Returns the number of requests that the limit lets this instance send now.
    pub fn tokens(&self, class: Class) -> u32 {
        self.buckets(class).map(|it| it.tokens as u32).min().unwrap_or(u32::MAX)
    }

    /// Returns the time until the limit lets this instance send a request; `None` for never.
    pub fn wait(&self, class: Class) -> Option<Duration> {
        let named =
            self.limited.as_ref().map_or(Some(Duration::ZERO), |it| it.bucket(class).wait())?;
        let cold = self.cold.as_ref().map_or(Duration::ZERO, |it| {
            let bucket = it.bucket(class);
            let left = it.until.since(bucket.refilled_at);
            bucket.wait().map_or(left, |wait| wait.min(left))
        });
        Some(named.max(cold))
    }

    /// Returns how many requests per second the limit lets this instance send; `None` if there is no limit.
    pub fn per_s(&self, class: Class) -> Option<f64> {
        self.buckets(class).map(|it| it.per_s).reduce(f64::min)
    }

    /// Takes the token for a request that is sent.
    pub fn take(&mut self, now: Timestamp, class: Class) {
        if let Some(it) = &mut self.cold {
            it.bucket_mut(class).tokens -= 1.0;
        }
        let Some(it) = &mut self.limited else { return };
        it.starts.push_back(now);
        it.bucket_mut(class).tokens -= 1.0;
    }

    /// Takes a token of either class for a request that belongs to none; returns whether there is one.
    pub fn take_any(&mut self, now: Timestamp) -> bool {
        let class = [Class::Online, Class::Batch].into_iter().find(|it| self.has_token(*it));
        class.inspect(|it| self.take(now, *it)).is_some()
    }

    /// Gives back the token of a request that was not sent.
    pub fn refund(&mut self, class: Class) {
        if let Some(it) = &mut self.cold {
            it.bucket_mut(class).tokens += 1.0;
        }
        let Some(it) = &mut self.limited else { return };
        it.starts.pop_back();
        it.bucket_mut(class).tokens += 1.0;
    }

    /// Returns the number of requests that this instance sent within [`COUNTING_WINDOW`]; 0 if there is no limit.
    pub fn recent_starts(&self) -> u32 {
        self.limited.as_ref().map_or(0, |it| it.starts.len() as u32)
    }

    fn buckets(&self, class: Class) -> impl Iterator<Item = &Bucket> {
        let named = self.limited.as_ref().map(|it| it.bucket(class));
        named.into_iter().chain(self.cold.as_ref().map(|it| it.bucket(class)))
    }
}

impl Limited {
    /// Starts without tokens: the requests before the limit was known count against it, too.
    fn new(now: Timestamp, limit: TargetLimit) -> Self {
        Self {
            limit,
            sharing: Sharing::default(),
            online: Bucket::empty(now),
            batch: Bucket::empty(now),
            starts: VecDeque::new(),
            is_filling: false,
            next_fill_check: now + COUNTING_WINDOW,
        }
    }

    fn set_batch_rate(&mut self, now: Timestamp) {
        let fill = if self.is_filling { BATCH_FILL } else { 0.0 };
        let per_s = self.sharing.batch_per_s(self.limit, fill);
        self.batch.set_rate(now, per_s, per_s * BATCH_BURST.as_secs_f64());
    }

    fn bucket(&self, class: Class) -> &Bucket {
        match class {
            Class::Online => &self.online,
            Class::Batch => &self.batch,
        }
    }

    fn bucket_mut(&mut self, class: Class) -> &mut Bucket {
        match class {
            Class::Online => &mut self.online,
            Class::Batch => &mut self.batch,
        }
    }
}

impl Cold {
    fn bucket(&self, class: Class) -> &Bucket {
        match class {
            Class::Online => &self.online,
            Class::Batch => &self.batch,
        }
    }

    fn bucket_mut(&mut self, class: Class) -> &mut Bucket {
        match class {
            Class::Online => &mut self.online,
            Class::Batch => &mut self.batch,
        }
    }
}

impl Bucket {
    fn empty(now: Timestamp) -> Self {
        Self { per_s: 0.0, burst: 0.0, tokens: 0.0, refilled_at: now }
    }

    /// Sets the rate and how many tokens are saved up: at least one, unless none accrue.
    fn set_rate(&mut self, now: Timestamp, per_s: f64, burst: f64) {
        self.refill(now);
        self.per_s = per_s;
        self.burst = if per_s == 0.0 { 0.0 } else { burst.max(1.0) };
        self.tokens = self.tokens.min(self.burst);
    }

    fn refill(&mut self, now: Timestamp) {
        let accrued = self.per_s * now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        if self.tokens < self.burst {
            self.tokens = (self.tokens + accrued).min(self.burst);
        }
    }

    fn wait(&self) -> Option<Duration> {
        if self.tokens >= 1.0 {
            return Some(Duration::ZERO);
        }
        (self.per_s > 0.0).then(|| Duration::from_secs_f64((1.0 - self.tokens) / self.per_s))
    }
}
