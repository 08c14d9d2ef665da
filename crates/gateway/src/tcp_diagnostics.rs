//! What the kernel tells of TCP connections.

use std::cell::RefCell;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use hgw_direct::PeerContact;
use netlink_packet_core::{NLM_F_REQUEST, NetlinkHeader, NetlinkMessage, NetlinkPayload};
use netlink_packet_sock_diag::SockDiagMessage;
use netlink_packet_sock_diag::constants::{AF_INET, AF_INET6, IPPROTO_TCP};
use netlink_packet_sock_diag::inet::nlas::{Nla, TcpInfo};
use netlink_packet_sock_diag::inet::{ExtensionFlags, InetRequest, SocketId, StateFlags};
use netlink_sys::protocols::NETLINK_SOCK_DIAG;
use netlink_sys::{Socket, SocketAddr as KernelAddr};
use tokio::net::TcpStream;

/// Size of the buffer for a response, in bytes; the kernel sends a few hundred.
const RESPONSE_BUFFER: usize = 4 << 10;

/// The two ends of a connection of this process.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ConnectionAddrs {
    local: SocketAddr,
    pub(crate) peer: SocketAddr,
}

impl ConnectionAddrs {
    pub(crate) fn of(stream: &TcpStream) -> io::Result<ConnectionAddrs> {
        Ok(ConnectionAddrs { local: stream.local_addr()?, peer: stream.peer_addr()? })
    }
}

/// Asks the kernel about connections.
#[derive(Debug)]
pub(crate) struct TcpDiagnostics {
    /// None where the platform has no such interface.
    socket: Option<Socket>,
    /// Buffer that is reused for each response.
    response: RefCell<Vec<u8>>,
}

impl TcpDiagnostics {
    pub(crate) fn open() -> TcpDiagnostics {
        let response = RefCell::new(Vec::with_capacity(RESPONSE_BUFFER));
        TcpDiagnostics { socket: open_socket().ok(), response }
    }

    /// Whether the peer acknowledges what is sent to it; none if the kernel does not tell.
    pub(crate) fn contact(&self, addrs: ConnectionAddrs) -> Option<PeerContact> {
        let info = self.tcp_info(addrs)?;
        Some(PeerContact {
            unanswered: u32::from(info.retransmits) + u32::from(info.probes),
            since_ack: Duration::from_millis(info.last_ack_recv.into()),
        })
    }

    fn tcp_info(&self, addrs: ConnectionAddrs) -> Option<TcpInfo> {
        let socket = self.socket.as_ref()?;
        socket.send(&request(addrs), 0).ok()?;
        let mut response = self.response.borrow_mut();
        response.clear();
        // The kernel has responded by the time that `send` returns.
        socket.recv(&mut *response, 0).ok()?;
        let message = NetlinkMessage::<SockDiagMessage>::deserialize(&response).ok()?;
        let NetlinkPayload::InnerMessage(SockDiagMessage::InetResponse(found)) = message.payload
        else {
            return None;
        };
        let is_meant = found.header.socket_id.source_port == addrs.local.port()
            && found.header.socket_id.destination_port == addrs.peer.port();
        let info = found.nlas.into_iter().find_map(|attribute| match attribute {
            Nla::TcpInfo(info) => Some(info),
            _ => None,
        });
        info.filter(|_| is_meant)
    }
}

fn open_socket() -> io::Result<Socket> {
    let mut socket = Socket::new(NETLINK_SOCK_DIAG)?;
    socket.bind_auto()?;
    socket.connect(&KernelAddr::new(0, 0))?;
    socket.set_non_blocking(true)?;
    Ok(socket)
}

fn request(addrs: ConnectionAddrs) -> Vec<u8> {
    let family = match addrs.local.ip() {
        IpAddr::V4(_) => AF_INET,
        IpAddr::V6(_) => AF_INET6,
    };
    let socket_id = SocketId {
        source_port: addrs.local.port(),
        destination_port: addrs.peer.port(),
        source_address: addrs.local.ip(),
        destination_address: addrs.peer.ip(),
        interface_id: 0,
        // Any socket with these addresses.
        cookie: [0xff; 8],
    };
    let request = InetRequest {
        family,
        protocol: IPPROTO_TCP,
        extensions: ExtensionFlags::INFO,
        states: StateFlags::all(),
        socket_id,
    };
    let mut header = NetlinkHeader::default();
    header.flags = NLM_F_REQUEST;
    let mut message = NetlinkMessage::new(header, SockDiagMessage::InetRequest(request).into());
    message.finalize();
    let mut buf = vec![0; message.buffer_len()];
    message.serialize(&mut buf);
    buf
}
