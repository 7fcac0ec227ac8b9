//! `lovagelatch-platform`: runs the platform stand-in.

use std::net::SocketAddrV4;
use std::sync::Arc;

use bpaf::Bpaf;
use lovagelatch_platform::{PlatformOptions, PlatformState, new_server};

/// A stand-in for the platform's configuration service and instance list, for tests
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct CommandLine {
    /// Where to listen; port 0 lets the operating system choose
    #[bpaf(argument("IP:PORT"))]
    listen: SocketAddrV4,
}

#[rocket::main]
async fn main() -> Result<(), Box<rocket::Error>> {
    let listen = command_line().run().listen;
    let server = new_server(
        &PlatformOptions { listen },
        Arc::new(PlatformState::default()),
    );
    server.launch().await.map_err(Box::new)?;
    Ok(())
}
