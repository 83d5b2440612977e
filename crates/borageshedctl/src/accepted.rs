//! Reads the accepted configuration and updates it by compare-and-swap on the head.

use std::time::{Duration, Instant};

use async_std::task;
use config_store::StoredHead;
use fleet::{
    Document, Section, SectionId,
    revision::{Chunks, Edit, Head, Revision},
};
use kv_store::Outcome;
use platform::PlatformStore;
use stdx::Name;

use crate::{
    context::Context,
    error::{Failure, Result},
};

/// The maximum number of rebases of a change. Each rebase means that another operator's change was accepted, so the
/// operators together make progress.
const MAX_REBASES: u32 = 50;
/// The delay between two reads after an unknown outcome.
const READ_BACK_PAUSE: Duration = Duration::from_millis(200);

/// The configuration that the platform's service holds.
#[derive(Debug, Clone)]
pub struct Accepted {
    /// The head with the revision to write against.
    pub stored: StoredHead,
    /// The revision; `None` before the first.
    pub revision: Option<Revision>,
}

/// A change of one section.
#[derive(Debug, Clone)]
pub struct Change {
    /// The section.
    pub section: SectionId,
    /// The file of the text, as shown in errors.
    pub file: String,
    /// The new text, or `None` to remove the section.
    pub text: Option<Name>,
    /// The revision that changed the section last when the operator read it.
    pub base: u64,
}

impl Accepted {
    /// Reads the head and every chunk that `known` lacks.
    ///
    /// # Errors
    ///
    /// Fails if the service does not answer or holds no valid configuration.
    pub async fn read(store: &PlatformStore, known: &Chunks) -> Result<Self> {
        let stored = config_store::read_head(store).await?;
        if stored.head.revision == 0 {
            return Ok(Self { stored, revision: None });
        }
        let chunks = config_store::read_chunks(store, &stored.head, known).await?;
        let revision = Revision::read(stored.head.clone(), chunks)?;
        Ok(Self { stored, revision: Some(revision) })
    }

    /// Returns the number of the revision; 0 before the first.
    pub fn number(&self) -> u64 {
        self.stored.head.revision
    }

    /// Returns the revision.
    ///
    /// # Errors
    ///
    /// Fails if no configuration was accepted yet.
    pub fn require_revision(&self) -> Result<&Revision> {
        let missing = || Failure::Refused("no configuration has been accepted yet".to_owned());
        self.revision.as_ref().ok_or_else(missing)
    }

    /// Returns the text of a section; `None` if there is no such section.
    ///
    /// # Errors
    ///
    /// Fails if a chunk is damaged.
    pub fn text(&self, id: &SectionId) -> Result<Option<String>> {
        match &self.revision {
            Some(revision) => Ok(revision.text(id)?),
            None => Ok(None),
        }
    }

    /// Returns the revision that changed a section last; 0 if there is no such section.
    pub fn changed_in(&self, id: &SectionId) -> u64 {
        changed_in(&self.stored.head, id)
    }

    /// Returns the revision with the changes applied, validated as a whole. Errors give positions in the operator's
    /// files.
    ///
    /// # Errors
    ///
    /// Fails if a section was changed since its base, or if the result is not valid.
    pub fn with_changes(&self, changes: &[Change]) -> Result<Revision> {
        if let Some(change) = changes.iter().find(|it| it.base != self.changed_in(&it.section)) {
            return Err(Failure::Conflict(format!(
                "section `{}` was changed in revision {} while the edit is based on revision {}; \
                 read the section again and repeat the edit",
                change.section,
                self.changed_in(&change.section),
                change.base
            )));
        }
        self.validate(changes)?;
        let Some(revision) = &self.revision else {
            let texts =
                changes.iter().filter_map(|it| Some((it.section.clone(), it.text.clone()?)));
            return Ok(Revision::first(&texts.collect::<Vec<_>>())?);
        };
        let edits: Vec<Edit> = changes
            .iter()
            .map(|it| Edit { section: it.section.clone(), base: it.base, text: it.text.clone() })
            .collect();
        Ok(revision.edit_all(&edits)?)
    }

    fn validate(&self, changes: &[Change]) -> Result<()> {
        let mut sections = Vec::new();
        for id in self.stored.head.sections.keys() {
            if changes.iter().any(|it| it.section == *id) {
                continue;
            }
            let text = self.text(id)?.unwrap_or_default();
            sections.push(Section::parse(id.clone(), &id.to_string(), &text)?);
        }
        for change in changes {
            if let Some(text) = &change.text {
                sections.push(Section::parse(change.section.clone(), &change.file, text)?);
            }
        }
        Document::assemble(&sections)?;
        Ok(())
    }
}

/// Puts changes in force and returns the number of the revision.
///
/// If other sections change meanwhile, the changes are rebased on the newer revision. After a lost answer, the head is
/// read back for up to `read_back`.
///
/// # Errors
///
/// Fails with a conflict if one of the sections changes meanwhile, and with an unknown outcome if the head could not be
/// read back in time.
pub async fn accept(
    cx: &Context,
    store: &PlatformStore,
    mut accepted: Accepted,
    changes: &[Change],
    read_back: Duration,
) -> Result<u64> {
    let mut is_outcome_known = true;
    for _ in 0..MAX_REBASES {
        let next = match accepted.with_changes(changes) {
            Err(Failure::Conflict(reason)) if !is_outcome_known => {
                return Err(Failure::Unknown(format!(
                    "the answer to the write was lost, and another change followed: {reason}; \
                     this change may have been in force in between"
                )));
            }
            next => next?,
        };
        let outcome =
            config_store::write(store, &next.chunks, &next.head, &accepted.stored).await?;
        let resolved = match outcome {
            Outcome::Won(_) => return Ok(next.head.revision),
            Outcome::Lost(_) => None,
            Outcome::Unknown => {
                cx.progress("the answer to the write was lost; reading back what is in force");
                is_outcome_known = false;
                resolve_unknown_write(store, &accepted, &next, changes, read_back).await?
            }
        };
        if let Some(number) = resolved {
            return Ok(number);
        }
        let known = accepted.revision.map(|it| it.chunks).unwrap_or_default();
        accepted = Accepted::read(store, &known).await?;
        let number = accepted.number();
        cx.progress(&format!("revision {number} was accepted meanwhile; rebasing on it"));
    }
    Err(Failure::Conflict(format!(
        "other changes were accepted {MAX_REBASES} times in a row; try again"
    )))
}

/// Determines whether a write with an unknown outcome took effect; `None` if it can no longer do so.
async fn resolve_unknown_write(
    store: &PlatformStore,
    before: &Accepted,
    next: &Revision,
    changes: &[Change],
    limit: Duration,
) -> Result<Option<u64>> {
    let start = Instant::now();
    let mut last = None;
    loop {
        if let Ok(now) = config_store::read_head(store).await {
            let number = next.head.revision;
            if contains_changes(&now.head, &next.head, changes) {
                return Ok(Some(number));
            }
            if now.mod_revision != before.stored.mod_revision {
                // The head has changed since, so the write can no longer succeed.
                return Ok(None);
            }
            last = Some(now.head.revision);
            // The first write may still arrive. At most one of it and its repetition can take effect.
            match config_store::write(store, &next.chunks, &next.head, &before.stored).await {
                Ok(Outcome::Won(_)) => return Ok(Some(number)),
                Ok(Outcome::Lost(_) | Outcome::Unknown) | Err(_) => {}
            }
        }
        if start.elapsed() >= limit {
            return Err(Failure::Unknown(unknown_outcome_message(before, next, last)));
        }
        task::sleep(READ_BACK_PAUSE).await;
    }
}

fn unknown_outcome_message(before: &Accepted, next: &Revision, last: Option<u64>) -> String {
    let number = next.head.revision;
    let in_force = match last {
        Some(last) => format!("revision {last} was in force when last read"),
        None => {
            format!("the head cannot be read; revision {} was in force before", before.number())
        }
    };
    format!(
        "{in_force}, and revision {number} of this change may still take effect; run `show` to see what is in force"
    )
}

/// Returns whether a head contains the changes of `written`.
fn contains_changes(head: &Head, written: &Head, changes: &[Change]) -> bool {
    head.revision >= written.revision
        && changes
            .iter()
            .all(|it| head.sections.get(&it.section) == written.sections.get(&it.section))
}

fn changed_in(head: &Head, id: &SectionId) -> u64 {
    head.sections.get(id).map_or(0, |it| it.changed_in)
}
