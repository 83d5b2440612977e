//! Measures how cost grows with the number of targets.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use anyhow::Result;
use async_std::task;
use peer::{Heartbeat, Message};
use serde_json::json;
use test_support::{
    deployment::{Deployment, Plan},
    plain::{PlainFaults, PlainService},
};

use crate::{document, load, measure, print_line};

const SETTLE_TIME: Duration = Duration::from_secs(2);
const MEASUREMENT_TIME: Duration = Duration::from_secs(3);
const REQUESTS_PER_S: u32 = 200;
const PORT: u16 = 9_200;

pub async fn run(counts: &[usize]) -> Result<()> {
    print_line("heartbeat with one online and one batch request in flight at each target:")?;
    for &count in counts {
        let heartbeat = Heartbeat {
            sequence: 1_000_000,
            revision: 1_000,
            targets: (0..count as u32).collect(),
            online: vec![1; count],
            batch: vec![1; count],
            ..Heartbeat::default()
        };
        let bytes = peer::message::encode(&Message::Heartbeat(heartbeat))?.len();
        print_line(&format!("  {count} targets: {bytes} bytes"))?;
    }
    print_line(&format!(
        "two daemons; the load is {REQUESTS_PER_S} requests/s through the first:"
    ))?;
    print_line(
        "targets idle_control_% idle_process_% idle_B/s load_control_us/request load_process_us/request load_B/s MiB",
    )?;
    let max_targets = counts.iter().copied().max().unwrap_or(0);
    let mut servers = Vec::new();
    for i in 0..max_targets {
        let [.., high, low] = (i as u32 + 1).to_be_bytes();
        let address = SocketAddr::from((Ipv4Addr::new(127, 251, high, low), PORT));
        servers.push(PlainService::start(address, PlainFaults::default()).await?);
    }
    let addresses: Vec<SocketAddr> = servers.iter().map(PlainService::addr).collect();
    for &count in counts {
        measure_targets(&addresses[..count]).await?;
    }
    Ok(())
}

async fn measure_targets(targets: &[SocketAddr]) -> Result<()> {
    let plan = Plan {
        daemons: vec!["a", "a"],
        engines: Vec::new(),
        plain: Vec::new(),
        settings: json!({ "log_level": "info" }),
        ..Plan::default()
    };
    let deployment = Deployment::start(plan).await?;
    let sections = [document::accounts(3, 5.0), document::plain_services(targets, 8)];
    let revision = deployment.apply(&sections).await?;
    for i in 0..2 {
        deployment.wait_status(i, |it| it["revision"].as_u64() >= Some(revision)).await?;
    }
    task::sleep(SETTLE_TIME).await;
    let idle = measure::usage_during(&deployment, MEASUREMENT_TIME).await?;
    let snapshot = measure::Snapshot::take(&deployment).await?;
    let requests =
        load::run(deployment.caller_address(0), "/orders/orders", REQUESTS_PER_S, MEASUREMENT_TIME)
            .await?;
    let used = snapshot.usage(&deployment).await?;
    let requests = requests as f64;
    let control = used.cpu[0].control - idle.cpu[0].control * used.seconds / idle.seconds;
    let process = used.cpu[0].all - idle.cpu[0].all * used.seconds / idle.seconds;
    print_line(&format!(
        "{:7} {:14.3} {:14.2} {:8.0} {:23.1} {:23.1} {:8.0} {:5.1}",
        targets.len(),
        idle.control_percent(),
        idle.process_percent(),
        idle.peer_traffic("sent", "bytes") / idle.seconds / 2.0,
        control * 1e6 / requests,
        process * 1e6 / requests,
        used.peer_traffic("sent", "bytes") / used.seconds / 2.0,
        measure::memory(&deployment.daemons[0])?.0,
    ))
}
