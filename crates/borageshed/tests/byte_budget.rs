//! Tests the bound on what the answers of all targets together make the process hold.

use borageshed::online::byte_budget::{ByteBudget, OverBudget};

/// The part of each buffer that is not counted.
const FREE: usize = 16 << 10;
const LIMIT: usize = 1_000;

// Guards against buffers that together hold more than the process may, and against bytes that stay taken after their buffer has gone.
#[test]
fn buffers_share_a_budget_and_return_what_they_took() {
    static BUDGET: ByteBudget = ByteBudget::new(LIMIT);
    let (mut first, mut second) = (BUDGET.share(), BUDGET.share());
    assert_eq!(first.resize(FREE), Ok(()));
    assert_eq!(BUDGET.held(), 0, "small buffers are free");
    assert_eq!(first.resize(FREE + 700), Ok(()));
    assert_eq!(second.resize(FREE + 301), Err(OverBudget { limit: LIMIT }));
    assert_eq!(second.resize(FREE + 300), Ok(()));
    assert_eq!(first.resize(FREE + 100), Ok(()));
    assert_eq!(BUDGET.held(), 400);
    drop(second);
    assert_eq!(BUDGET.held(), 100);
    assert_eq!(first.resize(FREE + LIMIT), Ok(()));
    drop(first);
    assert_eq!(BUDGET.held(), 0);
}
