//! Planned stop of the process: it reports that it is not ready, releases the cell, and finishes the
//! requests in progress.

use {
    super::shared::Shared,
    log::info,
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{
        signal::unix::{SignalKind, signal},
        time::sleep,
    },
};

/// Time for which connections are still served after the load balancer is told that this entry is not
/// ready.
pub const SERVE_TIME: Duration = Duration::from_millis(2_200);
/// Interval between two checks for requests in progress.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Part of the grace period kept for the exit of the process, before it is killed.
const EXIT_RESERVE: Duration = Duration::from_millis(500);

/// Returns once a signal has asked the process to stop and its requests have ended, or at the end of
/// the grace period.
pub async fn wait(shared: Rc<Shared>) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut reload = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = reload.recv() => info!("reload: ignored, settings are read only at start"),
        }
    }
    let begun = Instant::now();
    let grace = shared.settings.bounds.grace.saturating_sub(EXIT_RESERVE);
    info!("stop: begun requests={}", shared.open_requests.get());
    shared.stopping.send_replace(Some(begun + SERVE_TIME));
    sleep(SERVE_TIME + CHECK_INTERVAL).await;
    let owns = || shared.owner_events.borrow().is_some();
    while (shared.open_requests.get() > 0 || owns()) && begun.elapsed() < grace {
        sleep(CHECK_INTERVAL).await;
    }
    info!("stop: done requests={} ms={}", shared.open_requests.get(), begun.elapsed().as_millis());
    Ok(())
}
