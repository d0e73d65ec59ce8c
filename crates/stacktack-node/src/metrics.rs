//! Metrics with `opentelemetry`, rendered in the Prometheus text format.

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use thiserror::Error;

/// Metrics could not be set up or rendered.
#[derive(Debug, Error)]
pub enum MetricsError {
    /// The exporter could not be set up.
    #[error("metrics exporter: {0}")]
    Exporter(#[from] opentelemetry_sdk::error::OTelSdkError),
    /// The registry could not be rendered.
    #[error("metrics rendering: {0}")]
    Rendering(#[from] prometheus::Error),
}

/// Metrics of one process.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Metrics {
    /// Creates the registry and its exporter.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Metrics { registry, provider })
    }

    /// Meter that creates the instruments.
    pub fn meter(&self) -> Meter {
        self.provider.meter("stacktack")
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> Result<String, MetricsError> {
        let mut buffer = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buffer)?;
        Ok(String::from_utf8_lossy(&buffer).into_owned())
    }
}
