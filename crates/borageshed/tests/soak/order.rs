//! Checks the order of the events that callers received, for streams over all attempts of a caller and for the texts of items.

use std::collections::HashMap;

use test_support::target::ReceivedRequest;

use super::fixture::EVENTS;

/// The requests that targets received, by the name of the run that their events bear.
pub type Runs = HashMap<String, ReceivedRequest>;

/// The events of a stream, or the data of an item's events, as a caller received them.
#[derive(Debug, Clone, Default)]
pub struct Text {
    /// The last attempt of the caller, or the item.
    pub id: String,
    /// The data of the events.
    pub data: Vec<String>,
    /// Whether the answer said that it was complete.
    pub is_complete: bool,
}

/// The data of an event.
struct Event<'a> {
    number: usize,
    version: &'a str,
    run: &'a str,
}

/// Returns the violations of the order of events in a text.
pub fn violations(text: &Text, runs: &Runs) -> Vec<String> {
    let Text { id, data, is_complete } = text;
    let mut violations = Vec::new();
    let mut before: Option<Event<'_>> = None;
    for (position, line) in data.iter().enumerate() {
        let Some(event) = parse(line) else {
            violations.push(format!("{line:?} is no event"));
            continue;
        };
        if event.number != position + 1 {
            violations.push(format!("event {} stands at {}", event.number, position + 1));
        }
        if let Some(before) = &before
            && before.version != event.version
        {
            violations.push(format!("{} goes on after {}", event.version, before.version));
        }
        if before.as_ref().is_none_or(|it| it.run != event.run) {
            let asked = runs.get(event.run).map(|it| it.header("last-event-id").unwrap_or("0"));
            if asked != Some(position.to_string().as_str()) {
                let run = event.run;
                violations
                    .push(format!("run {run} goes on after {position}, but was asked {asked:?}"));
            }
        }
        before = Some(event);
    }
    if *is_complete && data.len() as u64 != EVENTS {
        violations.push(format!("complete with {} events", data.len()));
    }
    violations.iter().map(|it| format!("{id}: {it} in {data:?}")).collect()
}

fn parse(data: &str) -> Option<Event<'_>> {
    let (number, rest) = data.strip_prefix("part ")?.split_once(" of ")?;
    let (version, run) = rest.split_once(" in run ")?;
    Some(Event { number: number.parse().ok()?, version, run })
}
