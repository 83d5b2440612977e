//! Tests of the record that gives other daemons the address of this one.

use borageshed::membership;
use fleet::MEMBERS_PREFIX;
use kv_store::Store as _;
use test_support::fake_store::{FakeFaults, FakeStore};

// Guards against a daemon that renews the lease of a record that was never written, so that no peer dials it. This
// happens if the outcome of the write is unknown.
#[async_std::test]
async fn a_record_that_may_not_be_written_is_written_again() {
    let store = FakeStore::default();
    store.set_faults(FakeFaults { unknown_without_effect: 1, ..FakeFaults::default() });
    assert!(membership::write_record(&store, "first", b"{}").await.is_err());
    let lease = membership::write_record(&store, "first", b"{}").await.expect("a lease");
    let entry = store.get(&format!("{MEMBERS_PREFIX}first")).await.expect("an answer");
    assert_eq!(entry.expect("the record").lease, Some(lease));
}
