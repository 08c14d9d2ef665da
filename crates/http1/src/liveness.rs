//! Notices peers that have become unreachable.

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};

/// Silence after which a peer counts as dead: a sound one may be silent for a second or so, and a probe
/// that was lost is repeated once before.
pub const DEAD_PEER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Idle time before the first probe, and between two.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Closes the connection once sent bytes or probes have been unacknowledged for this time.
///
/// On Linux the user timeout alone decides when probes give up, whatever their number, so that it must be
/// longer than any silence of a sound peer.
pub fn close_if_dead(socket: &SockRef<'_>, dead_peer: Duration) -> io::Result<()> {
    socket.set_tcp_user_timeout(Some(dead_peer))?;
    let probes = dead_peer.as_secs().max(1) as u32;
    let keepalive = TcpKeepalive::new().with_time(PROBE_INTERVAL).with_interval(PROBE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive.with_retries(probes))
}
