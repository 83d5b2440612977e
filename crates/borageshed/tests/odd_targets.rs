//! Serves callers and jobs while another writer's entries stand among those of the targets.

use std::io;

use operator_site::{Site, call, stream, submission};
use serde_json::json;
use test_support::{
    operator::{self, LOOKUPS},
    target::{Behaviour, Target},
};

mod operator_site;

const ITEMS: usize = 24;
const REQUESTS: usize = 20;

// Guards against a job that never ends and requests without an answer, because a target's id fits into no header.
#[async_std::test]
async fn an_id_that_no_header_can_carry_ends_no_item_and_no_request() -> io::Result<()> {
    let target = Target::start(stream(3, 5)).await?;
    let lookups = Target::start(Behaviour::Status(200)).await?;
    let site = Site::start(&[("t-1", &target), ("t-2", &lookups)]).await?;
    let odd = json!({
        "service": operator::SERVICE, "address": "127.0.0.1:9", "zone": "a", "slots": 8, "state": "ready",
        "version": "", "cold_left_ms": 0, "seq": 1,
    });
    operator::register_bytes(&site.platform, "f\u{fc}nf", odd.to_string().into_bytes());
    let ids: Vec<String> = (0..ITEMS).map(|it| format!("i-{it}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    assert_eq!(site.send(submission("j-1", &ids)).await.status, 202);
    for n in 0..REQUESTS {
        let reply = site.send(call(LOOKUPS, &format!("r-{n}"))).await;
        assert_eq!(reply.status, 200, "r-{n}: {}", reply.text());
    }
    site.wait_for_results("j-1", ITEMS).await
}
