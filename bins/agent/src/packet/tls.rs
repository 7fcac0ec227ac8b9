//! Loads the service's certificate and private key.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::SystemTime;

use lovagelatch_settings::AgentSettings;
use quinn::crypto::rustls::{NoInitialCipherSuite, QuicServerConfig};
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer, pem};
use thiserror::Error;

/// The only application protocol of flows.
const ALPN_HTTP3: &[u8] = b"h3";

/// Why the certificate or the private key cannot be used.
#[derive(Debug, Error)]
pub enum TlsError {
    /// A file cannot be read or is not PEM of the expected kind.
    #[error("{path}: {source}")]
    Pem {
        /// The file in question.
        path: PathBuf,
        /// The error of the PEM parser.
        source: pem::Error,
    },
    /// The certificate file contains no certificate.
    #[error("{path} contains no certificate")]
    NoCertificate {
        /// The certificate file.
        path: PathBuf,
    },
    /// The certificate and the key do not match, or are of an unsupported kind.
    #[error("certificate or private key rejected: {0}")]
    Rejected(#[from] rustls::Error),
    /// The TLS library provides no cipher suite that QUIC can start with.
    #[error("no cipher suite for QUIC: {0}")]
    NoCipherSuite(#[from] NoInitialCipherSuite),
}

/// The paths of the certificate and the private key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct TlsFiles {
    pub(crate) certificate: PathBuf,
    pub(crate) private_key: PathBuf,
}

impl TlsFiles {
    /// Returns the paths from the settings.
    pub(crate) fn from_settings(settings: &AgentSettings) -> Self {
        Self {
            certificate: settings.certificate.clone(),
            private_key: settings.private_key.clone(),
        }
    }

    /// Returns the modification times, by which a renewal is detected.
    pub(crate) fn modified(&self) -> io::Result<(SystemTime, SystemTime)> {
        let certificate = std::fs::metadata(&self.certificate)?.modified()?;
        let private_key = std::fs::metadata(&self.private_key)?.modified()?;
        Ok((certificate, private_key))
    }
}

/// Reads both files and builds the TLS configuration of the QUIC server.
///
/// # Errors
///
/// A [`TlsError`]; it names the file if one is unreadable or lacks a certificate.
pub(crate) fn load_server_crypto(files: &TlsFiles) -> Result<Arc<QuicServerConfig>, TlsError> {
    let chain = read_chain(&files.certificate)?;
    let key = PrivateKeyDer::from_pem_file(&files.private_key).map_err(|source| TlsError::Pem {
        path: files.private_key.clone(),
        source,
    })?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut config = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_no_client_auth()
        .with_single_cert(chain, key)?;
    config.alpn_protocols = vec![ALPN_HTTP3.to_vec()];
    // Anyone who recorded 0-RTT data can replay it, and a replayed filing would run twice, so
    // early data is not accepted.
    config.max_early_data_size = 0;
    Ok(Arc::new(QuicServerConfig::try_from(config)?))
}

fn read_chain(path: &Path) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let unreadable = |source| TlsError::Pem {
        path: path.to_owned(),
        source,
    };
    let certificates = CertificateDer::pem_file_iter(path).map_err(unreadable)?;
    let chain: Vec<_> = certificates.collect::<Result<_, _>>().map_err(unreadable)?;
    if chain.is_empty() {
        return Err(TlsError::NoCertificate {
            path: path.to_owned(),
        });
    }
    Ok(chain)
}
