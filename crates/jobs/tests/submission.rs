//! Tests of the acceptance of a job.

mod common;

use common::{item, submission};
use expect_test::expect;
use jobs::{JobId, OpenJob, model, submission::fits_token_limit};
use kv_store::transaction::MAX_OPERATIONS;

// Guards against a job that is stored in part, and against a job that overwrites another one.
#[test]
fn a_job_is_accepted_by_one_transaction_that_needs_its_id_to_be_free() {
    let transaction =
        submission(vec![item("i-1", 3), item("i-2", 0)]).transaction().expect("valid");
    let condition = &transaction.expected[0];
    assert_eq!((&*condition.key, condition.revision.0), ("work/job/job-1/progress/record", 0));
    let text: Vec<String> = transaction
        .writes
        .iter()
        .map(|it| format!("{} {}", it.key, String::from_utf8_lossy(&it.value)))
        .collect();
    expect![[r#"
        work/job/job-1/progress/record {"origin":"operator","account":"acme","service":"engine","host":"shop.example","total":2,"parts":1,"received_ms":1000000,"due_after_ms":18000,"give_up_after_ms":60000,"max_attempts":2,"listed":[],"cancelled":false}
        work/index/open/job-1 {"origin":"operator","account":"acme","route":"route","tokens":200}
        work/job/job-1/items/0000 [{"id":"i-1","path":"/jobs/x","headers":{},"body":"BwcH","tokens":100},{"id":"i-2","path":"/jobs/x","headers":{},"body":"","tokens":100}]
    "#]]
    .assert_eq(&(text.join("\n") + "\n"));
}

// Guards against values that exceed the limit of the key-value service, and against items lost at the boundary of two parts.
#[test]
fn large_items_are_stored_in_parts_of_less_than_a_megabyte() {
    let items: Vec<_> = (0..24).map(|n| item(&format!("i-{n}"), 120_000)).collect();
    let transaction = submission(items.clone()).transaction().expect("fits");
    assert!(transaction.operations() <= MAX_OPERATIONS);
    let parts = transaction.writes.iter().filter(|it| it.key.contains("/items/"));
    let mut stored = Vec::new();
    for part in parts {
        assert!(part.value.len() < 1_000_000, "{} bytes", part.value.len());
        stored.extend(model::items_of_part(&part.value).expect("a part"));
    }
    assert_eq!(stored, items);
}

// Guards against storing a job that can never be read or run.
#[test]
fn a_job_that_is_not_valid_is_refused_with_the_reason() {
    let reason = |items| submission(items).transaction().expect_err("not valid").to_string();
    let many = (0..201).map(|n| item(&n.to_string(), 0)).collect();
    let huge = (0..24).map(|n| item(&n.to_string(), 900_000)).collect();
    let reasons =
        [reason(Vec::new()), reason(many), reason(vec![item("a", 0), item("a", 0)]), reason(huge)];
    expect![[r#"
        a job has 1 to 200 items, not 0
        a job has 1 to 200 items, not 201
        two items have the id "a"
        the items are larger than what can be accepted at once
    "#]]
    .assert_eq(&(reasons.join("\n") + "\n"));
}

// Guards against an account that exceeds its limit of waiting tokens, and against counting the tokens of other accounts or
// routes.
#[test]
fn only_the_tokens_of_the_same_account_and_route_count() {
    let submission = submission(vec![item("i-1", 0), item("i-2", 0)]);
    let open = |account: &str, route: &str, tokens| OpenJob {
        origin: "operator".into(),
        account: account.into(),
        route: route.into(),
        tokens,
    };
    let others = [open("other", "route", 900), open("acme", "other", 900)];
    assert!(fits_token_limit(&submission, &others));
    assert!(fits_token_limit(&submission, &[open("acme", "route", 800)]));
    assert!(!fits_token_limit(&submission, &[open("acme", "route", 801)]));
}

// Guards against ids that would break the structure of keys.
#[test]
fn an_id_is_one_part_of_a_key() {
    for text in ["", "a/b", "a b", "é", &"x".repeat(65)] {
        assert_eq!(JobId::parse(text), None, "{text:?}");
    }
    let id = JobId::parse("7c41e09b52d6a3f8").expect("valid");
    assert_eq!(JobId::from_open_key(&id.open_key()), Some(id.clone()));
    assert_eq!(JobId::from_claim_key(&id.claim_key()), Some(id));
}
