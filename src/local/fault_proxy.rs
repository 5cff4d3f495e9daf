//! The ways between controllers: connections are passed on, and can be cut. What is under way when a
//! way is cut is held back and delivered when it opens again.

use std::net::SocketAddr;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Passes connections on from one address to another while `open` says so.
pub async fn run_fault_proxy(
    at: SocketAddr,
    to: SocketAddr,
    open: watch::Receiver<bool>,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(at).await?;
    loop {
        let (here, _) = listener.accept().await?;
        let mut open = open.clone();
        actix::spawn(async move {
            if open.wait_for(|o| *o).await.is_err() {
                return;
            }
            let Ok(there) = TcpStream::connect(to).await else { return };
            let (from_here, to_here) = here.into_split();
            let (from_there, to_there) = there.into_split();
            let back = open.clone();
            futures_util::future::join(
                copy_while_open(from_here, to_there, open),
                copy_while_open(from_there, to_here, back),
            )
            .await;
        });
    }
}

async fn copy_while_open(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut open: watch::Receiver<bool>,
) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let read = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => break,
            Ok(read) => read,
        };
        if open.wait_for(|o| *o).await.is_err() || to.write_all(&buffer[..read]).await.is_err() {
            break;
        }
    }
    // The other side learns of the end.
    let _ = to.shutdown().await;
}
