//! Revisions of the document: content-addressed chunks and the head record that names them.
//!
//! A section's text is split into chunks at content-defined boundaries. An edit therefore changes only the chunks around it,
//! and an instance fetches tens of kilobytes per change even if a section is megabytes long.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use sha2::{Digest, Sha256};
use stdx::{Name, wire_type};
use thiserror::Error;

use crate::{
    model::Document,
    section::{Section, SectionId},
    validate::ValidateError,
};

/// The maximum size of a chunk, in bytes; the platform's key-value service accepts values up to a megabyte.
pub const MAX_CHUNK_BYTES: usize = 256 * 1024;
/// The minimum size of a chunk that ends at a content-defined boundary, in bytes.
const MIN_CHUNK_BYTES: usize = 4 * 1024;
/// A line ends a chunk if its hash has this many low zero bits; lines of an account are about 200 bytes, so chunks are
/// about 16 KiB.
const BOUNDARY_BITS: u32 = 6;

/// The result of operations on revisions.
pub type Result<T> = std::result::Result<T, RevisionError>;

/// Chunks by their SHA-256 in hexadecimal digits.
pub type Chunks = BTreeMap<Name, Arc<[u8]>>;

wire_type! {
    /// The record that puts a revision in force; it is replaced by compare-and-swap.
    #[derive(Eq, Default)]
    pub struct Head {
        /// The number of the revision; the first accepted one is 1.
        pub revision: u64,
        /// The sections.
        pub sections: BTreeMap<SectionId, SectionRef>,
    }
}

wire_type! {
    /// A reference to a section's text.
    #[derive(Eq)]
    pub struct SectionRef {
        /// The revision that last changed the section.
        pub changed_in: u64,
        /// The digests of the chunks of its text, in order.
        pub chunks: Vec<Name>,
    }
}

/// A revision with its text and its validated document.
#[derive(Debug, Clone)]
pub struct Revision {
    /// The head record.
    pub head: Head,
    /// Every chunk that the head names.
    pub chunks: Chunks,
    /// The validated document.
    pub document: Arc<Document>,
}

/// Why a revision cannot be read or created.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RevisionError {
    /// A chunk that the head names is missing.
    #[error("chunk {digest} of section `{section}` is missing")]
    MissingChunk {
        /// The section that needs the chunk.
        section: SectionId,
        /// The digest of the chunk.
        digest: Name,
    },
    /// A chunk does not have the digest under which it is stored.
    #[error("chunk {digest} of section `{section}` is damaged")]
    DamagedChunk {
        /// The section that needs the chunk.
        section: SectionId,
        /// The digest that was expected.
        digest: Name,
    },
    /// The section was changed since the editor read it.
    #[error(
        "section `{section}` changed in revision {current} while the edit was based on revision {base}"
    )]
    Conflict {
        /// The section.
        section: SectionId,
        /// The revision on which the edit was based.
        base: u64,
        /// The revision that changed the section last.
        current: u64,
    },
    /// The document is not valid.
    #[error(transparent)]
    Invalid(#[from] ValidateError),
}

/// An edit of one section.
#[derive(Debug, Clone)]
pub struct Edit {
    /// The section.
    pub section: SectionId,
    /// The last revision that changed the section when the editor read it; 0 if the section did not exist.
    pub base: u64,
    /// The new text, or `None` to remove the section.
    pub text: Option<Name>,
}

/// Returns the SHA-256 of bytes in lower-case hexadecimal digits.
pub fn digest(bytes: &[u8]) -> Name {
    Name::from(hex::encode(Sha256::digest(bytes)))
}

/// Splits a text into chunks at content-defined boundaries.
pub fn split(text: &str) -> Vec<&str> {
    let mut chunks = Vec::new();
    let mut rest = text;
    while !rest.is_empty() {
        let (chunk, tail) = rest.split_at(boundary(rest));
        chunks.push(chunk);
        rest = tail;
    }
    chunks
}

impl Head {
    /// Returns the digests of every chunk that the head names.
    pub fn digests(&self) -> BTreeSet<&Name> {
        self.sections.values().flat_map(|it| &it.chunks).collect()
    }
}

impl Revision {
    /// Reads a revision from its head and chunks.
    ///
    /// # Errors
    ///
    /// Returns an error if a chunk is missing or damaged, or if the document is not valid.
    pub fn read(head: Head, chunks: Chunks) -> Result<Self> {
        let mut sections = Vec::with_capacity(head.sections.len());
        for (id, section) in &head.sections {
            let text = section_text(id, section, &chunks)?;
            let parsed =
                Section::parse(id.clone(), &id.to_string(), &text).map_err(ValidateError::from)?;
            sections.push(parsed);
        }
        let document = Arc::new(Document::assemble(&sections)?);
        Ok(Self { head, chunks, document })
    }

    /// Returns the text of a section.
    ///
    /// # Errors
    ///
    /// Returns an error if a chunk is missing or damaged.
    pub fn text(&self, id: &SectionId) -> Result<Option<String>> {
        let Some(section) = self.head.sections.get(id) else { return Ok(None) };
        section_text(id, section, &self.chunks).map(Some)
    }

    /// Returns the revision that follows this one with one section edited.
    ///
    /// The whole document is validated, so an edit that is valid by itself can fail because another section was edited.
    ///
    /// # Errors
    ///
    /// Returns [`RevisionError::Conflict`] if the section was changed since the editor read it, and
    /// [`RevisionError::Invalid`] if the resulting document is not valid.
    pub fn edit(&self, edit: &Edit) -> Result<Self> {
        self.edit_all(std::slice::from_ref(edit))
    }

    /// Returns the revision that follows this one with several sections edited together.
    ///
    /// Only the result is validated, so sections that depend on each other can change in one revision.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Revision::edit`]; if one edit conflicts, none is applied.
    pub fn edit_all(&self, edits: &[Edit]) -> Result<Self> {
        let next = apply(&self.head, &self.chunks, edits)?;
        next.document.check_successor_of(&self.document)?;
        Ok(next)
    }

    /// Creates the first revision from its sections.
    ///
    /// # Errors
    ///
    /// Returns an error if the document is not valid.
    pub fn first(sections: &[(SectionId, Name)]) -> Result<Self> {
        let mut head = Head { revision: 1, ..Head::default() };
        let mut chunks = Chunks::new();
        for (id, text) in sections {
            let section = store(text, 1, &mut chunks);
            head.sections.insert(id.clone(), section);
        }
        Self::read(head, chunks)
    }
}

fn apply(head: &Head, chunks: &Chunks, edits: &[Edit]) -> Result<Revision> {
    let mut head = head.clone();
    let mut chunks = chunks.clone();
    head.revision += 1;
    for edit in edits {
        let current = head.sections.get(&edit.section).map_or(0, |it| it.changed_in);
        if current != edit.base {
            return Err(RevisionError::Conflict {
                section: edit.section.clone(),
                base: edit.base,
                current,
            });
        }
        match &edit.text {
            Some(text) => {
                let section = store(text, head.revision, &mut chunks);
                head.sections.insert(edit.section.clone(), section);
            }
            None => {
                head.sections.remove(&edit.section);
            }
        }
    }
    let used: BTreeSet<Name> = head.digests().into_iter().cloned().collect();
    chunks.retain(|digest, _| used.contains(digest));
    Revision::read(head, chunks)
}

fn store(text: &str, revision: u64, chunks: &mut Chunks) -> SectionRef {
    let mut digests = Vec::new();
    for chunk in split(text) {
        let digest = digest(chunk.as_bytes());
        chunks.insert(digest.clone(), Arc::from(chunk.as_bytes()));
        digests.push(digest);
    }
    SectionRef { changed_in: revision, chunks: digests }
}

fn section_text(id: &SectionId, section: &SectionRef, chunks: &Chunks) -> Result<String> {
    let mut bytes = Vec::new();
    for expected in &section.chunks {
        let chunk = chunks.get(expected).ok_or_else(|| RevisionError::MissingChunk {
            section: id.clone(),
            digest: expected.clone(),
        })?;
        if digest(chunk) != *expected {
            return Err(RevisionError::DamagedChunk {
                section: id.clone(),
                digest: expected.clone(),
            });
        }
        bytes.extend_from_slice(chunk);
    }
    let damaged = || RevisionError::DamagedChunk {
        section: id.clone(),
        digest: section.chunks.first().cloned().unwrap_or_else(|| Name::new("")),
    };
    String::from_utf8(bytes).map_err(|_| damaged())
}

/// Returns the length of the first chunk of a text.
fn boundary(text: &str) -> usize {
    let mut end = 0;
    for line in text.split_inclusive('\n') {
        if end + line.len() > MAX_CHUNK_BYTES {
            return if end > 0 { end } else { char_boundary(line) };
        }
        end += line.len();
        let hash = twox_hash::XxHash64::oneshot(0, line.as_bytes());
        if end >= MIN_CHUNK_BYTES && hash.trailing_zeros() >= BOUNDARY_BITS {
            return end;
        }
    }
    end
}

/// Returns the length, in bytes, of the longest prefix of a line that fits into a chunk and ends on a character boundary.
fn char_boundary(line: &str) -> usize {
    (0..=MAX_CHUNK_BYTES.min(line.len()))
        .rev()
        .find(|&it| line.is_char_boundary(it))
        .unwrap_or(line.len())
}
