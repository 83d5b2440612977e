//! `explain`: prints the log lines of all daemons that concern a request, an item or a job.

use std::{
    fs::File,
    io::{self, BufRead, BufReader},
    path::Path,
};

use serde_json::json;

use crate::{
    cli::ExplainArgs,
    context::Context,
    error::{Failure, Result},
};

/// Messages of log lines that report a state change of a daemon. They are shown if they were logged shortly before the
/// first line about the id, or between its first and last line.
const STATE_CHANGES: [&str; 7] = [
    "target health changed",
    "peer link changed",
    "configuration taken",
    "key-value service lost",
    "key-value service regained",
    "rate slots changed",
    "drain starting",
];

/// How long before the first line about the id state changes are shown, in milliseconds.
const STATE_CHANGES_BEFORE_MS: u64 = 3_000;

/// A line of a daemon's log.
#[derive(Debug, Clone, PartialEq, Eq)]
struct LogLine {
    /// Milliseconds since the Unix epoch.
    at: u64,
    instance: String,
    text: String,
}

/// Prints the lines that concern a request, an item or a job, in order of time, with the state changes that may explain
/// them.
///
/// # Errors
///
/// Fails if a file cannot be read or no line concerns the id.
pub fn run(cx: &Context, args: &ExplainArgs) -> Result<()> {
    let mut lines = Vec::new();
    for file in &args.files {
        let reader = open(file).map_err(|e| unreadable(file, &e))?;
        for line in reader.lines() {
            lines.extend(parse_line(&line.map_err(|e| unreadable(file, &e))?));
        }
    }
    if args.files.is_empty() {
        for line in io::stdin().lines() {
            lines.extend(parse_line(&line.map_err(|e| unreadable(Path::new("-"), &e))?));
        }
    }
    let related = related_lines(lines, &args.id);
    if related.is_empty() {
        return Err(Failure::Refused(format!("no log line contains the id {}", args.id)));
    }
    let start = related[0].at;
    let text: Vec<String> = related
        .iter()
        .map(|it| {
            format!("{:>8} ms  {:<20} {}\n", it.at as i64 - start as i64, it.instance, it.text)
        })
        .collect();
    let lines: Vec<_> = related
        .iter()
        .map(|it| json!({ "ts": it.at, "instance": it.instance, "line": it.text }))
        .collect();
    cx.emit(&text.concat(), &json!({ "id": args.id, "lines": lines }));
    Ok(())
}

/// Returns the lines that concern an id, and the state changes of the daemons that wrote them.
fn related_lines(lines: Vec<LogLine>, id: &str) -> Vec<LogLine> {
    let concerns = |it: &&LogLine| it.text.split(|c: char| !is_id_char(c)).any(|word| word == id);
    let (mut first, mut last) = (u64::MAX, 0);
    let mut instances = Vec::new();
    for line in lines.iter().filter(concerns) {
        first = first.min(line.at);
        last = last.max(line.at);
        instances.push(line.instance.clone());
    }
    let is_state_change = |it: &LogLine| {
        instances.contains(&it.instance)
            && it.at + STATE_CHANGES_BEFORE_MS >= first
            && it.at <= last
            && STATE_CHANGES.iter().any(|message| it.text.contains(message))
    };
    let mut related: Vec<LogLine> =
        lines.iter().filter(|it| concerns(it) || is_state_change(it)).cloned().collect();
    related.sort_by_key(|it| it.at);
    related
}

fn is_id_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.')
}

/// Parses a line; `None` if a daemon did not write it.
fn parse_line(line: &str) -> Option<LogLine> {
    // Skips the prefix that a log collector may add.
    let text = ["DEBG | ", "INFO | ", "WARN | ", "ERRO | "].iter().find_map(|it| line.find(it));
    let text = &line[text?..];
    let at = find_value(text, "ts")?.parse().ok()?;
    let instance = find_value(text, "instance")?.to_owned();
    Some(LogLine { at, instance, text: text.replace('\t', "  ") })
}

fn find_value<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let words = line.split([' ', '\t']);
    words.filter_map(|it| it.split_once('=')).find(|(name, _)| *name == key).map(|(_, it)| it)
}

fn open(file: &Path) -> io::Result<Box<dyn BufRead>> {
    Ok(Box::new(BufReader::new(File::open(file)?)))
}

fn unreadable(file: &Path, error: &io::Error) -> Failure {
    Failure::Refused(format!("{} cannot be read: {error}", file.display()))
}
