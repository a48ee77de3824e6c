//! Setup that both daemons share: fleet secret, certificates, metrics and the admin
//! endpoint.

use std::fmt::{self, Display, Formatter};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::Path;

use metrics_exporter_prometheus::PrometheusHandle;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};
use smol::Task;

use crate::process::admin::{Admin, Server, Source};
use crate::process::clock::wall_ms;
use crate::process::endpoint::Identity;
use crate::process::event::{Kind, Recorder, Stop};
use crate::process::key::Secret;
use crate::process::link::Udp;
use crate::process::pool::Pool;
use crate::process::{metric, settings};

/// Minimum length of the fleet secret.
const MIN_SECRET_BYTES: usize = 16;

/// Why a daemon cannot run.
#[derive(Debug)]
pub struct Error {
    /// The step that failed.
    pub step: &'static str,
    /// The file or address concerned.
    pub peer: String,
    /// The system's error message, or a description of the mistake.
    pub cause: String,
}

impl Error {
    /// Creates the error of a failed step.
    pub fn new(step: &'static str, peer: impl Display, cause: impl Display) -> Self {
        Self { step, peer: peer.to_string(), cause: cause.to_string() }
    }
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "step={} peer={}: {}", self.step, self.peer, self.cause)
    }
}

impl std::error::Error for Error {}

/// Parts of a process that do not depend on its role.
#[derive(Debug)]
pub struct Daemon {
    /// Runs tasks.
    pub pool: Pool,
    /// Records events.
    pub recorder: Recorder,
    /// The fleet secret.
    pub secret: Secret,
    /// Renders the metrics.
    metrics: PrometheusHandle,
}

impl Daemon {
    /// Loads the fleet secret, installs the metrics, starts the threads and creates the
    /// recorder.
    ///
    /// # Errors
    /// If the secret cannot be read or is too short, metrics are already installed, or
    /// threads cannot be created.
    pub fn new(settings: &settings::Node) -> Result<Self, Error> {
        let secret = load_secret(&settings.secret)?;
        let metrics =
            metric::install().map_err(|e| Error::new("metrics", "process", e))?;
        let pool = Pool::new(settings.threads);
        let pool = pool.map_err(|e| Error::new("threads", "system", e))?;
        let recorder = Recorder::new(settings.name.clone(), settings.domain.clone());
        Ok(Self { pool, recorder, secret, metrics })
    }

    /// Serves the admin endpoint until `stop` completes.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn serve_admin<S: Source>(
        &self,
        address: SocketAddr,
        source: S,
        stop: impl Future<Output = ()> + Send + 'static,
    ) -> Result<Task<usize>, Error> {
        let server = Server::bind(address).await;
        let server = server.map_err(|e| Error::new("listen", address, e))?;
        let admin = Admin::new(source, self.recorder.clone(), self.metrics.clone());
        Ok(self.pool.spawn(server.serve(admin, stop)))
    }

    /// Records that a signal asked the process to stop.
    pub fn record_stopping(&self) {
        self.recorder.record(wall_ms(), Kind::ProcessStopping { cause: Stop::Signal });
    }

    /// Records that the process has stopped.
    pub fn record_stopped(&self) {
        self.recorder.record(wall_ms(), Kind::ProcessStopped);
    }
}

/// Binds a UDP socket.
///
/// # Errors
/// If the address is in use or not on this machine.
pub fn bind_udp(address: SocketAddr) -> Result<Udp, Error> {
    Udp::bind(address).map_err(|error| Error::new("listen", address, error))
}

/// Loads the certificate chain and the private key for callers' connections.
///
/// # Errors
/// If a file cannot be read or holds no certificate or key.
pub fn load_identity(settings: &settings::Agent) -> Result<Identity, Error> {
    let (certificate, key) = (&settings.certificate, &settings.key);
    let invalid = |path: &Path, error| Error::new("certificate", path.display(), error);
    let chain = CertificateDer::pem_file_iter(certificate)
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .map_err(|error| invalid(certificate, error))?;
    if chain.is_empty() {
        let cause = "no certificate in PEM format";
        return Err(Error::new("certificate", certificate.display(), cause));
    }
    let key = PrivateKeyDer::from_pem_file(key).map_err(|error| invalid(key, error))?;
    Ok(Identity { chain, key })
}

/// Loads the fleet secret. Whitespace around it is ignored.
fn load_secret(path: &Path) -> Result<Secret, Error> {
    let secret_error = |cause: &dyn Display| Error::new("secret", path.display(), cause);
    let bytes = std::fs::read(path).map_err(|error: io::Error| secret_error(&error))?;
    let bytes = bytes.trim_ascii();
    if bytes.len() < MIN_SECRET_BYTES {
        let cause = format!("the fleet secret is shorter than {MIN_SECRET_BYTES} bytes");
        return Err(secret_error(&cause));
    }
    Ok(Secret::fleet(bytes))
}
