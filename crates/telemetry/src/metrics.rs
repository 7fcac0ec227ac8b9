//! Metrics of a process, exposed as Prometheus text on its operations address.

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use thiserror::Error;

/// Bucket bounds of duration histograms in seconds, from a round trip within a zone to the
/// longest deadline of callers.
pub const DURATION_BOUNDS: [f64; 12] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 4.0,
];

/// Why metrics cannot be collected or encoded.
#[derive(Debug, Error)]
pub enum MetricsError {
    /// The exporter could not be built.
    #[error("metrics exporter: {0}")]
    Exporter(#[from] opentelemetry_sdk::error::OTelSdkError),
    /// The metrics could not be encoded.
    #[error("metrics encoding: {0}")]
    Encoding(#[from] prometheus::Error),
}

/// Holds the instruments of a process and exports their values.
#[derive(Clone, Debug)]
pub struct MetricsRegistry {
    provider: SdkMeterProvider,
    registry: Registry,
}

impl MetricsRegistry {
    /// Creates an empty registry.
    ///
    /// # Errors
    ///
    /// [`MetricsError::Exporter`] if the exporter cannot be built.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { provider, registry })
    }

    /// Returns the meter that creates instruments.
    #[must_use]
    pub fn meter(&self) -> Meter {
        self.provider.meter("lovagelatch")
    }

    /// Returns all values as Prometheus text.
    ///
    /// # Errors
    ///
    /// [`MetricsError::Encoding`] if a value cannot be encoded.
    pub fn to_text(&self) -> Result<String, MetricsError> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }
}
