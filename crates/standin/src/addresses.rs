//! Loopback addresses reserved for one harness.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// Host part of the listener that reserves a prefix.
const LOCK_HOST: u8 = 1;
/// Port of the listener that reserves a prefix.
const LOCK_PORT: u16 = 6_999;
/// First host part that can be allocated.
const FIRST_HOST: u8 = 2;
/// Last host part that can be allocated.
const LAST_HOST: u8 = 254;
/// Number of available prefixes: second octet 1 to 254, third octet 0 to 255.
const PREFIXES: u32 = 254 * 256;
/// Distance between the first candidates of consecutive process ids. It is coprime to [`PREFIXES`],
/// so different ids start at different prefixes.
const STRIDE: u32 = 40_503;

static COUNTER: AtomicU32 = AtomicU32::new(0);

/// A prefix 127.a.b.0/24, reserved by a listening socket until dropped.
pub struct Addresses {
    prefix: (u8, u8),
    next: u8,
    _lock: TcpListener,
}

impl Addresses {
    /// Reserves a prefix that no other harness on this machine uses.
    ///
    /// # Errors
    /// Returns an error if no prefix is free.
    pub fn reserve() -> io::Result<Self> {
        let number = COUNTER.fetch_add(1, Ordering::Relaxed);
        let first = std::process::id().wrapping_mul(STRIDE).wrapping_add(number) % PREFIXES;
        for step in 0..PREFIXES {
            let prefix = prefix((first + step) % PREFIXES);
            let Ok(lock) = TcpListener::bind(address(prefix, LOCK_HOST, LOCK_PORT)) else {
                continue;
            };
            return Ok(Self {
                prefix,
                next: FIRST_HOST,
                _lock: lock,
            });
        }
        Err(io::ErrorKind::AddrInUse.into())
    }

    /// Returns an address of the prefix that has not been allocated before.
    ///
    /// # Errors
    /// Returns an error if all addresses are allocated.
    pub fn allocate(&mut self) -> io::Result<IpAddr> {
        if self.next > LAST_HOST {
            return Err(io::ErrorKind::AddrNotAvailable.into());
        }
        let host = self.next;
        self.next += 1;
        Ok(address(self.prefix, host, 0).ip())
    }
}

fn prefix(number: u32) -> (u8, u8) {
    let [.., third] = number.to_be_bytes();
    let second = u8::try_from(number / 256 + 1).unwrap_or(1);
    (second, third)
}

fn address(prefix: (u8, u8), host: u8, port: u16) -> SocketAddr {
    let ip = Ipv4Addr::new(127, prefix.0, prefix.1, host);
    SocketAddr::new(ip.into(), port)
}
