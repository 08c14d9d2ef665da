//! The opening of a connection: both sides prove the shared secret before anything else is said.
//!
//! 1. The dialer sends a `Hello` with a nonce.
//! 2. The other side answers with its own nonce and a proof over both.
//! 3. The dialer checks that proof, and sends its own.
//! 4. The other side checks it and sends a `Pong`: [`WELCOME`], after which both may send frames, or
//!    [`WAIT`], where it is itself connecting to the dialer and that connection is to be kept.
//!
//! A proof is an HMAC-SHA-256 over the prover's role, both nonces and the prover's own `Hello`. The
//! role keeps a proof from being sent back to the one who made it; the nonces keep it from being
//! used again.

use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use futures_util::{SinkExt, StreamExt};
use hgw_types::{DomainId, NodeId};
use hgw_wire::peer::{Frame, Hello, PROTOCOL};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::protocol::{Role, WebSocketConfig};
use tokio_tungstenite::tungstenite::{self, Message};

use super::codec;
use crate::secret::Secret;

/// Bytes of a nonce.
const NONCE: usize = 32;

/// Bytes read or written at once. A node may have hundreds of connections: with the library's own
/// size their buffers would take more memory than everything else.
const BUFFER: usize = 16 << 10;

/// Number of the `Pong` after which both sides may send frames.
const WELCOME: u64 = 0;

/// Number of the `Pong` that closes a connection in favour of the one being made the other way.
const WAIT: u64 = 1;

/// Largest message from somebody who has not proved the secret.
const MAX_HELLO: usize = 4096;

pub(super) type Socket = WebSocketStream<TcpStream>;
type Result<T> = std::result::Result<T, HandshakeError>;

/// Who this node is to its peers.
#[derive(Debug, Clone)]
pub(crate) struct Identity {
    pub(crate) node: NodeId,
    pub(crate) domain: DomainId,
    /// `IP:PORT` of its listener for peers.
    pub(crate) addr: String,
    pub(crate) secret: Secret,
}

/// A connection whose other side has proved the secret.
#[derive(Debug)]
pub(super) struct Proven {
    pub(super) socket: Socket,
    pub(super) peer: Hello,
}

/// Why a connection to a peer was not made.
#[derive(Debug, Display, Error)]
pub(super) enum HandshakeError {
    #[display("cannot connect: {_0}")]
    Connect(std::io::Error),
    #[display("{_0}")]
    WebSocket(Box<tungstenite::Error>),
    #[display("no answer within {_0:?}")]
    Timeout(#[error(not(source))] Duration),
    #[display("protocol {_0} in place of {PROTOCOL}")]
    Protocol(#[error(not(source))] u32),
    #[display("the other side does not know the shared secret")]
    Proof,
    #[display("the other side is {_0}")]
    WrongNode(#[error(not(source))] NodeId),
    #[display("the other side connects to this one")]
    Wait,
    #[display("unexpected message")]
    Unexpected,
}

/// Which side of a connection makes a proof.
#[derive(Debug, Clone, Copy)]
enum Side {
    Dialer,
    Listener,
}

/// Limits of a WebSocket whose messages have at most `max` bytes.
fn config(max: usize) -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER)
        .write_buffer_size(BUFFER)
        .max_message_size(Some(max))
        .max_frame_size(Some(max))
}

/// Connects to `addr`, where `peer` is expected.
pub(super) async fn dial(
    me: &Identity,
    peer: &NodeId,
    addr: &str,
    max_frame: usize,
) -> Result<Proven> {
    let tcp = TcpStream::connect(addr).await.map_err(HandshakeError::Connect)?;
    tcp.set_nodelay(true).map_err(HandshakeError::Connect)?;
    let url = format!("ws://{addr}/");
    let opened =
        tokio_tungstenite::client_async_with_config(url, tcp, Some(config(max_frame))).await;
    let (mut socket, _) = opened?;
    let nonce = nonce();
    send(&mut socket, Frame::Hello(me.hello(&nonce, Bytes::new()))).await?;
    let theirs = receive_hello(&mut socket).await?;
    if theirs.node != *peer {
        return Err(HandshakeError::WrongNode(theirs.node));
    }
    check(me, Side::Listener, &nonce, &theirs.nonce, &theirs)?;
    let mut mine = me.hello(&nonce, Bytes::new());
    mine.proof = prove(me, Side::Dialer, &nonce, &theirs.nonce, &mine);
    send(&mut socket, Frame::Hello(mine)).await?;
    match receive(&mut socket).await? {
        Frame::Pong(WELCOME) => Ok(Proven { socket, peer: theirs }),
        Frame::Pong(WAIT) => Err(HandshakeError::Wait),
        _ => Err(HandshakeError::Unexpected),
    }
}

/// Takes a connection that somebody has made, up to the proof; the dialer waits for
/// [`Proven::welcome`].
pub(super) async fn accept(me: &Identity, tcp: TcpStream, max_frame: usize) -> Result<Proven> {
    tcp.set_nodelay(true).map_err(HandshakeError::Connect)?;
    let opened = tokio_tungstenite::accept_async_with_config(tcp, Some(config(MAX_HELLO))).await;
    let mut socket = opened?;
    let opening = receive_hello(&mut socket).await?;
    let nonce = nonce();
    let mut mine = me.hello(&nonce, Bytes::new());
    if opening.nonce.len() == NONCE {
        mine.proof = prove(me, Side::Listener, &opening.nonce, &nonce, &mine);
    }
    send(&mut socket, Frame::Hello(mine)).await?;
    let theirs = receive_hello(&mut socket).await?;
    if theirs.nonce != opening.nonce {
        return Err(HandshakeError::Unexpected);
    }
    check(me, Side::Dialer, &theirs.nonce, &nonce, &theirs)?;
    if theirs.node == me.node {
        return Err(HandshakeError::WrongNode(theirs.node));
    }
    // The dialer sends nothing until it has the `Pong`: the small socket's buffer is empty, and the
    // connection can go on with room for whole frames.
    let tcp = socket.into_inner();
    let socket = WebSocketStream::from_raw_socket(tcp, Role::Server, Some(config(max_frame))).await;
    Ok(Proven { socket, peer: theirs })
}

impl Proven {
    /// Tells the dialer that its connection is kept.
    pub(super) async fn welcome(&mut self) -> Result<()> {
        send(&mut self.socket, Frame::Pong(WELCOME)).await
    }

    /// Tells the dialer that this node connects to it, and closes.
    pub(super) async fn turn_away(mut self) -> Result<()> {
        send(&mut self.socket, Frame::Pong(WAIT)).await
    }
}

impl Identity {
    fn hello(&self, nonce: &Bytes, proof: Bytes) -> Hello {
        Hello {
            protocol: PROTOCOL,
            node: self.node.clone(),
            domain: self.domain.clone(),
            addr: self.addr.clone(),
            nonce: nonce.clone(),
            proof,
        }
    }
}

impl From<tungstenite::Error> for HandshakeError {
    fn from(e: tungstenite::Error) -> Self {
        HandshakeError::WebSocket(Box::new(e))
    }
}

fn nonce() -> Bytes {
    Bytes::copy_from_slice(&rand::random::<[u8; NONCE]>())
}

/// The digest that a proof is, ready to be finished or compared.
fn digest(
    me: &Identity,
    side: Side,
    dialer: &[u8],
    listener: &[u8],
    hello: &Hello,
) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(me.secret.as_bytes())
        .expect("an HMAC takes a key of any length");
    let label: &[u8] = match side {
        Side::Dialer => b"hibiscusgw dialer",
        Side::Listener => b"hibiscusgw listener",
    };
    let protocol = hello.protocol.to_be_bytes();
    let (node, domain) = (hello.node.as_str().as_bytes(), hello.domain.as_str().as_bytes());
    for part in [label, &protocol, dialer, listener, node, domain, hello.addr.as_bytes()] {
        // The length keeps two different lists of parts from being the same bytes.
        mac.update(&(part.len() as u64).to_be_bytes());
        mac.update(part);
    }
    mac
}

fn prove(me: &Identity, side: Side, dialer: &[u8], listener: &[u8], hello: &Hello) -> Bytes {
    Bytes::copy_from_slice(&digest(me, side, dialer, listener, hello).finalize().into_bytes())
}

/// Checks a proof, in a time that does not depend on where it is wrong.
fn check(me: &Identity, side: Side, dialer: &[u8], listener: &[u8], hello: &Hello) -> Result<()> {
    let digest = digest(me, side, dialer, listener, hello);
    digest.verify_slice(&hello.proof).map_err(|_| HandshakeError::Proof)
}

async fn send(socket: &mut Socket, frame: Frame) -> Result<()> {
    Ok(socket.send(Message::Binary(codec::encode(&frame))).await?)
}

async fn receive(socket: &mut Socket) -> Result<Frame> {
    loop {
        match socket.next().await.ok_or(HandshakeError::Unexpected)?? {
            Message::Binary(bytes) => {
                return codec::decode(&bytes).ok_or(HandshakeError::Unexpected);
            }
            Message::Ping(_) | Message::Pong(_) => {}
            _ => return Err(HandshakeError::Unexpected),
        }
    }
}

async fn receive_hello(socket: &mut Socket) -> Result<Hello> {
    let Frame::Hello(hello) = receive(socket).await? else {
        return Err(HandshakeError::Unexpected);
    };
    if hello.protocol != PROTOCOL {
        return Err(HandshakeError::Protocol(hello.protocol));
    }
    Ok(hello)
}
