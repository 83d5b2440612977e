//! Section files: `fleet.jsonc` and `<origin>/<kind>.jsonc`.

use std::{
    fs,
    path::{Path, PathBuf},
};

use fleet::{Section, SectionId};
use stdx::Name;

use crate::error::{Failure, Result};

/// A section file.
#[derive(Debug, Clone)]
pub struct SectionFile {
    /// The section.
    pub id: SectionId,
    /// The path, as shown in errors.
    pub file: String,
    /// The text.
    pub text: Name,
}

impl SectionFile {
    /// Reads a section from a file; `id` is required if the path does not identify the section.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or its section cannot be determined.
    pub fn read(path: &Path, id: Option<SectionId>) -> Result<Self> {
        let id = match id.or_else(|| section_of(path)) {
            Some(id) => id,
            None => {
                return Err(Failure::Usage(format!(
                    "{}: the path does not identify a section; expected fleet.jsonc or <origin>/<kind>.jsonc, or --section",
                    path.display()
                )));
            }
        };
        let text = fs::read_to_string(path).map_err(|e| Failure::file(path.display(), &e))?;
        Ok(Self { id, file: path.display().to_string(), text: Name::from(text) })
    }

    /// Parses the section.
    ///
    /// # Errors
    ///
    /// Returns the first error with its position in the file.
    pub fn parse(&self) -> stdx::jsonc::Result<Section> {
        Section::parse(self.id.clone(), &self.file, &self.text)
    }
}

/// Reads every section file of a folder, in order of their paths.
///
/// # Errors
///
/// Fails if the folder cannot be read, or contains a `.jsonc` file that is not a section.
pub fn read_folder(folder: &Path) -> Result<Vec<SectionFile>> {
    let mut paths = Vec::new();
    for path in entries(folder)? {
        if path.is_dir() {
            paths.extend(entries(&path)?.into_iter().filter(|it| is_section_file(it)));
        } else if is_section_file(&path) {
            paths.push(path);
        }
    }
    let files = paths.iter().map(|path| {
        let relative = path.strip_prefix(folder).unwrap_or(path);
        let id = section_of(relative).ok_or_else(|| {
            let name = path.display();
            Failure::Refused(format!(
                "{name}:1:1: not a section file; expected fleet.jsonc or <origin>/<accounts, models, services or batch>.jsonc"
            ))
        })?;
        SectionFile::read(path, Some(id))
    });
    files.collect()
}

fn entries(folder: &Path) -> Result<Vec<PathBuf>> {
    let failed = |e| Failure::file(folder.display(), &e);
    let entries = fs::read_dir(folder).map_err(failed)?;
    let mut paths = Vec::new();
    for entry in entries {
        paths.push(entry.map_err(failed)?.path());
    }
    paths.sort();
    Ok(paths)
}

fn is_section_file(path: &Path) -> bool {
    path.extension().is_some_and(|it| it == "jsonc") && path.is_file()
}

fn section_of(path: &Path) -> Option<SectionId> {
    if path.extension()? != "jsonc" {
        return None;
    }
    let kind = path.file_stem()?.to_str()?;
    if kind == "fleet" {
        return Some(SectionId::Fleet);
    }
    let origin = path.parent()?.file_name()?.to_str()?;
    format!("{origin}/{kind}").parse().ok()
}
