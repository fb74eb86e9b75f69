//! Operators' calls over gRPC against a fake entry.

#![allow(clippy::unwrap_used)]

mod operators;

use {
    crate::operators::{Entry, Log, start},
    carobhitch::{
        fleet::{Budget, Declaration, Pool, Service, Vm},
        record::Body,
        rpc::{self, Client, proto},
    },
    std::{
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{Arc, Mutex},
        thread,
        time::Duration,
    },
    tokio::sync::Semaphore,
    tonic::{Code, Request, transport::Channel},
    tonic_health::pb::{HealthCheckRequest, health_client::HealthClient},
    tonic_reflection::pb::v1::{
        ServerReflectionRequest, server_reflection_client::ServerReflectionClient,
        server_reflection_request::MessageRequest, server_reflection_response::MessageResponse,
    },
};

fn client(entries: &[SocketAddr]) -> Client {
    Client::new(entries.to_vec(), Duration::from_secs(10)).unwrap()
}

fn call(operation: &str) -> Option<proto::Call> {
    Some(proto::Call { operation: String::from(operation), author: String::from("astrid") })
}

fn declaration() -> Declaration {
    let mut declaration = Declaration::default();
    declaration.pools.insert(String::from("desk"), Pool::default());
    declaration.pools.insert(String::from("spare"), Pool::default());
    let vm = Vm {
        pool: String::from("desk"),
        zone: String::from("zone-a"),
        rack: String::from("rack-1"),
        address: "127.0.0.1:9".parse().unwrap(),
    };
    declaration.vms.insert(String::from("vm-1"), vm);
    let service = Service {
        pool: String::from("desk"),
        slots: 8,
        connections: 64,
        budget: Budget::default(),
    };
    declaration.services.insert(String::from("quotes"), service);
    declaration
}

fn apply(client: &Client, operation: &str, expected: Option<u64>) -> proto::Outcome {
    let declaration = serde_json::to_vec(&declaration()).unwrap();
    let request = proto::ApplyRequest { call: call(operation), declaration, expected };
    client
        .call("apply declaration", |mut stub| {
            let request = request.clone();
            async move { stub.apply(request).await }
        })
        .unwrap()
}

fn drain(client: &Client, operation: &str, vm: &str) -> rpc::Result<proto::Outcome> {
    let request = proto::DrainRequest { call: call(operation), vm: String::from(vm) };
    client.call("drain vm", |mut stub| {
        let request = request.clone();
        async move { stub.drain(request).await }
    })
}

#[test]
fn a_repeated_operation_returns_the_first_verdict() {
    let entry = start(0);
    let client = client(&[entry.address]);
    let first = apply(&client, "one", None);
    assert!(first.accepted);
    assert_eq!(apply(&client, "one", None), first);
    let racing = apply(&client, "two", None);
    assert!(!racing.accepted);
    assert!(racing.reason.contains("declaration was made from version"), "{}", racing.reason);
}

#[test]
fn a_change_whose_reply_was_lost_is_repeated_but_made_once() {
    let entry = start(1);
    let outcome = apply(&client(&[entry.address]), "one", None);
    assert!(outcome.accepted);
    let log = entry.log.lock().unwrap();
    assert_eq!(log.records.len(), 2);
    assert!(log.records.iter().all(|r| r.operation == "one"));
    assert!(matches!(log.records[0].body, Body::Change { .. }));
    assert_eq!((log.state.verdicts.len(), log.state.version), (1, Some(0)));
    assert_eq!(log.state.declared(), declaration());
}

#[test]
fn the_client_skips_an_entry_that_refuses_connections() {
    let unused = TcpListener::bind("127.0.0.1:0").unwrap();
    let dead = unused.local_addr().unwrap();
    drop(unused);
    let entry = start(0);
    assert!(apply(&client(&[dead, entry.address]), "one", None).accepted);
}

#[test]
fn the_client_skips_an_entry_that_is_not_ready() {
    let log = Arc::new(Mutex::new(Log::default()));
    let mut backend = operators::backend(log.clone());
    backend.ready = Box::new(|| false);
    let waiting = operators::serve(log, backend);
    let entry = start(0);
    assert!(apply(&client(&[waiting.address, entry.address]), "one", None).accepted);
    assert!(waiting.log.lock().unwrap().records.is_empty());
    let error = drain(&client(&[waiting.address]), "two", "vm-1").unwrap_err();
    assert!(
        error.to_string().ends_with("unavailable: read state at entry-a: not ready"),
        "{error}"
    );
}

#[test]
fn a_rejected_drain_says_why() {
    let entry = start(0);
    let client = client(&[entry.address]);
    apply(&client, "one", None);
    assert!(drain(&client, "two", "vm-1").unwrap().accepted);
    let outcome = drain(&client, "three", "vm-9").unwrap();
    assert_eq!((outcome.accepted, outcome.reason.contains("vm-9")), (false, true));
    let status =
        client.call("status", |mut s| async move { s.status(proto::StatusRequest {}).await });
    let status = status.unwrap();
    assert_eq!(status.drains.len(), 1);
    assert_eq!(status.entries[0].incarnation, 7);
}

#[test]
fn a_move_is_pending_until_the_vm_is_empty_and_is_listed_in_the_history() {
    let entry = start(0);
    let client = client(&[entry.address]);
    apply(&client, "one", None);
    let request = proto::MoveRequest {
        call: call("two"),
        vm: String::from("vm-1"),
        pool: String::from("spare"),
    };
    let relocate = |mut stub: proto::operator_client::OperatorClient<Channel>| {
        let request = request.clone();
        async move { stub.r#move(request).await }
    };
    let outcome = client.call("move vm", relocate).unwrap();
    assert!(outcome.accepted, "{}", outcome.reason);
    let status =
        client.call("status", |mut s| async move { s.status(proto::StatusRequest {}).await });
    let found = &status.unwrap().moves[0];
    assert_eq!((found.from.as_str(), found.to.as_str()), ("desk", "spare"));
    let request = proto::HistoryRequest { from: 0, max: 1 };
    let history = client.call("history", |mut s| async move { s.history(request).await }).unwrap();
    let change = &history.changes[0];
    assert_eq!((change.author.as_str(), change.action.as_str()), ("astrid", "change vm/vm-1"));
}

#[test]
fn a_burn_window_longer_than_the_history_is_rejected() {
    let entry = start(0);
    let client = client(&[entry.address]);
    let burn = |days: u64| {
        let request = proto::BurnRequest { window_secs: vec![days * 86_400] };
        client.call("burn", |mut s| {
            let request = request.clone();
            async move { s.burn(request).await }
        })
    };
    assert!(burn(92).is_ok());
    assert!(burn(93).is_err(), "the daily sums of the first day are gone");
}

#[test]
fn a_drain_shows_in_the_burn_of_the_service() {
    let entry = start(0);
    let client = client(&[entry.address]);
    apply(&client, "one", None);
    drain(&client, "two", "vm-1").unwrap();
    let request = proto::BurnRequest { window_secs: vec![60] };
    let burn = client.call("burn", |mut s| {
        let request = request.clone();
        async move { s.burn(request).await }
    });
    let service = burn.unwrap().services.remove(0);
    assert_eq!((service.service.as_str(), service.endpoints), ("quotes", 1));
    assert_eq!(service.windows[0].window_secs, 60);
    assert_eq!(service.promise.unwrap().budget_millis, 2_592_000);
}

#[test]
fn a_call_without_an_operation_id_is_invalid() {
    let entry = start(0);
    let error = drain(&client(&[entry.address]), "", "vm-1").unwrap_err();
    assert_eq!(error.peer, entry.address.to_string());
    assert!(matches!(error.cause, rpc::Cause::Invalid(_)), "{error}");
}

/// Starts an entry that withholds each verdict until there is a permit.
fn start_held(release: Arc<Semaphore>) -> Entry {
    let log = Arc::new(Mutex::new(Log::default()));
    let mut backend = operators::backend(log.clone());
    let submit = backend.submit;
    backend.submit = Box::new(move |record| {
        let (decision, release) = (submit(record), release.clone());
        Box::pin(async move {
            let _permit = release.acquire().await.unwrap();
            decision.await
        })
    });
    operators::serve(log, backend)
}

#[test]
fn a_stop_finishes_the_call_in_progress() {
    let release = Arc::new(Semaphore::new(0));
    let mut entry = start_held(release.clone());
    let address = entry.address;
    let caller = thread::spawn(move || {
        // Makes a single attempt, without the client's repeats: a repeated call would find the
        // entry stopped.
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async {
            let mut stub = proto::operator_client::OperatorClient::new(channel(address).await);
            let request = proto::DrainRequest { call: call("one"), vm: String::from("vm-1") };
            stub.drain(request).await
        })
    });
    while entry.log.lock().unwrap().records.is_empty() {
        thread::yield_now();
    }
    entry.stop.take().unwrap().send(()).unwrap();
    while TcpStream::connect(address).is_ok() {
        thread::yield_now();
    }
    release.add_permits(1);
    let outcome = caller.join().unwrap().unwrap().into_inner();
    assert!(!outcome.accepted && outcome.reason.contains("vm-1"), "{}", outcome.reason);
}

async fn channel(address: SocketAddr) -> Channel {
    Channel::from_shared(format!("http://{address}")).unwrap().connect().await.unwrap()
}

#[test]
fn the_server_offers_health_checks_and_reflection() {
    let entry = start(0);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(check_health_and_reflection(entry.address));
}

async fn check_health_and_reflection(address: SocketAddr) {
    let channel = channel(address).await;
    let name = "carobhitch.v1.Operator";
    let request = HealthCheckRequest { service: String::from(name) };
    let mut health = HealthClient::new(channel.clone());
    let answer = loop {
        match health.check(request.clone()).await {
            Err(status) if status.code() == Code::NotFound => tokio::task::yield_now().await,
            answer => break answer.unwrap().into_inner(),
        }
    };
    assert_eq!(answer.status, 1);
    let request = ServerReflectionRequest {
        host: String::new(),
        message_request: Some(MessageRequest::ListServices(String::new())),
    };
    let request = Request::new(tokio_stream::iter([request]));
    let mut reflection = ServerReflectionClient::new(channel);
    let mut answers = reflection.server_reflection_info(request).await.unwrap().into_inner();
    let answer = answers.message().await.unwrap().unwrap().message_response.unwrap();
    let MessageResponse::ListServicesResponse(list) = answer else { panic!("{answer:?}") };
    assert!(list.service.iter().any(|s| s.name == name));
}
