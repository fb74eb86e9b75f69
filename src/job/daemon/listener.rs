//! Listening sockets that continue to accept connections after an error.

use {
    crate::intake::set_receive_buffer,
    log::warn,
    std::{io, net::SocketAddr, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        time::sleep,
    },
};

/// Delay after a failed accept, since the process may be out of file descriptors.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Listening socket of a part, which prefixes its log lines.
pub struct Listener {
    part: &'static str,
    socket: TcpListener,
}

impl Listener {
    /// Listens at `address` for `part`.
    pub async fn bind(part: &'static str, address: SocketAddr) -> io::Result<Self> {
        let socket = TcpListener::bind(address).await?;
        if let Err(e) = set_receive_buffer(&socket) {
            warn!("{part}: set receive buffer: {e}");
        }
        Ok(Self { part, socket })
    }

    /// Waits for the next connection.
    pub async fn accept(&self) -> TcpStream {
        loop {
            match self.socket.accept().await {
                Ok((stream, _)) => {
                    if let Err(e) = stream.set_nodelay(true) {
                        warn!("{}: set TCP_NODELAY: {e}", self.part);
                    }
                    return stream;
                }
                Err(e) => {
                    warn!("{}: accept connection: {e}", self.part);
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }
}
