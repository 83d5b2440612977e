//! The cases.

mod account_header;
mod cut_answer;
mod drain_queue;
mod health_path;
mod item_header;
mod item_path;
mod large_bodies;
mod odd_entry;
mod own_refusal;
mod silent_stream;
mod status;
mod stutter;

use std::path::Path;

use crate::Verdict;

/// Plays a case; `None` if there is no such case.
pub fn play(case: &str, root: &Path, work: &Path, trouble: bool) -> Option<Verdict> {
    match case {
        "account-header" => Some(account_header::play(root, work, trouble)),
        "cut-answer" => Some(cut_answer::play(root, work, trouble)),
        "drain-queue" => Some(drain_queue::play(root, work, trouble)),
        "health-path" => Some(health_path::play(root, work, trouble)),
        "large-bodies" => Some(large_bodies::play(root, work, trouble)),
        "odd-entry" => Some(odd_entry::play(root, work, trouble)),
        "own-refusal" => Some(own_refusal::play(root, work, trouble)),
        "silent-stream" => Some(silent_stream::play(root, work, trouble)),
        "item-header" => Some(item_header::play(root, work, trouble)),
        "item-path" => Some(item_path::play(root, work, trouble)),
        "stutter" => Some(stutter::play(root, work, trouble)),
        "status" => Some(status::play(root, work, trouble)),
        _ => None,
    }
}
