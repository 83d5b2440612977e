//! Tests of parsing answer heads.

use http_types::Method;

use super::{AnswerHead, Parsed, parse};
use crate::{client::error::Failure, status::Status};

fn parsed(head: &str) -> Result<Parsed, Failure> {
    parse(head.as_bytes(), Method::Get)
}

// Guards against a code that is dropped because the HTTP library does not know it: decisions, logs and callers then see another one.
#[test]
fn every_status_code_is_kept() {
    for code in 200..=999 {
        let head = format!("HTTP/1.1 {code} Told\r\ncontent-length: 0\r\n\r\n");
        match parsed(&head) {
            Ok(Parsed::Final(head)) => assert_eq!(Status::of(&head.res).code(), code),
            other => panic!("{code}: {other:?}"),
        }
    }
}

// Guards against a panic on bytes that a target may send, and against a status that is not the one in the head.
#[test]
fn any_head_is_parsed_with_its_own_status_or_refused() {
    bolero::check!().with_type::<(u16, Vec<u8>)>().for_each(|(code, bytes)| {
        // The bytes alone are seldom the start of an answer.
        let _ = parse(bytes, Method::Get);
        let code = code % 1_000;
        let mut head = format!("HTTP/1.1 {code:03} ").into_bytes();
        head.extend(bytes);
        head.extend(b"\r\n\r\n");
        if let Ok(Parsed::Final(found)) = parse(&head, Method::Get) {
            let AnswerHead { res, len, .. } = *found;
            assert_eq!(Status::of(&res).code(), code);
            assert!((200..=999).contains(&code), "{code}");
            assert!(len <= head.len());
        }
    });
}
