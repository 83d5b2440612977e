//! The context of every command: global options, connections and output.

use std::{
    io::{self, Write as _},
    net::SocketAddr,
    time::Duration,
};

use kv_store::budget::BudgetConfig;
use platform::{PlatformStore, PlatformStoreConfig};
use serde_json::Value;

use crate::{
    cli::{FollowArgs, Global},
    error::{Failure, Result},
};

/// Call budget of one command. A first read takes one call per chunk, about 400 for 29,000 accounts, and a first write
/// as many. The bursts cover several times that. One command uses a small part of the service's capacity of several
/// hundred writes and 2,000 reads a second.
const BUDGET: BudgetConfig =
    BudgetConfig { reads_per_second: 200.0, writes_per_second: 100.0, burst_seconds: 20.0 };

/// The context of a command.
#[derive(Debug)]
pub struct Context {
    /// The global options.
    pub global: Global,
}

impl Context {
    /// Returns a client of the platform's service.
    ///
    /// # Errors
    ///
    /// Fails if no address was given.
    pub fn store(&self) -> Result<PlatformStore> {
        let address = self.platform_address()?;
        let timeout = self.call_timeout();
        Ok(PlatformStore::new(PlatformStoreConfig {
            timeout,
            budget: BUDGET,
            ..PlatformStoreConfig::new(address)
        }))
    }

    /// Returns the address of the platform's service.
    ///
    /// # Errors
    ///
    /// Fails if no address was given.
    pub fn platform_address(&self) -> Result<SocketAddr> {
        self.global.platform.ok_or_else(|| {
            Failure::Usage(
                "no platform address is given; pass --platform or set BORAGESHEDCTL_PLATFORM"
                    .to_owned(),
            )
        })
    }

    /// Returns the admin addresses of the daemons.
    ///
    /// # Errors
    ///
    /// Fails if no address was given.
    pub fn admin_addresses(&self) -> Result<&[SocketAddr]> {
        match self.global.admin.as_slice() {
            [] => Err(Failure::Usage(
                "no admin address is given; pass --admin or set BORAGESHEDCTL_ADMIN".to_owned(),
            )),
            addresses => Ok(addresses),
        }
    }

    /// Checks before a change that `--wait` has daemons to wait for.
    ///
    /// # Errors
    ///
    /// Fails if `--wait` is given without an admin address.
    pub fn check_follow(&self, follow: &FollowArgs) -> Result<()> {
        if follow.wait { self.admin_addresses().map(|_| ()) } else { Ok(()) }
    }

    /// Returns the timeout of one call.
    pub fn call_timeout(&self) -> Duration {
        Duration::from_millis(self.global.call_timeout_ms)
    }

    /// Prints the result of a command: text, or a JSON document with `--json`.
    pub fn emit(&self, text: &str, value: &Value) {
        match self.global.json {
            true => write_out(&format!("{value:#}\n")),
            false if text.is_empty() || text.ends_with('\n') => write_out(text),
            false => write_out(&format!("{text}\n")),
        }
    }

    /// Reports progress on standard error.
    pub fn progress(&self, text: &str) {
        if !self.global.quiet {
            write_err(text);
        }
    }
}

/// Writes to standard output. Errors are ignored, because a reader such as `head` may close the pipe early.
pub fn write_out(text: &str) {
    let mut out = io::stdout().lock();
    let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
}

/// Writes a line to standard error.
pub fn write_err(text: &str) {
    let _ = writeln!(io::stderr().lock(), "{text}");
}
