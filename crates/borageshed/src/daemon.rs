//! Starts, runs and drains the daemon.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::ExitCode,
    sync::Arc,
    time::Duration,
};

use anyhow::{Context, Result};
use async_channel::{Receiver, Sender};
use async_std::task;
use futures::future::join;
use http_edge::{
    client::{Client, ClientSettings, RequestIdCheck},
    server::Server,
};
use kv_store::budget::BudgetConfig;
use platform::{PlatformStore, PlatformStoreConfig};
use policy::rate::LOAN_BYTES_PER_S;
use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    iterator::Signals,
};
use slog::{Logger, error, info, o, warn};
use stdx::panics;

use crate::{
    api, batch_work, clients,
    clock::{self, Clock},
    config_sync, control,
    control::{ControlConfig, ControlEvent},
    effects, evacuations, job_work, load_reports, logging, membership, operator,
    peers::{self, Peers},
    retirement,
    settings::{FleetSource, Settings},
    shared::{Parts, Shared},
    silence, streams, summary, target_paths,
    tasks::spawn_essential,
    verdicts,
};

/// How long a drain waits for the release of the rate slots. Slots that are not released lapse on their own.
const SLOT_RELEASE_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a drain waits for the release of the batch segments, after the requests of callers have ended.
const SEGMENT_RELEASE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long the drain waits until the results of jobs are stored and their claims released.
const CLAIM_RELEASE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// How long targets may leave bytes and probes unacknowledged. Silent connections to unreachable targets are reset before that.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(6);
const SLOT_RELEASE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Why a daemon stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StopReason {
    /// SIGTERM or SIGINT arrived.
    Signal,
    /// A task panicked without which the daemon cannot work.
    TaskPanicked,
}

/// Runs a daemon until it is told to stop by SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if an address cannot be bound or a thread cannot be started.
pub fn run(settings: Settings, file: PathBuf) -> Result<ExitCode> {
    let (log, dropped) = logging::logger(&settings);
    let clock = Clock::start();
    let incarnation = clock::unix_millis();
    info!(log, "daemon starting"; "version" => env!("CARGO_PKG_VERSION"), "incarnation" => incarnation);
    // Each effect results from a decision, so their number is bounded by the open requests. A bounded channel would
    // allocate all its slots up front.
    let (effects_tx, effects_rx) = async_channel::unbounded();
    let control_config = ControlConfig {
        instance: settings.instance.clone(),
        incarnation,
        failure_domain: settings.failure_domain.clone(),
        capacity: peers::millicores(settings.cpu_share),
        admits_callers: settings.listen.is_some(),
        loan_bytes_per_s: loan_bytes_per_s(&settings),
        head_start: Duration::from_millis(settings.rate_allowance.head_start_ms),
        max_requests: settings.limits.requests,
        evacuation: settings.evacuation,
        cold_start: settings.cold_start.bound(),
        learned_capacity: settings.learned_capacity.into(),
        seed: incarnation,
    };
    let control_log = log.new(o!("thread" => "control"));
    let (control, thread) = control::start(control_config, clock, control_log, effects_tx)
        .context("cannot start the control thread")?;
    let (stop_tx, stop) = async_channel::bounded(1);
    stop_signals(log.clone(), settings.clone(), file, stop_tx.clone())
        .context("cannot install the signal handler")?;
    stop_on_panic(log.clone(), stop_tx);
    let (silence_reporter, silence_reports) = silence::channel();
    let parts = Parts {
        client: target_client(&settings, silence_reporter),
        store: PlatformStore::new(store_config(&settings)),
        settings,
        incarnation,
        clock,
        log: log.clone(),
        dropped_lines: dropped,
        control: control.clone(),
    };
    let cx = Arc::new(Shared::new(parts));
    spawn_essential("silent connections", silence::run(Arc::clone(&cx), silence_reports));
    let reason = task::block_on(serve(cx, effects_rx, stop))?;
    control.send(ControlEvent::Stop);
    if thread.join().is_err() {
        warn!(log, "control thread panicked");
        return Ok(ExitCode::FAILURE);
    }
    info!(log, "daemon stopped"; "reason" => ?reason);
    Ok(match reason {
        StopReason::Signal => ExitCode::SUCCESS,
        StopReason::TaskPanicked => ExitCode::FAILURE,
    })
}

async fn serve(
    cx: Arc<Shared>,
    effects: async_channel::Receiver<control::Effect>,
    stop: Receiver<StopReason>,
) -> Result<StopReason> {
    let admin = Server::bind(
        cx.settings.admin_listen,
        clients::admin_limits(&cx),
        api::admin::app(Arc::clone(&cx)),
    )
    .await
    .with_context(|| format!("cannot listen on admin_listen {}", cx.settings.admin_listen))?;
    let (peer_revisions_tx, peer_revisions_rx) = async_channel::unbounded();
    let peers = Peers::start(&cx, peer_revisions_tx)
        .await
        .with_context(|| format!("cannot listen on peer_listen {}", cx.settings.peer_listen))?;
    // Nothing else sets the cell, so this cannot fail.
    let _ = cx.peers.set(peers.clone());
    spawn_essential("peers", peers::run(Arc::clone(&cx), peers.clone()));
    spawn_essential("exchanges", target_paths::serve(Arc::clone(&cx), peers.exchanges()));
    spawn_essential("links to targets", target_paths::monitor(Arc::clone(&cx)));
    spawn_essential("effects", effects::run(Arc::clone(&cx), peers.clone(), effects));
    spawn_essential("verdicts", verdicts::load_verdicts(Arc::clone(&cx)));
    spawn_essential("summary", summary::run(Arc::clone(&cx)));
    spawn_essential("registration", membership::register(Arc::clone(&cx)));
    spawn_essential("membership", membership::follow(Arc::clone(&cx), peers.clone()));
    if cx.settings.evacuation {
        spawn_essential("evacuations", evacuations::follow(Arc::clone(&cx)));
        spawn_essential("pauses", evacuations::watch_pauses(Arc::clone(&cx)));
        spawn_essential("reads of evacuations", evacuations::read_after_pauses(Arc::clone(&cx)));
    }
    match cx.settings.source {
        FleetSource::Document => {
            spawn_essential("load reports", load_reports::run(Arc::clone(&cx)));
            spawn_essential(
                "configuration",
                config_sync::run(Arc::clone(&cx), peers.clone(), peer_revisions_rx),
            );
        }
        FleetSource::Operator => {
            spawn_essential("configuration", operator::follow_configuration(Arc::clone(&cx)));
            spawn_essential(
                "peers' configuration",
                operator::catch_up_with_peers(Arc::clone(&cx), peer_revisions_rx),
            );
            spawn_essential("targets", operator::follow_targets(Arc::clone(&cx)));
            spawn_essential("streams", streams::run(Arc::clone(&cx)));
            spawn_essential("reads of targets", streams::read_targets(Arc::clone(&cx)));
        }
    }
    match cx.settings.source {
        _ if !cx.settings.batch.enabled => {}
        FleetSource::Document => batch_work::start(&cx, peers.clone()),
        FleetSource::Operator => {
            job_work::start(&cx, peers.clone());
            spawn_essential("retirement", retirement::run(Arc::clone(&cx)));
        }
    }
    let callers = match cx.settings.listen {
        Some(listen) => Some(listen_for_callers(&cx, listen).await?),
        None => None,
    };
    let servers = callers.iter().chain([&admin]).map(Server::counters).collect();
    spawn_essential("clients", clients::watch(Arc::clone(&cx), servers));
    info!(cx.log, "daemon serving"; "listen" => ?cx.settings.listen, "admin" => %cx.settings.admin_listen);
    // If no sender is left, no signal can arrive, so the daemon stops too.
    let reason = stop.recv().await.unwrap_or(StopReason::TaskPanicked);
    drain(&cx, callers.as_ref(), &peers).await;
    admin.drain(Duration::from_secs(1)).await;
    Ok(reason)
}

async fn listen_for_callers(cx: &Arc<Shared>, listen: SocketAddr) -> Result<Server<Arc<Shared>>> {
    let app = match cx.settings.source {
        FleetSource::Document => api::callers_app(Arc::clone(cx)),
        FleetSource::Operator => api::ingress::app(Arc::clone(cx)),
    };
    Server::bind(listen, cx.caller_limits.clone(), app)
        .await
        .with_context(|| format!("cannot listen on {listen}"))
}

async fn drain(cx: &Arc<Shared>, callers: Option<&Server<Arc<Shared>>>, peers: &Peers) {
    let limits = &cx.settings.limits;
    info!(cx.log, "drain starting"; "requests" => cx.control.open_requests());
    let lead = Duration::from_millis(limits.drain_lead_ms);
    let limit = Duration::from_millis(limits.drain_ms);
    // Set first, because requests that wait are answered as soon as the drain has started.
    if let Some(callers) = callers {
        callers.close_after_answers();
    }
    cx.drain.start(cx.clock.now() + lead + limit);
    cx.draining.set();
    peers.announce_leaving();
    let mut cut = 0;
    let exchanges_ended = async_std::future::timeout(lead + limit, cx.target_paths.until_idle());
    let callers_drained = async {
        if let Some(callers) = callers {
            // The load balancer polls the readiness of the instance, and sends connections until it sees the change.
            task::sleep(lead).await;
            cut = callers.drain(limit).await.closed_at_deadline;
        }
    };
    let ((), exchanges_ended) = join(callers_drained, exchanges_ended).await;
    if exchanges_ended.is_err() {
        warn!(cx.log, "drain ends exchanges for other daemons"; "exchanges" => cx.target_paths.served_count());
    }
    if cx.settings.batch.enabled && cx.settings.source == FleetSource::Document {
        // Segments that are not released are taken over by other instances when the lease lapses.
        let _ = async_std::future::timeout(SEGMENT_RELEASE_TIMEOUT, cx.batch.stopped()).await;
    }
    if cx.settings.batch.enabled && cx.settings.source == FleetSource::Operator {
        // Jobs that are not released are taken over by other instances when the lease lapses.
        let _ = async_std::future::timeout(CLAIM_RELEASE_TIMEOUT, cx.claims_released.wait()).await;
    }
    cx.control.send(ControlEvent::Drain);
    let released =
        async_std::future::timeout(SLOT_RELEASE_TIMEOUT, wait_for_slot_release(cx)).await.is_ok();
    info!(cx.log, "drain ended"; "cut" => cut, "slots_released" => released);
}

async fn wait_for_slot_release(cx: &Shared) {
    while cx.control.summary().await.is_some_and(|it| !it.slots_drained) {
        task::sleep(SLOT_RELEASE_POLL_INTERVAL).await;
    }
}

/// Drains and stops the daemon when a task panics without which it cannot work; the platform then starts it again.
fn stop_on_panic(log: Logger, tx: Sender<StopReason>) {
    panics::on_essential_panic(move |task, panic| {
        error!(log, "task ended, so the daemon stops"; "task" => task, "error" => %panic);
        // One message is enough, so a full channel is no error.
        let _ = tx.try_send(StopReason::TaskPanicked);
    });
}

/// Sends a message when SIGTERM or SIGINT arrives. On SIGHUP, the settings are read again and compared.
fn stop_signals(
    log: Logger,
    settings: Settings,
    file: PathBuf,
    tx: Sender<StopReason>,
) -> Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    std::thread::Builder::new().name("signals".to_owned()).spawn(move || {
        for signal in signals.forever() {
            if signal == SIGHUP {
                log_settings_changes(&log, &settings, &file);
            } else {
                // One message is enough, so a full channel is no error.
                let _ = tx.try_send(StopReason::Signal);
            }
        }
    })?;
    Ok(())
}

/// Logs whether the settings file has changed. Changes take effect at the next start; a rolling restart applies them
/// without interrupting requests.
fn log_settings_changes(log: &Logger, settings: &Settings, file: &Path) {
    let name = file.display().to_string();
    let text = match fs::read_to_string(file) {
        Ok(text) => text,
        Err(e) => {
            warn!(log, "settings not read again"; "file" => name, "error" => %e);
            return;
        }
    };
    match Settings::parse(&name, &text) {
        Ok(new) => {
            info!(log, "settings read again"; "file" => name, "changed" => new != *settings);
        }
        Err(e) => warn!(log, "settings file is not valid"; "file" => name, "error" => %e),
    }
}

fn loan_bytes_per_s(settings: &Settings) -> f64 {
    match settings.rate_allowance.loan_bytes_per_s {
        0 => LOAN_BYTES_PER_S,
        bytes => f64::from(bytes),
    }
}

fn target_client(settings: &Settings, reporter: silence::SilenceReporter) -> Client {
    let cfg = ClientSettings {
        first_byte_timeout: Duration::from_millis(settings.limits.first_byte_ms),
        connect_timeout: Duration::from_millis(settings.limits.connect_ms),
        unacknowledged_limit: UNACKNOWLEDGED_LIMIT,
        request_id_check: match settings.source {
            FleetSource::Document => RequestIdCheck::IfPresent,
            FleetSource::Operator => RequestIdCheck::RequiredOnReuse,
        },
        ..ClientSettings::default()
    };
    Client::new(cfg, move |silence| reporter.report(silence))
}

fn store_config(settings: &Settings) -> PlatformStoreConfig {
    const BURST_SECONDS: f64 = 10.0;
    let platform = &settings.platform;
    PlatformStoreConfig {
        timeout: platform.call_timeout(),
        budget: BudgetConfig {
            reads_per_second: f64::from(platform.reads_per_s),
            writes_per_second: f64::from(platform.writes_per_s),
            burst_seconds: BURST_SECONDS,
        },
        ..PlatformStoreConfig::new(platform.address)
    }
}
