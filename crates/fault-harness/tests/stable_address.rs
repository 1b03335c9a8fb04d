//! Tests of the addresses for processes that are restarted.

use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener};

use hoptiller_fault_harness::stable_address;
use rustix::net::{AddressFamily, SocketType};

#[test]
fn addresses_are_distinct_and_on_loopback() {
    let addresses: BTreeSet<SocketAddr> = (0..100).map(|_| stable_address()).collect();
    assert_eq!(addresses.len(), 100);
    assert!(addresses.iter().all(|address| address.ip().is_loopback()));
}

/// Guards against a router that does not start because an outgoing connection has got its port meanwhile ("Address
/// already in use").
#[test]
fn an_outgoing_connection_with_the_same_port_does_not_take_the_address() {
    let address = stable_address();
    let server = TcpListener::bind("127.0.0.1:0").expect("bound");
    let client = rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None);
    let client = client.expect("a socket");
    rustix::net::bind(&client, &SocketAddr::from(([127, 0, 0, 1], address.port()))).expect("bound");
    let server_address = server.local_addr().expect("bound");
    rustix::net::connect(&client, &server_address).expect("connected");
    TcpListener::bind(address).expect("the address is free");
}

/// Connections to such an address must not start from it, or they could take a port there.
#[test]
fn outgoing_connections_start_from_another_address() {
    let address = stable_address();
    let server = TcpListener::bind(address).expect("bound");
    let client = std::net::TcpStream::connect(address).expect("connected");
    assert_ne!(client.local_addr().expect("connected").ip(), address.ip());
    drop(server);
}
