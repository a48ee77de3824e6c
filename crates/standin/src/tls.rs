//! Self-signed certificates for the demo and for tests.

use std::io;
use std::sync::Arc;

use lentilreach::process::endpoint::Identity;
use quinn::crypto::rustls::QuicClientConfig;
use rustls::RootCertStore;
use rustls_pki_types::{PrivateKeyDer, PrivatePkcs8KeyDer};

/// The host name of the certificate.
pub const NAME: &str = "localhost";

/// Creates a self-signed identity for [`NAME`].
///
/// # Errors
/// Returns an error if the key or certificate cannot be generated.
pub fn identity() -> io::Result<Identity> {
    let made = rcgen::generate_simple_self_signed(vec![NAME.to_string()]);
    let made = made.map_err(io::Error::other)?;
    let key = PrivatePkcs8KeyDer::from(made.signing_key.serialize_der());
    Ok(Identity { chain: vec![made.cert.der().clone()], key: PrivateKeyDer::Pkcs8(key) })
}

/// Creates a QUIC client configuration that trusts an identity.
///
/// # Errors
/// Returns an error if the certificate is not usable.
pub fn client(identity: &Identity) -> io::Result<quinn::ClientConfig> {
    let mut roots = RootCertStore::empty();
    for certificate in &identity.chain {
        roots.add(certificate.clone()).map_err(io::Error::other)?;
    }
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(io::Error::other)?
        .with_root_certificates(roots)
        .with_no_client_auth();
    tls.alpn_protocols = vec![b"h3".to_vec()];
    let tls = QuicClientConfig::try_from(tls).map_err(io::Error::other)?;
    Ok(quinn::ClientConfig::new(Arc::new(tls)))
}
