//! A link forwards bytes, and stalls, resets and rejects connections according to its faults.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use hoptiller_fault_harness::{DirectionFaults, Link, LinkFaults};

/// Starts a server that sends back all bytes that it receives, and returns its address.
fn start_echo_server() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("bound");
    let addr = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut output = stream.try_clone().expect("cloned");
                let mut bytes = [0; 64];
                let mut stream = stream;
                while let Ok(count @ 1..) = stream.read(&mut bytes) {
                    if output.write_all(&bytes[..count]).is_err() {
                        return;
                    }
                }
            });
        }
    });
    addr
}

fn connect(link: &Link) -> TcpStream {
    let stream = TcpStream::connect(link.addr()).expect("connected");
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .expect("set");
    stream
}

#[test]
fn a_link_forwards_stalls_resumes_and_resets_according_to_its_faults() {
    let link = Link::new("link").expect("made");
    link.set_target(start_echo_server());
    let mut stream = connect(&link);
    let mut bytes = [0; 4];
    stream.write_all(b"one!").expect("sent");
    stream
        .read_exact(&mut bytes)
        .expect("response of the echo server");
    // Only one direction is blocked: the response is lost, but not the request.
    link.set_faults(LinkFaults {
        inbound: DirectionFaults {
            blocked: true,
            ..DirectionFaults::default()
        },
        ..LinkFaults::default()
    });
    stream.write_all(b"two!").expect("sent");
    stream
        .set_read_timeout(Some(Duration::from_millis(300)))
        .expect("set");
    assert!(
        stream.read_exact(&mut bytes).is_err(),
        "no bytes pass a blocked direction"
    );
    link.set_faults(LinkFaults::default());
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .expect("set");
    stream
        .read_exact(&mut bytes)
        .expect("blocked bytes after the link is restored");
    assert_eq!(&bytes, b"two!");
    link.reset_connections();
    assert_eq!(stream.read(&mut bytes).unwrap_or(0), 0, "closed");
    // The link forwards the permitted number of bytes and then stalls.
    link.set_faults(LinkFaults {
        outbound: DirectionFaults {
            max_bytes: Some(2),
            ..DirectionFaults::default()
        },
        ..LinkFaults::default()
    });
    let mut stream = connect(&link);
    stream.write_all(b"four").expect("sent");
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .expect("set");
    stream
        .read_exact(&mut bytes[..2])
        .expect("the permitted bytes");
    stream
        .set_read_timeout(Some(Duration::from_millis(300)))
        .expect("set");
    assert!(
        stream.read_exact(&mut bytes[..1]).is_err(),
        "no bytes over the limit pass"
    );
    link.set_faults(LinkFaults {
        rejects_connections: true,
        ..LinkFaults::default()
    });
    let mut stream = connect(&link);
    let _ = stream.write_all(b"five");
    assert_eq!(stream.read(&mut bytes).unwrap_or(0), 0);
}
