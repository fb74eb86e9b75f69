//! A planned stop: no longer ready, the cell handed over, and open requests finished.

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

/// Time for which connections are still served after the balancer is told that this entry is not ready.
pub const LINGER: Duration = Duration::from_millis(2_200);
/// Time between two looks whether requests are still in progress.
const PAUSE: Duration = Duration::from_millis(50);
/// Time kept for the end of the process before it is ended by force.
const RESERVE: Duration = Duration::from_millis(500);

/// Returns once the process was asked to stop and its requests have ended.
pub async fn wait(shared: Rc<Shared>) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut reload = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = reload.recv() => info!("reload: settings are read at start only"),
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
