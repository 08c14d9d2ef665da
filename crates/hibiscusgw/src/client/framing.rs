//! The gRPC message frame: a compression flag, the length and the message.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use prost::Message;

use super::{Error, Result};

const PREFIX_BYTES: usize = 5;

pub(super) fn encode(message: &impl Message) -> Bytes {
    let len = message.encoded_len();
    let mut buf = BytesMut::with_capacity(PREFIX_BYTES + len);
    buf.put_u8(0);
    buf.put_u32(u32::try_from(len).expect("a call is smaller than 4 GiB"));
    message.encode(&mut buf).expect("the buffer has room for the message");
    buf.freeze()
}

pub(super) fn decode<M: Message + Default>(mut body: &[u8]) -> Result<M> {
    if body.len() < PREFIX_BYTES || body.get_u8() != 0 {
        return Err(Error::Malformed);
    }
    let len = usize::try_from(body.get_u32()).map_err(|_| Error::Malformed)?;
    let message = body.get(..len).ok_or(Error::Malformed)?;
    M::decode(message).map_err(|_| Error::Malformed)
}

/// Decodes the percent encoding of a status message; invalid sequences are kept as they are.
pub(super) fn percent_decode(text: &str) -> String {
    let mut out = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let digits = tail.get(..2).and_then(|digits| std::str::from_utf8(digits).ok());
        let byte = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (first, byte) {
            (b'%', Some(byte)) => {
                out.push(byte);
                rest = &tail[2..];
            }
            _ => {
                out.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
