//! TCP proxies between controllers, which emulate network partitions. Data in transit when a link is cut is held back and
//! delivered when the link is restored.

use std::net::SocketAddr;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Accepts connections at `listen` and forwards their data to `target` while `is_open` is true. Runs until the process
/// ends. Fails if the address cannot be bound.
pub async fn run_fault_proxy(
    listen: SocketAddr,
    target: SocketAddr,
    is_open: watch::Receiver<bool>,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    loop {
        let (client, _) = listener.accept().await?;
        let mut is_open = is_open.clone();
        actix::spawn(async move {
            if is_open.wait_for(|open| *open).await.is_err() {
                return;
            }
            let Ok(server) = TcpStream::connect(target).await else { return };
            let (from_client, to_client) = client.into_split();
            let (from_server, to_server) = server.into_split();
            let is_open_for_responses = is_open.clone();
            futures_util::future::join(
                copy_while_open(from_client, to_server, is_open),
                copy_while_open(from_server, to_client, is_open_for_responses),
            )
            .await;
        });
    }
}

async fn copy_while_open(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut is_open: watch::Receiver<bool>,
) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let read = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => break,
            Ok(read) => read,
        };
        if is_open.wait_for(|open| *open).await.is_err()
            || to.write_all(&buffer[..read]).await.is_err()
        {
            break;
        }
    }
    // Passes the end of the stream on to the receiver.
    let _ = to.shutdown().await;
}
