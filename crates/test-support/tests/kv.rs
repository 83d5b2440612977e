//! The state of the key-value stand-in, against the rules of the published protocol.

use std::time::Duration;

use kv_store::wire::{
    Blob, Compare, DeleteRequest, Int, PutRequest, RangeRequest, RequestOp, Target, TxnRequest,
};
use stdx::Timestamp;
use test_support::kv::{Error, Kv};

fn blob(text: &str) -> Blob {
    Blob(text.as_bytes().to_vec())
}

fn put(key: &str, value: &str, lease: i64) -> PutRequest {
    PutRequest { key: blob(key), value: blob(value), lease: Int(lease) }
}

fn value(kv: &Kv, key: &str, revision: i64) -> Option<String> {
    let req = RangeRequest { key: blob(key), revision: Int(revision), ..RangeRequest::default() };
    let found = kv.range(&req).expect("kept revision").kvs;
    found.first().map(|kv| String::from_utf8(kv.value.0.clone()).expect("text"))
}

// Guards against stand-in revisions that differ from the protocol, which the client's read-back relies on.
#[test]
fn all_writes_of_a_transaction_share_one_revision_and_a_failed_one_takes_none() {
    let mut kv = Kv::default();
    let absent = Compare { key: blob("a"), target: Target::Create, ..Compare::default() };
    let txn = TxnRequest {
        compare: vec![absent],
        success: vec![RequestOp::Put(put("a", "1", 0)), RequestOp::Put(put("b", "1", 0))],
        failure: vec![],
    };
    assert!(kv.txn(&txn).expect("valid").succeeded);
    assert_eq!(kv.revision(), 2);
    assert!(!kv.txn(&txn).expect("valid").succeeded);
    assert_eq!(kv.revision(), 2);
    assert_eq!(kv.events(b"a", b"c", 2).expect("kept").len(), 2);
    kv.delete(&DeleteRequest { key: blob("z"), ..DeleteRequest::default() });
    assert_eq!(kv.revision(), 2, "deleting nothing is no write");
}

// Guards against a rollback that leaves later writes, deletions or leases in force.
#[test]
fn a_rollback_restores_values_deletions_and_leases() {
    let now = Timestamp::from_millis(1);
    let mut kv = Kv::default();
    kv.lease_grant(now, 7, 2).expect("free id");
    kv.put(&put("a", "1", 0)).expect("valid");
    kv.put(&put("b", "1", 7)).expect("valid");
    let then = kv.revision();
    kv.put(&put("a", "2", 0)).expect("valid");
    assert!(kv.expire(now + Duration::from_secs(2)));
    kv.put(&put("c", "1", 0)).expect("valid");
    assert_eq!((value(&kv, "a", then), value(&kv, "b", 0)), (Some("1".into()), None));
    kv.roll_back(now, then).expect("kept revision");
    assert_eq!(kv.revision(), then);
    assert_eq!(value(&kv, "a", 0).as_deref(), Some("1"));
    assert_eq!(value(&kv, "b", 0).as_deref(), Some("1"));
    assert_eq!(value(&kv, "c", 0), None);
    assert_eq!(kv.leases(), [7]);
    assert_eq!(kv.roll_back(now, then + 1), Err(Error::Future));
}

// Guards against leases that end early or outlive their renewals.
#[test]
fn a_lease_ends_its_time_to_live_after_the_last_renewal() {
    let at = Timestamp::from_millis;
    let mut kv = Kv::default();
    kv.lease_grant(at(0), 1, 2).expect("free id");
    assert_eq!(kv.lease_grant(at(0), 1, 2), Err(Error::LeaseExists));
    assert_eq!(kv.lease_keep_alive(at(1_500), 1).ttl, Int(2));
    assert!(!kv.expire(at(3_499)));
    assert!(kv.expire(at(3_500)));
    assert_eq!(kv.lease_keep_alive(at(3_500), 1).ttl, Int(0));
    assert_eq!(kv.put(&put("a", "1", 1)), Err(Error::LeaseNotFound));
}
