//! `show`: the accepted configuration.

use std::fmt::Write as _;

use fleet::{SectionId, revision::Chunks};
use serde_json::json;

use crate::{
    accepted::Accepted,
    cli::ShowArgs,
    context::Context,
    error::{Failure, Result},
};

/// Shows the head, or the text of one section including its comments.
///
/// # Errors
///
/// Fails if the service does not answer or the section does not exist.
pub async fn run(cx: &Context, args: &ShowArgs) -> Result<()> {
    let accepted = Accepted::read(&cx.store()?, &Chunks::new()).await?;
    match &args.section {
        Some(id) => section(cx, &accepted, id),
        None => head(cx, &accepted),
    }
}

fn section(cx: &Context, accepted: &Accepted, id: &SectionId) -> Result<()> {
    let Some(text) = accepted.text(id)? else {
        return Err(Failure::Refused(format!("there is no section `{id}`")));
    };
    let changed_in = accepted.changed_in(id);
    let value = json!({
        "section": id.to_string(), "revision": accepted.number(), "changed_in": changed_in, "text": text,
    });
    cx.progress(&format!(
        "section {id}, last changed in revision {changed_in} (--base {changed_in})"
    ));
    cx.emit(&text, &value);
    Ok(())
}

fn head(cx: &Context, accepted: &Accepted) -> Result<()> {
    let mut text = format!("revision {}\n", accepted.number());
    let mut sections = Vec::new();
    for (id, section) in &accepted.stored.head.sections {
        let bytes = accepted.text(id)?.map_or(0, |it| it.len());
        let (changed_in, chunks) = (section.changed_in, section.chunks.len());
        let name = id.to_string();
        let _ = writeln!(
            text,
            "{name:<28} changed in {changed_in:>6}  {bytes:>9} bytes  {chunks:>4} chunks"
        );
        sections.push(
            json!({ "section": name, "changed_in": changed_in, "bytes": bytes, "chunks": section.chunks }),
        );
    }
    cx.emit(&text, &json!({ "revision": accepted.number(), "sections": sections }));
    Ok(())
}
