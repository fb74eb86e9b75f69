//! Tasks that watch the platform for the owner and turn changes into events: the operators' records,
//! the registrations of runners and the list of VMs.

use {
    super::{channel::Channel, event::Event, shared::Shared, store::Store},
    crate::{
        adapter::{self, manifest, runner, store::Error},
        job::{clock, ledger::Record, upkeep::Listing},
    },
    indexmap::IndexSet,
    log::{info, warn},
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{sync::mpsc::UnboundedSender, task::JoinSet, time::sleep},
};

/// Longest time for which a read of the operators' records waits for a new one.
const RECORDS_WAIT: Duration = Duration::from_millis(600);
/// Interval between two reads of the runners' registrations.
const RUNNERS_INTERVAL: Duration = Duration::from_millis(400);
/// Interval between two reads of the list of VMs.
const VMS_INTERVAL: Duration = Duration::from_millis(500);
/// Largest number of pages of the list of VMs.
const MAX_PAGES: usize = 1_000;
/// Timeout of a call to the platform's list of VMs or of an action on a VM.
pub const FLEET_TIMEOUT: Duration = Duration::from_millis(800);
/// Delay before the next call after the store failed to answer one.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Spawns the tasks that follow the store's topics. They may begin before the ledger is read, so that
/// a new owner knows the runners as soon as it serves, and renews their leases.
pub fn spawn(tasks: &mut JoinSet<()>, store: &Rc<Store>, events: &UnboundedSender<Event>) {
    tasks.spawn_local(records(Rc::clone(store), events.clone()));
    tasks.spawn_local(runners(Rc::clone(store), events.clone()));
}

/// Spawns the task that reads the list of VMs. It begins once the owner serves, so that no list is
/// older than what the previous owner did last.
pub fn spawn_vms(tasks: &mut JoinSet<()>, shared: &Rc<Shared>, events: &UnboundedSender<Event>) {
    if let Some(address) = shared.settings.fleet {
        tasks.spawn_local(vms(Channel::new(address, 1), events.clone()));
    }
}

/// Records that one read of a topic has returned.
struct Page {
    /// Records.
    records: Vec<Record>,
    /// Whether they are the complete list, and not only what was appended.
    whole: bool,
    /// When the read was sent.
    sent: Instant,
}

/// Follows a topic: reads the newest record of every key once, and then what is appended.
///
/// `handle` gets the result of each read; it returns false to end. A reader that has fallen behind the topic's retention begins again with the complete list.
async fn tail(
    store: &Store,
    topic: &str,
    wait: Duration,
    pause: Duration,
    mut handle: impl FnMut(Page) -> bool,
) {
    let mut next = None;
    let mut unavailable = false;
    loop {
        let sent = clock::now();
        let outcome = match next {
            None => store.all(topic).await.map(|newest| (newest.records, newest.end, true)),
            Some(from) => store.read(topic, from, wait).await.map(|page| {
                let end = page.next(from);
                (page.records.into_iter().flatten().collect(), end, false)
            }),
        };
        match outcome {
            Ok((records, end, whole)) => {
                if std::mem::take(&mut unavailable) {
                    info!("store: topic={topic} answers=true");
                }
                next = Some(end);
                if !handle(Page { records, whole, sent }) {
                    return;
                }
                sleep(pause).await;
            }
            Err(Error::Gone(first)) => {
                info!("store: topic={topic} history before {first} is gone");
                next = None;
            }
            Err(e) => {
                if !std::mem::replace(&mut unavailable, true) {
                    warn!("store: topic={topic} answers=false why=\"{e}\"");
                }
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Follows the operators' records.
async fn records(store: Rc<Store>, events: UnboundedSender<Event>) {
    let handle = |page: Page| {
        let mut records = page.records.iter().filter_map(operators_record);
        let read = Event::RecordsRead(page.sent);
        records.all(|event| events.send(event).is_ok()) && events.send(read).is_ok()
    };
    tail(&store, manifest::TOPIC, RECORDS_WAIT, Duration::ZERO, handle).await;
}

/// Decodes an operator's record; `None` if it is unreadable or neither a manifest nor a wave.
pub(super) fn operators_record(record: &Record) -> Option<Event> {
    if record.value.is_empty() {
        return None;
    }
    let event = if record.key == manifest::KEY {
        manifest::decode(&record.value).map(Event::Manifest)
    } else if manifest::is_wave(&record.key) {
        manifest::wave(&record.value).map(Event::Wave)
    } else {
        return None;
    };
    event.inspect_err(|e| warn!("store: decode record {}: {e}", record.key)).ok()
}

/// Follows the registrations of runners. A runner that a complete list no longer names is reported
/// as gone.
async fn runners(store: Rc<Store>, events: UnboundedSender<Event>) {
    let mut known: IndexSet<String> = IndexSet::new();
    let handle = |Page { records, whole, .. }: Page| {
        if records.is_empty() && !whole {
            return true;
        }
        let mut registrations = Vec::with_capacity(records.len());
        let mut seen = IndexSet::new();
        for Record { key, value } in records {
            let registration = runner::registration(&value);
            if registration.is_none() && !value.is_empty() {
                warn!("runner: id={key} has an unreadable registration of {} bytes", value.len());
            }
            seen.insert(key.clone());
            registrations.push((key, registration));
        }
        if whole {
            let gone = known.drain(..).filter(|id| !seen.contains(id));
            registrations.extend(gone.map(|id| (id, None)));
        }
        known.extend(seen);
        events.send(Event::Registrations(registrations)).is_ok()
    };
    tail(&store, runner::TOPIC, Duration::ZERO, RUNNERS_INTERVAL, handle).await;
}

/// Reads the list of VMs at regular intervals.
async fn vms(channel: Channel, events: UnboundedSender<Event>) {
    let mut unavailable = false;
    loop {
        match list(&channel).await {
            Ok(listing) => {
                if std::mem::take(&mut unavailable) {
                    info!("fleet: answers=true");
                }
                if events.send(Event::Vms(listing)).is_err() {
                    return;
                }
            }
            Err(e) => {
                if !std::mem::replace(&mut unavailable, true) {
                    warn!("fleet: answers=false why={e:?}");
                }
            }
        }
        sleep(VMS_INTERVAL).await;
    }
}

/// Reads all pages of the list of VMs. Fails if a page refers to itself as the next one, or if there are too
/// many.
async fn list(channel: &Channel) -> Result<Listing, String> {
    let sent = clock::now();
    let mut vms = Vec::new();
    let mut token: Option<String> = None;
    for _ in 0..MAX_PAGES {
        let call = adapter::fleet::list(token.as_deref());
        let reply = channel.call(call, FLEET_TIMEOUT).await.map_err(|e| e.to_string())?;
        let page = adapter::fleet::page(&reply)?;
        vms.extend(page.vms);
        match page.next {
            Some(next) if token.as_ref() == Some(&next) => {
                return Err(format!("the page after {next} is that page"));
            }
            Some(next) => token = Some(next),
            None => return Ok(Listing { vms, sent }),
        }
    }
    Err(format!("it has more than {MAX_PAGES} pages"))
}
