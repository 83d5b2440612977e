//! The rate limiter: decides on requests, borrows from peers and, in `lending`, lends to them.

mod lending;

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use fleet::Document;
use rand::{Rng as _, seq::SliceRandom};
use stdx::{Name, Rng, Timestamp};

use crate::rate::{
    AccountId, AcquireOutcome, Holdings, Inputs, LENDER_HOLD, MAX_WAIT, RateAction, RateMessage,
    RequestId, Stats, WaiterId,
    borrower::{Borrower, LenderShare, Waiter},
    lender::{Lender, PeerIndex},
    share::Share,
    tokens::{Part, Rate, Tokens},
    traffic::TrafficBudget,
};

/// The demand from which on tokens are prefetched; below it, one loan per request costs fewer messages.
const PREFETCH_DEMAND_PER_S: f64 = 10.0;
/// How far ahead expected demand is covered by loans; a longer time would let the tokens lapse or keep them from other
/// instances.
const PREFETCH_LOOKAHEAD: Duration = Duration::from_millis(200);
/// With a smaller burst, loans are requested so that the levels of lenders become even: the shares often run empty, so
/// tokens that overflow at one lender would soon be missing.
const EQUALIZE_BELOW_BURST: Tokens = Tokens::ONE.times(100);
/// With a smaller burst, spent loans are closed at once: a loan reduces the capacity of its lender, which cannot refill
/// beyond it.
const PROMPT_CLOSE_BELOW_BURST: Tokens = Tokens::ONE.times(5);
/// How long a peer is not asked after it failed to answer in time, doubled each time up to the maximum.
const LATE_PEER_BACKOFF_MIN: Duration = Duration::from_millis(250);
const LATE_PEER_BACKOFF_MAX: Duration = Duration::from_secs(4);
/// The retry time given to a refused caller if the account is unknown or has no rate.
const RETRY_AFTER_WITHOUT_RATE: Duration = Duration::from_secs(60);
/// The retry time given to a refused caller if no instance that holds a share can be asked.
const RETRY_AFTER_WITHOUT_LENDERS: Duration = Duration::from_secs(1);
/// The time within which refills are counted for waiting callers; callers that would wait longer are refused at once.
const REFILL_LOOKAHEAD: Duration = Duration::from_millis(150);
const RETRY_AFTER_MIN: Duration = Duration::from_millis(1);
/// The time after the start of an instance within which it takes back the slots of its earlier incarnation.
const HEAD_START_WINDOW: Duration = Duration::from_secs(5);
/// How long after the start of an instance its callers wait for slots whose holder is not known yet, instead of being
/// refused. It covers a few calls to a slow store; after that an outage is more likely.
const SLOT_DISCOVERY_TIME: Duration = Duration::from_secs(2);
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

    /// Requests loans for waiters and for expected demand, if lenders are estimated to have enough.
    fn request_loans(&mut self, cx: &mut Context, account: AccountId, lenders: &[LenderShare]) {
        let now = cx.now;
        let (Some(share), Some(borrower)) =
            (self.shares.get(&account), self.borrowers.get_mut(&account))
        else {
            return;
        };
        let available = share.level() + borrower.borrowed(now) + borrower.expected_on_time(now);
        let waiting = Tokens::ONE.times(borrower.waiters.len() as u64);
        let ahead = prefetch_amount(now, share, borrower, own_part(&self.own_slots, self.slots));
        let is_urgent = available < waiting;
        if !is_urgent && available.times(2) >= ahead {
            return;
        }
        let obtainable: Tokens = lenders
            .iter()
            .filter(|it| borrower.may_ask(now, it))
            .map(|it| borrower.estimated_level(now, it))
            .sum();
        let first = Tokens::ONE.min(waiting).saturating_sub(available);
        if obtainable < first {
            return;
        }
        let need = (waiting + ahead).saturating_sub(available);
        let plan = borrower.plan_requests(now, lenders, need, share.burst() < EQUALIZE_BELOW_BURST);
        for planned in plan {
            let request = RequestId(self.next_request);
            let closed = borrower.take_closed(planned.peer);
            let message = RateMessage::LoanRequest { account, request, want: planned.want, closed };
            if !self.traffic.try_take_request(now, message.wire_bytes()) {
                self.stats.suppressed += 1;
                continue;
            }
            self.next_request = self.next_request.wrapping_add(1);
            borrower.record_sent(now, planned, request);
            let to = self.peers[planned.peer as usize].name.clone();
            cx.send(&mut self.stats, to, message);
        }
    }

    /// Refuses waiters that cannot get a token in time.
    fn refuse_waiters(&mut self, cx: &mut Context, account: AccountId, lenders: &[LenderShare]) {
        let now = cx.now;
        let (Some(share), Some(borrower)) =
            (self.shares.get(&account), self.borrowers.get_mut(&account))
        else {
            return;
        };
        let Some(last) = borrower.waiters.back() else { return };
        let part = own_part(&self.own_slots, self.slots);
        let unknown = match now < self.started_at + SLOT_DISCOVERY_TIME {
            true => share.burst().part(unknown_part(&self.own_slots, &self.peers, self.slots)),
            false => Tokens::ZERO,
        };
        let available = share.level() + borrower.borrowed(now);
        // Lenders may lend less than estimated, so all waiters are checked again after each answer.
        let refill_time = last.deadline.since(now).min(REFILL_LOOKAHEAD);
        let refill = share.rate().part(part).over(refill_time)
            + lenders.iter().map(|it| borrower.estimated_refill(now, it, refill_time)).sum();
        let at_lenders: Tokens = lenders.iter().map(|it| borrower.estimated_level(now, it)).sum();
        let servable =
            (available + borrower.expected_before_deadline(now) + at_lenders + refill + unknown)
                .whole() as usize;
        let reachable_per_s =
            lenders.iter().fold(share.rate().part(part).over(Duration::from_secs(1)), |sum, it| {
                sum + it.rate.over(Duration::from_secs(1))
            });
        let reachable_rate = Rate::per_second(reachable_per_s.as_f64());
        let without_lenders = match share.rate().is_zero() {
            true => RETRY_AFTER_WITHOUT_RATE,
            false => RETRY_AFTER_WITHOUT_LENDERS,
        };
        let retry_after = |rank: usize| {
            let deficit = Tokens::ONE
                .times(rank as u64 + 1)
                .saturating_sub(available + borrower.expected_on_time(now) + at_lenders);
            reachable_rate.time_for(deficit).unwrap_or(without_lenders).max(RETRY_AFTER_MIN)
        };
        let mut kept = 0;
        let mut refused = Vec::new();
        for (rank, waiter) in borrower.waiters.iter().enumerate() {
            if kept < servable && waiter.deadline > now {
                kept += 1;
            } else {
                refused.push((waiter.id, retry_after(rank)));
            }
        }
        borrower.waiters.retain(|it| !refused.iter().any(|(id, _)| *id == it.id));
        self.stats.refused += refused.len() as u64;
        let refusals = refused
            .into_iter()
            .map(|(waiter, retry_after)| RateAction::Refuse { waiter, retry_after });
        cx.actions.extend(refusals);
    }

    /// Returns unspent loans that are not needed on this instance.
    fn return_loans(&mut self, cx: &mut Context, account: AccountId) {
        let now = cx.now;
        let Some(borrower) = self.borrowers.get_mut(&account) else { return };
        let is_in_demand =
            borrower.demand.per_second(now) >= PREFETCH_DEMAND_PER_S && !borrower.is_quiet(now);
        if borrower.waiters.is_empty() && !borrower.awaits_answer(now) && !is_in_demand {
            borrower.close_all_loans();
        }
        let burst = self.shares.get(&account).map_or(Tokens::ZERO, Share::burst);
        for peer in borrower.returns_due(burst < PROMPT_CLOSE_BELOW_BURST) {
            let message = RateMessage::LoanReturn { account, closed: borrower.take_closed(peer) };
            if self.traffic.try_take_answer(now, message.wire_bytes()) {
                let to = self.peers[peer as usize].name.clone();
                cx.send(&mut self.stats, to, message);
            }
        }
        if borrower.is_idle(now) {
            self.borrowers.remove(&account);
        }
    }

    /// Returns the shares of the peers that may be asked, in random order, so that borrowers do not all choose alike.
    ///
    /// Peers that were late are left out as long as another peer with slots was not. If all were late, all are included: a
    /// slow answer is better for a caller than a refusal without one.
    fn lender_shares(&mut self, now: Timestamp, account: AccountId) -> Vec<LenderShare> {
        let Some(share) = self.shares.get(&account) else { return Vec::new() };
        let of = self.slots;
        let all_late = self.peers.iter().all(|it| it.slots == 0 || it.backoff_until > now);
        let mut lenders: Vec<_> = (0..)
            .zip(&self.peers)
            .filter(|(_, it)| it.slots > 0 && (all_late || it.backoff_until <= now))
            .map(|(peer, it)| {
                let part = Part { held: it.slots, of };
                LenderShare { peer, rate: share.rate().part(part), burst: share.burst().part(part) }
            })
            .collect();
        lenders.shuffle(&mut self.rng);
        lenders
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

/// Returns the tokens that the account is expected to need on this instance within [`PREFETCH_LOOKAHEAD`] beyond the
/// refill of its share.
fn prefetch_amount(now: Timestamp, share: &Share, borrower: &Borrower, part: Part) -> Tokens {
    if borrower.demand.per_second(now) < PREFETCH_DEMAND_PER_S || borrower.is_quiet(now) {
        return Tokens::ZERO;
    }
    let demand = Tokens::from_f64(borrower.demand.expected_over(now, PREFETCH_LOOKAHEAD));
    let admissible = demand.min(share.rate().over(PREFETCH_LOOKAHEAD));
    admissible.saturating_sub(share.rate().part(part).over(PREFETCH_LOOKAHEAD))
}

/// Returns the part of the slots that neither this instance nor a known peer holds.
fn unknown_part(own_slots: &[Timestamp], peers: &[Peer], of: u32) -> Part {
    let held_by_peers = peers.iter().map(|it| it.slots).sum();
    Part { held: of.saturating_sub(own_slots.len() as u32).saturating_sub(held_by_peers), of }
}

fn own_part(own_slots: &[Timestamp], of: u32) -> Part {
    Part { held: own_slots.len() as u32, of }
}
