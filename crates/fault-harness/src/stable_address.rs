//! Addresses for processes of a test that are restarted and have to listen on the same address again.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};

/// The first port. Connections of the machine's processes start from 127.0.0.1, so no other port is in use on the
/// addresses of this module.
const FIRST_PORT: u16 = 10_000;

/// The second octet of the first address. The largest process id of Linux has 22 bits, so the last is 127.127.255.255.
const FIRST_SECOND_OCTET: u32 = 64;

/// Returns a loopback address that no other call returns, in this process or in another one that runs on the machine.
///
/// A port of 127.0.0.1 that is free now may be taken by an outgoing connection before a process listens on it, or
/// while it restarts.
pub fn stable_address() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    SocketAddr::from((process_address(std::process::id()), port))
}

/// Returns the loopback address that belongs to a process id.
fn process_address(process: u32) -> Ipv4Addr {
    let [_, high, middle, low] = process.to_be_bytes();
    let second = FIRST_SECOND_OCTET | (u32::from(high) & (FIRST_SECOND_OCTET - 1));
    Ipv4Addr::new(127, second as u8, middle, low)
}
