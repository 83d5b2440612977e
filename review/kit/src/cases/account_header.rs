//! A client names the header that carries its account among the options of its connection.

use std::{path::Path, sync::Arc, time::Duration};

use crate::{
    Verdict, http,
    names::name,
    note,
    server::{Reply, Server},
    site::{ACCOUNTS, HOST, Site},
};

const REQUESTS: usize = 10;

pub fn play(root: &Path, work: &Path, trouble: bool) -> Verdict {
    let mut site = Site::start(root, work);
    let text = |_: &_| Reply::text(200, "done");
    let servers = ["i-1", "i-2"].map(|id| Server::start(id, "/health", Arc::new(text)));
    site.configure(1, "/health");
    site.register(&servers[0], "a");
    site.register(&servers[1], "b");
    site.start_daemons();
    let options = match trouble {
        true => format!("close, {}", name("tenant")),
        false => "close".to_owned(),
    };
    for n in 0..REQUESTS {
        let (account, key) = ACCOUNTS[n % 2];
        let (id, key) = (format!("{account}-{n}"), format!("Bearer {key}"));
        let headers = [
            ("Host", HOST),
            ("X-Request-Id", &id),
            ("Authorization", &key),
            (name("deadline"), "4000"),
            ("Connection", &options),
        ];
        let req = http::request("POST /orders/1", &headers, b"one");
        note!("client sends {id} of {account} with the connection options {options:?}");
        let answer = http::exchange(site.front(n % 2), &req, Duration::from_secs(6));
        note!("client gets for {id}: {:?}", answer.map(|it| (it.status, it.is_complete)));
    }
    let ran: Vec<_> = servers.iter().flat_map(Server::ran).collect();
    let is_wrong = |id: &str, tenant: Option<&str>| {
        id.split_once('-').is_none_or(|(account, _)| tenant != Some(account))
    };
    let wrong = ran.iter().filter(|it| {
        is_wrong(it.head.get("x-request-id").unwrap_or_default(), it.head.get(name("tenant")))
    });
    let wrong = wrong.count();
    note!("{} requests ran, {wrong} of them without the account of the client's key", ran.len());
    assert!(!ran.is_empty(), "no request ran");
    if wrong > 0 { Verdict::Broken } else { Verdict::Held }
}
