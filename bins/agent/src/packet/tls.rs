//! The service's certificate and key.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::SystemTime;

use lovagelatch_settings::AgentSettings;
use quinn::crypto::rustls::{NoInitialCipherSuite, QuicServerConfig};
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer, pem};
use thiserror::Error;

/// The one protocol that flows speak.
const ALPN_HTTP3: &[u8] = b"h3";

/// Why the certificate or the key cannot be used.
#[derive(Debug, Error)]
pub enum TlsError {
    /// A file is not readable PEM of the expected kind.
    #[error("{path}: {source}")]
    Pem {
        /// The file.
        path: PathBuf,
        /// What the PEM reader said.
        source: pem::Error,
    },
    /// The certificate file holds no certificate.
    #[error("{path} holds no certificate")]
    NoCertificate {
        /// The file.
        path: PathBuf,
    },
    /// The certificate and the key do not fit, or are of no usable kind.
    #[error("certificate and key: {0}")]
    Refused(#[from] rustls::Error),
    /// The TLS library offers no cipher suite that QUIC needs.
    #[error("cipher suites: {0}")]
    Suite(#[from] NoInitialCipherSuite),
}

/// Where the certificate and key stand.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct TlsFiles {
    pub(crate) certificate: PathBuf,
    pub(crate) private_key: PathBuf,
}

impl TlsFiles {
    /// The files that the settings name.
    pub(crate) fn of(settings: &AgentSettings) -> Self {
        Self {
            certificate: settings.certificate.clone(),
            private_key: settings.private_key.clone(),
        }
    }

    /// When each file was last changed, to notice a renewal.
    pub(crate) fn modified(&self) -> io::Result<(SystemTime, SystemTime)> {
        let certificate = std::fs::metadata(&self.certificate)?.modified()?;
        let private_key = std::fs::metadata(&self.private_key)?.modified()?;
        Ok((certificate, private_key))
    }
}

/// Reads both files and builds the TLS side of the QUIC server.
///
/// # Errors
///
/// A [`TlsError`] that names the file to mend.
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
    // Data sent with a resumed handshake can be replayed by anybody who recorded it; a replayed
    // filing would run twice, so it is not accepted.
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
