//! A direct router's process: start, signals, stop.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::StatusCode;
use stacktack_core::chart::ChartError;
use stacktack_node::metrics::{Metrics, MetricsError};
use stacktack_node::signals::wait_for_stop;
use thiserror::Error;
use tokio::net::UdpSocket;
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::sleep;

use crate::clock::SystemClock;
use crate::followers::{
    follow_configuration, follow_directory, follow_peers, follow_routers, follow_verdicts,
    follow_zone_drains, Dependency,
};
use crate::knowledge::{hand_over, HttpPeers};
use crate::metrics::DirectMetrics;
use crate::news;
use crate::ports::{ConfigurationSource, Directory, Protocol, VerdictStore};
use crate::router::{Phase, Router};
use crate::server::{accept_callers, listen, serve_peers, serve_small};
use crate::settings::{DirectSettings, SettingsSource};

/// Time after a stop signal in which new connections are still served: whoever
/// sends callers here has to notice first.
const LOOK_AWAY: Duration = Duration::from_millis(2600);

/// Time after a stop signal for which callers are served while no other router
/// is known to take them. Answers begun then still have half of a usual grace.
const LAST_SERVING: Duration = Duration::from_millis(3800);

/// Time that the last bytes of an answer are given to leave.
const FLUSH: Duration = Duration::from_millis(200);

/// Time between looks at open connections while stopping.
const STOP_POLL: Duration = Duration::from_millis(50);

/// Time between clean-ups of resting connections and old places.
const CLEAN_UP: Duration = Duration::from_secs(1);

/// Time between looks at whether the settings changed.
const SETTINGS_LOOK: Duration = Duration::from_secs(2);

/// Time before the end of the grace at which the process ends by itself.
const GRACE_MARGIN: Duration = Duration::from_millis(100);

/// Why a direct router ended early.
#[derive(Debug, Error)]
pub enum DirectError {
    /// Sockets or signals failed.
    #[error("input or output failed: {0}")]
    Io(#[from] std::io::Error),
    /// A state chart of the product is not complete.
    #[error(transparent)]
    Chart(#[from] ChartError),
    /// Metrics could not be set up.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
}

/// What an adapter supplies.
pub struct Ports {
    /// Protocols towards callers and back ends.
    pub protocol: Rc<dyn Protocol>,
    /// Source of the configuration.
    pub configuration: Rc<dyn ConfigurationSource>,
    /// Directory of back ends.
    pub directory: Rc<dyn Directory>,
    /// Where verdicts on requests last.
    pub verdicts: Rc<dyn VerdictStore>,
    /// Settings that may change.
    pub settings: Rc<dyn SettingsSource>,
}

/// Runs a direct router until it is told to stop.
pub async fn run(settings: DirectSettings, ports: Ports) -> Result<(), DirectError> {
    let metrics = Metrics::new()?;
    let instruments = DirectMetrics::new(&metrics.meter());
    let callers = listen(settings.callers)?;
    let readiness = listen(settings.readiness)?;
    let figures = listen(settings.metrics)?;
    log::info!(target: "router", "started name={} zone={} callers={}", settings.name, settings.zone, settings.callers);
    let knowledge = listen(settings.peers.listen)?;
    let socket = Rc::new(UdpSocket::bind(settings.peers.listen).await?);
    let router = Rc::new(Router::new(
        settings,
        ports.protocol,
        instruments,
        Rc::new(SystemClock),
    ));
    let store = Rc::new(Dependency::new("store")?);
    actix_rt::spawn(follow_configuration(
        router.clone(),
        ports.configuration.clone(),
        store.clone(),
    ));
    actix_rt::spawn(follow_zone_drains(
        router.clone(),
        ports.configuration,
        store.clone(),
    ));
    actix_rt::spawn(follow_directory(
        router.clone(),
        ports.directory,
        store.clone(),
    ));
    actix_rt::spawn(follow_verdicts(
        router.clone(),
        ports.verdicts,
        store.clone(),
    ));
    actix_rt::spawn(news::receive(router.clone(), socket.clone()));
    actix_rt::spawn(follow_peers(router.clone(), Rc::new(HttpPeers)));
    actix_rt::spawn(follow_routers(router.clone(), Rc::new(HttpPeers)));
    actix_rt::spawn(news::push(router.clone(), socket.clone(), store.clone()));
    actix_rt::spawn(news::exchange(router.clone(), socket, store));
    actix_rt::spawn({
        let router = router.clone();
        serve_peers(knowledge, move |peer, path| hand_over(&router, peer, path))
    });
    actix_rt::spawn(accept_callers(router.clone(), callers));
    actix_rt::spawn(serve_readiness(router.clone(), readiness));
    actix_rt::spawn(serve_small(figures, move |_| match metrics.render() {
        Ok(text) => (StatusCode::OK, Bytes::from(text)),
        Err(_) => (StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()),
    }));
    actix_rt::spawn(clean_up(router.clone()));
    actix_rt::spawn(follow_settings(router.clone(), ports.settings));
    wait_for_stop().await?;
    stop(&router).await;
    Ok(())
}

async fn serve_readiness(router: Rc<Router>, listener: tokio::net::TcpListener) {
    serve_small(listener, move |_| {
        let status = if router.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        (status, Bytes::new())
    })
    .await;
}

/// Reads the settings again at a signal, or when they may have changed.
async fn follow_settings(router: Rc<Router>, source: Rc<dyn SettingsSource>) {
    let mut hang_up = match signal(SignalKind::hangup()) {
        Ok(hang_up) => hang_up,
        Err(error) => {
            log::error!(target: "settings", "hang-ups are not seen cause=\"{error}\"");
            return;
        }
    };
    loop {
        let by_signal = tokio::select! {
            _ = hang_up.recv() => true,
            () = sleep(SETTINGS_LOOK) => false,
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
        sleep(CLEAN_UP).await;
        router
            .connections
            .borrow_mut()
            .expire(std::time::Instant::now());
        let now = router.now();
        router.places.borrow_mut().expire(now);
        router.broken_runs.borrow_mut().expire(now);
        router.quarantine.borrow_mut().expire(now);
        router.log_loads();
        router.log_stale_directory();
    }
}

/// Says that it stops, serves who still comes, then waits for what is under way.
async fn stop(router: &Router) {
    let grace = router.bounds().grace;
    let begun = router.now();
    let end = begun + grace.saturating_sub(GRACE_MARGIN);
    log::info!(target: "router", "stopping open_connections={}", router.open_connections.get());
    router.phase.send_replace(Phase::Closing);
    sleep(LOOK_AWAY).await;
    while !router.peers.borrow().any_serving() && router.now().since(begun) < LAST_SERVING {
        sleep(STOP_POLL).await;
    }
    router.phase.send_replace(Phase::Draining);
    let mut quiet_since = None;
    while router.open_connections.get() > 0 && router.now() < end {
        sleep(STOP_POLL.min(end.since(router.now()))).await;
        quiet_since = match router.exchanges.get() {
            0 => quiet_since.or(Some(router.now())),
            _ => None,
        };
        if quiet_since.is_some_and(|since| router.now().since(since) >= FLUSH) {
            break;
        }
    }
    log::info!(target: "router", "stopped open_connections={}", router.open_connections.get());
}
