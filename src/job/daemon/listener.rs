//! Accepts connections for a part, whatever comes.

use {
    log::warn,
    std::{io, net::SocketAddr, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        time::sleep,
    },
};

/// Pause after a connection could not be accepted, as no descriptor may be free.
const PAUSE: Duration = Duration::from_millis(50);

/// A listening socket of the part that its log lines name.
pub struct Listener {
    part: &'static str,
    socket: TcpListener,
}

impl Listener {
    /// Listens at `address` for `part`.
    pub async fn bind(part: &'static str, address: SocketAddr) -> io::Result<Self> {
        Ok(Self { part, socket: TcpListener::bind(address).await? })
    }

    /// Waits for the next connection.
    pub async fn accept(&self) -> TcpStream {
        loop {
            match self.socket.accept().await {
                Ok((stream, _)) => {
                    if let Err(e) = stream.set_nodelay(true) {
                        warn!("{}: set no delay: {e}", self.part);
                    }
                    return stream;
                }
                Err(e) => {
                    warn!("{}: accept: {e}", self.part);
                    sleep(PAUSE).await;
                }
            }
        }
    }
}
