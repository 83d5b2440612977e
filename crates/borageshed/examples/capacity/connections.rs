//! Measures how cost grows with the number of idle connections.

use std::time::Duration;

use anyhow::Result;
use async_std::{
    io::{ReadExt as _, WriteExt as _},
    net::TcpStream,
    task,
};
use serde_json::json;
use test_support::deployment::{Deployment, Plan};

use crate::{measure, print_line};

const SETTLE_TIME: Duration = Duration::from_secs(2);
const MEASUREMENT_TIME: Duration = Duration::from_secs(2);
/// A request that is refused; it leaves a connection in the same state as one that has served a request.
const REQUEST: &[u8] = b"GET /v1/models HTTP/1.1\r\nhost: capacity\r\n\r\n";

pub async fn run(counts: &[usize]) -> Result<()> {
    let plan = Plan {
        daemons: vec!["a"],
        engines: vec!["a"],
        plain: Vec::new(),
        settings: json!({ "log_level": "info" }),
        ..Plan::default()
    };
    let deployment = Deployment::start(plan).await?;
    task::sleep(SETTLE_TIME).await;
    let start = measure::memory(&deployment.daemons[0])?.0;
    print_line("one daemon; each connection carried one request and then stays open:")?;
    print_line("connections MiB KiB/connection idle_process_%")?;
    print_line(&format!("{:11} {start:5.1}", 0))?;
    let mut open = Vec::new();
    for &count in counts {
        while open.len() < count {
            let mut stream = TcpStream::connect(deployment.caller_address(0)).await?;
            stream.write_all(REQUEST).await?;
            let mut buf = [0; 4096];
            let _ = stream.read(&mut buf).await?;
            open.push(stream);
        }
        let idle = measure::usage_during(&deployment, MEASUREMENT_TIME).await?;
        let now = measure::memory(&deployment.daemons[0])?.0;
        print_line(&format!(
            "{count:11} {now:5.1} {:14.1} {:14.2}",
            (now - start) * 1_024.0 / count as f64,
            idle.process_percent()
        ))?;
    }
    Ok(())
}
