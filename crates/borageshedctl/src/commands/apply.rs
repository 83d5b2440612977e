//! `apply`: puts section files in force.

use std::time::Duration;

use fleet::revision::Chunks;
use serde_json::json;
use similar::TextDiff;

use crate::{
    accepted::{Accepted, Change, accept},
    cli::{ApplyArgs, FollowArgs},
    context::{Context, write_out},
    error::{Failure, Result},
    follow,
    sections::{self, SectionFile},
};

/// Applies a section file or a folder.
///
/// # Errors
///
/// Fails if the result is not valid, conflicts with another change, or cannot be written.
pub async fn run(cx: &Context, args: &ApplyArgs) -> Result<()> {
    let is_folder = args.path.is_dir();
    if is_folder && (args.section.is_some() || args.base.is_some()) {
        return Err(Failure::Usage(format!(
            "{}: --section and --base apply to a single file, but the path is a folder",
            args.path.display()
        )));
    }
    cx.check_follow(&args.follow)?;
    let files = match is_folder {
        true => sections::read_folder(&args.path)?,
        false => vec![SectionFile::read(&args.path, args.section.clone())?],
    };
    let store = cx.store()?;
    let accepted = Accepted::read(&store, &Chunks::new()).await?;
    let changes = changes(&accepted, files, args)?;
    if args.dry_run {
        let number = match changes.is_empty() {
            true => accepted.number(),
            false => accepted.with_changes(&changes)?.head.revision,
        };
        let diff = diff(&accepted, &changes)?;
        let value = json!({ "revision": number, "in_force": accepted.number(), "applied": false, "diff": diff });
        cx.emit(&format!("{diff}valid as revision {number}; nothing was changed"), &value);
        return Ok(());
    }
    apply(cx, &store, accepted, &changes, &args.follow).await
}

/// Shows the difference, puts the changes in force and reports the revision.
///
/// # Errors
///
/// Fails if the result is not valid, conflicts with another change, or cannot be written.
pub async fn apply(
    cx: &Context,
    store: &platform::PlatformStore,
    accepted: Accepted,
    changes: &[Change],
    follow: &FollowArgs,
) -> Result<()> {
    // Validates first, because the difference of an invalid text may show a key that stands in place of its hash.
    if !changes.is_empty() {
        accepted.with_changes(changes)?;
    }
    let diff = diff(&accepted, changes)?;
    if !cx.global.json {
        write_out(&diff);
    }
    let before = accepted.number();
    let number = match changes.is_empty() {
        true => before,
        false => {
            let read_back = Duration::from_secs(follow.read_back_s);
            accept(cx, store, accepted, changes, read_back).await?
        }
    };
    let text = match changes.is_empty() {
        true => format!("no change; revision {number} is in force"),
        false => format!("revision {number} is accepted (before: {before})"),
    };
    let value = json!({
        "revision": number,
        "before": before,
        "applied": !changes.is_empty(),
        "sections": changes.iter().map(|it| it.section.to_string()).collect::<Vec<_>>(),
        "diff": diff,
    });
    // Printed before the wait, so that the accepted revision is reported even if the wait fails.
    cx.emit(&text, &value);
    if follow.wait {
        follow::wait(cx, number, follow).await?;
    }
    Ok(())
}

/// Returns the changes as a unified diff against the accepted texts.
///
/// # Errors
///
/// Fails if an accepted text is damaged.
pub fn diff(accepted: &Accepted, changes: &[Change]) -> Result<String> {
    let mut all = String::new();
    for change in changes {
        let old = accepted.text(&change.section)?.unwrap_or_default();
        let new = change.text.as_deref().unwrap_or_default();
        let (from, to) = (format!("{} (accepted)", change.section), change.file.clone());
        let diff = TextDiff::from_lines(old.as_str(), new);
        all.push_str(&diff.unified_diff().context_radius(3).header(&from, &to).to_string());
    }
    Ok(all)
}

fn changes(accepted: &Accepted, files: Vec<SectionFile>, args: &ApplyArgs) -> Result<Vec<Change>> {
    let mut changes = Vec::new();
    if args.prune {
        let missing =
            accepted.stored.head.sections.keys().filter(|id| files.iter().all(|it| it.id != **id));
        changes.extend(missing.map(|id| Change {
            section: id.clone(),
            file: "(removed)".to_owned(),
            text: None,
            base: accepted.changed_in(id),
        }));
    }
    for file in files {
        let base = args.base.unwrap_or_else(|| accepted.changed_in(&file.id));
        let is_same = accepted.text(&file.id)?.as_deref() == Some(&*file.text);
        if !is_same {
            changes.push(Change { section: file.id, file: file.file, text: Some(file.text), base });
        }
    }
    Ok(changes)
}
