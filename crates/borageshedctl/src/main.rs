//! Command-line tool for operators: validates, applies and shows the configuration, and queries daemons.
//!
//! - [`accepted`]: the accepted configuration and its updates by compare-and-swap.
//! - [`cli`]: command-line arguments.
//! - [`commands`]: one module per command.
//! - [`context`]: the global options and output.
//! - [`error`]: failures and exit codes.
//! - [`follow`]: waits until daemons have a revision in force.
//! - [`http`]: HTTP calls to daemons.
//! - [`load`]: the load generator.
//! - [`plot`]: charts in SVG.
//! - [`sections`]: section files.

mod accepted;
mod cli;
mod commands;
mod context;
mod error;
mod follow;
mod http;
mod load;
mod plot;
mod sections;

use std::process::ExitCode;

use async_std::task;
use clap::{CommandFactory as _, Parser as _};
use serde_json::json;

use crate::{
    cli::{Cli, Command, ReportCommand},
    context::{Context, write_err, write_out},
    error::Result,
};

fn main() -> ExitCode {
    let Cli { global, command } = Cli::parse();
    let cx = Context { global };
    match task::block_on(run(&cx, &command)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            if cx.global.json {
                let error = json!({ "error": failure.kind(), "detail": failure.to_string() });
                write_err(&error.to_string());
            } else {
                write_err(&format!("error: {failure}"));
            }
            ExitCode::from(failure.exit_code())
        }
    }
}

async fn run(cx: &Context, command: &Command) -> Result<()> {
    match command {
        Command::Check(args) => commands::check::run(cx, args),
        Command::Apply(args) => commands::apply::run(cx, args).await,
        Command::Show(args) => commands::show::run(cx, args).await,
        Command::Edit(args) => commands::edit::run(cx, args).await,
        Command::Accounts(args) => commands::accounts::run(cx, args).await,
        Command::Keys(command) => commands::keys::run(cx, command).await,
        Command::Status => commands::status::run(cx).await,
        Command::Evacuate(args) => commands::evacuate::run(cx, args).await,
        Command::Evacuations => commands::evacuations::run(cx).await,
        Command::Jobs(command) => commands::jobs::run(cx, command).await,
        Command::Explain(args) => commands::explain::run(cx, args),
        Command::Report(ReportCommand::Burn(args)) => commands::burn::run(cx, args).await,
        Command::Load(command) => commands::load::run(cx, command).await,
        Command::Completions(args) => {
            let mut out = Vec::new();
            clap_complete::generate(args.shell, &mut Cli::command(), "borageshedctl", &mut out);
            write_out(&String::from_utf8_lossy(&out));
            Ok(())
        }
    }
}
