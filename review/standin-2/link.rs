//! A TCP proxy for one link of the network. While the link is cut, packets are held back; they are delivered in order
//! when the cut ends. No error is reported to either side.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl Link {
    pub fn to(target: SocketAddr) -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let cut = Arc::new(AtomicBool::new(false));
        let is_cut = cut.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let cut = is_cut.clone();
                thread::spawn(move || {
                    wait_while(&cut);
                    // A refused connection is refused to the client as well: its socket is dropped.
                    let Ok(server) = TcpStream::connect(target) else { return };
                    let _ = (client.set_nodelay(true), server.set_nodelay(true));
                    let (Ok(c), Ok(s)) = (client.try_clone(), server.try_clone()) else { return };
                    let other = cut.clone();
                    thread::spawn(move || pump(c, s, &other));
                    pump(server, client, &cut);
                });
            }
        });
        Link { address, cut }
    }

    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }
}

fn wait_while(cut: &AtomicBool) {
    while cut.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(5));
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut buffer = [0; 16 * 1024];
    loop {
        let read = from.read(&mut buffer);
        wait_while(cut);
        match read {
            Ok(n) if n > 0 => {
                if to.write_all(&buffer[..n]).is_err() {
                    break;
                }
            }
            _ => break,
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
    let _ = from.shutdown(std::net::Shutdown::Both);
}
