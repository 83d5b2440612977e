//! Questions to other daemons about the software versions that began callers' streams.

use std::time::Duration;

use peer::{Message, OriginAnswer, OriginRequest, StreamOrigin};
use policy::versions::{RecordedOrigin, StreamId};
use stdx::Name;

use super::Peers;
use crate::directory::ServiceId;

/// What a daemon says about the version that began a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OriginReply {
    /// The daemon has a record of the stream.
    Known(RecordedOrigin),
    /// The daemon does not know the stream.
    Unknown,
    /// The daemon did not answer, which says nothing about the stream.
    NoAnswer,
    /// There is no path to the daemon.
    Unreachable,
}

/// How long a daemon may take to answer. Answers come from memory.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

impl Peers {
    /// Tells a daemon which target began a stream of a service.
    pub fn send_origin(
        &self,
        to: &Name,
        service: ServiceId,
        stream: StreamId,
        origin: &RecordedOrigin,
    ) {
        let origin = StreamOrigin {
            service: service.0,
            stream: stream.0,
            version: origin.version.to_string(),
            target: origin.target.as_ref().map(Name::to_string),
        };
        self.send(Some(to), &Message::StreamOrigin(origin));
    }

    /// Asks a daemon which version began a stream.
    pub async fn ask_for_origin(&self, of: &Name, stream: StreamId) -> OriginReply {
        let mut is_sent = false;
        let send = |id| {
            let req = OriginRequest { id, stream: stream.0 };
            is_sent = self.send(Some(of), &Message::OriginRequest(req));
            is_sent
        };
        match self.inner.origins.ask(of, ANSWER_TIMEOUT, send).await {
            Some(OriginAnswer { version: Some(version), target, .. }) => {
                let target = target.map(Name::from);
                OriginReply::Known(RecordedOrigin { version: Name::from(version), target })
            }
            Some(OriginAnswer { version: None, .. }) => OriginReply::Unknown,
            None if is_sent => OriginReply::NoAnswer,
            None => OriginReply::Unreachable,
        }
    }

    /// Answers a question about the version that began a stream.
    pub(super) fn answer_about_origin(&self, to: &Name, id: u64, origin: Option<RecordedOrigin>) {
        let (version, target) = origin.map(|it| (it.version, it.target)).unzip();
        let answer = OriginAnswer {
            id,
            version: version.map(|it| it.to_string()),
            target: target.flatten().map(|it| it.to_string()),
        };
        self.send(Some(to), &Message::OriginAnswer(answer));
    }
}
