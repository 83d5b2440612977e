//! Command-line arguments.

use std::{net::SocketAddr, path::PathBuf};

use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;
use fleet::SectionId;

use crate::error::EXIT_CODES;

/// Command-line tool for operators of borageshed.
#[derive(Debug, Parser)]
#[command(name = "borageshedctl", version, after_help = EXIT_CODES, propagate_version = true)]
pub struct Cli {
    /// The global options.
    #[command(flatten)]
    pub global: Global,
    /// The command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Options that every command accepts.
#[derive(Debug, Clone, Args)]
pub struct Global {
    /// Print one JSON document on standard output.
    #[arg(long, global = true)]
    pub json: bool,
    /// Do not report progress on standard error.
    #[arg(long, global = true)]
    pub quiet: bool,
    /// Address of the platform's key-value service and instance list.
    #[arg(long, global = true, env = "BORAGESHEDCTL_PLATFORM", value_name = "ADDRESS")]
    pub platform: Option<SocketAddr>,
    /// Admin addresses of daemons, separated by commas or given several times.
    #[arg(
        long,
        global = true,
        env = "BORAGESHEDCTL_ADMIN",
        value_name = "ADDRESS",
        value_delimiter = ','
    )]
    pub admin: Vec<SocketAddr>,
    /// Address of a daemon, or of the load balancer, for calls with a caller's key.
    #[arg(long, global = true, env = "BORAGESHEDCTL_CALLER", value_name = "ADDRESS")]
    pub caller: Option<SocketAddr>,
    /// Timeout of one call, in milliseconds.
    #[arg(long, global = true, default_value_t = 2_000, value_name = "MS",
        value_parser = clap::value_parser!(u64).range(1..=600_000))]
    pub call_timeout_ms: u64,
}

/// The commands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Validate a folder of section files: `fleet.jsonc` and `<origin>/<kind>.jsonc`.
    #[command(after_help = EXIT_CODES)]
    Check(CheckArgs),
    /// Put a section file, or a folder of them, in force.
    #[command(after_help = EXIT_CODES)]
    Apply(ApplyArgs),
    /// Show the accepted configuration.
    #[command(after_help = EXIT_CODES)]
    Show(ShowArgs),
    /// Open a section in `$EDITOR` and apply it.
    #[command(after_help = EXIT_CODES)]
    Edit(EditArgs),
    /// List client accounts.
    #[command(after_help = EXIT_CODES)]
    Accounts(AccountsArgs),
    /// Add and withdraw callers' keys.
    #[command(after_help = EXIT_CODES, subcommand)]
    Keys(KeysCommand),
    /// Show instances, failure domains, targets, revisions in force and rate slots.
    #[command(after_help = EXIT_CODES)]
    Status,
    /// Order that nothing more be sent to the targets of a failure domain of the fleet document, or revoke the order.
    #[command(after_help = EXIT_CODES)]
    Evacuate(EvacuateArgs),
    /// List the evacuated failure domains, and since when the daemons have known of each order.
    #[command(after_help = EXIT_CODES)]
    Evacuations,
    /// List, show and cancel batch jobs of the account whose key is given.
    #[command(after_help = EXIT_CODES, subcommand)]
    Jobs(JobsCommand),
    /// Print the log lines of all daemons that concern a request, an item or a job, in order of time.
    #[command(after_help = EXIT_CODES)]
    Explain(ExplainArgs),
    /// Report on service levels.
    #[command(after_help = EXIT_CODES, subcommand)]
    Report(ReportCommand),
    /// Generate load and compare results.
    #[command(after_help = EXIT_CODES, subcommand)]
    Load(LoadCommand),
    /// Print the completion script for a shell.
    #[command(after_help = EXIT_CODES)]
    Completions(CompletionsArgs),
}

/// Arguments of `check`.
#[derive(Debug, Args)]
pub struct CheckArgs {
    /// The folder of section files.
    pub folder: PathBuf,
}

/// Arguments of `evacuate`.
#[derive(Debug, Args)]
pub struct EvacuateArgs {
    /// The failure domain.
    pub domain: String,
    /// Revoke the order.
    #[arg(long)]
    pub end: bool,
}

/// Arguments of `apply`.
#[derive(Debug, Args)]
pub struct ApplyArgs {
    /// A section file or a folder of section files.
    pub path: PathBuf,
    /// The section of a file whose path does not end in `fleet.jsonc` or `<origin>/<kind>.jsonc`.
    #[arg(long, value_name = "SECTION")]
    pub section: Option<SectionId>,
    /// The revision that last changed the section when its text was read; later changes to it are a conflict.
    #[arg(long, value_name = "REVISION")]
    pub base: Option<u64>,
    /// Remove the accepted sections for which no file is given.
    #[arg(long)]
    pub prune: bool,
    /// Show the difference and change nothing.
    #[arg(long)]
    pub dry_run: bool,
    /// How the outcome of the change is tracked.
    #[command(flatten)]
    pub follow: FollowArgs,
}

/// How the outcome of a change is tracked after it is sent.
#[derive(Debug, Clone, Args)]
pub struct FollowArgs {
    /// Wait until every daemon given by --admin has the revision in force.
    #[arg(long)]
    pub wait: bool,
    /// Time limit of --wait, in seconds.
    #[arg(long, default_value_t = 30, value_name = "S")]
    pub wait_limit_s: u64,
    /// How long to re-read the configuration after a lost answer before the outcome is reported as unknown, in seconds.
    #[arg(long, default_value_t = 10, value_name = "S")]
    pub read_back_s: u64,
}

/// Arguments of `show`.
#[derive(Debug, Args)]
pub struct ShowArgs {
    /// The section to show, such as `fleet` or `guests/accounts`; by default, the current revision and a list of its
    /// sections.
    pub section: Option<SectionId>,
}

/// Arguments of `edit`.
#[derive(Debug, Args)]
pub struct EditArgs {
    /// The section.
    pub section: SectionId,
    /// How the outcome of the change is tracked.
    #[command(flatten)]
    pub follow: FollowArgs,
}

/// Arguments of `accounts`.
#[derive(Debug, Args)]
pub struct AccountsArgs {
    /// List only accounts of this origin.
    #[arg(long)]
    pub origin: Option<String>,
}

/// Commands that change keys.
#[derive(Debug, Subcommand)]
pub enum KeysCommand {
    /// Add a new random key to an account, print it once and store its SHA-256.
    Give(KeyArgs),
    /// Withdraw a key by its id.
    Withdraw(KeyArgs),
}

/// Arguments of `keys give` and `keys withdraw`.
#[derive(Debug, Args)]
pub struct KeyArgs {
    /// The account as `origin/name`; a name alone must be unique.
    pub account: String,
    /// The id of the key, unique in the account.
    pub id: String,
    /// How the outcome of the change is tracked.
    #[command(flatten)]
    pub follow: FollowArgs,
}

/// Commands on batch jobs.
#[derive(Debug, Subcommand)]
pub enum JobsCommand {
    /// List the jobs.
    List {
        /// The caller's key.
        #[command(flatten)]
        caller: CallerArgs,
        /// The maximum number of jobs to list.
        #[arg(long, default_value_t = 100, value_parser = clap::value_parser!(u32).range(1..=100))]
        limit: u32,
        /// List the jobs after this one.
        #[arg(long, value_name = "ID")]
        after: Option<String>,
    },
    /// Show one job.
    Show {
        /// The caller's key.
        #[command(flatten)]
        caller: CallerArgs,
        /// The id of the job.
        id: String,
    },
    /// Cancel one job.
    Cancel {
        /// The caller's key.
        #[command(flatten)]
        caller: CallerArgs,
        /// The id of the job.
        id: String,
    },
}

/// The caller's key.
#[derive(Debug, Args)]
pub struct CallerArgs {
    /// A file with the caller's key; without one the key is taken from BORAGESHED_KEY.
    #[arg(long, value_name = "FILE")]
    pub key_file: Option<PathBuf>,
}

/// The reports.
#[derive(Debug, Subcommand)]
pub enum ReportCommand {
    /// Show how fast each client account uses up the service-level budget on each service.
    Burn(BurnArgs),
}

/// Arguments of `report burn`.
#[derive(Debug, Args)]
pub struct BurnArgs {
    /// Report only this account, as `origin/name`.
    #[arg(long)]
    pub account: Option<String>,
    /// Report only this service, as `origin/name`.
    #[arg(long)]
    pub service: Option<String>,
    /// Write a chart to this SVG file.
    #[arg(long, value_name = "FILE")]
    pub plot: Option<PathBuf>,
}

/// Commands that generate load and compare results.
#[derive(Debug, Subcommand)]
pub enum LoadCommand {
    /// Send the requests that a settings file describes and measure the answers.
    Run(LoadRunArgs),
    /// Compare the results of two runs.
    Compare(LoadCompareArgs),
}

/// Arguments of `load run`.
#[derive(Debug, Args)]
pub struct LoadRunArgs {
    /// The settings: JSON with comments.
    pub settings: PathBuf,
    /// Write the results to this file.
    #[arg(long, value_name = "FILE")]
    pub out: Option<PathBuf>,
    /// Send to these daemons instead of those in the settings.
    #[arg(long = "to", value_name = "ADDRESS", value_delimiter = ',')]
    pub callers: Vec<SocketAddr>,
    /// Duration of each phase, in seconds; overrides the settings.
    #[arg(long, value_name = "S", value_parser = parse_seconds)]
    pub duration_s: Option<f64>,
}

/// Arguments of `load compare`.
#[derive(Debug, Args)]
pub struct LoadCompareArgs {
    /// The results file of one run.
    pub a: PathBuf,
    /// The results file of the other run.
    pub b: PathBuf,
    /// Write a chart of the times to the first byte to this SVG file.
    #[arg(long, value_name = "FILE")]
    pub plot: Option<PathBuf>,
}

fn parse_seconds(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(seconds) if seconds > 0.0 && seconds <= 3_600.0 => Ok(seconds),
        _ => Err("expected a number of seconds greater than 0 and at most 3600".to_owned()),
    }
}

/// Arguments of `explain`.
#[derive(Debug, Args)]
pub struct ExplainArgs {
    /// The id of the request, the item or the job.
    pub id: String,
    /// Log files of daemons; reads standard input if none is given.
    pub files: Vec<PathBuf>,
}

/// Arguments of `completions`.
#[derive(Debug, Args)]
pub struct CompletionsArgs {
    /// The shell to print completions for.
    pub shell: Shell,
}
