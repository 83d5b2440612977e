//! The configuration commands against the platform stand-in, with races, outages and lost answers.

mod common;

use std::{fs, time::Duration};

use async_std::task;
use common::{Fixture, example, finish, path};
use futures::future::join;
use test_support::platform::{Faults, WRITE_CALL};

const ACCOUNTS: &str = "guests/accounts";

// Guards against an error without its position, and against an exit code that lets a pipeline continue.
#[async_std::test]
async fn check_names_file_line_and_column_of_every_faulty_section() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let site = Fixture::start().await;
    let good = site.run(&["check", path(&example("kwabena"))]).await;
    assert_eq!(good.code, 0, "{good:?}");
    fs::create_dir(folder.path().join("guests")).expect("folder");
    fs::write(folder.path().join("fleet.jsonc"), "{\n  \"origins\": [,]\n}").expect("file");
    let accounts = "{\n  // A key in place of its hash.\n  \"a\": { \"rate_per_s\": 1, \"burst\": 1,\n    \
                    \"keys\": [{ \"id\": \"m\", \"sha256\": \"very-secret\" }] }\n}";
    fs::write(folder.path().join("guests/accounts.jsonc"), accounts).expect("file");
    let bad = site.run(&["check", path(folder.path())]).await;
    assert_eq!(bad.code, 1);
    assert!(bad.err.contains("fleet.jsonc:2:15: "), "{}", bad.err);
    assert!(bad.err.contains("accounts.jsonc:4:37: a.keys[0].sha256: "), "{}", bad.err);
}

// Guards against an error message that writes a key to a terminal or a pipeline's log.
#[async_std::test]
async fn an_error_does_not_quote_what_may_be_a_key() {
    let site = Fixture::start().await;
    let file = site.folder.path().join("guests/accounts.jsonc");
    fs::create_dir_all(file.parent().expect("a parent")).expect("folder");
    let misplaced = [
        r#""keys": [{ "id": "m", "sha256": "very-secret" }]"#,
        r#""keys": ["very-secret"]"#,
        r#""keys": "very-secret""#,
        r#""key": "very-secret""#,
        r#""weight": "very-secret""#,
    ];
    for member in misplaced {
        let text = format!("{{ \"a\": {{ \"rate_per_s\": 1, \"burst\": 1, {member} }} }}");
        fs::write(&file, text).expect("file");
        let ended = site.run(&["apply", path(&file)]).await;
        assert!(ended.code == 1 && ended.err.contains("accounts.jsonc:1:"), "{ended:?}");
        assert!(!format!("{ended:?}").contains("very-secret"), "{ended:?}");
    }
}

// Guards against a lost change when two operators edit different sections at once.
#[async_std::test]
async fn of_two_operators_on_different_sections_both_succeed() {
    let site = Fixture::start().await;
    let a = site.edited("a", ACCOUNTS, "\"weight\": ", "\"weight\": 1").await;
    let b = site.edited("b", "kitchen/batch", "610000", "600000").await;
    // Each call is delayed, so that both operators read the same head.
    site.set_faults(Faults { delay_ms: Some(30), ..Faults::default() });
    let (a, b) = join(site.run(&["apply", path(&a)]), site.run(&["apply", path(&b)])).await;
    site.set_faults(Faults { delay_ms: Some(0), ..Faults::default() });
    assert_eq!((a.code, b.code), (0, 0), "{a:?} {b:?}");
    assert!(a.err.contains("rebasing") || b.err.contains("rebasing"), "{a:?} {b:?}");
    assert!(site.run(&["show", "kitchen/batch"]).await.out.contains("600000"));
    assert!(site.run(&["show"]).await.out.starts_with("revision 3\n"));
}

// Guards against the second of two operators on one section overwriting the first.
#[async_std::test]
async fn of_two_operators_on_one_section_the_second_gets_a_conflict() {
    let site = Fixture::start().await;
    let a = site.edited("a", "kitchen/batch", "610000", "1").await;
    let b = site.edited("b", "kitchen/batch", "610000", "2").await;
    site.set_faults(Faults { delay_ms: Some(30), ..Faults::default() });
    let (a, b) = join(site.run(&["apply", path(&a)]), site.run(&["apply", path(&b)])).await;
    site.set_faults(Faults { delay_ms: Some(0), ..Faults::default() });
    let mut codes = [a.code, b.code];
    codes.sort_unstable();
    assert_eq!(codes, [0, 3], "{a:?} {b:?}");
    let loser = if a.code == 3 { a } else { b };
    assert!(loser.err.contains("section `kitchen/batch` was changed in revision 2"), "{loser:?}");
    // Guards against an outdated text being accepted as an edit of the newest one.
    let late = site.edited("c", "kitchen/batch", "max_items", "max_items").await;
    fs::write(&late, fs::read_to_string(&late).expect("text") + "\n// late\n").expect("file");
    let late = site.run(&["apply", path(&late), "--base", "1"]).await;
    assert_eq!(late.code, 3, "{late:?}");
}

// Guards against a write whose answer was lost being reported as failed or applied twice.
#[async_std::test]
async fn a_lost_answer_of_the_write_is_read_back() {
    for takes_effect in [true, false] {
        let site = Fixture::start().await;
        let file = site.edited("a", "kitchen/batch", "610000", "1").await;
        site.set_faults(Faults { delay_ms: Some(60), ..Faults::default() });
        let args = ["apply", path(&file)];
        let faults = async {
            let writes = || site.platform.with_kv(|kv| kv.revision());
            // The chunk is written first, then the head.
            let head_written = writes() + 2;
            let lost = Faults { lose_answers: Some(1), ..Faults::default() };
            at_write_of_the_head(&site, lost).await;
            while takes_effect && writes() < head_written {
                task::sleep(Duration::from_millis(1)).await;
            }
            // The outage lasts longer than the read-backs of the key-value client.
            site.set_faults(Faults { outage: Some(true), ..Faults::default() });
            task::sleep(Duration::from_millis(1_500)).await;
            let over = Faults {
                outage: Some(false),
                delay_ms: Some(0),
                lose_answers: Some(0),
                ..Faults::default()
            };
            site.set_faults(over);
        };
        let (ended, ()) = join(site.run(&args), faults).await;
        assert_eq!(ended.code, 0, "{ended:?}");
        assert!(ended.err.contains("reading back what is in force"), "{ended:?}");
        assert!(ended.out.contains("revision 2 is accepted"), "{ended:?}");
        assert!(site.run(&["show"]).await.out.starts_with("revision 2\n"));
    }
}

// Guards against an outage that looks like success or like a refusal, and against a
// read-back that never ends.
#[async_std::test]
async fn an_outage_is_unreachable_before_the_write_and_unknown_after_it() {
    let site = Fixture::start().await;
    let file = site.edited("a", "kitchen/batch", "610000", "1").await;
    site.set_faults(Faults { outage: Some(true), ..Faults::default() });
    let ended = site.run(&["apply", path(&file)]).await;
    assert_eq!(ended.code, 4, "{ended:?}");
    site.set_faults(Faults { outage: Some(false), delay_ms: Some(60), ..Faults::default() });
    let args = ["apply", path(&file), "--read-back-s", "1"];
    let faults = Faults { outage: Some(true), ..Faults::default() };
    let (ended, ()) = join(site.run(&args), at_write_of_the_head(&site, faults)).await;
    assert_eq!(ended.code, 5, "{ended:?}");
    assert!(ended.err.contains("revision 1 was in force before"), "{ended:?}");
}

// Guards against losing the edited text on a conflict.
#[async_std::test]
async fn edit_keeps_the_text_of_a_conflict() {
    let site = Fixture::start().await;
    let other = site.edited("b", "kitchen/batch", "610000", "2").await;
    let editor = site.folder.path().join("editor.sh");
    let tool = site.command(&["apply", path(&other), "--quiet"]);
    let args: Vec<_> = tool.get_args().map(|it| it.to_string_lossy().into_owned()).collect();
    let script = format!(
        "sed -i s/610000/7/ \"$1\"\n[ -n \"$RACE\" ] && {} {} >/dev/null\nexit 0\n",
        tool.get_program().to_string_lossy(),
        args.join(" ")
    );
    fs::write(&editor, script).expect("file");
    let edit = |race: &str| {
        let mut command = site.command(&["edit", "kitchen/batch"]);
        command.env_remove("VISUAL").env("EDITOR", format!("sh {}", editor.display()));
        command.env("TMPDIR", site.folder.path()).env("RACE", race);
        finish(command)
    };
    let ended = edit("1").await;
    assert_eq!(ended.code, 3, "{ended:?}");
    let line = ended.err.lines().find(|it| it.contains("kept in")).expect("the file is named");
    let kept = fs::read_to_string(line.rsplit(' ').next().expect("a path")).expect("kept file");
    assert!(kept.contains("\"max_items_per_job\": 7"), "{kept}");
    let again = edit("").await;
    assert_eq!(again.code, 0, "{again:?}");
}

// Guards against a key that is stored or shown again, and against the tool removing comments.
#[async_std::test]
async fn a_key_is_printed_once_and_only_its_hash_is_stored() {
    let site = Fixture::start().await;
    let before = site.run(&["show", "kitchen/accounts"]).await.out;
    let given = site.run(&["keys", "give", "buyer", "spare"]).await;
    assert_eq!(given.code, 0, "{given:?}");
    let key = given.out.lines().next().expect("the key");
    assert_eq!((key.len(), given.err.contains(key)), (64, false));
    let after = site.run(&["show", "kitchen/accounts"]).await.out;
    let hash = fleet::revision::digest(key.as_bytes());
    assert!(after.contains(hash.as_str()) && !after.contains(key), "{after}");
    let comments = |text: &str| text.matches("//").count();
    assert_eq!(comments(&after), comments(&before));
    assert!(site.run(&["accounts"]).await.out.contains("main, spare"));
    assert_eq!(site.run(&["keys", "give", "buyer", "spare"]).await.code, 1);
    let ambiguous = site.run(&["keys", "give", "front-desk", "spare"]).await;
    assert!(ambiguous.code == 1 && ambiguous.err.contains("guests/front-desk"), "{ambiguous:?}");
    // Two operators who give keys in one section both succeed: the loser's change is repeated on the newer text.
    site.set_faults(Faults { delay_ms: Some(20), ..Faults::default() });
    let one = site.run(&["keys", "withdraw", "buyer", "spare"]);
    let (one, two) = join(one, site.run(&["keys", "give", "bakery", "spare"])).await;
    assert_eq!((one.code, two.code), (0, 0), "{one:?} {two:?}");
    site.set_faults(Faults { delay_ms: Some(0), ..Faults::default() });
    let accounts = site.run(&["accounts", "--origin", "kitchen"]).await.out;
    assert_eq!(accounts.matches("spare").count(), 1, "{accounts}");
}

// Guards against example loads that do not match the settings format, and against a load that reports success without
// daemons.
#[async_std::test]
async fn example_loads_are_valid_and_need_a_daemon_for_their_jobs() {
    let site = Fixture::start().await;
    for name in ["mukamana", "kwabena"] {
        let file = example("load").join(format!("{name}.jsonc"));
        // Nothing listens on port 9 (discard).
        let args = ["load", "run", path(&file), "--duration-s", "0.2", "--to", "127.0.0.1:9"];
        let ended = site.run(&args).await;
        assert!(ended.code == 4 && ended.err.contains("127.0.0.1:9"), "{ended:?}");
    }
    let file = site.folder.path().join("load.jsonc");
    fs::write(&file, "{ \"name\": \"x\", \"callers\": [],\n \"duration_s\": 1, \"accounts\": [] }")
        .expect("file");
    let ended = site.run(&["load", "run", path(&file)]).await;
    assert!(ended.code == 1 && ended.err.contains("load.jsonc:1:27: callers: "), "{ended:?}");
}

/// Sets faults while the write of the head, which follows that of one chunk, waits for the stand-in's delay.
async fn at_write_of_the_head(site: &Fixture, faults: Faults) {
    let writes = || site.platform.calls().get(WRITE_CALL).copied().unwrap_or(0);
    let before = writes();
    while writes() < before + 2 {
        task::sleep(Duration::from_millis(1)).await;
    }
    site.set_faults(faults);
}
