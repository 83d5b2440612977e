//! Submits, polls and cancels the batch jobs of a load run.

use std::{net::SocketAddr, time::Duration};

use http_types::Method;
use serde_json::{Value, json};

use super::{
    run::substitute_number,
    settings::{BatchJob, Load},
};
use crate::{
    context::Context,
    error::{Failure, Result},
    http::{Call, Client},
};

/// The timeout of a call about a job; it is long because storing a file takes one write per 256 items.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// The submitted batch jobs of a load run.
pub struct Jobs {
    address: SocketAddr,
    client: Client,
    jobs: Vec<Job>,
}

struct Job {
    id: String,
    key: String,
}

impl Jobs {
    /// Submits every batch job of a load. If a submission fails, the jobs before it are cancelled.
    ///
    /// # Errors
    ///
    /// Fails if a daemon does not answer or refuses a job.
    pub async fn submit(cx: &Context, load: &Load) -> Result<Self> {
        let mut jobs =
            Self { address: load.callers[0], client: Client::default(), jobs: Vec::new() };
        for account in &load.accounts {
            let Some(job) = &account.batch else { continue };
            let submitted = jobs.submit_job(job, account.resolve_key()?).await;
            if let Err(e) = submitted {
                jobs.cancel().await;
                return Err(e);
            }
            cx.progress(&format!("submitted a job of {} items for {}", job.items, account.account));
        }
        Ok(jobs)
    }

    /// Returns the number of completed items over all jobs, or `None` if the status of a job cannot be read.
    pub async fn completed_items(&self) -> Option<u64> {
        let mut completed = 0;
        for job in &self.jobs {
            let call = Call::new(Method::Get, format!("/v1/batches/{}", job.id)).with_key(&job.key);
            let answer =
                self.client.call(self.address, &call, CALL_TIMEOUT).await.ok()?.json().ok()?;
            completed += answer["request_counts"]["completed"].as_u64()?;
        }
        Some(completed)
    }

    /// Cancels every job. Jobs that have already ended are not changed, and failed calls are ignored.
    pub async fn cancel(&self) {
        for job in &self.jobs {
            let path = format!("/v1/batches/{}/cancel", job.id);
            let call = Call::new(Method::Post, path).with_key(&job.key);
            // A job that cannot be cancelled still ends on its own.
            let _ = self.client.call(self.address, &call, CALL_TIMEOUT).await;
        }
    }

    async fn submit_job(&mut self, job: &BatchJob, key: String) -> Result<()> {
        let mut input = Vec::new();
        for n in 0..u64::from(job.items) {
            let body = substitute_number(&job.body.to_string(), n);
            let id = format!("item-{n}");
            input.extend_from_slice(
                format!("{{\"custom_id\":\"{id}\",\"method\":\"POST\",\"url\":\"{}\",\"body\":{body}}}\n", job.endpoint)
                    .as_bytes(),
            );
        }
        let call = Call::new(Method::Post, "/v1/files").with_body("application/jsonl", input);
        let file = self.call(call.with_key(&key)).await?;
        let mut batch = json!({ "input_file_id": file["id"], "endpoint": job.endpoint });
        if let Some(window) = &job.completion_window {
            batch["completion_window"] = json!(window);
        }
        let mut call = Call::new(Method::Post, "/v1/batches")
            .with_body("application/json", batch.to_string())
            .with_key(&key);
        // The idempotency key is random; otherwise a second run would be answered with the job of the first.
        let idempotency_key = format!("load-{}", hex::encode(rand::random::<[u8; 16]>()));
        call.headers.push(("idempotency-key".to_owned(), idempotency_key));
        let accepted = self.call(call).await?;
        let id = accepted["id"].as_str().ok_or_else(|| {
            Failure::Refused(
                "POST /v1/batches: the daemon's answer has no job id; expected a string in `id`"
                    .to_owned(),
            )
        })?;
        self.jobs.push(Job { id: id.to_owned(), key });
        Ok(())
    }

    async fn call(&self, call: Call) -> Result<Value> {
        self.client.call(self.address, &call, CALL_TIMEOUT).await?.json()
    }
}
