//! `report burn`: how fast client accounts use up the service-level budget.

use std::{collections::BTreeMap, fmt::Write as _, path::Path};

use futures::future::join_all;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::{
    cli::BurnArgs,
    context::Context,
    error::{Failure, Result},
    http, plot,
};

/// The maximum number of rows in a chart; more are not legible.
const MAX_PLOT_ROWS: usize = 12;
/// Shown for the accounts that a daemon counts together.
const OTHER_ACCOUNTS: &str = "(other accounts)";

/// The answer of a daemon at `/burn`.
#[derive(Debug, Deserialize)]
struct Report {
    objective: Objective,
    rows: Vec<ReportRow>,
}

#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
struct Objective {
    good_percent: f64,
    first_byte_ms: u64,
}

#[derive(Debug, Deserialize)]
struct ReportRow {
    account: Option<String>,
    service: String,
    windows: Vec<Window>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct Window {
    seconds: u64,
    good: u64,
    bad: u64,
    /// The share of bad requests over the share that the objective allows; at 1, the budget is used up exactly.
    #[serde(default)]
    burn: Option<f64>,
}

/// The counts of an account and a service over all daemons.
#[derive(Debug, Serialize)]
struct Row {
    account: String,
    service: String,
    windows: Vec<Window>,
}

/// Shows the burn by client account and service, summed over the daemons given by `--admin`.
///
/// # Errors
///
/// Fails if no daemon answers, and, after printing the output, if one of them does not.
pub async fn run(cx: &Context, args: &BurnArgs) -> Result<()> {
    let addresses = cx.admin_addresses()?;
    let limit = cx.call_timeout();
    let answers = join_all(addresses.iter().map(|it| http::get_json(*it, "/burn", limit))).await;
    let mut reports = Vec::new();
    let mut unreachable = Vec::new();
    for (address, answer) in addresses.iter().zip(answers) {
        let report = answer.and_then(|it| {
            serde_json::from_value::<Report>(it)
                .map_err(|e| Failure::Refused(format!("{address}: the report is not valid: {e}")))
        });
        match report {
            Ok(report) => reports.push(report),
            Err(e) => unreachable.push(e.to_string()),
        }
    }
    let Some(objective) = reports.first().map(|it| it.objective) else {
        return Err(Failure::Unreachable(unreachable.join("\n")));
    };
    if reports.iter().any(|it| it.objective != objective) {
        cx.progress(
            "the daemons have different objectives in force; using the objective of the first",
        );
    }
    let rows = merge(reports, &objective, args);
    if let Some(file) = &args.plot {
        draw_chart(file, &rows, &objective)?;
        cx.progress(&format!("the chart was written to {}", file.display()));
    }
    let value = json!({
        "objective": objective, "rows": rows, "daemons": addresses.len() - unreachable.len(), "unreachable": unreachable,
    });
    cx.emit(&table(&rows, &objective), &value);
    if unreachable.is_empty() { Ok(()) } else { Err(Failure::Unreachable(unreachable.join("\n"))) }
}

fn merge(reports: Vec<Report>, objective: &Objective, args: &BurnArgs) -> Vec<Row> {
    let mut sums: BTreeMap<(String, String), BTreeMap<u64, (u64, u64)>> = BTreeMap::new();
    for row in reports.into_iter().flat_map(|it| it.rows) {
        let account = row.account.unwrap_or_else(|| OTHER_ACCOUNTS.to_owned());
        if args.account.as_ref().is_some_and(|it| *it != account)
            || args.service.as_ref().is_some_and(|it| *it != row.service)
        {
            continue;
        }
        let windows = sums.entry((account, row.service)).or_default();
        for window in row.windows {
            let (good, bad) = windows.entry(window.seconds).or_default();
            *good += window.good;
            *bad += window.bad;
        }
    }
    let allowed = 1.0 - objective.good_percent / 100.0;
    let mut rows: Vec<Row> = sums
        .into_iter()
        .map(|((account, service), windows)| Row {
            account,
            service,
            windows: windows
                .into_iter()
                .map(|(seconds, (good, bad))| {
                    let total = good + bad;
                    let burn = (total > 0).then(|| bad as f64 / total as f64 / allowed);
                    Window { seconds, good, bad, burn }
                })
                .collect(),
        })
        .collect();
    // The fastest burn comes first, so that it is at the top of a long table and included in a chart.
    rows.sort_by(|a, b| max_burn(b).total_cmp(&max_burn(a)));
    rows
}

fn max_burn(row: &Row) -> f64 {
    row.windows.iter().filter_map(|it| it.burn).fold(0.0, f64::max)
}

fn table(rows: &[Row], objective: &Objective) -> String {
    let mut text = format!(
        "objective: {} in 100 requests with first byte within {} ms; burn 1 uses up the budget exactly\n",
        objective.good_percent, objective.first_byte_ms
    );
    let _ = write!(text, "{:<28} {:<24}", "account", "service");
    for window in rows.first().map_or(&[][..], |it| &it.windows) {
        let _ = write!(text, " {:>22}", format!("{} (bad/all)", format_window(window.seconds)));
    }
    text.push('\n');
    for row in rows {
        let _ = write!(text, "{:<28} {:<24}", row.account, row.service);
        for window in &row.windows {
            let burn = window.burn.map_or("-".to_owned(), |it| format!("{it:.2}"));
            let counts = format!("{}/{}", window.bad, window.good + window.bad);
            let _ = write!(text, " {:>22}", format!("{burn} ({counts})"));
        }
        text.push('\n');
    }
    text
}

fn format_window(seconds: u64) -> String {
    match seconds {
        s if s % 86_400 == 0 => format!("{} d", s / 86_400),
        s if s % 3_600 == 0 => format!("{} h", s / 3_600),
        s if s % 60 == 0 => format!("{} min", s / 60),
        s => format!("{s} s"),
    }
}

fn draw_chart(file: &Path, rows: &[Row], objective: &Objective) -> Result<()> {
    let rows = &rows[..rows.len().min(MAX_PLOT_ROWS)];
    let windows = rows.first().map_or(&[][..], |it| &it.windows);
    let bars = plot::Bars {
        title: format!(
            "Service-level burn ({} in 100 within {} ms)",
            objective.good_percent, objective.first_byte_ms
        ),
        groups: rows.iter().map(|it| format!("{} on {}", it.account, it.service)).collect(),
        series: windows
            .iter()
            .enumerate()
            .map(|(i, window)| {
                let values = rows.iter().map(|row| row.windows.get(i).and_then(|it| it.burn));
                (format_window(window.seconds), values.map(Option::unwrap_or_default).collect())
            })
            .collect(),
        reference: 1.0,
    };
    plot::bars(file, &bars)
}
