//! A client connection against scripted peers.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use hgw_http1::{BodyDecoder, Conn, ConnTimeouts, Error, Framing, Request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Starts a peer that reads a request, writes `response` and then closes the connection, or keeps it open.
async fn start_peer(response: &'static [u8], keep_open: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buf = [0; 4096];
        let _ = stream.read(&mut buf).await;
        stream.write_all(response).await.unwrap();
        if keep_open {
            let _ = stream.read(&mut buf).await;
            tokio::time::sleep(Duration::from_secs(60)).await;
        }
    });
    addr
}

async fn exchange(response: &'static [u8], keep_open: bool) -> (Conn, Result<(u16, Bytes), Error>) {
    let addr = start_peer(response, keep_open).await;
    let mut conn = Conn::connect(addr, ConnTimeouts::default()).await.unwrap();
    let req = Request::post("/x", "peer", Bytes::from_static(b"body"));
    let result = async {
        let head = conn.round_trip(&req).await?;
        let body = conn.read_body(BodyDecoder::new(head.framing), 1 << 20).await?;
        Ok((head.status.as_u16(), body))
    };
    let result = result.await;
    (conn, result)
}

macro_rules! responses {
    ($($name:ident: $bytes:expr, $keep_open:literal => $pattern:pat $(if $guard:expr)?,)*) => {
        $(#[tokio::test]
        async fn $name() {
            let (_, result) = exchange($bytes, $keep_open).await;
            assert_matches!(result, $pattern $(if $guard)?);
        })*
    };
}

responses! {
    length_is_read: b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", true
        => Ok((200, body)) if body == "abc",
    chunks_are_read: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1;x\r\nc\r\n0\r\n\r\n", true
        => Ok((200, body)) if body == "abc",
    trailers_are_passed_over:
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nX: y\r\nX: z\r\n\r\n", true
        => Ok((200, body)) if body == "ab",
    end_of_the_connection_ends_a_body_without_a_length: b"HTTP/1.1 200 OK\r\n\r\nabc", false
        => Ok((200, body)) if body == "abc",
    informational_answers_are_passed_over:
        b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", true
        => Ok((204, body)) if body.is_empty(),
    body_cut_short_is_not_whole: b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", false
        => Err(Error::Incomplete),
    chunks_without_the_last_are_not_whole:
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", false
        => Err(Error::Incomplete),
    no_answer_is_told_from_a_broken_one: b"", false => Err(Error::Incomplete),
    other_bytes_are_no_answer: b"\x00\x01 spoiled\r\n\r\n", true => Err(Error::Malformed { .. }),
    two_framings_are_refused:
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", true
        => Err(Error::Malformed { .. }),
    two_lengths_are_refused:
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", true
        => Err(Error::Malformed { .. }),
    spoiled_chunk_size_is_refused:
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n+2\r\nab\r\n0\r\n\r\n", true
        => Err(Error::Malformed { .. }),
}

#[tokio::test]
async fn whole_answer_leaves_the_connection_usable() {
    let (mut conn, result) =
        exchange(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", true).await;
    result.unwrap();
    assert!(conn.is_reusable(Duration::ZERO));
    assert!(conn.was_used());
}

/// A request sent just as the peer's keep-alive timeout expires races with the close, and it is unknown
/// whether the request has run.
#[tokio::test]
async fn connection_that_is_about_to_end_is_not_used() {
    let response = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=1\r\n\r\n";
    let (mut conn, result) = exchange(response, true).await;
    result.unwrap();
    assert!(conn.is_reusable(Duration::ZERO));
    assert!(!conn.is_reusable(Duration::from_secs(1)));
}

/// Unsolicited bytes after a complete response must not be taken for the response to the next request.
#[tokio::test]
async fn connection_with_bytes_that_nobody_asked_for_is_not_used() {
    let response =
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let (mut conn, result) = exchange(response, true).await;
    result.unwrap();
    assert!(!conn.is_reusable(Duration::ZERO));
}

#[tokio::test]
async fn connection_that_the_peer_closes_is_not_used() {
    let response = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    let (mut conn, result) = exchange(response, true).await;
    result.unwrap();
    assert!(!conn.is_reusable(Duration::ZERO));
}

#[tokio::test]
async fn connection_that_cannot_be_made_says_that_nothing_was_sent() {
    let addr = {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        listener.local_addr().unwrap()
    };
    let refused = Conn::connect(addr, ConnTimeouts::default()).await;
    assert_matches!(refused, Err(Error::Connect { .. }));
}

/// Guards against a head that ends in its middle being taken for a whole one, with an empty body.
#[tokio::test]
async fn connection_that_ends_in_the_middle_of_a_head_is_no_response() {
    let heads: [&[u8]; 6] = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Response-Seal: s\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n\r\n",
        b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nX-Y: z\r\n\r\n",
        b"HTTP/1.0 200 OK\nX-Response-Seal: s\n\n",
    ];
    for head in heads {
        for length in 0..head.len() {
            let (_, result) = exchange(&head[..length], false).await;
            assert_matches!(result, Err(_), "{length} bytes of {}", String::from_utf8_lossy(head));
        }
    }
}

#[test]
fn framing_of_an_empty_body_is_whole_at_once() {
    assert!(BodyDecoder::new(Framing::Length(0)).is_complete());
    assert!(!BodyDecoder::new(Framing::UntilClose).is_complete());
}

/// Returns what the peer reads after the client has dropped its connection.
async fn read_after_drop(response: &'static [u8]) -> std::io::Result<usize> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut conn =
        Conn::connect(listener.local_addr().unwrap(), ConnTimeouts::default()).await.unwrap();
    let (mut stream, _) = listener.accept().await.unwrap();
    let req = Request::get("/x", "peer");
    conn.send_request(&req).await.unwrap();
    let mut buf = [0; 4096];
    assert!(stream.read(&mut buf).await.unwrap() > 0);
    if !response.is_empty() {
        stream.write_all(response).await.unwrap();
        let head = conn.read_head(&req.method).await.unwrap();
        conn.read_body(BodyDecoder::new(head.framing), 1 << 10).await.unwrap();
    }
    drop(conn);
    stream.read(&mut buf).await
}

/// Unsent bytes of a cancelled request must not reach the peer after a network failure ends; only a reset
/// discards them.
#[tokio::test]
async fn request_that_is_given_up_resets_its_connection() {
    let read = read_after_drop(b"").await;
    assert_eq!(read.unwrap_err().kind(), std::io::ErrorKind::ConnectionReset);
}

#[tokio::test]
async fn connection_whose_request_was_answered_is_closed() {
    let read = read_after_drop(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").await;
    assert_eq!(read.unwrap(), 0);
}

/// Guards against a request on a connection that was closed while this process did not run: the runtime has not been told,
/// and a request that may not be repeated would be lost.
#[tokio::test]
async fn connection_that_was_closed_while_the_runtime_did_not_run_has_input() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (tx, rx) = std::sync::mpsc::channel();
    let peer = std::thread::spawn(move || {
        let mut stream = listener.accept().unwrap().0;
        let _ = stream.read(&mut [0; 4096]).unwrap();
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").unwrap();
        rx.recv().unwrap();
    });
    let mut conn = Conn::connect(addr, ConnTimeouts::default()).await.unwrap();
    let req = Request::post("/x", "peer", Bytes::from_static(b"body"));
    let head = conn.round_trip(&req).await.unwrap();
    conn.read_body(BodyDecoder::new(head.framing), 1).await.unwrap();
    assert!(conn.is_reusable(Duration::ZERO) && !conn.has_input());
    tx.send(()).unwrap();
    // Blocks this thread, and so the runtime.
    peer.join().unwrap();
    assert!(conn.has_input());
}

/// Reads a chunked body piece by piece, up to its end or an error.
async fn read_pieces(body: Vec<u8>) -> (Conn, Vec<Bytes>, Option<Error>) {
    let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let addr = start_peer([head.as_slice(), &body].concat().leak(), true).await;
    let mut conn = Conn::connect(addr, ConnTimeouts::default()).await.unwrap();
    let head = conn.round_trip(&Request::get("/x", "peer")).await.unwrap();
    let mut decoder = BodyDecoder::new(head.framing);
    let mut pieces = Vec::new();
    loop {
        match conn.read_chunk(&mut decoder).await {
            Ok(Some(piece)) => pieces.push(piece),
            Ok(None) => return (conn, pieces, None),
            Err(e) => return (conn, pieces, Some(e)),
        }
    }
}

/// Guards against a reader that is kept busy by a peer that sends a few bytes in each chunk.
#[tokio::test]
async fn chunks_that_arrive_together_are_one_piece() {
    const CHUNKS: usize = 10_000;
    let body = [b"2\r\n\n\n\r\n".repeat(CHUNKS), b"0\r\n\r\n".to_vec()].concat();
    let reads = body.len().div_ceil(1 << 10);
    let (mut conn, pieces, error) = read_pieces(body).await;
    assert_matches!(error, None);
    assert_eq!(pieces.concat(), b"\n".repeat(2 * CHUNKS));
    assert!(pieces.len() <= reads, "{} pieces in at most {reads} reads", pieces.len());
    assert!(conn.is_reusable(Duration::ZERO));
}

/// Guards against the loss of what arrives together with bytes that are no chunk, or of the error.
#[tokio::test]
async fn chunks_before_a_malformed_one_are_returned() {
    let (mut conn, pieces, error) =
        read_pieces(b"2\r\nab\r\n2\r\ncd\r\nno size\r\n".to_vec()).await;
    assert_eq!(pieces.concat(), b"abcd");
    assert_matches!(error, Some(Error::Malformed { what: "chunk size" }));
    assert!(!conn.is_reusable(Duration::ZERO));
}
