//! `evacuations`: the failure domains to whose targets daemons send nothing.

use std::{collections::BTreeMap, fmt::Write as _};

use futures::future::join_all;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::{
    context::Context,
    error::{Failure, Result},
    http,
};

/// The part of a daemon's status that concerns evacuations.
#[derive(Debug, Deserialize)]
struct Status {
    /// `None` if the daemon has no evacuations or does not know them yet.
    #[serde(default)]
    evacuations: Option<Vec<Evacuation>>,
    #[serde(default)]
    evacuations_age_ms: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct Evacuation {
    domain: String,
    since_unix_ms: u64,
}

/// An evacuated failure domain, as all daemons together report it.
#[derive(Debug)]
struct Summary {
    /// When the first of the daemons learnt of the order, in Unix milliseconds.
    since_unix_ms: u64,
    daemons: usize,
}

/// Lists the failure domains that the daemons given by `--admin` hold evacuated.
///
/// # Errors
///
/// Fails if no daemon was given, and, after printing the output, if one of them does not answer or does not know which
/// failure domains are evacuated.
pub async fn run(cx: &Context) -> Result<()> {
    let addresses = &cx.global.admin;
    if addresses.is_empty() {
        return Err(Failure::Usage("no address is given; pass --admin".to_owned()));
    }
    let limit = cx.call_timeout();
    let found = join_all(addresses.iter().map(|it| http::get_json(*it, "/status", limit))).await;
    let mut summaries: BTreeMap<String, Summary> = BTreeMap::new();
    let (mut failures, mut oldest_ms, mut known) = (Vec::new(), 0, 0);
    for (address, found) in addresses.iter().zip(found) {
        let status = match found {
            Ok(status) => serde_json::from_value::<Status>(status).map_err(|e| e.to_string()),
            Err(e) => Err(e.to_string()),
        };
        match status {
            Ok(Status { evacuations: Some(evacuations), evacuations_age_ms }) => {
                known += 1;
                oldest_ms = oldest_ms.max(evacuations_age_ms.unwrap_or(0));
                for Evacuation { domain, since_unix_ms } in evacuations {
                    let summary =
                        summaries.entry(domain).or_insert(Summary { since_unix_ms, daemons: 0 });
                    summary.since_unix_ms = summary.since_unix_ms.min(since_unix_ms);
                    summary.daemons += 1;
                }
            }
            Ok(Status { evacuations: None, .. }) => failures.push(format!(
                "{address}: evacuations are off, or it is not known yet which there are"
            )),
            Err(e) => failures.push(format!("{address}: {e}")),
        }
    }
    let mut text = format!("{:<20} {:>16} {:>9}\n", "failure domain", "since (Unix ms)", "daemons");
    for (domain, Summary { since_unix_ms, daemons }) in &summaries {
        let _ = writeln!(text, "{domain:<20} {since_unix_ms:>16} {daemons:>4} of {known}");
    }
    let _ = writeln!(text, "\nread at most {oldest_ms} ms ago by {known} daemons");
    let listed: Vec<Value> = summaries
        .iter()
        .map(|(domain, it)| {
            json!({ "domain": domain, "since_unix_ms": it.since_unix_ms, "daemons": it.daemons })
        })
        .collect();
    cx.emit(
        &text,
        &json!({ "evacuations": listed, "daemons": known, "age_ms": oldest_ms, "failures": failures }),
    );
    if failures.is_empty() { Ok(()) } else { Err(Failure::Unreachable(failures.join("\n"))) }
}
