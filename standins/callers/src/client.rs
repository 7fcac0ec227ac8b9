//! Configures the QUIC client: the defaults of quinn, with timeouts that detect silent flows.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use quinn::crypto::rustls::{NoInitialCipherSuite, QuicClientConfig};
use rustls::RootCertStore;
use rustls_pki_types::CertificateDer;
use rustls_pki_types::pem::PemObject;
use thiserror::Error;

/// Idle timeout of a flow, after which it counts as lost.
const IDLE_TIMEOUT: Duration = Duration::from_secs(6);

/// Interval of keep-alive packets on an idle flow.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(1_500);

/// Why the QUIC client could not be configured.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The certificate file of the authority could not be read.
    #[error("{path}: {error}")]
    Pem {
        /// Path of the file.
        path: PathBuf,
        /// The read or parse error.
        error: rustls_pki_types::pem::Error,
    },
    /// The certificate was rejected, or the provider does not support TLS 1.3.
    #[error("TLS: {0}")]
    Tls(#[from] rustls::Error),
    /// The TLS configuration has no cipher suite for QUIC.
    #[error("TLS: {0}")]
    Cipher(#[from] NoInitialCipherSuite),
    /// The idle timeout does not fit into a QUIC integer.
    #[error("transport: {0}")]
    Transport(#[from] quinn::VarIntBoundsExceeded),
}

/// Returns the configuration of a client that trusts the authority in the PEM file `ca`.
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
    transport.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
    let mut config = quinn::ClientConfig::new(Arc::new(QuicClientConfig::try_from(tls)?));
    config.transport_config(Arc::new(transport));
    Ok(config)
}
