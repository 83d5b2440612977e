//! Tests of the located JSON reader.

use expect_test::expect;

use crate::{jsonc, wire_type};

wire_type! {
    struct Limits {
        rate: u32,
        zones: Vec<u8>,
    }
}

fn error_of(text: &str) -> String {
    jsonc::from_str::<Limits>("limits.jsonc", text).expect_err("the text is invalid").to_string()
}

#[test]
fn comments_and_trailing_commas_are_accepted() {
    let read = jsonc::from_str::<Limits>(
        "limits.jsonc",
        "{ // per second\n \"rate\": 5, \"zones\": [1,], }",
    );
    assert_eq!(read, Ok(Limits { rate: 5, zones: vec![1] }));
}

// Guards against errors without a position, which an operator cannot locate in a long document.
#[test]
fn errors_name_line_column_path_and_value() {
    expect!["limits.jsonc:2:18: zones[1]: invalid value: integer `300`, expected u8 (found 300)"]
        .assert_eq(&error_of("{ \"rate\": 5,\n  \"zones\": [1,   300] }"));
    expect!["limits.jsonc:1:9: rat: unknown field `rat`, expected `rate` or `zones` (found 5)"]
        .assert_eq(&error_of("{\"rat\": 5}"));
    expect!["limits.jsonc:1:1: missing field `zones`"].assert_eq(&error_of("{\"rate\": 5}"));
    expect!["limits.jsonc:1:10: Expected colon after the string or word in object property"]
        .assert_eq(&error_of("{\"rate\"  5}"));
}

// Guards against a duplicate key that silently replaces the first value.
#[test]
fn duplicate_keys_are_rejected() {
    expect!["limits.jsonc:2:2: rate: duplicate key"]
        .assert_eq(&error_of("{\"rate\": 5,\n \"rate\": 6, \"zones\": []}"));
}
