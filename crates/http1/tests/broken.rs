//! Responses that are broken, against the grammar of HTTP/1.1 (RFC 9112).

use std::net::SocketAddr;

use assert_matches::assert_matches;
use bytes::Bytes;
use hgw_http1::{BodyDecoder, Conn, ConnTimeouts, Error, Request};
use http::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Longest body that is read, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Starts a peer that answers each connection's request with what the request has as its body, and closes it.
async fn start_peer() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut request = Vec::new();
            let response = loop {
                assert!(stream.read_buf(&mut request).await.unwrap() > 0);
                if let Some(body) = complete_body(&request) {
                    break body.to_vec();
                }
            };
            // The client may have closed the connection at the first bytes that are no response.
            let _ = stream.write_all(&response).await;
        }
    });
    addr
}

fn complete_body(request: &[u8]) -> Option<&[u8]> {
    let (head, body) = split_once(request, b"\r\n\r\n")?;
    let head = std::str::from_utf8(head).unwrap();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: ")).unwrap();
    (body.len() == length.parse::<usize>().unwrap()).then_some(body)
}

fn split_once<'a>(bytes: &'a [u8], separator: &[u8]) -> Option<(&'a [u8], &'a [u8])> {
    let at = bytes.windows(separator.len()).position(|part| part == separator)?;
    Some((&bytes[..at], &bytes[at + separator.len()..]))
}

/// Reads a response as the client does.
async fn read(peer: SocketAddr, method: Method, bytes: &[u8]) -> Result<(u16, Bytes), Error> {
    let mut conn = Conn::connect(peer, ConnTimeouts::default()).await?;
    let mut req = Request::post("/x", "peer", Bytes::copy_from_slice(bytes));
    req.method = method;
    let head = conn.round_trip(&req).await?;
    let body = conn.read_body(BodyDecoder::new(head.framing), MAX_BODY_BYTES).await?;
    Ok((head.status.as_u16(), body))
}

/// Reads a response by the grammar; none if it is none, or has another coding than chunks.
fn read_by_grammar(bytes: &[u8]) -> Option<(u16, Vec<u8>)> {
    let start = bytes.windows(2).step_by(2).take_while(|part| part == b"\r\n").count() * 2;
    let (head, body) = split_once(&bytes[start..], b"\r\n\r\n")?;
    let mut lines = split_lines(head)?.into_iter();
    let (version, status) = status_line(lines.next()?)?;
    let fields: Vec<_> = lines.map(field).collect::<Option<_>>()?;
    let values = |name: &str| -> Vec<&[u8]> {
        let named = fields.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name.as_bytes()));
        named.map(|(_, value)| *value).collect()
    };
    let body = match (values("transfer-encoding").as_slice(), values("content-length").as_slice()) {
        ([], []) => body.to_vec(),
        ([], [length]) => {
            let is_number = length.iter().all(u8::is_ascii_digit);
            let length = std::str::from_utf8(length).ok().filter(|_| is_number)?.parse().ok()?;
            body.get(..length)?.to_vec()
        }
        ([coding], []) if version == b'1' && coding.eq_ignore_ascii_case(b"chunked") => {
            chunks(body)?
        }
        _ => return None,
    };
    let has_none = status == 204;
    (!has_none || body.is_empty()).then_some((status, body))
}

/// Divides a head at its line ends; none if it has a part of one elsewhere.
fn split_lines(mut head: &[u8]) -> Option<Vec<&[u8]>> {
    let mut lines = Vec::new();
    while let Some((line, rest)) = split_once(head, b"\r\n") {
        lines.push(line);
        head = rest;
    }
    lines.push(head);
    lines.iter().all(|line| !line.contains(&b'\r') && !line.contains(&b'\n')).then_some(lines)
}

/// `HTTP/1.x` and a status of a final response, with or without a reason.
fn status_line(line: &[u8]) -> Option<(u8, u16)> {
    let rest = line.strip_prefix(b"HTTP/1.")?;
    let (version, rest) =
        rest.split_first().filter(|(version, _)| matches!(version, b'0' | b'1'))?;
    let (digits, reason) = rest.strip_prefix(b" ")?.split_at_checked(3)?;
    let is_number = digits.iter().all(u8::is_ascii_digit);
    let status = std::str::from_utf8(digits).ok().filter(|_| is_number)?.parse().ok()?;
    let is_reason = reason.is_empty() || reason[0] == b' ' && is_text(reason);
    ((200..=599).contains(&status) && is_reason).then_some((*version, status))
}

fn field(line: &[u8]) -> Option<(&[u8], &[u8])> {
    let at = line.iter().position(|b| *b == b':')?;
    let (name, value) = (&line[..at], &line[at + 1..]);
    let is_token = |b: &u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(b);
    let is_field = !name.is_empty() && name.iter().all(is_token) && is_text(value);
    is_field.then_some((name, value.trim_ascii()))
}

fn is_text(bytes: &[u8]) -> bool {
    bytes.iter().all(|b| *b == b'\t' || *b >= b' ' && *b != 0x7f)
}

fn chunks(mut bytes: &[u8]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let (line, rest) = split_once(bytes, b"\r\n")?;
        let digits = line.iter().take_while(|b| b.is_ascii_hexdigit()).count();
        let (digits, extension) = line.split_at(digits);
        let is_extension = extension.trim_ascii_start().starts_with(b";") && is_text(extension);
        if !extension.is_empty() && !is_extension {
            return None;
        }
        let size = usize::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
        if size == 0 {
            return trailers(rest).then_some(body);
        }
        let (chunk, rest) = rest.split_at_checked(size)?;
        body.extend_from_slice(chunk);
        bytes = rest.strip_prefix(b"\r\n")?;
    }
}

fn trailers(mut bytes: &[u8]) -> bool {
    while let Some((line, rest)) = split_once(bytes, b"\r\n") {
        if line.is_empty() {
            return true;
        }
        if split_lines(line).is_none() || field(line).is_none() {
            return false;
        }
        bytes = rest;
    }
    false
}

/// All that a change of one byte makes of a response: each byte removed, doubled, or replaced.
fn spoilt(response: &[u8]) -> impl Iterator<Item = Vec<u8>> {
    const REPLACEMENTS: &[u8] = b"\0\x01\t\n\x0b\r +,-09:;a\x7f\x80\xff";
    (0..response.len()).flat_map(move |at| {
        let change = |part: &[u8]| [&response[..at], part, &response[at + 1..]].concat();
        let replaced = REPLACEMENTS.iter().map(|byte| change(&[*byte]));
        replaced.chain([change(&[]), change(&[response[at]; 2])]).collect::<Vec<_>>()
    })
}

async fn assert_read_by_grammar(response: &'static [u8]) {
    let peer = start_peer().await;
    let sound = read(peer, Method::POST, response).await.unwrap();
    assert_eq!(read_by_grammar(response), Some((sound.0, sound.1.to_vec())));
    for bytes in spoilt(response) {
        if let Ok((status, body)) = read(peer, Method::POST, &bytes).await {
            let by_grammar = read_by_grammar(&bytes);
            assert_eq!(by_grammar, Some((status, body.to_vec())), "{}", bytes.escape_ascii());
        }
    }
}

macro_rules! spoilt {
    ($($name:ident: $response:expr,)*) => {
        $(
            /// Guards against a response that is taken though it is none, or has another body.
            #[tokio::test]
            async fn $name() {
                assert_read_by_grammar($response).await;
            }
        )*
    };
}

spoilt! {
    one_byte_of_a_response_with_a_length:
        b"HTTP/1.1 200 OK\r\nX-Seal: a, b\r\nContent-Length: 8\r\nX: y\r\n\r\n12345678",
    one_byte_of_a_response_in_chunks:
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n1234\r\n4;a=b\r\n5678\r\n0\r\nX: y\r\n\r\n",
    one_byte_of_a_response_that_ends_with_its_connection:
        b"HTTP/1.0 500 Failed\r\nX-Seal: s\r\nKeep-Alive: timeout=5\r\n\r\n12345678",
}

/// Guards against a status that does not belong to HTTP being taken for one, and against a change of the protocol.
#[tokio::test]
async fn status_that_is_none_is_refused() {
    let peer = start_peer().await;
    for status in (0..=999).filter(|status| !(100..=599).contains(status)).chain([101]) {
        let response = format!("HTTP/1.1 {status:03} X\r\nContent-Length: 0\r\n\r\n");
        let read = read(peer, Method::POST, response.as_bytes()).await;
        assert_matches!(read, Err(Error::Malformed { what: "status" }), "{status:03}");
    }
}

/// Guards against the body of a response whose status was spoilt being left out.
#[tokio::test]
async fn status_without_a_body_has_none() {
    let peer = start_peer().await;
    for (status, declared, is_sound) in [
        ("204 No Content", "X: y", true),
        ("204 No Content", "Content-Length: 0", true),
        ("204 No Content", "Content-Length: 2", false),
        ("204 No Content", "Transfer-Encoding: chunked", false),
        ("304 Not Modified", "Content-Length: 2", true),
        ("304 Not Modified", "Content-Length: +2", false),
    ] {
        let response = format!("HTTP/1.1 {status}\r\n{declared}\r\n\r\n");
        let read = read(peer, Method::POST, response.as_bytes()).await;
        assert_eq!(read.is_ok(), is_sound, "{response}: {read:?}");
    }
    let head = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n";
    assert_matches!(read(peer, Method::HEAD, head).await, Ok((200, body)) if body.is_empty());
}
