use bytes::Bytes;
use hgw_wire::peer::Frame;

/// Room that most frames fit in.
const USUAL: usize = 128;

/// A frame as the payload of a WebSocket message.
pub(super) fn encode(frame: &Frame) -> Bytes {
    let mut buf = Vec::with_capacity(USUAL);
    ciborium::into_writer(frame, &mut buf).expect("a frame can be written to memory");
    buf.into()
}

/// Reads a frame; nothing where the payload is not one.
pub(super) fn decode(bytes: &[u8]) -> Option<Frame> {
    ciborium::from_reader(bytes).ok()
}
