//! `edit`: opens a section in the operator's editor and applies it.

use std::{env, fs, io::Write as _, path::PathBuf, process::Command};

use fleet::{SectionId, revision::Chunks};
use stdx::Name;

use super::apply;
use crate::{
    accepted::{Accepted, Change},
    cli::EditArgs,
    context::{Context, write_err},
    error::{Failure, Result},
};

/// Edits a section. Unless the change is accepted, the edited text is kept in a file, whose path is printed.
///
/// # Errors
///
/// Fails if the editor fails, or for the reasons of `apply`.
pub async fn run(cx: &Context, args: &EditArgs) -> Result<()> {
    cx.check_follow(&args.follow)?;
    let store = cx.store()?;
    let accepted = Accepted::read(&store, &Chunks::new()).await?;
    let base = accepted.changed_in(&args.section);
    let before = accepted.text(&args.section)?.unwrap_or_default();
    let path = create_temporary_file(&args.section, &before)?;
    run_editor(&path).map_err(|e| report_kept_file(&path, e))?;
    let text = fs::read_to_string(&path).map_err(|e| Failure::file(path.display(), &e))?;
    let change = Change {
        section: args.section.clone(),
        file: path.display().to_string(),
        text: Some(Name::from(text.clone())),
        base,
    };
    let changes = if text == before { Vec::new() } else { vec![change] };
    // The head may have changed while the editor was open; the base shows whether this section did.
    let applied = match Accepted::read(&store, &Chunks::new()).await {
        Ok(accepted) => apply::apply(cx, &store, accepted, &changes, &args.follow).await,
        Err(e) => Err(e),
    };
    applied.map_err(|e| report_kept_file(&path, e))?;
    let _ = fs::remove_file(&path);
    Ok(())
}

fn create_temporary_file(id: &SectionId, text: &str) -> Result<PathBuf> {
    let failed = |e| Failure::file("temporary file", &e);
    let prefix = format!("{}-", id.to_string().replace('/', "-"));
    let mut file =
        tempfile::Builder::new().prefix(&prefix).suffix(".jsonc").tempfile().map_err(failed)?;
    file.write_all(text.as_bytes()).map_err(failed)?;
    let (_, path) = file.keep().map_err(|e| failed(e.error))?;
    Ok(path)
}

fn run_editor(path: &std::path::Path) -> Result<()> {
    let editor = env::var("VISUAL").or_else(|_| env::var("EDITOR")).map_err(|_| {
        Failure::Usage(
            "no editor is set; set VISUAL or EDITOR to the program that edits the section"
                .to_owned(),
        )
    })?;
    let mut words = editor.split_whitespace();
    let Some(program) = words.next() else {
        return Err(Failure::Usage(
            "VISUAL or EDITOR is set but empty; expected the program that edits the section"
                .to_owned(),
        ));
    };
    let status = Command::new(program).args(words).arg(path).status();
    match status {
        Ok(status) if status.success() => Ok(()),
        Ok(status) => Err(Failure::Refused(format!("the editor {program} ended with {status}"))),
        Err(e) => Err(Failure::Refused(format!("the editor {program} cannot be started: {e}"))),
    }
}

fn report_kept_file(path: &std::path::Path, failure: Failure) -> Failure {
    write_err(&format!("the edited text is kept in {}", path.display()));
    failure
}
