//! Finds the process that holds the other end of a connection on loopback.

use std::fs;
use std::net::SocketAddr;

use rustix::net::netlink::SOCK_DIAG;
use rustix::net::{AddressFamily, RecvFlags, SendFlags, SocketType, recv, send, socket};

/// Whether the process has an open connection from `local` to `remote`.
pub(crate) fn holds_socket(pid: u32, local: SocketAddr, remote: SocketAddr) -> bool {
    // A process that has ended holds nothing.
    let Some(inode) = inode_of(local, remote) else { return false };
    let name = format!("socket:[{inode}]");
    let Ok(entries) = fs::read_dir(format!("/proc/{pid}/fd")) else { return false };
    let mut links = entries.filter_map(|entry| fs::read_link(entry.ok()?.path()).ok());
    links.any(|link| link.as_os_str() == name.as_str())
}

/// Asks the kernel for one connection. The table under `/proc` takes too long to read once thousands of
/// connections have been closed.
fn inode_of(local: SocketAddr, remote: SocketAddr) -> Option<u32> {
    const REQUEST_BYTES: u32 = 72;
    const SOCK_DIAG_BY_FAMILY: u16 = 20;
    const NLM_F_REQUEST: u16 = 1;
    const ALL_STATES: u32 = u32::MAX;
    /// Offset of the inode in the response, after the headers and the addresses.
    const INODE_AT: usize = 84;
    let (SocketAddr::V4(local), SocketAddr::V4(remote)) = (local, remote) else { return None };
    let mut message = Vec::new();
    message.extend_from_slice(&REQUEST_BYTES.to_ne_bytes());
    message.extend_from_slice(&SOCK_DIAG_BY_FAMILY.to_ne_bytes());
    message.extend_from_slice(&NLM_F_REQUEST.to_ne_bytes());
    message.extend_from_slice(&[0; 8]);
    let (family, protocol) = (AddressFamily::INET.as_raw() as u8, 6);
    message.extend_from_slice(&[family, protocol, 0, 0]);
    message.extend_from_slice(&ALL_STATES.to_ne_bytes());
    message.extend_from_slice(&local.port().to_be_bytes());
    message.extend_from_slice(&remote.port().to_be_bytes());
    for addr in [local, remote] {
        message.extend_from_slice(&addr.ip().octets());
        message.extend_from_slice(&[0; 12]);
    }
    // Any interface, any cookie.
    message.extend_from_slice(&[0, 0, 0, 0, 255, 255, 255, 255, 255, 255, 255, 255]);
    let socket = socket(AddressFamily::NETLINK, SocketType::RAW, Some(SOCK_DIAG)).ok()?;
    send(&socket, &message, SendFlags::empty()).ok()?;
    let mut response = [0; 1024];
    let (length, _) = recv(&socket, &mut response[..], RecvFlags::empty()).ok()?;
    let response = &response[..length];
    if response.get(4..6)? != SOCK_DIAG_BY_FAMILY.to_ne_bytes() {
        // There is no such connection.
        return None;
    }
    let inode = response.get(INODE_AT..INODE_AT + 4)?;
    let inode = u32::from_ne_bytes(inode.try_into().ok()?);
    (inode > 0).then_some(inode)
}
