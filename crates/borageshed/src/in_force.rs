//! The configuration in force, shared by control thread and traffic tasks.

use std::sync::{Arc, PoisonError, RwLock};

use fleet::{Document, Objective, revision::Revision};
use policy::auth::KeyTable;

/// A revision with what is derived from it.
#[derive(Debug)]
pub struct InForce {
    /// Rises with each configuration.
    number: u64,
    document: Arc<Document>,
    /// The stored form, if the document comes from the product's own sections; peers may ask for it.
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
    /// Derives what traffic needs from a revision.
    pub fn new(revision: Revision) -> Self {
        let keys = KeyTable::new(&revision.document);
        let document = Arc::clone(&revision.document);
        Self { number: revision.head.revision, document, stored: Some(revision), keys }
    }

    /// Derives what traffic needs from a document of another source.
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

    /// Puts a revision in force if it is higher than the present one, and returns the previous one.
    ///
    /// # Errors
    ///
    /// Gives the revision back if it is not higher: a configuration never reverts.
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
