//! Tests of the time limits of loans, of waiting callers, and of decisions right after a start.

use std::{collections::BTreeMap, time::Duration};

use policy::rate::{
    AccountId, AcquireOutcome, Holdings, RateAction, RateLimiter, RateMessage, RequestId, Tokens,
    WaiterId,
};
use stdx::{Name, Timestamp, rng::seeded};

mod network;

const START: Timestamp = Timestamp::from_millis(0);
/// A time at which all shares are full.
const FULL: Timestamp = Timestamp::from_millis(1_000_000);
/// The hold of a lender: 500 ms of validity, 1% of it for clock drift, and 100 ms.
const HOLD_MS: u64 = 605;

/// Guards against a lender that refills the capacity of a loan and admits with it while the loan may still be spent.
#[test]
fn a_lender_refills_lent_capacity_only_after_the_hold() {
    for (after_ms, is_granted) in [(0, false), (HOLD_MS - 1, false), (HOLD_MS + 10, true)] {
        let mut lender = limiter(1_000.0, 60.0, 30, &[]);
        let request = RequestId(1);
        let want = Tokens::ONE.times(100);
        let message =
            RateMessage::LoanRequest { account: account(), request, want, closed: vec![] };
        let sent = lender.on_message(FULL, &Name::new("peer"), message);
        let [RateAction::Send { message: RateMessage::LoanGrant { amount, .. }, .. }] = &sent[..]
        else {
            panic!("{sent:?}")
        };
        assert_eq!(*amount, Tokens::ONE.times(30));
        let now = FULL + Duration::from_millis(after_ms);
        let (answer, _) = lender.acquire(now, account(), WaiterId(1));
        assert_eq!(answer == AcquireOutcome::Granted, is_granted, "{after_ms} ms: {answer:?}");
    }
}

/// Guards against a borrower that spends a loan 500 ms or more after it sent the request.
#[test]
fn a_borrower_spends_nothing_after_its_own_limit() {
    for (after_ms, is_granted) in [(250, true), (499, false), (500, false), (600, false)] {
        let mut borrower = limiter(0.06, 60.0, 1, &[("peer", 59)]);
        let mut sent = Vec::new();
        for waiter in 0..6 {
            sent.extend(borrower.acquire(FULL, account(), WaiterId(waiter)).1);
        }
        let message = RateMessage::LoanGrant {
            account: account(),
            request: requests(&sent)[0],
            amount: Tokens::ONE.times(10),
            level: Tokens::ZERO,
            is_busy: false,
        };
        let soon = FULL + Duration::from_millis(10);
        borrower.on_message(soon, &Name::new("peer"), message);
        let now = FULL + Duration::from_millis(after_ms);
        let (answer, _) = borrower.acquire(now, account(), WaiterId(100));
        // Unspent loans are returned after 300 ms, so nothing is spent in the last 200 ms of the validity.
        assert_eq!(answer == AcquireOutcome::Granted, is_granted, "{after_ms} ms: {answer:?}");
    }
}

/// Guards against a refusal of an account that is far within its rate because a busy peer answers late.
#[test]
fn a_request_waits_for_the_answer_of_a_slow_lender() {
    for (answer_ms, is_granted) in [(20, true), (120, true), (199, true), (201, false)] {
        let mut borrower = limiter(500.0, 500.0, 0, &[("peer", 60)]);
        let first = borrower.acquire(FULL, account(), WaiterId(1));
        assert_eq!(first.0, AcquireOutcome::Waiting);
        let mut sent = first.1;
        // After 30 ms without an answer the peer counts as late, but there is no other to ask.
        let later = FULL + Duration::from_millis(answer_ms / 2);
        sent.extend(borrower.tick(later));
        let second = borrower.acquire(later, account(), WaiterId(2));
        assert_eq!(second.0, AcquireOutcome::Waiting, "{answer_ms} ms");
        sent.extend(second.1);
        let now = FULL + Duration::from_millis(answer_ms);
        let mut answers = borrower.tick(now);
        for request in requests(&sent) {
            let (amount, level) = (Tokens::ONE, Tokens::ONE.times(100));
            let message = RateMessage::LoanGrant {
                account: account(),
                request,
                amount,
                level,
                is_busy: false,
            };
            answers.extend(borrower.on_message(now, &Name::new("peer"), message));
        }
        let granted = answers.contains(&RateAction::Grant { waiter: WaiterId(1) });
        assert_eq!(granted, is_granted, "{answer_ms} ms: {answers:?}");
    }
}

/// Guards against a refusal right after the start of all instances, when shares are empty but refill soon.
#[test]
fn a_request_waits_for_the_refill_of_lenders_unless_their_own_callers_use_it() {
    for is_busy in [false, true] {
        let mut borrower = limiter(500.0, 500.0, 0, &[("peer", 60)]);
        let (first, sent) = borrower.acquire(FULL, account(), WaiterId(1));
        assert_eq!(first, AcquireOutcome::Waiting);
        let none = |request, is_busy| RateMessage::LoanGrant {
            account: account(),
            request,
            amount: Tokens::ZERO,
            level: Tokens::ZERO,
            is_busy,
        };
        let soon = FULL + Duration::from_millis(3);
        let peer = Name::new("peer");
        let answers = borrower.on_message(soon, &peer, none(requests(&sent)[0], is_busy));
        let refused =
            answers.iter().any(|it| matches!(it, RateAction::Refuse { waiter: WaiterId(1), .. }));
        assert_eq!(refused, is_busy, "{answers:?}");
        if is_busy {
            continue;
        }
        let again = borrower.tick(FULL + Duration::from_millis(105));
        assert_eq!(requests(&again).len(), 1, "{again:?}");
    }
}

/// Guards against a refusal of an account within its rate because an instance that has just started knows no slots.
#[test]
fn a_request_right_after_the_start_waits_until_slots_are_known() {
    let mut limiter = limiter(500.0, 500.0, 0, &[]).with_head_start(Duration::from_secs(1));
    let (answer, _) = limiter.acquire(START + Duration::from_millis(30), account(), WaiterId(1));
    assert_eq!(answer, AcquireOutcome::Waiting);
    let slots = vec![Timestamp::from_millis(u64::MAX / 1_000); 60];
    let known = START + Duration::from_millis(60);
    limiter.set_holdings(known, &Holdings { own: slots, peers: BTreeMap::new() });
    assert_eq!(limiter.tick(known), [RateAction::Grant { waiter: WaiterId(1) }]);
}

/// Guards against a refusal while an instance knows some slots, but not those of the peers that hold most of them.
#[test]
fn a_request_waits_while_most_slots_are_unknown() {
    let mut limiter = limiter(500.0, 500.0, 0, &[("peer", 3)]);
    let soon = START + Duration::from_millis(30);
    let (answer, sent) = limiter.acquire(soon, account(), WaiterId(1));
    assert_eq!(answer, AcquireOutcome::Waiting);
    let message = RateMessage::LoanGrant {
        account: account(),
        request: requests(&sent)[0],
        amount: Tokens::ZERO,
        level: Tokens::ZERO,
        is_busy: true,
    };
    let answers = limiter.on_message(soon, &Name::new("peer"), message);
    assert!(!answers.iter().any(|it| matches!(it, RateAction::Refuse { .. })), "{answers:?}");
}

/// Guards against callers that wait for unknown slots later than the first seconds after the start, or in larger numbers
/// than the account's burst.
#[test]
fn callers_wait_for_slots_in_the_first_seconds_only_and_within_the_burst() {
    let mut limiter = limiter(500.0, 3.0, 0, &[]).with_head_start(Duration::from_secs(1));
    let soon = START + Duration::from_millis(30);
    let answers: Vec<_> =
        (0..5).map(|it| limiter.acquire(soon, account(), WaiterId(it)).0).collect();
    let waiting = answers.iter().filter(|it| **it == AcquireOutcome::Waiting).count();
    assert_eq!(waiting, 3, "{answers:?}");
    let ends = limiter.tick(soon + Duration::from_millis(200));
    assert_eq!(ends.len(), 3, "{ends:?}");
    assert!(ends.iter().all(|it| matches!(it, RateAction::Refuse { .. })), "{ends:?}");
    let later = START + Duration::from_secs(3);
    let (answer, _) = limiter.acquire(later, account(), WaiterId(9));
    assert!(matches!(answer, AcquireOutcome::Refused { .. }), "{answer:?}");
}

/// Guards against a lender that leaves most loan requests unanswered after a restart of all instances, and against one
/// that answers without a limit on its traffic.
#[test]
fn a_lender_answers_a_burst_of_loan_requests_and_is_bounded_over_time() {
    let mut lender = limiter(1_000.0, 60_000.0, 60, &[]);
    let mut ask = |now: Timestamp, request: u64| {
        let (request, want) = (RequestId(request), Tokens::ONE);
        let message =
            RateMessage::LoanRequest { account: account(), request, want, closed: vec![] };
        lender.on_message(now, &Name::new(format!("p{}", request.0 % 65)), message).len() as u64
    };
    let answered: u64 = (0..800).map(|it| ask(FULL, it)).sum();
    assert_eq!(answered, 800);
    let later = FULL + Duration::from_secs(1);
    let answered: u64 = (1_000..5_000).map(|it| ask(later, it)).sum();
    assert!(answered < 400, "{answered}");
}

/// Guards against callers that wait until their deadline although their tokens have been refilled.
#[test]
fn waiting_callers_are_granted_refilled_tokens_before_the_deadline() {
    let mut limiter = limiter(10.0, 60.0, 60, &[]);
    let start = START + Duration::from_millis(HOLD_MS);
    assert_eq!(limiter.acquire(start, account(), WaiterId(1)).0, AcquireOutcome::Waiting);
    let mut now = start;
    let mut granted_after = None;
    while granted_after.is_none() && now < start + Duration::from_millis(190) {
        now += Duration::from_millis(1);
        if limiter.next_tick().is_some_and(|at| at <= now)
            && limiter.tick(now).contains(&RateAction::Grant { waiter: WaiterId(1) })
        {
            granted_after = Some(now.since(start));
        }
    }
    let within = Duration::from_millis(100)..=Duration::from_millis(121);
    assert!(granted_after.is_some_and(|it| within.contains(&it)), "{granted_after:?}");
}

/// Guards against an instance that admits after a restart while loans of its earlier incarnation may still be spent.
#[test]
fn a_new_incarnation_admits_nothing_before_the_hold_has_passed() {
    let mut limiter = limiter(1_000.0, 60.0, 60, &[]);
    let early = START + Duration::from_millis(HOLD_MS);
    assert_ne!(limiter.acquire(early, account(), WaiterId(1)).0, AcquireOutcome::Granted);
    let later = START + Duration::from_millis(HOLD_MS + 2);
    assert_eq!(limiter.acquire(later, account(), WaiterId(2)).0, AcquireOutcome::Granted);
}

fn requests(actions: &[RateAction]) -> Vec<RequestId> {
    let requests = actions.iter().filter_map(|it| match it {
        RateAction::Send { message: RateMessage::LoanRequest { request, .. }, .. } => {
            Some(*request)
        }
        _ => None,
    });
    requests.collect()
}

fn limiter(rate: f64, burst: f64, own: usize, peers: &[(&str, u32)]) -> RateLimiter {
    let mut limiter = RateLimiter::new(START, &network::document(rate, burst), seeded(1));
    let own = vec![Timestamp::from_millis(u64::MAX / 1_000); own];
    let peers: BTreeMap<_, _> = peers.iter().map(|it| (Name::new(it.0), it.1)).collect();
    limiter.set_holdings(START, &Holdings { own, peers });
    limiter
}

fn account() -> AccountId {
    AccountId::of(&network::account_name())
}
