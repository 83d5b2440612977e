//! `status`: instances, failure domains, targets, revisions in force and rate slots.

use std::{collections::BTreeMap, fmt::Write as _};

use config_store::ConfigStoreError;
use fleet::{MEMBERS_PREFIX, MemberRecord, revision::Chunks};
use futures::future::join_all;
use kv_store::Store as _;
use serde_json::{Value, json};

use crate::{
    accepted::Accepted,
    context::Context,
    error::{Failure, Result},
    http,
};

/// Shows the registered daemons and the status of every daemon given by `--admin`.
///
/// # Errors
///
/// Fails if neither the platform nor a daemon was given, and, after printing the output, if one of them
/// does not answer.
pub async fn run(cx: &Context) -> Result<()> {
    let addresses = &cx.global.admin;
    if cx.global.platform.is_none() && addresses.is_empty() {
        return Err(Failure::Usage(
            "no address is given; pass --platform, --admin or both".to_owned(),
        ));
    }
    let mut text = String::new();
    let mut unreachable = Vec::new();
    let platform = match cx.global.platform {
        Some(_) => match platform_status(cx, &mut text).await {
            Ok(value) => value,
            Err(e) => {
                unreachable.push(e.to_string());
                Value::Null
            }
        },
        None => Value::Null,
    };
    let limit = cx.call_timeout();
    let found = join_all(addresses.iter().map(|it| http::get_json(*it, "/status", limit))).await;
    let mut daemons = Vec::new();
    for (address, found) in addresses.iter().zip(found) {
        match found {
            Ok(status) => daemons.push(json!({ "admin": address, "status": status })),
            Err(e) => {
                unreachable.push(e.to_string());
                daemons.push(json!({ "admin": address, "error": e.to_string() }));
            }
        }
    }
    if !daemons.is_empty() {
        write_daemons(&mut text, &daemons);
        write_targets(&mut text, &daemons);
    }
    cx.emit(&text, &json!({ "platform": platform, "daemons": daemons }));
    if unreachable.is_empty() { Ok(()) } else { Err(Failure::Unreachable(unreachable.join("\n"))) }
}

async fn platform_status(cx: &Context, text: &mut String) -> Result<Value> {
    let accepted = Accepted::read(&cx.store()?, &Chunks::new()).await?;
    let listing = cx.store()?.range(MEMBERS_PREFIX).await.map_err(ConfigStoreError::from)?;
    let mut instances = BTreeMap::new();
    for entry in &listing.entries {
        let record: MemberRecord = serde_json::from_slice(&entry.value)
            .map_err(|e| Failure::Refused(format!("the record {} is not valid: {e}", entry.key)))?;
        instances.insert(entry.key.trim_start_matches(MEMBERS_PREFIX), record);
    }
    let _ = writeln!(text, "accepted revision {}\n", accepted.number());
    let mut domains: BTreeMap<&str, usize> = BTreeMap::new();
    for record in instances.values() {
        *domains.entry(&record.failure_domain).or_default() += 1;
    }
    let _ = writeln!(text, "{:<20} {:>7}", "failure domain", "daemons");
    for (domain, daemons) in &domains {
        let _ = writeln!(text, "{domain:<20} {daemons:>7}");
    }
    text.push('\n');
    let instances: Vec<Value> = instances
        .iter()
        .map(|(id, it)| {
            json!({
                "id": id, "address": it.address, "failure_domain": it.failure_domain,
                "runs_items": it.runs_items
            })
        })
        .collect();
    Ok(json!({ "revision": accepted.number(), "instances": instances }))
}

fn write_daemons(text: &mut String, daemons: &[Value]) {
    let _ = writeln!(
        text,
        "{:<20} {:<16} {:<9} {:<8} {:>8} {:>6} {:>6} {:>9} {:>14}",
        "instance",
        "failure domain",
        "state",
        "overlay",
        "revision",
        "slots",
        "peers",
        "requests",
        "platform silent"
    );
    for daemon in daemons {
        let status = &daemon["status"];
        if status.is_null() {
            let admin = daemon["admin"].as_str().unwrap_or_default();
            let _ = writeln!(text, "{admin:<20} unreachable");
            continue;
        }
        let state = match (status["draining"].as_bool(), status["ready"].as_bool()) {
            (Some(true), _) => "draining",
            (_, Some(true)) => "ready",
            _ => "not ready",
        };
        let _ = writeln!(
            text,
            "{:<20} {:<16} {state:<9} {:<8} {:>8} {:>6} {:>6} {:>9} {:>12} s",
            status["instance"].as_str().unwrap_or_default(),
            status["failure_domain"].as_str().unwrap_or_default(),
            status["overlay"]["role"].as_str().unwrap_or("-"),
            status["revision"].to_string(),
            status["slots_held"].to_string(),
            status["peers"].as_array().map_or(0, Vec::len),
            status["requests_open"].to_string(),
            status["platform_silent_s"].to_string(),
        );
    }
}

/// The state of a target, aggregated over all daemons.
#[derive(Debug, Default)]
struct TargetSummary {
    health: BTreeMap<String, u32>,
    online: u64,
    batch: u64,
}

/// Writes each target once, with the number of daemons that report each health.
fn write_targets(text: &mut String, daemons: &[Value]) {
    let mut targets: BTreeMap<(String, String), TargetSummary> = BTreeMap::new();
    for daemon in daemons {
        for service in daemon["status"]["services"].as_array().into_iter().flatten() {
            let name = service["service"].as_str().unwrap_or_default();
            for target in service["targets"].as_array().into_iter().flatten() {
                let id =
                    (name.to_owned(), target["target"].as_str().unwrap_or_default().to_owned());
                let summary = targets.entry(id).or_default();
                let state = target["health"].as_str().unwrap_or_default().to_owned();
                *summary.health.entry(state).or_default() += 1;
                summary.online += target["online"].as_u64().unwrap_or_default();
                summary.batch += target["batch"].as_u64().unwrap_or_default();
            }
        }
    }
    let _ = writeln!(
        text,
        "\n{:<28} {:<16} {:>6} {:>6}  health reported by daemons",
        "service", "target", "online", "batch"
    );
    for ((service, target), summary) in &targets {
        let health: Vec<_> =
            summary.health.iter().map(|(state, n)| format!("{state} on {n}")).collect();
        let (online, batch, health) = (summary.online, summary.batch, health.join(", "));
        let _ = writeln!(text, "{service:<28} {target:<16} {online:>6} {batch:>6}  {health}");
    }
}
