//! Authentication of callers.

use std::sync::Arc;

use http_edge::{
    problem::{Execution, Problem, ProblemKind},
    server::Caller,
};
use policy::auth::AccountRef;
use stdx::Name;

use super::{Request, Result};
use crate::{in_force::InForce, shared::Shared};

/// An authenticated caller.
#[derive(Debug, Clone)]
pub struct Identity {
    /// The configuration that the key was checked against.
    pub in_force: Arc<InForce>,
    /// The account.
    pub account: AccountRef,
    /// The account's weight.
    pub weight: u32,
}

impl Identity {
    /// Returns the fleet that the account comes from.
    pub fn origin(&self) -> &Name {
        &self.account.name.origin
    }

    /// Returns the label that identifies the key in decisions. It is a hash and not secret.
    pub fn key_label(&self) -> Name {
        Name::from(self.account.key.to_hex())
    }
}

/// Returns the configuration in force.
///
/// # Errors
///
/// Returns a problem if the daemon has no configuration yet.
pub fn in_force(cx: &Shared) -> Result<Arc<InForce>> {
    let missing = || {
        Problem::new(ProblemKind::Overloaded, Execution::NotRun, "no configuration is in force yet")
            .with_retry_after(std::time::Duration::from_secs(1))
    };
    cx.in_force.get().ok_or_else(missing)
}

/// Finds the account that the bearer key of a request belongs to.
///
/// # Errors
///
/// Returns a problem if the request has no key or no account has this key.
pub fn authenticate(req: &Request, caller: &Caller) -> Result<Identity> {
    let cx = req.state();
    let in_force = in_force(cx)?;
    let Some(key) = bearer_key(req) else {
        return Err(unauthenticated_problem("the request carries no bearer key"));
    };
    let Some(account) = in_force.keys.authenticate(key) else {
        return Err(unauthenticated_problem("no client account has this key"));
    };
    cx.record_caller_key(caller, account.key);
    let weight = in_force.document().accounts.get(&account.name).map_or(1, |it| it.weight);
    let identity = Identity { in_force, account, weight };
    Ok(identity)
}

/// Returns the bearer key of a request.
pub fn bearer_key(req: &Request) -> Option<&str> {
    let value = req.header("authorization")?.last().as_str();
    let (scheme, key) = value.split_once(' ')?;
    let key = key.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !key.is_empty()).then_some(key)
}

fn unauthenticated_problem(detail: &str) -> Problem {
    Problem::new(ProblemKind::Unauthenticated, Execution::NotRun, detail)
}
