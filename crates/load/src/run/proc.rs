//! What a process uses, as the kernel tells it.

use std::io;
use std::time::Duration;

/// Use of processor and memory up to now.
#[derive(Debug, Clone, Copy)]
pub struct Usage {
    /// Processor time of all its threads.
    pub cpu: Duration,
    /// Memory resident, in bytes.
    pub resident: u64,
}

/// Bytes of a page, and ticks a second, on the machines that this is for (Linux on x86-64).
const PAGE: u64 = 4096;
const TICKS: u64 = 100;

/// What process `pid` has used.
pub fn usage(pid: u32) -> io::Result<Usage> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let statm = std::fs::read_to_string(format!("/proc/{pid}/statm"))?;
    let unread = || io::Error::other(format!("/proc/{pid} cannot be read"));
    // The name, second, may hold spaces and ends with the last parenthesis; user and system time
    // are the 14th and 15th field.
    let (_, rest) = stat.rsplit_once(')').ok_or_else(unread)?;
    let ticks: Vec<u64> =
        rest.split_whitespace().skip(11).take(2).filter_map(|n| n.parse().ok()).collect();
    let pages: u64 =
        statm.split_whitespace().nth(1).and_then(|n| n.parse().ok()).ok_or_else(unread)?;
    let cpu = Duration::from_millis(ticks.iter().sum::<u64>() * 1000 / TICKS);
    Ok(Usage { cpu, resident: pages * PAGE })
}
