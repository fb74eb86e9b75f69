//! Executes the commands of the command line.

use {
    crate::{
        clap_app,
        config::{Action, Change, Config},
        text::{self, Style},
    },
    carobhitch::{
        declaration, diff,
        fault::Fault,
        fleet::Declaration,
        id::{Offset, OperationId, WaveId},
        plot,
        rpc::{self, Client, proto},
    },
    serde::Serialize,
    std::{
        fs,
        path::{Path, PathBuf},
        time::Duration,
    },
};

/// Exit status of a rejected change or a failure.
pub(crate) const FAILED: u8 = 1;
/// Exit status of a usage error or an invalid file.
pub(crate) const BAD_USE: u8 = 2;

/// Text for stdout, or a failure that ends the program with a status other than 0.
pub(crate) type Result<T = String> = std::result::Result<T, Failure>;

/// Failure of a command.
#[derive(Debug)]
pub(crate) struct Failure {
    /// Text for stdout.
    pub(crate) output: String,
    /// Lines for stderr.
    pub(crate) text: String,
    /// Exit status.
    pub(crate) status: u8,
}

impl Failure {
    /// Creates a failure without text for stdout.
    pub(crate) fn new(text: impl Into<String>, status: u8) -> Self {
        Self { output: String::new(), text: text.into(), status }
    }
}

impl From<rpc::Error> for Failure {
    fn from(error: rpc::Error) -> Self {
        Self::new(error.to_string(), FAILED)
    }
}

/// JSON output of `check`.
#[derive(Serialize)]
struct Validation {
    valid: bool,
    faults: Vec<Fault>,
}

/// JSON output of a change.
#[derive(Serialize)]
struct Report {
    operation: OperationId,
    /// None if there was nothing to change.
    outcome: Option<proto::Outcome>,
    changes: Vec<diff::Change>,
}

/// Executes the command and returns the text for stdout.
pub(crate) fn run(config: &Config) -> Result {
    match &config.action {
        Action::Check(files) => check(config, files),
        Action::Completions(shell) => Ok(completions(*shell)),
        Action::Diff(files) => diff(config, files),
        Action::Apply { files, operation, expected } => {
            apply(config, files, operation.as_ref(), *expected)
        }
        Action::Status => status(config),
        Action::History { from, max } => history(config, *from, *max),
        Action::Burn { windows, svg, html } => burn(config, windows, svg.as_ref(), html.as_ref()),
        Action::Change { change, operation } => change_one(config, change, operation.as_ref()),
        Action::Waves(wave) => waves(config, wave.as_ref()),
    }
}

fn completions(shell: clap_complete::Shell) -> String {
    let mut text = Vec::new();
    clap_complete::generate(shell, &mut clap_app::build(), "carobhitch", &mut text);
    String::from_utf8_lossy(&text).into_owned()
}

/// Formats a value as JSON if requested, otherwise as text.
fn print<T: Serialize>(config: &Config, value: &T, text: impl Fn(Style) -> String) -> Result {
    if !config.json {
        return Ok(text(Style { color: config.color }));
    }
    let json = serde_json::to_string_pretty(value)
        .map_err(|e| Failure::new(format!("write JSON: {e}"), FAILED))?;
    Ok(json + "\n")
}

fn load(config: &Config, files: &[PathBuf]) -> Result<Declaration> {
    declaration::load(files).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        let output = if config.json {
            print(config, &Validation { valid: false, faults }, |_| String::new())
                .unwrap_or_default()
        } else {
            String::new()
        };
        Failure { output, text: lines.join("\n"), status: BAD_USE }
    })
}

fn check(config: &Config, files: &[PathBuf]) -> Result {
    let declaration = load(config, files)?;
    print(config, &Validation { valid: true, faults: Vec::new() }, |_| text::valid(&declaration))
}

fn client(config: &Config) -> Result<Client> {
    Ok(Client::new(config.entries.clone(), config.timeout)?)
}

/// Declaration in force, its version, and the offset of the next record.
struct Current {
    declaration: Declaration,
    version: Option<Offset>,
    next: Offset,
}

fn current(client: &Client) -> Result<Current> {
    let reply = client.call("read declaration", |mut stub| async move {
        stub.declaration(proto::DeclarationRequest {}).await
    })?;
    let declaration = serde_json::from_slice(&reply.declaration)
        .map_err(|e| Failure::new(format!("read declaration: {e}"), FAILED))?;
    Ok(Current { declaration, version: reply.version, next: reply.next })
}

fn diff(config: &Config, files: &[PathBuf]) -> Result {
    let declaration = load(config, files)?;
    let changes = diff::between(&current(&client(config)?)?.declaration, &declaration);
    print(config, &changes, |style| text::changes(&changes, style))
}

fn apply(
    config: &Config,
    files: &[PathBuf],
    operation: Option<&OperationId>,
    expected: Option<Offset>,
) -> Result {
    let declaration = load(config, files)?;
    let client = client(config)?;
    let current = current(&client)?;
    let changes = diff::between(&current.declaration, &declaration);
    let version = expected.or(current.version);
    let derive_operation = |salt| declaration::operation(&declaration, version, salt);
    let derived = operation.cloned().unwrap_or_else(|| derive_operation(None));
    if changes.is_empty() {
        let done = Report { operation: derived, outcome: None, changes };
        return print(config, &done, |_| text::unchanged(current.version));
    }
    let (operation, outcome) = match send_apply(config, &client, &declaration, version, derived)? {
        // The verdict is of an earlier operation with the same content, rejected in a state that
        // may have changed since; a new operation gets a new verdict.
        (_, old) if operation.is_none() && !old.accepted && old.offset < current.next => {
            send_apply(
                config,
                &client,
                &declaration,
                version,
                derive_operation(Some(current.next)),
            )?
        }
        outcome => outcome,
    };
    finish(config, "apply declaration", Report { operation, outcome: Some(outcome), changes })
}

/// Sends a declaration under an operation id; returns the id with the outcome.
fn send_apply(
    config: &Config,
    client: &Client,
    declaration: &Declaration,
    expected: Option<Offset>,
    operation: OperationId,
) -> Result<(OperationId, proto::Outcome)> {
    let declaration = serde_json::to_vec(declaration)
        .map_err(|e| Failure::new(format!("write declaration: {e}"), FAILED))?;
    let call = Some(call(config, &operation));
    let request = proto::ApplyRequest { call, declaration, expected };
    let outcome = client.call("apply declaration", |mut stub| {
        let request = request.clone();
        async move { stub.apply(request).await }
    });
    Ok((operation.clone(), outcome.map_err(|e| with_operation(&e, &operation))?))
}

fn call(config: &Config, operation: &OperationId) -> proto::Call {
    proto::Call { operation: operation.clone(), author: config.author.clone() }
}

/// Failure that names the operation, so that the operator can repeat the call.
fn with_operation(error: &rpc::Error, operation: &OperationId) -> Failure {
    Failure::new(format!("{error} (operation {operation})"), FAILED)
}

/// Formats the outcome of a change, or fails if it was rejected.
fn finish(config: &Config, step: &str, done: Report) -> Result {
    let refusal = done.outcome.as_ref().filter(|outcome| !outcome.accepted).map(|outcome| {
        format!("{step} in log: refused at offset {}: {}", outcome.offset, outcome.reason)
    });
    let accepted = |style| {
        let offset = done.outcome.as_ref().map(|outcome| outcome.offset).unwrap_or_default();
        let changes = match done.changes.as_slice() {
            [] => String::new(),
            changes => text::changes(changes, style),
        };
        changes + &format!("{step}: in force from offset {offset}\n")
    };
    match refusal {
        None => print(config, &done, accepted),
        Some(text) => {
            let output = print(config, &done, |_| String::new())?;
            Err(Failure { output, text, status: FAILED })
        }
    }
}

fn change_one(config: &Config, change: &Change, operation: Option<&OperationId>) -> Result {
    let (step, word) = step(change);
    let name = || format!("{word}-{:016x}", rand::random::<u64>());
    let operation = operation.cloned().unwrap_or_else(name);
    let call = Some(call(config, &operation));
    let outcome = send_change(&client(config)?, step, change, call)
        .map_err(|e| with_operation(&e, &operation))?;
    finish(config, step, Report { operation, outcome: Some(outcome), changes: Vec::new() })
}

/// Description of a change for messages, and prefix of its operation id.
fn step(change: &Change) -> (&'static str, &'static str) {
    match change {
        Change::Drain(_) => ("drain VM", "drain"),
        Change::Return(_) => ("return VM", "return"),
        Change::Start(_) => ("start wave", "start"),
        Change::Pause(..) => ("pause wave", "pause"),
        Change::Resume(_) => ("resume wave", "resume"),
        Change::Cancel(_) => ("cancel wave", "cancel"),
    }
}

/// Sends a change of one VM or wave.
fn send_change(
    client: &Client,
    step: &'static str,
    change: &Change,
    call: Option<proto::Call>,
) -> rpc::Result<proto::Outcome> {
    client.call(step, |mut stub| {
        let call = call.clone();
        async move {
            let wave = |wave: &WaveId, reason: &str| proto::WaveRequest {
                call: call.clone(),
                wave: wave.clone(),
                reason: String::from(reason),
            };
            match change {
                Change::Drain(vm) => stub.drain(proto::DrainRequest { call, vm: vm.clone() }).await,
                Change::Return(vm) => {
                    stub.r#return(proto::ReturnRequest { call, vm: vm.clone() }).await
                }
                Change::Start(id) => stub.start_wave(wave(id, "")).await,
                Change::Pause(id, reason) => stub.pause_wave(wave(id, reason)).await,
                Change::Resume(id) => stub.resume_wave(wave(id, "")).await,
                Change::Cancel(id) => stub.cancel_wave(wave(id, "")).await,
            }
        }
    })
}

fn read_status(config: &Config) -> Result<proto::StatusReply> {
    let read = |mut stub: rpc::Stub| async move { stub.status(proto::StatusRequest {}).await };
    Ok(client(config)?.call("read status", read)?)
}

fn status(config: &Config) -> Result {
    let reply = read_status(config)?;
    print(config, &reply, |style| text::status(&reply, style))
}

fn waves(config: &Config, wave: Option<&WaveId>) -> Result {
    let mut waves = read_status(config)?.waves;
    if let Some(id) = wave {
        waves.retain(|found| found.id == *id);
        if waves.is_empty() {
            return Err(Failure::new(format!("read status: wave {id:?} is not declared"), FAILED));
        }
    }
    print(config, &waves, |style| text::wave_list(&waves, style))
}

fn history(config: &Config, from: Offset, max: u32) -> Result {
    let request = proto::HistoryRequest { from, max };
    let read = |mut stub: rpc::Stub| async move { stub.history(request).await };
    let reply = client(config)?.call("read history", read)?;
    print(config, &reply.changes, |style| text::history(&reply.changes, style))
}

fn burn(
    config: &Config,
    windows: &[Duration],
    svg: Option<&PathBuf>,
    html: Option<&PathBuf>,
) -> Result {
    let window_secs: Vec<u64> = windows.iter().map(Duration::as_secs).collect();
    let reply = client(config)?.call("read burn", |mut stub| {
        let request = proto::BurnRequest { window_secs: window_secs.clone() };
        async move { stub.burn(request).await }
    })?;
    svg.map_or(Ok(()), |path| write(path, &plot::svg(&reply)))?;
    html.map_or(Ok(()), |path| write(path, &plot::html(&reply)))?;
    print(config, &reply, |style| text::burn(&reply, style))
}

fn write(path: &Path, content: &str) -> Result<()> {
    let failed = |e| Failure::new(format!("write {}: {e}", path.display()), FAILED);
    fs::write(path, content).map_err(failed)
}
