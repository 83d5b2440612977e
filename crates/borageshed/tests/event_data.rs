//! Tests how the data of a stream's events becomes the text of an item.

use borageshed::online::{event_data::EventData, events::EventSplitter};
use stdx::Name;

fn text_of(pieces: &[&str]) -> String {
    let mut data = EventData::default();
    for piece in pieces {
        data.push(piece.as_bytes()).expect("a short stream");
    }
    data.text().to_owned()
}

// Guards against a text that lacks the line feed after a first event with empty data.
#[test]
fn empty_data_of_the_first_events_is_a_line_of_its_own() {
    assert_eq!(text_of(&["id: 1\ndata: \n\nid: 2\ndata: b\n\n"]), "\nb");
    assert_eq!(text_of(&["data:\n\n", "data:\n\n", "data: c\n\n"]), "\n\nc");
    assert_eq!(text_of(&["data: a\n\n", "data:\n\n", "data: c\n\n"]), "a\n\nc");
    assert_eq!(text_of(&["data:\n\n"]), "");
}

// Guards against the same line feed that is lost when another daemon continues the item after a checkpoint.
#[test]
fn a_checkpoint_after_an_event_with_empty_data_is_continued_on_a_line_of_its_own() {
    let mut data = EventData::default();
    data.begin_attempt(&Name::new("1"));
    data.confirm_version();
    data.push(b"id: 1\ndata:\n\n").expect("a short stream");
    let mut continued = EventData::from(data.partial_output().expect("an event"));
    continued.begin_attempt(&Name::new("1"));
    continued.push(b"id: 2\ndata: b\n\n").expect("the next event");
    assert_eq!(continued.text(), "\nb");
}

// Guards against a text that is continued although another version than the recorded one may have begun it.
#[test]
fn output_of_an_uncertain_version_is_not_continued() {
    let mut data = EventData::default();
    data.begin_attempt(&Name::new("1"));
    data.push(b"id: 1\ndata: a\n\n").expect("a short stream");
    assert_eq!((data.partial_output(), data.version()), (None, None));
    assert_eq!(data.begin_attempt(&Name::new("1")), None);
    data.confirm_version();
    data.push(b"id: 1\ndata: b\n\n").expect("a short stream");
    assert_eq!((data.text(), data.version()), ("b", Some(&Name::new("1"))));
    assert_eq!(data.begin_attempt(&Name::new("1")), Some(1));
}

// Guards against a process that runs out of memory, because each of many streams may hold an event up to the limit for one.
#[test]
fn unfinished_events_of_many_streams_hold_a_bounded_amount_together() {
    const STREAMS: usize = 200;
    const MAX_TOTAL: usize = 20 << 20;
    let unfinished = vec![b'x'; 250 << 10];
    let mut streams: Vec<EventSplitter> = Vec::new();
    let mut held = 0;
    for _ in 0..STREAMS {
        let mut stream = EventSplitter::default();
        if stream.push(&unfinished).is_ok() {
            held += unfinished.len();
            streams.push(stream);
        }
    }
    assert!(held <= MAX_TOTAL, "{held} bytes");
    // What ended streams held is free again.
    drop(streams);
    EventSplitter::default().push(&unfinished).expect("room for an event");
}

// Guards against a text or stream that repeats events, because a target was asked to go on after an earlier event than the last one.
#[test]
fn output_whose_last_event_has_no_id_is_not_continued() {
    for (events, can_go_on) in [
        ("id: 1\ndata: a\n\n", true),
        ("id: 1\ndata: a\n\n: still there\n\n", true),
        ("data: a\n\n", false),
        ("id: 1\ndata: a\n\ndata: b\n\n", false),
        ("id: 1\ndata: a\n\ndata: b\n\nid: 3\ndata: c\n\n", true),
    ] {
        let mut splitter = EventSplitter::default();
        splitter.push(events.as_bytes()).expect("a short stream");
        assert_eq!(splitter.can_go_on(), can_go_on, "{events:?}");
        let mut data = EventData::default();
        data.begin_attempt(&Name::new("1"));
        data.confirm_version();
        data.push(events.as_bytes()).expect("a short stream");
        assert_eq!(data.partial_output().is_some(), can_go_on, "{events:?}");
        assert_eq!(data.begin_attempt(&Name::new("1")).is_some(), can_go_on, "{events:?}");
        assert_eq!(data.text().is_empty(), !can_go_on, "{events:?}");
    }
}
