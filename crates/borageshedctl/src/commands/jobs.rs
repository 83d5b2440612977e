//! `jobs`: the batch jobs of the account whose key is given.

use std::{env, fmt::Write as _, fs};

use http_types::Method;
use serde_json::Value;

use crate::{
    cli::{CallerArgs, JobsCommand},
    context::Context,
    error::{Failure, Result},
    http::{Call, Client},
};

/// Lists, shows or cancels jobs.
///
/// # Errors
///
/// Fails without a key, and if the daemon does not answer or refuses the call.
pub async fn run(cx: &Context, command: &JobsCommand) -> Result<()> {
    match command {
        JobsCommand::List { caller, limit, after } => {
            let after = match after {
                Some(id) => format!("&after={}", validate_id(id)?),
                None => String::new(),
            };
            let path = format!("/v1/batches?limit={limit}{after}");
            let list = call(cx, caller, Method::Get, path).await?;
            cx.emit(&table(&list), &list);
            if let (Some(true), Some(last)) = (list["has_more"].as_bool(), last_id(&list)) {
                cx.progress(&format!("there are more jobs; pass --after {last} to list them"));
            }
        }
        JobsCommand::Show { caller, id } => {
            let job = call(cx, caller, Method::Get, job_path(id, "")?).await?;
            cx.emit(&format!("{job:#}"), &job);
        }
        JobsCommand::Cancel { caller, id } => {
            let job = call(cx, caller, Method::Post, job_path(id, "/cancel")?).await?;
            let state = job["status"].as_str().unwrap_or("unknown");
            cx.emit(&format!("job {id} is {state}"), &job);
        }
    }
    Ok(())
}

async fn call(cx: &Context, caller: &CallerArgs, method: Method, path: String) -> Result<Value> {
    let address = cx.global.caller.ok_or_else(|| {
        Failure::Usage(
            "no caller address is given; pass --caller or set BORAGESHEDCTL_CALLER".to_owned(),
        )
    })?;
    let call = Call::new(method, path).with_key(&read_key(caller)?);
    Client::default().call(address, &call, cx.call_timeout()).await?.json()
}

/// Reads the key from a file or the environment; a command-line argument would be visible in the process list.
fn read_key(caller: &CallerArgs) -> Result<String> {
    let key = match &caller.key_file {
        Some(file) => fs::read_to_string(file).map_err(|e| Failure::file(file.display(), &e))?,
        None => env::var("BORAGESHED_KEY").map_err(|_| {
            Failure::Usage(
                "no caller's key is given; pass --key-file or set BORAGESHED_KEY".to_owned(),
            )
        })?,
    };
    let key = key.trim();
    match key.is_empty() || !key.chars().all(|it| it.is_ascii_graphic()) {
        true => Err(Failure::Usage(
            "the caller's key is empty or contains characters other than printable ASCII without spaces".to_owned(),
        )),
        false => Ok(key.to_owned()),
    }
}

fn job_path(id: &str, rest: &str) -> Result<String> {
    Ok(format!("/v1/batches/{}{rest}", validate_id(id)?))
}

/// Checks that a job id can be used in a URL path.
fn validate_id(id: &str) -> Result<&str> {
    let is_valid = |it: char| it.is_ascii_alphanumeric() || matches!(it, '-' | '_' | '.');
    match !id.is_empty() && id.chars().all(is_valid) {
        true => Ok(id),
        false => Err(Failure::Usage(format!(
            "{id:?} is not a job id; expected letters, digits, `-`, `_` and `.`"
        ))),
    }
}

fn last_id(list: &Value) -> Option<&str> {
    list["data"].as_array()?.last()?["id"].as_str()
}

fn table(list: &Value) -> String {
    let mut text = format!(
        "{:<40} {:<12} {:>9} {:>9} {:>9}\n",
        "job", "status", "items", "completed", "failed"
    );
    for job in list["data"].as_array().into_iter().flatten() {
        let counts = &job["request_counts"];
        let number = |it: &Value| it.as_u64().map_or("-".to_owned(), |it| it.to_string());
        let _ = writeln!(
            text,
            "{:<40} {:<12} {:>9} {:>9} {:>9}",
            job["id"].as_str().unwrap_or_default(),
            job["status"].as_str().unwrap_or_default(),
            number(&counts["total"]),
            number(&counts["completed"]),
            number(&counts["failed"]),
        );
    }
    text
}
