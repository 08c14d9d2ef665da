//! Events are passed on whole.

use bytes::Bytes;

use hgw_http1::{Error, Limit, Part};

use super::{EventBuffer, MAX_EVENT_BYTES};

/// Guards against events that are lost, held back or cut in two where the reads end within their ends.
#[test]
fn events_are_passed_on_whole_wherever_reads_end() {
    let text = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    for size in 1..=text.len() {
        let mut events = EventBuffer::default();
        let mut passed_on = Vec::new();
        for read in text.chunks(size) {
            let Some(bytes) = events.push(Bytes::copy_from_slice(read)).unwrap() else { continue };
            assert!(bytes.ends_with(b"\n\n") || bytes.ends_with(b"\r\n\r\n"));
            passed_on.extend_from_slice(&bytes);
        }
        assert_eq!(passed_on, text, "reads of {size} bytes");
        assert_eq!((events.last_id(), events.has_partial()), (Some(3), false));
    }
}

/// Guards against a stream that is resumed after a line end too many, so that its next event begins with an empty line, and
/// against such a line end that passes for an event which is not complete.
#[test]
fn line_end_after_an_event_is_held_until_the_next_one() {
    for (text, complete) in [
        ("id: 1\ndata: a\n\n\n", "id: 1\ndata: a\n\n"),
        ("id: 1\ndata: a\n\n\n\n\n", "id: 1\ndata: a\n\n\n\n"),
        ("id: 1\r\ndata: a\r\n\r\n\r\n", "id: 1\r\ndata: a\r\n\r\n"),
    ] {
        let mut events = EventBuffer::default();
        assert_eq!(events.push(Bytes::from(text)).unwrap().unwrap(), complete, "{text:?}");
        assert!(!events.has_partial(), "{text:?}");
        assert_eq!(events.take_line_ends().unwrap(), text[complete.len()..], "{text:?}");
    }
}

/// Bytes of one read.
const READ_BYTES: usize = 8 << 10;

/// Adds an event and then this again and again; returns how many bytes of it were taken, or the error.
fn push_repeated(repeated: &str, bytes: usize) -> hgw_http1::Result<usize> {
    let mut events = EventBuffer::default();
    events.push(Bytes::from_static(b"id: 1\ndata: a\n\n"))?;
    let read = Bytes::from(repeated.repeat(READ_BYTES / repeated.len()));
    let mut pushed = 0;
    while pushed < bytes {
        events.push(read.clone())?;
        pushed += read.len();
    }
    Ok(pushed)
}

/// Guards against a buffer that grows with an event without end, and against comments, empty events or repeated ids that
/// pass for progress.
#[test]
fn bytes_without_a_next_event_are_bounded() {
    for repeated in ["x", "data: x\n", ": waiting\n\n", "\n", "id: 1\ndata: a\n\n", "data: a\n\n"] {
        let error = push_repeated(repeated, 2 * MAX_EVENT_BYTES).unwrap_err();
        let Error::TooLarge { part: Part::Event, limit } = error else { panic!("{error}") };
        assert_eq!(limit, Limit::Bytes(MAX_EVENT_BYTES), "{repeated:?}");
        assert!(push_repeated(repeated, MAX_EVENT_BYTES - READ_BYTES).is_ok(), "{repeated:?}");
    }
}

/// Guards against long streams of sound events that count as one event without end.
#[test]
fn streams_that_go_on_are_not_bounded() {
    for numbered in [true, false] {
        let mut events = EventBuffer::default();
        for n in 0..4 * MAX_EVENT_BYTES / READ_BYTES {
            let id = if numbered { format!("id: {n}\n") } else { String::new() };
            let event = format!(": c\n\n{id}data: {}\n\n", "x".repeat(READ_BYTES));
            assert!(events.push(event.into()).unwrap().is_some());
        }
    }
}
