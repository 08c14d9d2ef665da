//! Peers that send bytes without end.

use std::net::SocketAddr;
use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use hgw_http1::{BodyDecoder, Conn, ConnTimeouts, Error, Limit, MAX_HEAD_BYTES, Part, Request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// Longest body that is read.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Guard against a test that does not end, far above what is expected.
const GUARD: Duration = Duration::from_secs(30);

/// Starts a peer that reads a request, writes `first` and then `repeated` until its connection is closed.
async fn start_peer(first: &'static str, repeated: &'static str) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let task = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 4096]).await;
        stream.write_all(first.as_bytes()).await.unwrap();
        let block = repeated.repeat(100);
        while stream.write_all(block.as_bytes()).await.is_ok() {}
    });
    (addr, task)
}

/// Reads a response without end; fails unless the peer's connection is closed then.
async fn read(first: &'static str, repeated: &'static str) -> Error {
    let (addr, peer) = start_peer(first, repeated).await;
    let mut conn = Conn::connect(addr, ConnTimeouts::default()).await.unwrap();
    let req = Request::post("/x", "peer", Bytes::from_static(b"body"));
    let read = async {
        let head = conn.round_trip(&req).await?;
        conn.read_body(BodyDecoder::new(head.framing), MAX_BODY_BYTES).await
    };
    let read = tokio::time::timeout(GUARD, read).await.expect("the reader ends by itself");
    let error = read.unwrap_err();
    assert!(!conn.is_reusable(Duration::ZERO));
    drop(conn);
    peer.await.unwrap();
    error
}

macro_rules! endless {
    ($($name:ident: $first:expr, $repeated:expr => $part:pat, $limit:pat,)*) => {
        $(
            /// Guards against a reader that takes what its peer sends without end.
            #[tokio::test]
            async fn $name() {
                let error = read($first, $repeated).await;
                assert!(error.is_malformed());
                assert_matches!(error, Error::TooLarge { part: $part, limit: $limit });
            }
        )*
    };
}

/// Guards against a body that is skipped without end.
#[tokio::test]
async fn body_that_is_skipped_is_bounded() {
    let (addr, peer) = start_peer(CHUNKED, "1\r\nx\r\n").await;
    let mut conn = Conn::connect(addr, ConnTimeouts::default()).await.unwrap();
    let head = conn.round_trip(&Request::get("/x", "peer")).await.unwrap();
    let skip = conn.skip_body(BodyDecoder::new(head.framing), MAX_BODY_BYTES);
    let skipped = tokio::time::timeout(GUARD, skip).await.expect("the reader ends by itself");
    assert_matches!(skipped, Err(Error::TooLarge { part: Part::Body, .. }));
    assert!(!conn.is_reusable(Duration::ZERO));
    drop(conn);
    peer.await.unwrap();
}

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

endless! {
    line_of_a_head: "HTTP/1.1 200 OK\r\nX: ", "x" => Part::Head, Limit::Bytes(MAX_HEAD_BYTES),
    lines_of_a_head: "HTTP/1.1 200 OK\r\n", "X: y\r\n" => Part::Head, Limit::Lines(_),
    size_of_a_chunk: CHUNKED, "0" => Part::ChunkLine, Limit::Bytes(_),
    extension_of_a_chunk: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"
        => Part::ChunkLine, Limit::Bytes(_),
    trailers: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "X: y\r\n"
        => Part::Trailers, Limit::Lines(_),
    body_in_chunks: CHUNKED, "1\r\nx\r\n" => Part::Body, Limit::Bytes(MAX_BODY_BYTES),
    body_without_a_length: "HTTP/1.1 200 OK\r\n\r\n", "x" => Part::Body, Limit::Bytes(MAX_BODY_BYTES),
}
