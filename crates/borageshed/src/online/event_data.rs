//! Collects the data of a stream of server-sent events.

use http_edge::framing::BodyError;
use jobs::PartialOutput;
use stdx::Name;

use super::{
    byte_budget::{BudgetShare, ByteBudget},
    events::{EventSplitter, StreamError},
};

/// The maximum length of the data of one stream; it leaves room for what JSON adds, so that the data fits into one value of
/// the key-value service.
const MAX_DATA_BYTES: usize = 700_000;

/// The bytes of the outputs of all items that the process holds.
static OUTPUTS: ByteBudget = ByteBudget::new(32 << 20);

/// The data of all whole events so far, separated by line feeds.
#[derive(Debug)]
pub struct EventData {
    splitter: EventSplitter,
    text: String,
    text_share: BudgetShare,
    /// Whether `text` holds the data of an event; the data may be empty.
    has_data: bool,
    /// The version of the target that sent the first event, or of the current one before the first event.
    version: Option<Name>,
    /// Whether it is certain that a target of `version` sent the events.
    is_version_certain: bool,
}

impl From<PartialOutput> for EventData {
    fn from(partial: PartialOutput) -> Self {
        let PartialOutput { text, events, last_event, version } = partial;
        // An output of an unknown version cannot be continued.
        let Some(version) = version else { return Self::default() };
        let splitter = EventSplitter::resume(events, last_event);
        let mut text_share = OUTPUTS.share();
        // Without room for what is stored, the item starts anew.
        match text_share.resize(text.len()) {
            Ok(()) => Self {
                splitter,
                text,
                text_share,
                has_data: events > 0,
                version: Some(version),
                is_version_certain: true,
            },
            Err(_) => Self::default(),
        }
    }
}

impl Default for EventData {
    fn default() -> Self {
        Self {
            splitter: EventSplitter::default(),
            text: String::new(),
            text_share: OUTPUTS.share(),
            has_data: false,
            version: None,
            is_version_certain: false,
        }
    }
}

impl EventData {
    /// Returns the whole events, if a run can continue after them.
    pub fn partial_output(&self) -> Option<PartialOutput> {
        let can_go_on = self.is_version_certain && self.splitter.can_go_on();
        let last_event = self.last_id().filter(|_| can_go_on)?;
        Some(PartialOutput {
            text: self.text.clone(),
            events: self.event_count(),
            last_event,
            version: self.version.clone(),
        })
    }

    /// Records that a target of a version is about to send output, and returns the id of the last event, after which it goes on.
    ///
    /// Output of an uncertain version is discarded, since no target is known to go on with it, and so is output that ends in events
    /// without an id.
    pub fn begin_attempt(&mut self, version: &Name) -> Option<u64> {
        if !self.is_version_certain || !self.splitter.can_go_on() {
            *self = Self::default();
        }
        self.splitter.begin_attempt();
        if self.event_count() == 0 {
            (self.version, self.is_version_certain) = (Some(version.clone()), false);
        }
        self.last_id()
    }

    /// Records that a target of the version is certain to send the output.
    pub fn confirm_version(&mut self) {
        self.is_version_certain = true;
    }

    /// Returns whether it is certain which version the output comes from.
    pub fn is_version_certain(&self) -> bool {
        self.is_version_certain
    }

    /// Returns the version of the target that began the output; `None` before the first event, or if it is not certain.
    pub fn version(&self) -> Option<&Name> {
        self.version.as_ref().filter(|_| self.event_count() > 0 && self.is_version_certain)
    }

    /// Adds a piece of the stream.
    ///
    /// # Errors
    ///
    /// Fails if an event is too long, if all data together are, or if the outputs of all items are.
    pub fn push(&mut self, piece: &[u8]) -> Result<(), StreamError> {
        let whole = self.splitter.push(piece)?;
        let whole = String::from_utf8_lossy(&whole);
        for event in whole.split("\n\n").filter(|it| !it.is_empty()) {
            self.push_event(event);
        }
        self.text_share.resize(self.text.len())?;
        match self.text.len() > MAX_DATA_BYTES {
            true => Err(StreamError::TooLong { limit: MAX_DATA_BYTES }),
            false => Ok(()),
        }
    }

    /// Checks that the stream has not ended inside an event.
    ///
    /// # Errors
    ///
    /// Fails with [`BodyError::Truncated`] if bytes follow the last whole event.
    pub fn finish(&self) -> Result<(), BodyError> {
        self.splitter.finish()
    }

    /// Discards the incomplete event at the end of a broken stream.
    pub fn discard_partial(&mut self) {
        self.splitter.discard_partial();
    }

    /// Returns the id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.splitter.last_id()
    }

    /// Returns the number of whole events.
    pub fn event_count(&self) -> u64 {
        self.splitter.event_count()
    }

    /// Returns the collected text.
    pub fn text(&self) -> &str {
        &self.text
    }

    fn push_event(&mut self, event: &str) {
        let mut data = event.lines().filter_map(|it| it.strip_prefix("data:")).peekable();
        if data.peek().is_none() {
            return;
        }
        for line in data {
            if std::mem::replace(&mut self.has_data, true) {
                self.text.push('\n');
            }
            self.text.push_str(line.strip_prefix(' ').unwrap_or(line));
        }
    }
}
