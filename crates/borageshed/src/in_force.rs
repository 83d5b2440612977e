//! The configuration in force, shared by the control thread and the tasks that serve traffic.

use std::sync::{Arc, PoisonError, RwLock};

use fleet::{Document, Objective, revision::Revision};
use policy::auth::KeyTable;

/// A revision and the data derived from it.
#[derive(Debug)]
pub struct InForce {
    /// The number of the revision; it increases with each configuration.
    number: u64,
    document: Arc<Document>,
    /// The stored form, which peers can request; `None` if the document was not read from the sections that operators
    /// edit with `borageshedctl`.
    pub stored: Option<Revision>,
    /// The keys that authenticate callers.
    pub keys: KeyTable,
}

/// Holds the revision in force; readers get a snapshot.
#[derive(Debug, Default)]
pub struct Cell {
    current: RwLock<Option<Arc<InForce>>>,
}

impl InForce {
    /// Creates the configuration of a revision.
    pub fn new(revision: Revision) -> Self {
        let keys = KeyTable::new(&revision.document);
        let document = Arc::clone(&revision.document);
        Self { number: revision.head.revision, document, stored: Some(revision), keys }
    }

    /// Creates the configuration of a document from another source.
    pub fn from_document(number: u64, document: Document) -> Self {
        let keys = KeyTable::new(&document);
        Self { number, document: Arc::new(document), stored: None, keys }
    }

    /// Returns the number of the revision.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns the document.
    pub fn document(&self) -> &Arc<Document> {
        &self.document
    }
}

impl Cell {
    /// Returns the revision in force; `None` before the first.
    pub fn get(&self) -> Option<Arc<InForce>> {
        self.current.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the number of the revision in force; 0 before the first.
    pub fn number(&self) -> u64 {
        self.get().map_or(0, |it| it.number())
    }

    /// Returns the service-level objective in force; the default one before the first revision.
    pub fn objective(&self) -> Objective {
        self.get().map_or_else(Objective::default, |it| it.document().fleet.objective)
    }

    /// Puts a revision in force if it is higher than the current one; returns the new and the previous one.
    ///
    /// # Errors
    ///
    /// Returns `next` if it is not higher, because the configuration in force never reverts to an older one.
    pub fn advance(
        &self,
        next: InForce,
    ) -> std::result::Result<(Arc<InForce>, Option<Arc<InForce>>), InForce> {
        let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
        if current.as_ref().is_some_and(|it| it.number() >= next.number()) {
            return Err(next);
        }
        let next = Arc::new(next);
        let previous = current.replace(Arc::clone(&next));
        Ok((next, previous))
    }
}
