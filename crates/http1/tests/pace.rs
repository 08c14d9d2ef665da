//! Bodies that arrive slowly.

use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use hgw_http1::{BodyDecoder, BodyPace, Conn, ConnTimeouts, Error, Request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::sleep;

const PACE: BodyPace =
    BodyPace { max_pause: Duration::from_millis(300), max_time: Duration::from_millis(1_500) };

/// Sends a body of `count` bytes, one after each pause, and then nothing.
async fn serve(listener: TcpListener, count: usize, pause: Duration) {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut buf = [0; 4096];
    let _ = stream.read(&mut buf).await.unwrap();
    stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n").await.unwrap();
    for _ in 0..count {
        sleep(pause).await;
        // Fails if the reader has given up.
        let _ = stream.write_all(b"x").await;
    }
    sleep(Duration::from_secs(60)).await;
}

/// Reads such a body; returns what was recorded of it as well.
fn read(count: usize, pause: Duration) -> (Result<Bytes, Error>, usize) {
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    rt.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        tokio::spawn(serve(listener, count, pause));
        let mut conn = Conn::connect(addr, ConnTimeouts::default()).await.unwrap();
        let head = conn.round_trip(&Request::get("/x".to_owned(), "peer")).await.unwrap();
        let mut recorded = 0;
        let body = BodyDecoder::new(head.framing);
        let body = conn.read_body_at_pace(body, 100, PACE, |bytes| recorded += bytes).await;
        (body, recorded)
    })
}

/// Guards against a response that is given up while it arrives: asked for again, it would never be complete.
#[test]
fn body_that_goes_on_is_read_to_its_end() {
    let (body, recorded) = read(10, Duration::from_millis(60));
    assert_eq!(body.unwrap().len(), 10);
    assert_eq!(recorded, 10);
}

/// Guards against a reader that waits for a body which has stopped.
#[test]
fn body_that_stops_is_given_up() {
    let (body, recorded) = read(3, Duration::ZERO);
    assert_matches!(body, Err(Error::Stalled { received: 3 }));
    assert_eq!(recorded, 3);
}

/// Guards against a reader that is held up by a byte now and then.
#[test]
fn body_that_trickles_is_given_up() {
    let (body, recorded) = read(10, Duration::from_millis(250));
    assert_matches!(body, Err(Error::Stalled { .. }));
    assert!(recorded > 1);
}
