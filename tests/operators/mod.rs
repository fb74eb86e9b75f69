//! Fake entry for tests of operators' calls: a state behind a lock, served over gRPC.

use {
    carobhitch::{
        record::Record,
        rpc::{self, Backend},
        state::{State, Verdict},
    },
    std::{
        net::{SocketAddr, TcpListener},
        sync::{Arc, Mutex},
        thread,
        time::Duration,
    },
    tokio::sync::oneshot,
};

/// State, received records, and number of replies still to be lost after their change took effect.
#[derive(Default)]
pub struct Log {
    pub state: State,
    pub lose: usize,
    pub records: Vec<Record>,
}

pub struct Entry {
    pub address: SocketAddr,
    pub log: Arc<Mutex<Log>>,
    pub stop: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<rpc::Result<()>>>,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.stop.take().map(|stop| stop.send(()));
        self.thread.take().unwrap().join().unwrap().unwrap();
    }
}

fn submit(log: &Mutex<Log>, record: Record) -> rpc::Result<(u64, Verdict)> {
    let mut log = log.lock().unwrap();
    let offset = log.state.next;
    let verdict = log.state.apply(offset, &record);
    let decided = log.state.verdicts[&record.operation].0;
    log.records.push(record);
    if log.lose > 0 {
        log.lose -= 1;
        let cause = rpc::Cause::Unknown(String::from("answer lost"));
        return Err(rpc::Error { step: "append record", peer: String::from("log"), cause });
    }
    Ok((decided, verdict))
}

pub fn backend(log: Arc<Mutex<Log>>) -> Backend {
    let seen = log.clone();
    Backend {
        entry: String::from("entry-a"),
        submit: Box::new(move |record| {
            let decision = submit(&log, record);
            Box::pin(async move { decision })
        }),
        view: Box::new(move || Arc::new(seen.lock().unwrap().state.clone())),
        entries: Box::new(|| {
            vec![rpc::EntryStatus {
                id: String::from("entry-a"),
                zone: String::from("zone-a"),
                incarnation: 7,
                version: Some(0),
                next: 1,
                age: Duration::from_millis(5),
                health: rpc::Health::Ready,
            }]
        }),
        ready: Box::new(|| true),
    }
}

pub fn start(lose: usize) -> Entry {
    let log = Arc::new(Mutex::new(Log { lose, ..Default::default() }));
    serve(log.clone(), backend(log))
}

pub fn serve(log: Arc<Mutex<Log>>, backend: Backend) -> Entry {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = oneshot::channel::<()>();
    let thread = thread::spawn(move || {
        rpc::run(listener, backend, async move {
            stopped.await.ok();
        })
    });
    Entry { address, log, stop: Some(stop), thread: Some(thread) }
}
