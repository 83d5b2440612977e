//! Tests of the validation and the interpretation of charts.

use expect_test::{Expect, expect};
use statechart::{Chart, ChartEnum, ChartError};

macro_rules! closed_set {
    ($name:ident { $($variant:ident = $text:literal),* }) => {
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        enum $name { $($variant),* }

        impl ChartEnum for $name {
            fn all() -> &'static [Self] { &[$(Self::$variant),*] }
            fn name(self) -> &'static str { match self { $(Self::$variant => $text),* } }
        }
    };
}

closed_set!(Door { Open = "open", Shut = "shut" });
closed_set!(Input { Push = "push", Pull = "pull" });
closed_set!(Output { Ring = "ring" });

type DoorChart = Chart<Door, Input, Output>;

fn chart(transitions: &str) -> Result<DoorChart, ChartError> {
    Chart::parse(
        "door.jsonc",
        &format!("{{\"initial\": \"open\",\n\"transitions\": [{transitions}]}}"),
    )
}

fn check_error(transitions: &str, kind: fn(&ChartError) -> bool, expected: Expect) {
    let error = chart(transitions).expect_err("the chart is invalid");
    assert!(kind(&error), "{error:?}");
    expected.assert_eq(&error.to_string());
}

const PUSH: &str = r#"{"from": ["open"], "on": ["push"], "to": "shut", "do": ["ring"]}"#;

// Guards against an interpreter that drops actions or leaves a state on an event without a transition.
#[test]
fn steps_follow_transitions_and_ignore_other_events() {
    let chart = chart(PUSH).expect("the chart is valid");
    assert_eq!(chart.initial(), Door::Open);
    let step = chart.step(Door::Open, Input::Push);
    assert_eq!((step.next, step.actions), (Door::Shut, &[Output::Ring][..]));
    let step = chart.step(Door::Shut, Input::Pull);
    assert_eq!((step.next, step.actions), (Door::Shut, &[][..]));
}

// Guards against charts whose misspelt names would silently disable a transition.
#[test]
fn unknown_names_are_rejected_with_their_place() {
    check_error(
        r#"{"from": ["ajar"], "on": ["push"]}"#,
        |it| matches!(it, ChartError::UnknownState(_)),
        expect![[
            r#"door.jsonc:2:27: transitions[0].from[0]: unknown state, expected one of open, shut (found "ajar")"#
        ]],
    );
    check_error(
        r#"{"from": ["open"], "on": ["kick"]}"#,
        |it| matches!(it, ChartError::UnknownEvent(_)),
        expect![[
            r#"door.jsonc:2:43: transitions[0].on[0]: unknown event, expected one of push, pull (found "kick")"#
        ]],
    );
    check_error(
        r#"{"from": ["open"], "on": ["push"], "do": ["sing"]}"#,
        |it| matches!(it, ChartError::UnknownAction(_)),
        expect![[
            r#"door.jsonc:2:59: transitions[0].do[0]: unknown action, expected one of ring (found "sing")"#
        ]],
    );
    check_error(
        r#"{"from": ["open"], "on": ["push"], "too": "shut"}"#,
        |it| matches!(it, ChartError::Syntax(_)),
        expect![[
            r#"door.jsonc:2:59: transitions[0].too: unknown field `too`, expected one of `from`, `on`, `to`, `do` (found "shut")"#
        ]],
    );
}

// Guards against two transitions on the same event, of which only one would ever be taken.
#[test]
fn ambiguous_transitions_are_rejected() {
    check_error(
        &format!(r#"{PUSH}, {{"from": ["open"], "on": ["pull", "push"]}}"#),
        |it| matches!(it, ChartError::Ambiguous(_)),
        expect![[
            r#"door.jsonc:2:117: transitions[1].on[1]: ambiguous: another transition leaves "open" on it (found "push")"#
        ]],
    );
}

// Guards against states that no sequence of events can reach.
#[test]
fn unreachable_states_are_rejected() {
    check_error(
        r#"{"from": ["shut"], "on": ["pull"], "to": "open"}"#,
        |it| matches!(it, ChartError::Unreachable(_)),
        expect![[r#"door.jsonc:2:16: transitions: state "shut" is unreachable"#]],
    );
}
