//! `check`: validates a folder of section files.

use fleet::Document;
use serde_json::json;

use crate::{
    cli::CheckArgs,
    context::Context,
    error::{Failure, Result},
    sections,
};

/// Validates a folder.
///
/// # Errors
///
/// Fails with the first error of every section, or with the first error across sections.
pub fn run(cx: &Context, args: &CheckArgs) -> Result<()> {
    let files = sections::read_folder(&args.folder)?;
    let mut parsed = Vec::new();
    let mut errors = Vec::new();
    for file in &files {
        match file.parse() {
            Ok(section) => parsed.push(section),
            Err(e) => errors.push(Failure::from(e).to_string()),
        }
    }
    if !errors.is_empty() {
        return Err(Failure::Refused(errors.join("\n")));
    }
    let document = Document::assemble(&parsed)?;
    let targets: usize = document.services.values().map(|it| it.targets.len()).sum();
    let text = format!(
        "{} sections are valid: {} accounts, {} models, {} services, {targets} targets",
        files.len(),
        document.accounts.len(),
        document.models.len(),
        document.services.len(),
    );
    let value = json!({
        "valid": true,
        "sections": files.iter().map(|it| it.id.to_string()).collect::<Vec<_>>(),
        "accounts": document.accounts.len(),
        "models": document.models.len(),
        "services": document.services.len(),
        "targets": targets,
    });
    cx.emit(&text, &value);
    Ok(())
}
