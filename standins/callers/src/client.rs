//! The QUIC client's configuration: the library's defaults, with limits that notice silence.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use quinn::crypto::rustls::{NoInitialCipherSuite, QuicClientConfig};
use rustls::RootCertStore;
use rustls_pki_types::CertificateDer;
use rustls_pki_types::pem::PemObject;
use thiserror::Error;

/// A flow on which nothing arrives for so long is lost.
const IDLE_TIMEOUT: Duration = Duration::from_secs(6);

/// How often an idle flow proves that it is alive.
const KEEP_ALIVE: Duration = Duration::from_millis(1_500);

/// Why a client could not be configured.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The authority's certificate file could not be read.
    #[error("{path}: {error}")]
    Pem {
        /// Its path.
        path: PathBuf,
        /// What is wrong.
        error: rustls_pki_types::pem::Error,
    },
    /// The certificate was not accepted, or no TLS version fits.
    #[error("TLS: {0}")]
    Tls(#[from] rustls::Error),
    /// No cipher suite for QUIC.
    #[error("TLS: {0}")]
    Cipher(#[from] NoInitialCipherSuite),
    /// The idle timeout is out of bounds.
    #[error("transport: {0}")]
    Transport(#[from] quinn::VarIntBoundsExceeded),
}

/// Makes the configuration of a client that trusts the authority in `ca`.
pub(crate) fn client_config(ca: &Path) -> Result<quinn::ClientConfig, ClientError> {
    let pem = |error| ClientError::Pem {
        path: ca.to_owned(),
        error,
    };
    let mut roots = RootCertStore::empty();
    for certificate in CertificateDer::pem_file_iter(ca).map_err(pem)? {
        roots.add(certificate.map_err(pem)?)?;
    }
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_root_certificates(roots)
        .with_no_client_auth();
    tls.alpn_protocols = vec![b"h3".to_vec()];
    let mut transport = quinn::TransportConfig::default();
    transport.max_idle_timeout(Some(IDLE_TIMEOUT.try_into()?));
    transport.keep_alive_interval(Some(KEEP_ALIVE));
    let mut config = quinn::ClientConfig::new(Arc::new(QuicClientConfig::try_from(tls)?));
    config.transport_config(Arc::new(transport));
    Ok(config)
}
