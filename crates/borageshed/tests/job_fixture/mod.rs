//! Builds the submission of a job.
#![allow(dead_code, reason = "each test program uses a part")]

use std::{collections::BTreeMap, time::Duration};

use borageshed::job_work::claiming::HandedOverJob;
use fleet::{BatchTerms, Kind, QualifiedName};
use jobs::{Item, JobId, Submission, model::Bytes};
use peer::JobAccepted;

/// Returns a submission of the given items; the body of an item contains its id.
pub fn submission(id: JobId, items: &[&str]) -> Submission {
    let item = |id: &&str| Item {
        id: (*id).into(),
        path: "/jobs/x".into(),
        headers: BTreeMap::new(),
        body: Bytes(format!("body of {id}").into_bytes()),
        tokens: 100,
    };
    Submission {
        id,
        account: QualifiedName::new("operator", Kind::Account, "acme"),
        service: QualifiedName::new("operator", Kind::Service, "engine"),
        route: "route".into(),
        host: "shop.example".into(),
        items: items.iter().map(item).collect(),
        terms: BatchTerms {
            due: Duration::from_secs(18),
            give_up_after: Duration::from_secs(60),
            max_waiting_tokens: None,
        },
        max_attempts: 2,
        received_ms: 0,
    }
}

/// Returns a job with one item as the daemon that accepted it at a revision hands it over.
pub fn handed_over(job: &str, revision: i64) -> HandedOverJob {
    let id = JobId::parse(job).expect("valid");
    let transaction = submission(id.clone(), &["item"]).transaction().expect("valid");
    let value_of = |key: String| {
        let write = transaction.writes.iter().find(|it| *it.key == *key);
        write.expect("the acceptance writes it").value.clone().into()
    };
    let accepted = JobAccepted {
        job: job.to_owned(),
        record: value_of(id.record_key()),
        open: value_of(id.open_key()),
        parts: vec![value_of(id.part_key(0))],
        revision,
    };
    HandedOverJob::decode(&accepted).expect("valid")
}
