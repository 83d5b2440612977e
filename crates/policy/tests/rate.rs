//! Tests of rate limiters on a simulated network. Their admissions are compared with those of one bucket for all
//! instances.

mod network;

use std::{collections::BTreeMap, time::Duration};

use network::{
    Faults, Placement, Scenario, account_name, document, documents, longest_wait_allowed,
};
use policy::rate::{AccountId, AcquireOutcome, Holdings, RateLimiter, WaiterId};
use stdx::{Timestamp, rng::seeded};

/// Guards against an account that never gets its rate because its share per instance is below one token.
#[test]
fn a_small_account_gets_its_whole_rate_through_one_instance() {
    let mut scenario = Scenario::new(1, 9, 1.0, 3.0, 3.0);
    scenario.placement = Placement::One;
    scenario.duration = Duration::from_secs(200);
    let outcome = scenario.run();
    assert_eq!(outcome.fixed, 0, "static shares cannot admit anything");
    assert!(outcome.escrow * 100 >= outcome.ideal * 97, "{outcome:?}");
    assert_eq!(outcome.over_admitted, 0);
}

/// Guards against admissions beyond the limits because of lost, repeated or late messages, clock drift, partitions,
/// pauses, restarts and changed limits.
#[test]
fn faults_never_create_tokens() {
    bolero::check!().with_type::<(u64, u8)>().with_iterations(40).cloned().for_each(
        |(seed, instances)| {
            let mut scenario =
                Scenario::new(seed, 2 + usize::from(instances) % 8, 20.0, 15.0, 60.0);
            scenario.duration = Duration::from_secs(10);
            scenario.placement =
                [Placement::One, Placement::Spread, Placement::Moving][(seed % 3) as usize];
            scenario.faults = Faults {
                loss: 0.05,
                duplication: 0.1,
                delay: 0.1,
                clock_drift: 0.01,
                partitions: 0.2,
                pauses: 0.5,
                restarts: 0.2,
                limit_changes: 0.2,
            };
            let outcome = scenario.run();
            assert_eq!(outcome.over_admitted, 0, "{outcome:?}");
        },
    );
}

/// Guards against refusals while one bucket for all instances would still hold tokens, for accounts whose burst is at
/// least one second of the rate.
#[test]
fn large_accounts_near_their_rate_are_not_refused_wrongfully() {
    check_wrongful_refusals(&[(50.0, 50.0, 0.9), (200.0, 400.0, 0.9)]);
}

/// Guards against the same refusals for shares of less than a token, for a burst shorter than a second and in overload.
#[test]
fn small_and_overloaded_accounts_are_not_refused_wrongfully() {
    check_wrongful_refusals(&[
        (1.0, 3.0, 0.9),
        (5.0, 20.0, 0.9),
        (100.0, 30.0, 0.9),
        (200.0, 400.0, 3.0),
    ]);
}

/// Guards against tokens that an account gains when it is removed and added again.
#[test]
fn an_account_that_is_added_again_starts_empty() {
    let (doc, none) = (document(1.0, 60.0), documents(BTreeMap::new()));
    let account = AccountId::of(&account_name());
    let mut limiter = RateLimiter::new(Timestamp::ZERO, &doc, seeded(1));
    let far = Timestamp::from_millis(1_000_000_000);
    let holdings = Holdings { own: vec![far; 60], peers: BTreeMap::new() };
    limiter.set_holdings(Timestamp::ZERO, &holdings);
    let now = Timestamp::from_millis(100_000);
    assert_eq!(limiter.acquire(now, account, WaiterId(1)).0, AcquireOutcome::Granted);
    limiter.set_document(now, &none);
    limiter.set_document(now, &doc);
    let (answer, _) = limiter.acquire(now, account, WaiterId(2));
    assert!(
        matches!(answer, AcquireOutcome::Refused { retry_after } if retry_after.as_millis() == 1_000),
        "{answer:?}"
    );
}

fn check_wrongful_refusals(cases: &[(f64, f64, f64)]) {
    const TOKENS: f64 = 3_000.0;
    const LOAN_BYTES_PER_S: f64 = 8_000.0;
    let mut violations = Vec::new();
    for placement in [Placement::One, Placement::Spread, Placement::Moving] {
        for &(rate, burst, load) in cases {
            let mut scenario = Scenario::new(3, 9, rate, burst, rate * load);
            scenario.placement = placement;
            scenario.duration = Duration::from_secs_f64(TOKENS / rate);
            let time_s = scenario.duration.as_secs_f64();
            let it = scenario.run();
            assert_eq!(it.over_admitted, 0);
            assert!(it.longest_wait <= longest_wait_allowed(), "{it:?}");
            assert!(it.stats.bytes as f64 <= 9.0 * LOAN_BYTES_PER_S * (time_s + 2.0), "{it:?}");
            if it.escrow_wrongful * 1_000 > it.ideal {
                violations.push(format!("{placement:?} {rate}/{burst} {load}: {it:?}"));
            }
        }
    }
    assert!(violations.is_empty(), "above 0.1%: {violations:#?}");
}
