//! Generates the keys and certificates of a run.

use std::collections::HashMap;
use std::path::PathBuf;

use rand::Rng;
use rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, DistinguishedName, DnType, IsCa, KeyPair,
};

use crate::deployment::Deployment;
use crate::directory::RunDirectory;
use crate::error::LocalError;

/// A service's certificate chain and key.
#[derive(Clone, Debug)]
pub(crate) struct ServiceCertificate {
    pub(crate) chain: PathBuf,
    pub(crate) key: PathBuf,
}

/// Paths of the keys and certificates of a run.
#[derive(Clone, Debug)]
pub(crate) struct RunCredentials {
    pub(crate) fleet_keys: PathBuf,
    pub(crate) authority: PathBuf,
    pub(crate) services: HashMap<&'static str, ServiceCertificate>,
}

/// Returns the server name in a service's certificate.
pub(crate) fn server_name(service: &str) -> String {
    format!("{service}.test")
}

/// Distinguished name of the certificate authority. It must differ from those of the services: a
/// client that looks up issuers by name would otherwise take their certificates for self-signed.
const AUTHORITY_NAME: &str = "lovagelatch-local authority";

fn common_name(name: &str) -> DistinguishedName {
    let mut names = DistinguishedName::new();
    names.push(DnType::CommonName, name);
    names
}

impl RunCredentials {
    pub(crate) fn create(
        directory: &RunDirectory,
        deployment: &Deployment,
    ) -> Result<Self, LocalError> {
        let secret: [u8; 32] = rand::rng().random();
        let digits: String = secret.iter().map(|byte| format!("{byte:02x}")).collect();
        let keys = format!("[keys]\ncurrent = 1\n1 = {digits}\n");
        let fleet_keys = directory.write("fleet.keys", &keys)?;
        let mut params = CertificateParams::new(Vec::new())?;
        params.distinguished_name = common_name(AUTHORITY_NAME);
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let authority = CertifiedIssuer::self_signed(params, KeyPair::generate()?)?;
        let mut services = HashMap::new();
        for service in &deployment.services {
            let key = KeyPair::generate()?;
            let name = server_name(service.name);
            let mut params = CertificateParams::new(vec![name.clone()])?;
            params.distinguished_name = common_name(&name);
            let certificate = params.signed_by(&key, &authority)?;
            let chain = directory.write(&format!("{}.pem", service.name), &certificate.pem())?;
            let key = directory.write(&format!("{}.key", service.name), &key.serialize_pem())?;
            services.insert(service.name, ServiceCertificate { chain, key });
        }
        Ok(Self {
            fleet_keys,
            authority: directory.write("authority.pem", &authority.pem())?,
            services,
        })
    }
}
