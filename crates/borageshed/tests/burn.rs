//! Tests of the counters of good and bad requests.

use std::time::Duration;

use borageshed::{
    burn::{BurnCounters, Report, Verdict},
    online::{Ended, target_answer::TargetAnswer},
};
use fleet::{Kind, Objective, QualifiedName};
use http_edge::problem::{Execution, Problem, ProblemKind};
use http_types::Response;
use rand::Rng as _;
use stdx::{Name, Timestamp, rng};

fn account(name: &str) -> QualifiedName {
    QualifiedName::new("main", Kind::Account, name)
}

fn service() -> QualifiedName {
    QualifiedName::new("main", Kind::Service, "chat")
}

fn report(burn: &BurnCounters, now: Timestamp) -> Report {
    burn.report(now, &Name::new("one"), Objective::default())
}

// Guards against counts that are kept after their window or expire before its end, for pauses of any length.
#[test]
fn each_window_covers_its_length_and_at_most_one_bucket_more() {
    let mut rng = rng::seeded(7);
    let burn = BurnCounters::default();
    let mut now = Timestamp::ZERO;
    let mut times = Vec::new();
    for _ in 0..3_000 {
        let longest = [10, 400, 40_000][rng.random_range(0..3)];
        let pause = rng.random_range(0..longest);
        now += Duration::from_secs(pause);
        let verdict = if rng.random_bool(0.3) { Verdict::Bad } else { Verdict::Good };
        burn.record(now, &account("a"), &service(), verdict);
        times.push((now, verdict));
        let later = now + Duration::from_secs(rng.random_range(0..2_000));
        for window in &report(&burn, later).rows[0].windows {
            let length = Duration::from_secs(window.seconds);
            let counted = |verdict: Verdict, length: Duration| {
                times.iter().filter(|it| it.1 == verdict && later.since(it.0) < length).count()
                    as u64
            };
            let bucket = length / 10;
            for (verdict, found) in [(Verdict::Good, window.good), (Verdict::Bad, window.bad)] {
                let (least, most) = (counted(verdict, length), counted(verdict, length + bucket));
                assert!((least..=most).contains(&found), "{window:?} {least} {most} at {later:?}");
            }
        }
    }
}

// Guards against memory that grows with the number of accounts, and against requests that are missing from the sums.
#[test]
fn accounts_beyond_the_bound_are_counted_together_until_rows_are_free() {
    let burn = BurnCounters::default();
    for n in 0..10_000 {
        burn.record(Timestamp::ZERO, &account(&format!("a{n}")), &service(), Verdict::Bad);
    }
    let full = report(&burn, Timestamp::ZERO);
    assert_eq!(full.rows.len(), 8_193);
    assert_eq!(full.rows[0].account, None);
    assert_eq!(full.rows.iter().map(|it| it.windows[0].bad).sum::<u64>(), 10_000);
    let later = Timestamp::ZERO + Duration::from_secs(4 * 24 * 3_600);
    burn.record(later, &account("new"), &service(), Verdict::Good);
    let swept = report(&burn, later);
    assert_eq!(swept.rows.len(), 1);
    assert_eq!(swept.rows[0].account.as_deref(), Some("main/new"));
}

// Guards against counting refusals that the account caused as bad, and slow answers as good.
#[test]
fn a_request_is_judged_by_its_first_byte_and_not_by_the_account_s_own_fault() {
    let objective = Objective::default();
    let answered = |status: u16| {
        let answer = TargetAnswer::new(&Response::new(status), "r-1", true);
        Ended::Answered(Box::new(answer.expect("no promise")))
    };
    let refused = |kind| Ended::Refused(Problem::new(kind, Execution::NotRun, ""));
    let judge = |ended: Ended, ms| Verdict::classify(&ended, Duration::from_millis(ms), &objective);
    assert_eq!(judge(answered(200), 480), Verdict::Good);
    assert_eq!(judge(answered(200), 481), Verdict::Bad);
    assert_eq!(judge(answered(404), 10), Verdict::Good);
    assert_eq!(judge(answered(500), 10), Verdict::Bad);
    assert_eq!(judge(refused(ProblemKind::RateLimited), 10), Verdict::Ignored);
    assert_eq!(judge(refused(ProblemKind::Overloaded), 10), Verdict::Bad);
    assert_eq!(judge(Ended::CallerGone, 10), Verdict::Ignored);
    assert_eq!(judge(Ended::CallerGone, 1_000), Verdict::Bad);
}
