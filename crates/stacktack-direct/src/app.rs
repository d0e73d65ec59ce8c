//! Process of a direct router: start, signals and stop.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::StatusCode;
use stacktack_core::chart::ChartError;
use stacktack_node::metrics::{Metrics, MetricsError};
use stacktack_node::signals::StopSignals;
use thiserror::Error;
use tokio::net::UdpSocket;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::time::sleep;

use crate::clock::SystemClock;
use crate::followers::{
    discover_routers, fetch_from_peers, follow_configuration, follow_directory,
    read_missed_zone_drains, sync_verdicts, write_rollout_statuses,
};
use crate::gossip;
use crate::metrics::DirectMetrics;
use crate::peer_updates::{serve_peer, HttpPeers};
use crate::ports::{ConfigurationSource, Directory, Protocol, RolloutStore, VerdictStore};
use crate::router::Router;
use crate::server::{accept_callers, listen, serve_by_address_and_path, serve_by_path};
use crate::settings::{DirectSettings, SettingsSource};
use crate::stopping::stop;
use crate::store_monitor::StoreMonitor;
use crate::stream_versions::send_stream_versions;

/// Time between two clean-ups of expired state, such as idle connections and prefix locations.
const CLEAN_UP_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two checks whether the settings have changed.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Why a direct router could not start.
#[derive(Debug, Error)]
pub enum DirectError {
    /// A socket or signal handler failed.
    #[error("input or output failed: {0}")]
    Io(#[from] std::io::Error),
    /// A built-in state chart is invalid.
    #[error(transparent)]
    Chart(#[from] ChartError),
    /// Metrics could not be initialized.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
}

/// Interfaces that the platform adapter supplies.
pub struct Ports {
    /// Protocols to callers and back ends.
    pub protocol: Rc<dyn Protocol>,
    /// Source of the configuration.
    pub configuration: Rc<dyn ConfigurationSource>,
    /// Directory of back ends.
    pub directory: Rc<dyn Directory>,
    /// Store of verdicts on requests.
    pub verdicts: Rc<dyn VerdictStore>,
    /// Store of the outcomes of roll-outs.
    pub rollouts: Rc<dyn RolloutStore>,
    /// Source of reloaded settings.
    pub settings: Rc<dyn SettingsSource>,
}

/// Runs a direct router until a stop signal.
pub async fn run(settings: DirectSettings, ports: Ports) -> Result<(), DirectError> {
    // Before any address accepts connections: callers that connect rely on a graceful stop.
    let mut stop_signals = StopSignals::catch()?;
    let hang_up = signal(SignalKind::hangup())?;
    let metrics = Metrics::new()?;
    let instruments = DirectMetrics::new(&metrics.meter());
    let callers_listener = listen(settings.callers)?;
    let readiness_listener = listen(settings.readiness)?;
    let metrics_listener = listen(settings.metrics)?;
    log::info!(target: "router", "started name={} zone={} callers={}", settings.name, settings.zone, settings.callers);
    let peers_listener = listen(settings.peers.listen)?;
    let socket = Rc::new(UdpSocket::bind(settings.peers.listen).await?);
    let router = Rc::new(Router::new(
        settings,
        ports.protocol,
        instruments,
        Rc::new(SystemClock),
        StoreMonitor::new()?,
    ));
    router.enable_rollouts()?;
    actix_rt::spawn(follow_configuration(
        router.clone(),
        ports.configuration.clone(),
    ));
    actix_rt::spawn(read_missed_zone_drains(router.clone(), ports.configuration));
    actix_rt::spawn(follow_directory(router.clone(), ports.directory));
    actix_rt::spawn(sync_verdicts(router.clone(), ports.verdicts));
    actix_rt::spawn(write_rollout_statuses(router.clone(), ports.rollouts));
    actix_rt::spawn(gossip::receive(router.clone(), socket.clone()));
    actix_rt::spawn(fetch_from_peers(router.clone(), Rc::new(HttpPeers)));
    actix_rt::spawn(discover_routers(router.clone(), Rc::new(HttpPeers)));
    actix_rt::spawn(gossip::push_updates(router.clone(), socket.clone()));
    actix_rt::spawn(send_stream_versions(router.clone(), socket.clone()));
    actix_rt::spawn(gossip::run_rounds(router.clone(), socket));
    actix_rt::spawn({
        let router = router.clone();
        serve_by_address_and_path(peers_listener, move |peer, path| {
            serve_peer(&router, peer, path)
        })
    });
    actix_rt::spawn(accept_callers(router.clone(), callers_listener));
    actix_rt::spawn(serve_readiness(router.clone(), readiness_listener));
    actix_rt::spawn(serve_by_path(metrics_listener, move |_| {
        match metrics.render() {
            Ok(text) => (StatusCode::OK, Bytes::from(text)),
            Err(_) => (StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()),
        }
    }));
    actix_rt::spawn(clean_up(router.clone()));
    actix_rt::spawn(follow_settings(router.clone(), ports.settings, hang_up));
    stop_signals.wait().await;
    stop(&router).await;
    Ok(())
}

async fn serve_readiness(router: Rc<Router>, listener: tokio::net::TcpListener) {
    serve_by_path(listener, move |_| {
        let status = if router.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        (status, Bytes::new())
    })
    .await;
}

/// Reloads the settings on a hang-up signal, or when they may have changed.
async fn follow_settings(router: Rc<Router>, source: Rc<dyn SettingsSource>, mut hang_up: Signal) {
    loop {
        let by_signal = tokio::select! {
            _ = hang_up.recv() => true,
            () = sleep(SETTINGS_CHECK_INTERVAL) => false,
        };
        if !by_signal && !source.may_have_changed() {
            continue;
        }
        match source.read() {
            Ok(settings) => {
                router.reload(&settings);
                log::info!(target: "settings", "reloaded=true by_signal={by_signal}");
            }
            Err(error) => {
                log::warn!(target: "settings", "reloaded=false by_signal={by_signal} cause=\"{error}\"");
            }
        }
    }
}

async fn clean_up(router: Rc<Router>) {
    loop {
        sleep(CLEAN_UP_INTERVAL).await;
        router
            .connections
            .borrow_mut()
            .expire(std::time::Instant::now());
        let now = router.now();
        router.prefix_locations.borrow_mut().expire(now);
        router.known_parts.borrow_mut().expire(now);
        router.interrupted_runs.borrow_mut().expire(now);
        router.quarantine.borrow_mut().expire(now);
        router.remove_idle_run_times(now);
        router.expire_stream_records();
        router.log_loads();
        router.log_stale_directory();
        router.check_memory();
    }
}
