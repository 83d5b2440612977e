//! `accounts`: the client accounts.

use std::fmt::Write as _;

use fleet::revision::Chunks;
use serde_json::json;

use crate::{accepted::Accepted, cli::AccountsArgs, context::Context, error::Result};

/// Lists the accounts with the ids of their keys.
///
/// # Errors
///
/// Fails if the service does not answer.
pub async fn run(cx: &Context, args: &AccountsArgs) -> Result<()> {
    let accepted = Accepted::read(&cx.store()?, &Chunks::new()).await?;
    let document = &accepted.require_revision()?.document;
    let wanted = document
        .accounts
        .iter()
        .filter(|(id, _)| args.origin.as_ref().is_none_or(|it| *it == *id.origin));
    let mut text =
        format!("{:<32} {:>8} {:>8} {:>6}  keys\n", "account", "rate/s", "burst", "weight");
    let mut accounts = Vec::new();
    for (id, account) in wanted {
        let name = id.to_string();
        let keys: Vec<_> = account.keys.iter().map(|it| it.id.as_str()).collect();
        let _ = writeln!(
            text,
            "{name:<32} {:>8} {:>8} {:>6}  {}",
            account.rate_per_s,
            account.burst,
            account.weight,
            keys.join(", ")
        );
        accounts.push(json!({
            "account": name, "rate_per_s": account.rate_per_s, "burst": account.burst,
            "weight": account.weight, "keys": keys,
        }));
    }
    cx.emit(&text, &json!({ "revision": accepted.number(), "accounts": accounts }));
    Ok(())
}
