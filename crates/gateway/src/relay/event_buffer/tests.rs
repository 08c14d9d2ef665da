//! Events are passed on whole.

use bytes::Bytes;

use super::EventBuffer;

/// Guards against events that are lost, held back or cut in two where the reads end within their ends.
#[test]
fn events_are_passed_on_whole_wherever_reads_end() {
    let text = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    for size in 1..=text.len() {
        let mut events = EventBuffer::default();
        let mut passed_on = Vec::new();
        for read in text.chunks(size) {
            let Some(bytes) = events.push(Bytes::copy_from_slice(read)) else { continue };
            assert!(bytes.ends_with(b"\n\n") || bytes.ends_with(b"\r\n\r\n"));
            passed_on.extend_from_slice(&bytes);
        }
        assert_eq!(passed_on, text, "reads of {size} bytes");
        assert_eq!((events.last_id(), events.has_partial()), (Some(3), false));
    }
}
