//! Tests of the deadlines of jobs on instances whose wall clocks differ or jump.

mod common;

use std::time::Duration;

use common::{RECEIVED, RECEIVED_MS, item, submission};
use jobs::{Discovery, JobRecord, JobTimes};

const SECOND: Duration = Duration::from_secs(1);

fn record() -> JobRecord {
    let transaction = submission(vec![item("a", 0)]).transaction().expect("valid");
    serde_json::from_slice(&transaction.writes[0].value).expect("a record")
}

/// Guards against items that are given up early, or run in the wrong order, because the wall clocks of two instances differ or
/// one has jumped. The jumps seen at users are 2.4 s, and a clock may be wrong by more.
#[test]
fn the_times_of_a_job_that_was_just_accepted_do_not_depend_on_the_time_of_day() {
    let seen = Discovery { at: RECEIVED, is_fresh: true };
    for unix_ms in [0, RECEIVED_MS - 2_400, RECEIVED_MS, RECEIVED_MS + 2_400, u64::MAX] {
        let times = JobTimes::of(&record(), seen, RECEIVED + 2 * SECOND, unix_ms);
        assert_eq!(times.due_at, RECEIVED + 18 * SECOND, "{unix_ms}");
        assert_eq!(times.give_up_at, RECEIVED + 60 * SECOND, "{unix_ms}");
    }
}

/// Guards against items that are given up early because a starting daemon misjudges the age of their job.
#[test]
fn a_job_found_in_a_listing_is_ordered_by_its_age_and_never_given_up_early() {
    let seen = Discovery { at: RECEIVED, is_fresh: false };
    let times = |ahead_ms| JobTimes::of(&record(), seen, RECEIVED, RECEIVED_MS + ahead_ms);
    assert_eq!(times(10_000).due_at, RECEIVED + 8 * SECOND);
    assert_eq!(times(50_000).due_at, RECEIVED, "the job is late");
    for ahead_ms in [0, 10_000, 50_000, 1_000_000] {
        assert_eq!(times(ahead_ms).give_up_at, RECEIVED + 60 * SECOND);
    }
}
