//! The HTTP routes of the engine.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use futures::stream::{self, TryStreamExt};
use http_edge::problem::{Execution, Problem, ProblemKind};
use http_edge::server::ConnectionId;
use serde::Deserialize;
use serde_json::{Value, json};
use tide::{Body, Request, Response};

use super::connections::{BusyGuard, caller, request_id};
use super::{AttachedStream, Core, Event, Faults};

type Stream = Pin<Box<dyn futures::Stream<Item = io::Result<Vec<u8>>> + Send + Sync>>;

/// The API of an inference request, which determines the format of the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum InferenceApi {
    Completion,
    Chat,
}

#[derive(Deserialize)]
struct Message {
    role: String,
    content: String,
}

/// The members of an inference request that the engine reads; it ignores others, as real engines do.
#[derive(Deserialize)]
struct Inference {
    #[serde(default)]
    model: String,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    messages: Vec<Message>,
    max_tokens: Option<usize>,
    #[serde(default)]
    stream: bool,
    engine_request_id: Option<String>,
    #[serde(default)]
    resume_from: usize,
}

impl Inference {
    fn text(&self) -> String {
        let messages = self.messages.iter().map(|m| format!("{}: {}", m.role, m.content));
        std::iter::once(self.prompt.clone()).chain(messages).collect::<Vec<_>>().join("\n")
    }
}

pub(super) fn app(core: Arc<Core>) -> tide::Server<Arc<Core>> {
    let connections = core.connections.clone();
    let mut app = tide::with_state(core);
    app.with(connections);
    app.at("/v1/completions").post(|req| infer(req, InferenceApi::Completion));
    app.at("/v1/chat/completions").post(|req| infer(req, InferenceApi::Chat));
    app.at("/v1/models").get(|req: Request<Arc<Core>>| async move {
        let models = &req.state().settings.models;
        let data: Vec<_> = models.iter().map(|id| json!({"id": id, "object": "model"})).collect();
        Ok(json!({"object": "list", "data": data}))
    });
    app.at("/load")
        .get(|req: Request<Arc<Core>>| async move { Body::from_json(&req.state().load()) });
    app.at("/executions").get(|req: Request<Arc<Core>>| async move {
        let executions = req.state().lock().scheduler.executions();
        Body::from_json(&executions)
    });
    app.at("/faults")
        .get(|req: Request<Arc<Core>>| async move { Body::from_json(&req.state().faults()) });
    app.at("/faults").put(put_faults);
    app
}

async fn put_faults(mut req: Request<Arc<Core>>) -> tide::Result {
    let patch = req.body_json().await?;
    let faults: Faults = merge_members(&req.state().faults(), patch)?;
    req.state().set_faults(faults.clone(), Some(caller(&req).id()));
    Ok(Body::from_json(&faults)?.into())
}

/// Returns `current` with the members in `patch` replaced.
pub(crate) fn merge_members<T>(current: &T, patch: Value) -> tide::Result<T>
where
    T: serde::Serialize + serde::de::DeserializeOwned,
{
    let mut value = serde_json::to_value(current)?;
    if let (Value::Object(members), Value::Object(patch)) = (&mut value, patch) {
        members.extend(patch);
    }
    serde_json::from_value(value).map_err(|e| tide::Error::new(400, e))
}

fn refusal(kind: ProblemKind, detail: &str) -> Response {
    Problem::new(kind, Execution::NotRun, detail).into_response().into()
}

async fn infer(mut req: Request<Arc<Core>>, api: InferenceApi) -> tide::Result {
    let core = Arc::clone(req.state());
    let caller = caller(&req);
    let request_id = request_id(&req);
    let text = req.body_string().await?;
    let Ok(inference) = serde_json::from_str::<Inference>(&text) else {
        return Ok(refusal(ProblemKind::MalformedRequest, "the body is not a valid request"));
    };
    let faults = core.faults();
    if faults.refuse {
        return Ok(refusal(ProblemKind::Overloaded, "the engine refuses all requests"));
    }
    let busy = core.connections.mark_busy(&caller);
    task::sleep(Duration::from_millis(faults.delay_ms)).await;
    let resumes = inference.engine_request_id.is_some();
    let attached = match &inference.engine_request_id {
        Some(id) => match core.resume(id, inference.resume_from) {
            Some(attached) => attached,
            None => return Ok(refusal(ProblemKind::NotFound, "no such stream to resume")),
        },
        None if !core.settings.models.contains(&inference.model) => {
            return Ok(refusal(ProblemKind::NotFound, "no such model"));
        }
        None => {
            let max_tokens = inference.max_tokens.unwrap_or(core.settings.default_max_tokens);
            core.submit(&request_id, &text, &inference.text(), max_tokens)
        }
    };
    let reader = Reader {
        core,
        attached,
        busy,
        connection: caller.id(),
        api,
        model: inference.model,
        next: inference.resume_from,
        ended: false,
    };
    match inference.stream || resumes {
        true => Ok(reader.into_stream_answer()),
        false => reader.into_whole_answer().await,
    }
}

/// The reader of one sequence; dropping it frees the slot.
struct Reader {
    core: Arc<Core>,
    attached: AttachedStream,
    #[expect(dead_code, reason = "marks the connection as busy until it is dropped")]
    busy: BusyGuard,
    connection: ConnectionId,
    api: InferenceApi,
    model: String,
    next: usize,
    ended: bool,
}

impl Reader {
    async fn into_whole_answer(self) -> tide::Result {
        let mut text = String::new();
        loop {
            match self.attached.rx.recv().await {
                Ok(Event::Token(token)) => text.push_str(&token),
                Ok(Event::End) => break,
                // The engine crashed, which closes the connection; no answer may be sent before that.
                Err(_) => futures::future::pending().await,
            }
        }
        let usage = self.core.lock().scheduler.usage(&self.attached.id);
        let (object, choice) = match self.api {
            InferenceApi::Completion => {
                ("text_completion", json!({"index": 0, "text": text, "finish_reason": "length"}))
            }
            InferenceApi::Chat => {
                let message = json!({"role": "assistant", "content": text});
                (
                    "chat.completion",
                    json!({"index": 0, "message": message, "finish_reason": "length"}),
                )
            }
        };
        let body = json!({
            "id": self.attached.id,
            "object": object,
            "model": self.model,
            "choices": [choice],
            "usage": {
                "prompt_tokens": usage.prompt_tokens,
                "cached_tokens": usage.cached_tokens,
                "completion_tokens": usage.completion_tokens,
            },
        });
        let res = Response::builder(200).header("x-engine-request-id", self.attached.id.as_str());
        Ok(res.body(body).build())
    }

    fn into_stream_answer(self) -> Response {
        let id = self.attached.id.clone();
        let chunks: Stream = Box::pin(stream::try_unfold(self, Self::next_chunk));
        let body = Body::from_reader(chunks.into_async_read(), None);
        Response::builder(200)
            .header("x-engine-request-id", id.as_str())
            .header("cache-control", "no-store")
            .body(body)
            .content_type("text/event-stream")
            .build()
    }

    async fn next_chunk(mut self) -> io::Result<Option<(Vec<u8>, Self)>> {
        if self.ended {
            return Ok(None);
        }
        let event = self.attached.rx.recv().await;
        self.core.connections.block_if_silent(self.connection).await;
        let chunk = match event {
            Ok(Event::Token(token)) => format!("data: {}\n\n", self.chunk(&token)),
            Ok(Event::End) => {
                self.ended = true;
                "data: [DONE]\n\n".to_owned()
            }
            Err(_) => return Err(io::ErrorKind::ConnectionAborted.into()),
        };
        self.next += 1;
        Ok(Some((chunk.into_bytes(), self)))
    }

    fn chunk(&self, token: &str) -> Value {
        let (object, choice) = match self.api {
            InferenceApi::Completion => ("text_completion", json!({"index": 0, "text": token})),
            InferenceApi::Chat => {
                ("chat.completion.chunk", json!({"index": 0, "delta": {"content": token}}))
            }
        };
        // The offset is the value of `resume_from` that resumes the stream after this chunk.
        json!({"id": self.attached.id, "object": object, "choices": [choice], "offset": self.next + 1})
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.core.detach(&self.attached.id, &self.attached.rx);
    }
}
