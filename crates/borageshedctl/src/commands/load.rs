//! `load`: generates load and compares results.

use std::{fmt::Write as _, fs, path::Path};

use serde_json::json;

use crate::{
    cli::{LoadCommand, LoadCompareArgs, LoadRunArgs},
    context::Context,
    error::{Failure, Result},
    load::{results::Results, run, settings::Load},
    plot,
};

/// Runs a load or compares two results.
///
/// # Errors
///
/// Fails if a file cannot be read or written, or if the load cannot run.
pub async fn run(cx: &Context, command: &LoadCommand) -> Result<()> {
    match command {
        LoadCommand::Run(args) => run_load(cx, args).await,
        LoadCommand::Compare(args) => compare(cx, args),
    }
}

async fn run_load(cx: &Context, args: &LoadRunArgs) -> Result<()> {
    let text = read(&args.settings)?;
    let mut load = Load::parse(&args.settings.display().to_string(), &text)?;
    if !args.callers.is_empty() {
        load.callers.clone_from(&args.callers);
    }
    if let Some(duration_s) = args.duration_s {
        load.warm_up_s *= duration_s / load.duration_s;
        load.duration_s = duration_s;
    }
    let results = run::run(cx, &load).await?;
    if let Some(file) = &args.out {
        let text =
            serde_json::to_string_pretty(&results).map_err(|e| Failure::Refused(e.to_string()))?;
        fs::write(file, text + "\n").map_err(|e| Failure::file(file.display(), &e))?;
        cx.progress(&format!("the results were written to {}", file.display()));
    }
    cx.emit(&results.text(), &json!(results));
    Ok(())
}

fn compare(cx: &Context, args: &LoadCompareArgs) -> Result<()> {
    let (a, b) = (read_results(&args.a)?, read_results(&args.b)?);
    let mut text =
        format!("{:<44} {:>28} {:>28}\n", "", format!("A: {}", a.name), format!("B: {}", b.name));
    for ((name, a), (_, b)) in a.measures.rows().into_iter().zip(b.measures.rows()) {
        let _ = writeln!(text, "{name:<44} {a:>28} {b:>28}");
    }
    if (&a.name, a.seed) != (&b.name, b.seed) {
        text.push_str("the loads differ in name or seed, so their arrivals are not the same\n");
    }
    if let Some(file) = &args.plot {
        let lines = [("A", &a), ("B", &b)].into_iter().flat_map(|(letter, results)| {
            results
                .phases
                .iter()
                .map(move |it| (format!("{letter}: {}", it.name), it.first_byte_ms.clone()))
        });
        let title = format!("Time to first byte: A {}, B {}", a.name, b.name);
        plot::percentiles(file, &plot::Percentiles { title, lines: lines.collect() })?;
        cx.progress(&format!("the chart was written to {}", file.display()));
    }
    cx.emit(&text, &json!({ "a": a.measures, "b": b.measures }));
    Ok(())
}

fn read_results(file: &Path) -> Result<Results> {
    serde_json::from_str(&read(file)?).map_err(|e| {
        Failure::Refused(format!("{}:{}:{}: {e}", file.display(), e.line(), e.column()))
    })
}

fn read(file: &Path) -> Result<String> {
    fs::read_to_string(file).map_err(|e| Failure::file(file.display(), &e))
}
