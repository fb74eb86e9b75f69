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
pub const LINGER: Duration = Duration::from_millis(2_200);
/// Interval between two checks for requests in progress.
const PAUSE: Duration = Duration::from_millis(50);
/// Part of the grace period kept for the exit of the process, before it is killed.
const RESERVE: Duration = Duration::from_millis(500);

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
    let grace = shared.settings.bounds.grace.saturating_sub(RESERVE);
    info!("stop: begun requests={}", shared.requests.get());
    shared.stopping.send_replace(Some(begun + LINGER));
    sleep(LINGER + PAUSE).await;
    let owns = || shared.desk.borrow().is_some();
    while (shared.requests.get() > 0 || owns()) && begun.elapsed() < grace {
        sleep(PAUSE).await;
    }
    info!("stop: done requests={} ms={}", shared.requests.get(), begun.elapsed().as_millis());
    Ok(())
}
