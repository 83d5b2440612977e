//! The rate limiter: decides on requests with the tokens of this instance and of loans.
//!
//! - `borrowing`: requests and returns loans.
//! - `lending`: lends to peers.
//! - `refusals`: refuses waiting callers.

mod borrowing;
mod lending;
mod refusals;

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use fleet::Document;
use rand::Rng as _;
use stdx::{Name, Rng, Timestamp};

use crate::rate::{
    AccountId, AcquireOutcome, Holdings, Inputs, LENDER_HOLD, MAX_WAIT, RateAction, RateMessage,
    Stats, WaiterId,
    borrower::{Borrower, Waiter},
    lender::{Lender, PeerIndex},
    share::Share,
    tokens::{Part, Rate, Tokens},
    traffic::TrafficBudget,
};

/// How long a peer is not asked after it failed to answer in time, doubled each time up to the maximum.
const LATE_PEER_BACKOFF_MIN: Duration = Duration::from_millis(250);
const LATE_PEER_BACKOFF_MAX: Duration = Duration::from_secs(4);
/// The retry time given to a refused caller if the account is unknown or has no rate.
const RETRY_AFTER_WITHOUT_RATE: Duration = Duration::from_secs(60);
/// The time after the start of an instance within which it takes back the slots of its earlier incarnation.
const HEAD_START_WINDOW: Duration = Duration::from_secs(5);
/// The maximum interval between ticks while callers wait.
const ACTIVE_TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Admits requests of every account from this instance's shares and from loans.
///
/// An account that is not in use on this instance costs memory for its share, but no processing.
#[derive(Debug)]
pub struct RateLimiter {
    slots: u32,
    own_slots: Vec<Timestamp>,
    started_at: Timestamp,
    /// The refill time that the first slots of an incarnation are credited with, see [`Self::with_head_start`].
    head_start: Duration,
    /// When slots or limits were last reduced; loans may exceed the share until they lapse.
    reduced_at: Option<Timestamp>,
    last_tick_at: Timestamp,
    shares: HashMap<AccountId, Share>,
    borrowers: BTreeMap<AccountId, Borrower>,
    peers: Vec<Peer>,
    peer_index: BTreeMap<Name, PeerIndex>,
    lender: Lender,
    traffic: TrafficBudget,
    next_request: u64,
    rng: Rng,
    stats: Stats,
}

#[derive(Debug)]
struct Peer {
    name: Name,
    slots: u32,
    backoff_until: Timestamp,
    backoff: Duration,
}

impl RateLimiter {
    /// Creates the limiter of one incarnation of an instance, with empty shares and no slots.
    ///
    /// `rng` must differ from that of other incarnations, since request identifiers are drawn from it. Nothing is admitted
    /// before [`LENDER_HOLD`] has passed: an earlier incarnation may have given loans.
    ///
    /// # Panics
    ///
    /// Panics if the document sets no rate slots.
    pub fn new(now: Timestamp, doc: &Document, mut rng: Rng) -> Self {
        assert!(doc.fleet.rate_slots > 0, "the document must set at least one rate slot");
        let mut limiter = Self {
            slots: doc.fleet.rate_slots,
            own_slots: Vec::new(),
            started_at: now,
            head_start: Duration::ZERO,
            reduced_at: None,
            last_tick_at: now,
            shares: HashMap::new(),
            borrowers: BTreeMap::new(),
            peers: Vec::new(),
            peer_index: BTreeMap::new(),
            lender: Lender::default(),
            traffic: TrafficBudget::new(now),
            next_request: rng.random(),
            rng,
            stats: Stats::default(),
        };
        limiter.set_document(now, doc);
        limiter
    }

    /// Lets the shares start with the refill of `head_start`, but at most half full, instead of empty.
    ///
    /// An earlier incarnation may have spent its shares just before, so the total over all instances can exceed an
    /// account's limits by that amount for each restart. Use it only in deployments that leave that much room
    /// above the limits.
    #[must_use]
    pub fn with_head_start(self, head_start: Duration) -> Self {
        Self { head_start, ..self }
    }

    /// Limits the bytes of loan messages per second.
    #[must_use]
    pub fn with_loan_bytes_per_s(mut self, bytes_per_s: f64) -> Self {
        self.traffic = TrafficBudget::with_rate(self.last_tick_at, bytes_per_s);
        self
    }

    /// Applies a document.
    ///
    /// This never raises a level: a new account starts empty, and a share whose limit is raised fills at the new rate.
    /// Waiting callers of a removed account are refused. The number of slots stays as it was at the start.
    pub fn set_document(&mut self, now: Timestamp, doc: &Document) -> Vec<RateAction> {
        let mut cx = self.begin_call(now);
        // Loans of an earlier incarnation may be spent until `start`.
        let (part, start) = (self.part(), now.max(self.started_at + LENDER_HOLD));
        let mut shares = HashMap::with_capacity(doc.accounts.len());
        for (name, account) in &doc.accounts {
            let id = AccountId::of(name);
            let (rate, burst) =
                (Rate::per_second(account.rate_per_s), Tokens::from_f64(account.burst));
            let share = match self.shares.remove(&id) {
                Some(mut share) => {
                    share.set_limits(now, rate, burst, part);
                    share
                }
                None => Share::new(start, rate, burst, self.lender.lent(id)),
            };
            shares.insert(id, share);
        }
        let removed = std::mem::replace(&mut self.shares, shares);
        for id in removed.into_keys() {
            let Some(mut borrower) = self.borrowers.remove(&id) else { continue };
            for waiter in borrower.waiters.drain(..) {
                self.stats.refused += 1;
                let retry_after = RETRY_AFTER_WITHOUT_RATE;
                cx.actions.push(RateAction::Refuse { waiter: waiter.id, retry_after });
            }
        }
        self.reduced_at = Some(now);
        cx.actions
    }

    /// Updates the slots that each instance holds.
    ///
    /// New slots start empty. The loss of slots reduces the capacity of the shares, and tokens beyond it are dropped.
    pub fn set_holdings(&mut self, now: Timestamp, holdings: &Holdings) {
        self.begin_call(now);
        let mut own: Vec<_> = holdings.own.iter().copied().filter(|it| *it > now).collect();
        own.sort_unstable();
        own.truncate(self.slots as usize);
        self.change_own_slots(now, own);
        for peer in &mut self.peers {
            peer.slots = 0;
        }
        for (name, slots) in &holdings.peers {
            let index = self.index_of_peer(name);
            self.peers[index as usize].slots = *slots;
        }
    }

    /// Decides on a request of an account.
    ///
    /// Returns the answer and the actions to perform; the actions may answer earlier waiters too.
    pub fn acquire(
        &mut self,
        now: Timestamp,
        account: AccountId,
        waiter: WaiterId,
    ) -> (AcquireOutcome, Vec<RateAction>) {
        let mut cx = self.begin_call(now);
        if !self.shares.contains_key(&account) {
            self.stats.refused += 1;
            return (AcquireOutcome::Refused { retry_after: RETRY_AFTER_WITHOUT_RATE }, cx.actions);
        }
        let borrower = self.borrowers.entry(account).or_default();
        borrower.record_request(now);
        borrower.waiters.push_back(Waiter { id: waiter, deadline: now + MAX_WAIT });
        self.serve_waiters(&mut cx, account);
        let own_answer = cx.actions.iter().position(|it| match it {
            RateAction::Grant { waiter: id } | RateAction::Refuse { waiter: id, .. } => {
                *id == waiter
            }
            RateAction::Send { .. } => false,
        });
        let answer = match own_answer.map(|at| cx.actions.remove(at)) {
            Some(RateAction::Grant { .. }) => AcquireOutcome::Granted,
            Some(RateAction::Refuse { retry_after, .. }) => AcquireOutcome::Refused { retry_after },
            Some(RateAction::Send { .. }) | None => AcquireOutcome::Waiting,
        };
        (answer, cx.actions)
    }

    /// Removes a waiting request whose caller has gone.
    pub fn cancel(&mut self, account: AccountId, waiter: WaiterId) {
        if let Some(borrower) = self.borrowers.get_mut(&account) {
            borrower.waiters.retain(|it| it.id != waiter);
        }
    }

    /// Handles a message of a peer.
    pub fn on_message(
        &mut self,
        now: Timestamp,
        from: &Name,
        message: RateMessage,
    ) -> Vec<RateAction> {
        let mut cx = self.begin_call(now);
        let peer = self.index_of_peer(from);
        let sender = &mut self.peers[peer as usize];
        (sender.backoff_until, sender.backoff) = (Timestamp::ZERO, Duration::ZERO);
        let account = message.account();
        match message {
            RateMessage::LoanRequest { request, want, closed, .. } => {
                self.close_loans(peer, account, closed);
                self.on_loan_request(&mut cx, peer, account, request, want);
            }
            RateMessage::LoanReturn { closed, .. } => self.close_loans(peer, account, closed),
            RateMessage::LoanGrant { request, amount, level, is_busy, .. } => {
                if let Some(borrower) = self.borrowers.get_mut(&account) {
                    borrower.on_grant(now, peer, request, amount, level, is_busy);
                }
            }
        }
        self.serve_waiters(&mut cx, account);
        cx.actions
    }

    /// Processes everything that is due; takes time only for accounts in use.
    pub fn tick(&mut self, now: Timestamp) -> Vec<RateAction> {
        let mut cx = self.begin_call(now);
        self.last_tick_at = now;
        let accounts: Vec<_> = self.borrowers.keys().copied().collect();
        for account in accounts {
            self.serve_waiters(&mut cx, account);
        }
        cx.actions
    }

    /// Returns when [`Self::tick`] is due next, or `None` while no account is in use.
    pub fn next_tick(&self) -> Option<Timestamp> {
        let wakeups = self.borrowers.values().map(|it| match it.waiters.is_empty() {
            true => it.next_wakeup(),
            false => it.next_wakeup().min(self.last_tick_at + ACTIVE_TICK_INTERVAL),
        });
        wakeups.min()
    }

    /// Returns whether loans of this instance may still be spent elsewhere.
    pub fn has_open_loans(&self) -> bool {
        self.shares.values().any(|it| it.lent() > Tokens::ZERO)
    }

    /// Returns the totals since the start.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// Returns the values on which a decision on a request of the account is based.
    pub fn inputs(&self, now: Timestamp, account: AccountId) -> Inputs {
        let holders = self.peers.iter().filter(|it| it.slots > 0);
        let borrower = self.borrowers.get(&account);
        Inputs {
            slots: self.own_slots.len() as u32,
            level: self.shares.get(&account).map_or(Tokens::ZERO, Share::level),
            borrowed: borrower.map_or(Tokens::ZERO, |it| it.borrowed(now)),
            requested: borrower.map_or(Tokens::ZERO, |it| it.expected_before_deadline(now)),
            lenders: holders.clone().count() as u32,
            late_lenders: holders.filter(|it| it.backoff_until > now).count() as u32,
        }
    }

    /// Returns the number of accounts in use on this instance.
    pub fn accounts_in_use(&self) -> usize {
        self.borrowers.len()
    }

    /// Starts a call: drops lapsed slots and expires loans.
    fn begin_call(&mut self, now: Timestamp) -> Context {
        // In order of time, since a share must not refill past the end of a slot or, while a loan is open, past the
        // reduced capacity.
        while let Some(lapsed_at) = self.own_slots.first().copied().filter(|it| *it <= now) {
            self.expire_loans(lapsed_at);
            let own = self.own_slots.iter().copied().filter(|it| *it > lapsed_at).collect();
            self.change_own_slots(lapsed_at, own);
        }
        self.expire_loans(now);
        Context { now, actions: Vec::new() }
    }

    fn change_own_slots(&mut self, now: Timestamp, own: Vec<Timestamp>) {
        let (before, after) = (self.part(), Part { held: own.len() as u32, of: self.slots });
        self.own_slots = own;
        if before == after {
            return;
        }
        for share in self.shares.values_mut() {
            share.refill(now, before);
            share.refill(now, after);
        }
        if after.held > before.held
            && now < self.started_at + HEAD_START_WINDOW
            && !self.head_start.is_zero()
        {
            let gained = Part { held: after.held - before.held, of: after.of };
            for share in self.shares.values_mut() {
                let half = Tokens::from_billionths(share.burst().part(gained).billionths() / 2);
                let amount = share.rate().part(gained).over(self.head_start).min(half);
                share.fill(now, amount, after);
            }
        }
        if after.held < before.held {
            self.reduced_at = Some(now);
        }
    }

    fn part(&self) -> Part {
        own_part(&self.own_slots, self.slots)
    }

    /// Answers the waiters of an account as far as possible, and borrows what is missing.
    fn serve_waiters(&mut self, cx: &mut Context, account: AccountId) {
        let now = cx.now;
        let part = self.part();
        let is_reduced = self.reduced_at.is_some_and(|it| now.since(it) <= LENDER_HOLD);
        let Some(share) = self.shares.get_mut(&account) else { return };
        share.refill(now, part);
        share.check_invariant(part, is_reduced);
        let Some(borrower) = self.borrowers.get_mut(&account) else { return };
        borrower.expire(now);
        while let Some(&waiter) = borrower.waiters.front()
            && share.level() + borrower.borrowed(now) >= Tokens::ONE
        {
            // A share that is at least half full is used first, so that it does not overflow; otherwise loans are, since
            // they lapse.
            let is_half_full = share.level().times(2) >= share.burst().part(part);
            let first = if is_half_full { share.take(Tokens::ONE) } else { Tokens::ZERO };
            let borrowed = borrower.spend(now, Tokens::ONE - first);
            let own = first + share.take(Tokens::ONE - first - borrowed);
            assert_eq!(borrowed + own, Tokens::ONE, "a request was admitted without a token");
            cx.actions.push(RateAction::Grant { waiter: waiter.id });
            borrower.waiters.pop_front();
            self.stats.granted += 1;
        }
        for peer in borrower.mark_newly_late(now) {
            let peer = &mut self.peers[peer as usize];
            peer.backoff = (peer.backoff * 2).clamp(LATE_PEER_BACKOFF_MIN, LATE_PEER_BACKOFF_MAX);
            peer.backoff_until = now + peer.backoff;
        }
        let lenders = self.lender_shares(now, account);
        self.request_loans(cx, account, &lenders);
        self.refuse_waiters(cx, account, &lenders);
        self.return_loans(cx, account);
    }

    fn index_of_peer(&mut self, name: &Name) -> PeerIndex {
        if let Some(index) = self.peer_index.get(name) {
            return *index;
        }
        let index = self.peers.len() as PeerIndex;
        self.peers.push(Peer {
            name: name.clone(),
            slots: 0,
            backoff_until: Timestamp::ZERO,
            backoff: Duration::ZERO,
        });
        self.peer_index.insert(name.clone(), index);
        index
    }
}

struct Context {
    now: Timestamp,
    actions: Vec<RateAction>,
}

impl Context {
    fn send(&mut self, stats: &mut Stats, to: Name, message: RateMessage) {
        stats.messages += 1;
        stats.bytes += message.wire_bytes() as u64;
        self.actions.push(RateAction::Send { to, message });
    }
}

fn own_part(own_slots: &[Timestamp], of: u32) -> Part {
    Part { held: own_slots.len() as u32, of }
}
