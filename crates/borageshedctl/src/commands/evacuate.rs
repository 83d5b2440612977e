//! `evacuate`: orders that nothing be sent to the targets of a failure domain, and revokes the order.

use config_store::ConfigStoreError;
use fleet::{EVACUATIONS_PREFIX, revision::Chunks};
use kv_store::{Outcome, Store as _};
use serde_json::json;

use crate::{
    accepted::Accepted,
    cli::EvacuateArgs,
    context::Context,
    error::{Failure, Result},
};

/// The value of an order, of which only the key counts.
const ORDER: &[u8] = b"{}";

/// Stores or removes the order for a failure domain of the accepted fleet document. An order that is repeated, and the end of an evacuation
/// that never began, change nothing.
///
/// # Errors
///
/// Fails if the document has no such failure domain, or if the service does not answer.
pub async fn run(cx: &Context, args: &EvacuateArgs) -> Result<()> {
    let store = cx.store()?;
    let accepted = Accepted::read(&store, &Chunks::new()).await?;
    let domains = &accepted.require_revision()?.document.fleet.failure_domains;
    let is_known = domains.contains_key(args.domain.as_str());
    let key = format!("{EVACUATIONS_PREFIX}{}", args.domain);
    // A domain may have left the document while it is evacuated; its order can still be revoked.
    let exists = store.get(&key).await.map_err(ConfigStoreError::from)?.is_some();
    let may_change = is_known || (args.end && exists);
    if !may_change {
        let known: Vec<&str> = domains.keys().map(|it| it.as_str()).collect();
        return Err(Failure::Refused(format!(
            "the fleet document has no failure domain {:?}; it has {}",
            args.domain,
            known.join(", ")
        )));
    }
    let outcome = match (args.end, exists) {
        (false, false) => Some(store.create(&key, ORDER).await),
        (true, true) => Some(store.delete(&key, None).await),
        (_, _) => None,
    };
    let changed = match outcome.transpose().map_err(ConfigStoreError::from)? {
        Some(Outcome::Won(_)) => true,
        Some(Outcome::Lost(_)) | None => false,
        Some(Outcome::Unknown) => {
            let reason = "no answer to the order came; repeat it, which does no harm";
            return Err(Failure::Unknown(reason.to_owned()));
        }
    };
    let text = match (args.end, changed) {
        (false, true) => "is evacuated; daemons follow within 5 s",
        (false, false) => "was evacuated already",
        (true, true) => "is no longer evacuated; daemons follow within 5 s",
        (true, false) => "was not evacuated",
    };
    let value = json!({ "domain": args.domain, "evacuated": !args.end, "changed": changed });
    cx.emit(&format!("failure domain {:?} {text}", args.domain), &value);
    Ok(())
}
