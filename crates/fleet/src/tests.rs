//! Tests of sections, names and revisions.

use std::{fs, path::Path};

use expect_test::expect;
use stdx::Name;

use crate::{
    Document, Kind, QualifiedName, RouteMatch, Section, SectionId,
    names::resolve,
    revision::{Chunks, Edit, MAX_CHUNK_BYTES, Revision, RevisionError, split},
};

const FLEET: &str = r#"{"origins": ["red", "blue"], "failure_domains": {"a": {"region": "r"}}}"#;
const KEY: &str = "00000000000000000000000000000000000000000000000000000000000000aa";

fn id(text: &str) -> SectionId {
    text.parse().expect("the section exists")
}

fn first(sections: &[(&str, &str)]) -> Result<Revision, RevisionError> {
    let sections: Vec<_> =
        sections.iter().map(|(section, text)| (id(section), Name::new(text))).collect();
    Revision::first(&sections)
}

fn error_of(sections: &[(&str, &str)]) -> String {
    first(sections).expect_err("the document is invalid").to_string()
}

fn example(deployment: &str) -> Revision {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(deployment);
    let mut sections = vec![(SectionId::Fleet, read(&root.join("fleet.jsonc")))];
    for origin in fs::read_dir(&root).expect("the example exists").filter_map(Result::ok) {
        if !origin.path().is_dir() {
            continue;
        }
        let name = origin.file_name().into_string().expect("names are ASCII");
        for kind in ["accounts", "models", "services", "batch"] {
            sections.push((
                id(&format!("{name}/{kind}")),
                read(&origin.path().join(format!("{kind}.jsonc"))),
            ));
        }
    }
    Revision::first(&sections).expect("the example is valid")
}

fn read(path: &Path) -> Name {
    Name::from(fs::read_to_string(path).expect("the file exists"))
}

fn accounts(count: usize, rate: u32) -> String {
    let line = |i| {
        format!("\"account-{i}\": {{\"rate_per_s\": {rate}, \"burst\": {i}.5, \"keys\": []}},\n")
    };
    format!("{{\n{}}}\n", (1..=count).map(line).collect::<String>())
}

// Guards against example documents that no longer load, and against a name that resolves to the object of the same name in
// another fleet.
#[test]
fn example_documents_load_and_keep_clashing_names_apart() {
    let document = example("mukamana").document;
    assert_eq!((document.accounts.len(), document.services.len()), (8, 3));
    let guests = Name::new("guests");
    let own = document.resolve_model(Some(&guests), "menu-assistant").map(ToString::to_string);
    assert_eq!(own, Ok("guests/menu-assistant".to_owned()));
    let error = document.resolve_model(None, "menu-assistant").expect_err("the name is ambiguous");
    expect![[r#"model "menu-assistant" is ambiguous; use one of guests/menu-assistant, kitchen/menu-assistant"#]]
        .assert_eq(&error.to_string());
    assert_eq!(example("kwabena").document.accounts.len(), 8);
}

#[test]
fn unqualified_names_prefer_the_own_fleet_and_else_must_be_unique() {
    let names = ["red/x", "blue/x", "blue/y"].map(|it| {
        let (origin, name) = it.split_once('/').expect("qualified");
        QualifiedName::new(origin, Kind::Model, name)
    });
    let red = Name::new("red");
    let look_up = |origin: Option<&Name>, text: &str| match resolve(
        names.iter(),
        origin,
        Kind::Model,
        text,
    ) {
        Ok(it) => it.to_string(),
        Err(e) => e.to_string(),
    };
    let found = [
        (Some(&red), "x"),
        (Some(&red), "y"),
        (Some(&red), "blue/x"),
        (None, "y"),
        (None, "red/y"),
    ]
    .map(|(origin, text)| look_up(origin, text));
    expect![[r#"
        [
            "red/x",
            "blue/y",
            "blue/x",
            "blue/y",
            "model \"red/y\" does not exist",
        ]
    "#]]
    .assert_debug_eq(&found);
}

// Guards against a document whose sections are valid on their own but inconsistent with each other.
#[test]
fn faults_across_sections_are_reported_with_their_place() {
    let key = format!(
        r#"{{"n": {{"rate_per_s": 1, "burst": 1, "keys": [{{"id": "k", "sha256": "{KEY}"}}]}}}}"#
    );
    let service = r#"{"s": {"serves": {"model": "m"}, "targets": {}}}"#;
    let target = r#"{"s": {"serves": {"routes": []}, "targets": {
        "t": {"address": "127.0.0.1:1", "failure_domain": "z", "concurrency": 1}}}}"#;
    let errors = [
        error_of(&[("red/models", "{}")]),
        error_of(&[("fleet", FLEET), ("green/models", "{}")]),
        error_of(&[("fleet", FLEET), ("red/accounts", &key), ("blue/accounts", &key)]),
        error_of(&[("fleet", FLEET), ("red/services", service)]),
        error_of(&[("fleet", FLEET), ("red/services", target)]),
    ];
    expect![[r#"
        [
            "the document has no section `fleet`",
            "green/models:1:1: section `green/models` belongs to fleet \"green\", which `fleet` does not list under origins",
            "red/accounts:1:68: n.keys[0].sha256: key \"k\" is already a key of account \"n\" in `blue/accounts` (found \"00000000000000000000000000000000000000000000000000000000000)",
            "red/services:1:28: s.serves.model: model red/m does not exist (found \"m\")",
            "red/services:2:59: s.targets.t.failure_domain: failure domain does not exist; use one of a (found \"z\")",
        ]
    "#]]
    .assert_debug_eq(&errors);
}

#[test]
fn impossible_values_are_reported_with_their_place() {
    let section = |kind: &str, text: &str| {
        Section::parse(id(kind), "f", text).expect_err("the section is invalid").to_string()
    };
    let errors = [
        section("red/accounts", r#"{"a b": {"rate_per_s": 1, "burst": 1}}"#),
        section("red/accounts", r#"{"a": {"rate_per_s": 0, "burst": 1}}"#),
        section("red/accounts", r#"{"a": {"rate_per_s": 1, "burst": 0.5}}"#),
        section(
            "red/services",
            r#"{"s": {"serves": {"routes": [{"path": "x", "methods": ["GET"], "idempotent": true}]}, "targets": {}}}"#,
        ),
    ];
    expect![[r#"
        [
            "f:1:9: a b: name \"a b\" must be 1 to 64 characters of a-z, 0-9, `-`, `_` and `.`",
            "f:1:22: a.rate_per_s: rate_per_s must be greater than 0 (found 0)",
            "f:1:34: a.burst: burst must be at least 1, or no request could ever run (found 0.5)",
            "f:1:30: s.serves.routes[0]: path must start with a slash",
        ]
    "#]]
    .assert_debug_eq(&errors);
}

#[test]
fn calls_take_the_route_with_the_longest_path_and_their_method() {
    let document = example("mukamana").document;
    let orders = &document.services[&QualifiedName::new("kitchen", Kind::Service, "orders")];
    let idempotent = |method, path| match orders.route(method, path) {
        RouteMatch::Found(route) => Some(route.idempotent),
        RouteMatch::NoMethod | RouteMatch::NoPath => None,
    };
    assert_eq!(idempotent("POST", "/orders"), Some(false));
    assert_eq!(idempotent("GET", "/orders/7"), Some(true));
    assert_eq!(orders.route("DELETE", "/orders"), RouteMatch::NoMethod);
    assert_eq!(orders.route("GET", "/orders-old"), RouteMatch::NoPath);
}

// Guards against lost updates: of two edits of the same section the second must fail, edits of different sections both succeed.
#[test]
fn edits_of_different_sections_rebase_and_of_the_same_section_conflict() {
    let start =
        first(&[("fleet", FLEET), ("red/models", "{}"), ("blue/models", "{}")]).expect("valid");
    let edit = |section: &str, text: &str| Edit {
        section: id(section),
        base: 1,
        text: Some(Name::new(text)),
    };
    let model = r#"{"m": {"versions": ["1"]}}"#;
    let second = start.edit(&edit("red/models", model)).expect("the section is unchanged");
    let third = second.edit(&edit("blue/models", model)).expect("only the other section changed");
    assert_eq!((third.head.revision, third.document.models.len()), (3, 2));
    let conflict =
        third.edit(&edit("red/models", "{}")).expect_err("the section changed in revision 2");
    expect!["section `red/models` changed in revision 2 while the edit was based on revision 1"]
        .assert_eq(&conflict.to_string());
}

// Guards against shares of two sizes in use at the same time, which would add up to more than the rate.
#[test]
fn the_number_of_rate_slots_cannot_change() {
    let start = first(&[("fleet", FLEET)]).expect("valid");
    let text = FLEET.replacen('{', r#"{"rate_slots": 7, "#, 1);
    let error =
        start.edit(&Edit { section: SectionId::Fleet, base: 1, text: Some(Name::from(text)) });
    expect!["rate_slots is 60 and cannot change to 7; instances hold shares of the old number"]
        .assert_eq(&error.expect_err("the number is fixed").to_string());
}

// Guards against instances that fetch the whole section after an edit of one account.
#[test]
fn an_edit_in_a_long_section_changes_few_chunks() {
    let text = accounts(29_000, 5);
    let start = first(&[("fleet", FLEET), ("red/accounts", &text)]).expect("valid");
    let changed = text.replacen(
        "\"account-9000\": {\"rate_per_s\": 5",
        "\"account-9000\": {\"rate_per_s\": 55",
        1,
    );
    let next = start
        .edit(&Edit { section: id("red/accounts"), base: 1, text: Some(Name::from(changed)) })
        .expect("valid");
    let new = next.chunks.keys().filter(|it| !start.chunks.contains_key(*it)).count();
    assert!(new <= 2, "{new} of {} chunks are new", next.chunks.len());
    assert_eq!(next.document.accounts.len(), 29_000);
}

#[test]
fn damaged_and_missing_chunks_are_recognised() {
    let start = first(&[("fleet", FLEET)]).expect("valid");
    let missing = Revision::read(start.head.clone(), Chunks::new()).expect_err("no chunk");
    assert!(matches!(missing, RevisionError::MissingChunk { .. }));
    let damaged = start.chunks.keys().map(|it| (it.clone(), b"{}".as_slice().into())).collect();
    let error = Revision::read(start.head, damaged).expect_err("other bytes");
    assert!(matches!(error, RevisionError::DamagedChunk { .. }));
}

#[test]
fn any_text_is_cut_into_chunks_without_loss() {
    bolero::check!().with_type::<(String, u16)>().for_each(|(line, repeat)| {
        let text = format!("{line}{repeat}\n").repeat(usize::from(*repeat) * 8);
        let chunks = split(&text);
        assert!(chunks.iter().all(|it| !it.is_empty() && it.len() <= MAX_CHUNK_BYTES));
        assert_eq!(chunks.concat(), text);
    });
}

#[test]
fn an_empty_document_is_invalid() {
    assert!(Document::assemble(&[]).is_err());
}

// Guards against a folder of interdependent sections being refused, or accepted in part.
#[test]
fn several_sections_change_in_one_revision_or_not_at_all() {
    let models = r#"{"m": {"versions": ["1"]}}"#;
    let services = r#"{"s": {"serves": {"model": "m"}, "targets": {}}}"#;
    let start = first(&[("fleet", FLEET)]).expect("valid");
    let edit = |section: &str, base, text: &str| Edit {
        section: id(section),
        base,
        text: Some(Name::new(text)),
    };
    let edits = [edit("red/services", 0, services), edit("red/models", 0, models)];
    assert!(start.edit(&edits[0]).is_err());
    let both = start.edit_all(&edits).expect("valid together");
    assert_eq!((both.head.revision, both.head.sections.len()), (2, 3));
    let stale = [edit("red/services", 2, services), edit("red/models", 1, models)];
    assert!(matches!(both.edit_all(&stale), Err(RevisionError::Conflict { .. })));
}

// Guards against an objective without an error budget, because the burn rate is divided by the budget.
#[test]
fn an_objective_leaves_a_budget() {
    let with = |objective: &str| FLEET.replacen('{', &format!("{{\"objective\": {objective}, "), 1);
    let text = with(r#"{"good_percent": 99.5}"#);
    let objective = first(&[("fleet", &text)]).expect("valid").document.fleet.objective;
    assert_eq!((objective.good_percent, objective.first_byte_ms), (99.5, 480));
    let text = with(r#"{"good_percent": 100}"#);
    expect!["fleet:1:32: objective.good_percent: good_percent must be greater than 0 and less than 100 (found 100)"]
        .assert_eq(&error_of(&[("fleet", &text)]));
}
