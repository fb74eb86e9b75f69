//! Stand-in for the platform's VM service. Its VMs have no runners and are up all the time; it notes
//! which of them have had their maintenance.

use {
    crate::server::{self, Call, Handle, Reply, lock},
    indexmap::{IndexMap, IndexSet},
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
};

/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 64;

/// The VM service; clones share its state.
#[derive(Clone, Default)]
pub struct Vms(Arc<Mutex<State>>);

#[derive(Default)]
struct State {
    /// Waves in which each VM had its maintenance.
    vms: IndexMap<String, IndexSet<u64>>,
    /// VMs that the list leaves out.
    unlisted: IndexSet<String>,
    outage_until: Option<Instant>,
    /// Whether the list has the same page again and again.
    repeats_page: bool,
    /// Whether VMs that are not there are called busy.
    removed_are_busy: bool,
}

impl Vms {
    /// Starts the server.
    pub fn serve(&self, listen: SocketAddr) -> server::Result<Handle> {
        let vms = self.clone();
        server::spawn(listen, MAX_CONNECTIONS, move |call: Call| {
            let vms = vms.clone();
            async move { vms.handle(&call) }
        })
    }

    /// Adds a VM.
    pub fn add(&self, id: &str) {
        lock(&self.0).vms.insert(String::from(id), IndexSet::new());
    }

    /// Removes a VM for good.
    pub fn remove(&self, id: &str) {
        lock(&self.0).vms.swap_remove(id);
    }

    /// Sets whether the list leaves a VM out.
    pub fn set_unlisted(&self, id: &str, unlisted: bool) {
        let mut state = lock(&self.0);
        if unlisted {
            state.unlisted.insert(String::from(id));
        } else {
            state.unlisted.swap_remove(id);
        }
    }

    /// Responds to every call with status 503 for `duration`.
    pub fn start_outage(&self, duration: Duration) {
        lock(&self.0).outage_until = Some(Instant::now() + duration);
    }

    /// Sets whether the list has the same page again and again.
    pub fn repeat_page(&self, repeats: bool) {
        lock(&self.0).repeats_page = repeats;
    }

    /// Whether there is such a VM.
    pub fn contains(&self, id: &str) -> bool {
        lock(&self.0).vms.contains_key(id)
    }

    /// Has calls for VMs that were removed answered as for ones that are busy.
    pub fn call_removed_busy(&self) {
        lock(&self.0).removed_are_busy = true;
    }

    /// Whether a VM had its maintenance in a wave.
    pub fn is_maintained(&self, id: &str, wave: u64) -> bool {
        lock(&self.0).vms.get(id).is_some_and(|waves| waves.contains(&wave))
    }

    fn handle(&self, call: &Call) -> Reply {
        let mut state = lock(&self.0);
        if state.outage_until.is_some_and(|until| Instant::now() < until) {
            return Reply::json(503, &json!({}));
        }
        if call.uri.path() == "/v1/machines" {
            return state.list();
        }
        let body: Value = serde_json::from_slice(&call.body).unwrap_or_default();
        let Some(waves) = body["machine"].as_str().and_then(|id| state.vms.get_mut(id)) else {
            if state.removed_are_busy {
                return Reply::json(409, &json!({ "reason": "busy" }));
            }
            return Reply::json(400, &json!({}));
        };
        match body["wave"].as_u64() {
            Some(wave) => {
                waves.insert(wave);
                Reply::json(200, &json!({}))
            }
            None => Reply::json(409, &json!({ "reason": "busy" })),
        }
    }
}

impl State {
    fn list(&self) -> Reply {
        let listed = self.vms.keys().filter(|id| !self.unlisted.contains(*id));
        let row = |id: &String| {
            json!({ "machine": id, "pool": "desk", "state": "up", "zone": "a", "labels": [],
                "id": null })
        };
        let machines: Vec<Value> = listed.map(row).collect();
        let next = self.repeats_page.then_some("again");
        Reply::json(200, &json!({ "machines": machines, "nextToken": next }))
    }
}
