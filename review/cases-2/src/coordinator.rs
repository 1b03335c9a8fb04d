//! A stand-in for the coordinator whose list does not change: it sends each router an empty frame each second.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// Starts a coordinator that has nothing new to tell.
pub fn start() -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve(stream));
        }
    });
    Ok(addr)
}

fn serve(mut stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut last_event = [0; 8];
    stream.read_exact(&mut last_event)?;
    let length: u32 = 9;
    let frame = [&length.to_be_bytes()[..], &last_event, &[0]].concat();
    loop {
        stream.write_all(&frame)?;
        thread::sleep(Duration::from_secs(1));
    }
}
