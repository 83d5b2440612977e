//! Builds the submission of a job.

use std::{collections::BTreeMap, time::Duration};

use fleet::{BatchTerms, Kind, QualifiedName};
use jobs::{Item, JobId, Submission, model::Bytes};

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
