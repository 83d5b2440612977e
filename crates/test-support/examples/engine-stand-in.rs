//! Runs a model engine stand-in until the process is stopped.

use std::net::SocketAddr;
use std::time::Duration;

use clap::{Parser, ValueEnum};
use test_support::engine::{Crash, Engine, EngineSettings, Faults};

#[derive(Debug, Clone, Copy, ValueEnum)]
enum CrashArg {
    Exit,
    Reset,
}

/// A model engine with continuous batching, for tests.
#[derive(Debug, Parser)]
struct Args {
    /// Address to serve on.
    #[arg(long)]
    listen: SocketAddr,
    /// Name of a model; may be repeated.
    #[arg(long, default_value = "small")]
    model: Vec<String>,
    /// Maximum number of sequences that run at the same time.
    #[arg(long, default_value_t = 8)]
    slots: usize,
    /// Time of one step in microseconds.
    #[arg(long, default_value_t = 5_000)]
    step_us: u64,
    /// Time that each running sequence adds to a step, in microseconds.
    #[arg(long, default_value_t = 0)]
    step_per_sequence_us: u64,
    /// Time to process one prompt token that is not cached, in microseconds.
    #[arg(long, default_value_t = 100)]
    prefill_us: u64,
    /// Time to process one cached prompt token, in microseconds.
    #[arg(long, default_value_t = 5)]
    cached_us: u64,
    /// Capacity of the prefix cache in tokens.
    #[arg(long, default_value_t = 65_536)]
    cache_tokens: usize,
    /// Lag of the load report in milliseconds.
    #[arg(long, default_value_t = 200)]
    load_lag_ms: u64,
    /// Delay of every inference request in milliseconds.
    #[arg(long, default_value_t = 0)]
    delay_ms: u64,
    /// How the engine crashes on a request that contains the marker.
    #[arg(long, value_enum, default_value = "exit")]
    crash: CrashArg,
    /// Text in a request body that crashes the engine.
    #[arg(long, default_value = "CRASH-THE-ENGINE")]
    crash_marker: String,
}

#[async_std::main]
async fn main() -> std::io::Result<()> {
    let args = Args::parse();
    let faults = Faults {
        step_us: args.step_us,
        delay_ms: args.delay_ms,
        load_lag_ms: args.load_lag_ms,
        crash_marker: Some(args.crash_marker),
        crash: match args.crash {
            CrashArg::Exit => Crash::Exit,
            CrashArg::Reset => Crash::Reset,
        },
        ..Faults::default()
    };
    let settings = EngineSettings {
        models: args.model,
        slots: args.slots,
        step_per_sequence: Duration::from_micros(args.step_per_sequence_us),
        prefill_per_token: Duration::from_micros(args.prefill_us),
        cached_per_token: Duration::from_micros(args.cached_us),
        cache_tokens: args.cache_tokens,
        faults,
        ..EngineSettings::default()
    };
    let _engine = Engine::start(args.listen, settings).await?;
    futures::future::pending().await
}
