//! Command line arguments.

use std::net::SocketAddrV4;
use std::path::PathBuf;

use bpaf::Bpaf;

/// Checks and plans service texts, queries instances, manages the fleet key file.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub(crate) enum OperatorCommand {
    /// Check a service text; lists every fault with its line
    #[bpaf(command)]
    Check {
        /// Print JSON
        json: bool,
        /// The text's file, or - for standard input
        #[bpaf(positional("TEXT"))]
        text: PathBuf,
    },
    /// Show what changes for callers between two texts
    #[bpaf(command)]
    Plan {
        /// Print JSON
        json: bool,
        /// Exit with 0 even when callers lose something
        allow_high: bool,
        /// The file of the text in force
        #[bpaf(positional("OLD"))]
        old: PathBuf,
        /// The file of the new text
        #[bpaf(positional("NEW"))]
        new: PathBuf,
    },
    /// Query instances for the revision in force, lagging peers and what they see
    #[bpaf(command)]
    Status {
        /// Print JSON
        json: bool,
        /// The platform's address; its instance list gives the instances to query
        #[bpaf(argument("IP:PORT"))]
        platform: Option<SocketAddrV4>,
        /// Operations addresses of instances to query
        #[bpaf(positional("IP:PORT"))]
        instances: Vec<SocketAddrV4>,
    },
    /// Explain where an instance places new work, and why
    #[bpaf(command)]
    Explain(#[bpaf(external(explain_command))] ExplainCommand),
    /// Create, rotate or verify the fleet key file
    #[bpaf(command)]
    Keys(#[bpaf(external(key_command))] KeyCommand),
}

/// What to explain.
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum ExplainCommand {
    /// Why a new flow is placed at its agent
    #[bpaf(command)]
    Flow {
        /// Print JSON
        json: bool,
        /// A balancer's or an agent's operations address
        #[bpaf(argument("IP:PORT"))]
        instance: SocketAddrV4,
        /// The service address that the caller sends to
        #[bpaf(argument("IP:PORT"))]
        address: SocketAddrV4,
        /// The flow's first connection ID in hexadecimal; without it, only the candidates
        #[bpaf(argument("HEX"))]
        flow_key: Option<String>,
    },
    /// What a balancer or agent of opaque packets knows of one flow
    #[bpaf(command)]
    Opaque {
        /// Print JSON
        json: bool,
        /// The process's operations address
        #[bpaf(argument("IP:PORT"))]
        instance: SocketAddrV4,
        /// The client's address and port
        #[bpaf(argument("IP:PORT"))]
        client: SocketAddrV4,
        /// The address and port that the client sends to
        #[bpaf(argument("IP:PORT"))]
        address: SocketAddrV4,
    },
    /// What a request would cost at each gate now
    #[bpaf(command)]
    Request {
        /// Print JSON
        json: bool,
        /// The operations address of the agent that holds the flow
        #[bpaf(argument("IP:PORT"))]
        instance: SocketAddrV4,
    },
}

/// What to do with the key file.
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum KeyCommand {
    /// Write a new file with one key; refuses to replace a file
    #[bpaf(command)]
    New {
        /// The key file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Rotation, step 1: add a key that is accepted but not yet used
    #[bpaf(command)]
    Add {
        /// The key file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Rotation, step 2: use the added key, once every process has reloaded the file of step 1
    #[bpaf(command)]
    Switch {
        /// The key file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Rotation, step 3: remove the old key, once flows opened under it have ended
    #[bpaf(command)]
    Drop {
        /// The key file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Check a key file and its permissions
    #[bpaf(command)]
    Verify {
        /// The key file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}
