//! Plays one case of the review: `review-kit CASE FOLDER` from the repository's root.
//!
//! Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. `TROUBLE=0` leaves out the disruption.

mod http;
mod names;
mod record;
mod server;
mod site;

#[path = "4/case.rs"]
mod cut_answer;
#[path = "5/case.rs"]
mod health_path;
#[path = "2/case.rs"]
mod large_bodies;
#[path = "1/case.rs"]
mod odd_entry;
#[path = "3/case.rs"]
mod silent_stream;

use std::{
    env, fs,
    panic::{AssertUnwindSafe, catch_unwind},
    path::{Path, PathBuf},
    process::{self, ExitCode},
    time::Duration,
};

/// The longest time that a case may take.
const CASE_LIMIT: Duration = Duration::from_secs(110);
const COULD_NOT_RUN: u8 = 2;

/// Whether a case found its rule broken.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let args: Vec<String> = env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("usage: review-kit CASE FOLDER");
        return ExitCode::from(COULD_NOT_RUN);
    };
    let trouble = env::var("TROUBLE").map_or(true, |it| it != "0");
    record::start(&Path::new(folder).join("record.txt"));
    note!("case {case}, with the disruption: {trouble}");
    let work = env::temp_dir().join(format!("review-{}", process::id()));
    fs::create_dir_all(&work).expect("the temporary folder can be created");
    end_late(work.clone());
    let root = env::current_dir().expect("the current folder can be read");
    let played = catch_unwind(AssertUnwindSafe(|| play(case, &root, &work, trouble)));
    finish(&work);
    let code = match played {
        Ok(Some(Verdict::Held)) => 0,
        Ok(Some(Verdict::Broken)) => 1,
        Ok(None) | Err(_) => COULD_NOT_RUN,
    };
    note!("exit code {code}");
    ExitCode::from(code)
}

/// Plays a case; `None` if there is no such case.
fn play(case: &str, root: &Path, work: &Path, trouble: bool) -> Option<Verdict> {
    match case {
        "odd-entry" => Some(odd_entry::play(root, work, trouble)),
        "large-bodies" => Some(large_bodies::play(root, work, trouble)),
        "silent-stream" => Some(silent_stream::play(root, work, trouble)),
        "cut-answer" => Some(cut_answer::play(root, work, trouble)),
        "health-path" => Some(health_path::play(root, work, trouble)),
        _ => None,
    }
}

fn finish(work: &Path) {
    site::end_processes();
    if env::var_os("KEEP_LOGS").is_none() {
        let _ = fs::remove_dir_all(work);
    }
}

/// Ends the case if it takes too long.
fn end_late(work: PathBuf) {
    std::thread::spawn(move || {
        std::thread::sleep(CASE_LIMIT);
        note!("the case took too long");
        finish(&work);
        process::exit(COULD_NOT_RUN.into());
    });
}
