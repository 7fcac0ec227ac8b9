//! The certificates that the launcher creates for a deployment.

use std::path::Path;

use x509_parser::pem::parse_x509_pem;

use crate::launcher::LauncherRun;

/// Guards against an authority and services with the same subject name. A client whose library
/// looks up the issuer by name would refuse every flow because the certificate appears self-signed.
#[test]
fn the_authority_has_a_distinct_subject_name() {
    let mut run = LauncherRun::start(&["desai", "--hold"]);
    let line = run.wait_until_up();
    for service in line["services"].as_array().expect("a list of services") {
        let file = Path::new(service["ca"].as_str().expect("a path"));
        let name = service["name"].as_str().expect("a name");
        let (authority, _) = names(file);
        let (subject, issuer) = names(&file.with_file_name(format!("{name}.pem")));
        assert_eq!(issuer, authority, "{name}: the issuer is not the authority");
        assert_ne!(subject, issuer, "{name}: appears self-signed");
    }
    let end = run.stop(libc::SIGTERM);
    assert_eq!(end.status.code(), Some(0), "{end:#?}");
}

/// Returns the subject and the issuer of the first certificate in a file.
fn names(path: &Path) -> (String, String) {
    let text = std::fs::read(path).expect("a certificate");
    let (_, pem) = parse_x509_pem(&text).expect("PEM");
    let certificate = pem.parse_x509().expect("a certificate");
    (
        certificate.subject().to_string(),
        certificate.issuer().to_string(),
    )
}
