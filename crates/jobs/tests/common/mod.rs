//! Creates jobs for tests.

#![allow(dead_code, reason = "each test binary uses some of the helpers")]

use std::{collections::BTreeMap, time::Duration};

use fleet::{BatchTerms, Kind, QualifiedName};
use jobs::{Discovery, Item, JobId, JobRecord, JobRun, JobTimes, Submission, model::Bytes};
use kv_store::Revision;
use stdx::{Name, Timestamp};

pub const RECEIVED_MS: u64 = 1_000_000;

/// When the daemon discovered the job, on its monotonic clock.
pub const RECEIVED: Timestamp = Timestamp::from_millis(5_000);

pub fn item(id: &str, body: usize) -> Item {
    Item {
        id: Name::new(id),
        path: Name::new("/jobs/x"),
        headers: BTreeMap::new(),
        body: Bytes(vec![7; body]),
        tokens: 100,
    }
}

pub fn submission(items: Vec<Item>) -> Submission {
    let origin = Name::new("operator");
    Submission {
        id: JobId::parse("job-1").expect("valid"),
        account: QualifiedName::new(&origin, Kind::Account, "acme"),
        service: QualifiedName::new(&origin, Kind::Service, "engine"),
        route: Name::new("route"),
        host: Name::new("shop.example"),
        items,
        terms: BatchTerms {
            due: Duration::from_secs(18),
            give_up_after: Duration::from_secs(60),
            max_waiting_tokens: Some(1_000),
        },
        max_attempts: 2,
        received_ms: RECEIVED_MS,
    }
}

/// Returns the owner's state of a job that was just accepted.
pub fn run(items: Vec<Item>) -> JobRun {
    let submission = submission(items);
    let transaction = submission.transaction().expect("valid");
    let record: JobRecord = serde_json::from_slice(&transaction.writes[0].value).expect("a record");
    let seen = Discovery { at: RECEIVED, is_fresh: true };
    let times = JobTimes::of(&record, seen, RECEIVED, RECEIVED_MS);
    let Submission { id, route, items, .. } = submission;
    JobRun::new(id, record, Revision(5), route, items, vec![], times)
}
