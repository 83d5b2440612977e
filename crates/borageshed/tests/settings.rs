//! Error messages for invalid settings of a daemon.

use borageshed::settings::Settings;
use expect_test::expect;

fn error_of(change: (&str, &str)) -> String {
    let text = r#"{
  // The instance keeps its name over restarts.
  "instance": "entry-1", "failure_domain": "a",
  "listen": "127.0.0.1:8000", "admin_listen": "127.0.0.1:8100", "peer_listen": "127.0.0.1:8200",
  "platform": { "address": "127.0.0.1:2379" },
  "limits": { "connections": 100 },
}"#;
    assert!(Settings::parse("entry.jsonc", text).is_ok());
    let changed = text.replacen(change.0, change.1, 1);
    Settings::parse("entry.jsonc", &changed).expect_err("the settings are not valid").to_string()
}

// Guards against error messages that lack the position, the value that was found or the values that are allowed.
#[test]
fn errors_name_place_value_and_what_is_allowed() {
    expect!["entry.jsonc:6:30: limits.connections: must be at least 1 (found 0)"]
        .assert_eq(&error_of(("connections\": 100", "connections\": 0")));
    expect![[
        r#"entry.jsonc:3:15: instance: must be 1 to 64 characters of a-z, A-Z, 0-9, `-`, `_` and `.` (found "entry/1")"#
    ]]
    .assert_eq(&error_of(("entry-1", "entry/1")));
    expect![[
        r#"entry.jsonc:4:13: listen: invalid socket address syntax (found "localhost:8000")"#
    ]]
    .assert_eq(&error_of(("127.0.0.1:8000", "localhost:8000")));
    expect!["entry.jsonc:5:62: platform.wirtes_per_s: unknown field `wirtes_per_s`, expected one of `address`, `call_timeout_ms`, `writes_per_s`, `reads_per_s` (found 3)"]
        .assert_eq(&error_of((r#":2379""#, r#":2379", "wirtes_per_s": 3"#)));
    expect!["entry.jsonc:1:1: missing field `platform`"]
        .assert_eq(&error_of((r#""platform": { "address": "127.0.0.1:2379" },"#, "")));
}
