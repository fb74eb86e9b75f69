//! Runs the operators' command-line tool against a fake entry.

#![allow(clippy::unwrap_used)]

mod operators;

use {
    crate::operators::start,
    serde_json::Value,
    std::{
        fs,
        net::SocketAddr,
        path::PathBuf,
        process::{Command, Output},
    },
};

const VALID: &str = r#"
[pools.desk]
[vms.vm-1]
pool = "desk"
zone = "zone-a"
rack = "rack-1"
address = "10.0.0.1:80"
[vms.vm-2]
pool = "desk"
zone = "zone-a"
rack = "rack-2"
address = "10.0.0.2:80"
[services.quotes]
pool = "desk"
[waves.spring]
pool = "desk"
max_at_once = 1
"#;

fn file(test: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{test}.toml"));
    fs::write(&path, text).unwrap();
    path
}

fn command(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_carobhitch"))
        .args(arguments)
        .env_remove("CAROBHITCH_ENTRY")
        .env("CAROBHITCH_AUTHOR", "astrid")
        .output()
        .unwrap()
}

fn call(entry: SocketAddr, arguments: &[&str]) -> Output {
    command(&[&["--entry", &entry.to_string()], arguments].concat())
}

fn status(output: &Output) -> i32 {
    output.status.code().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

fn json(output: &Output) -> Value {
    serde_json::from_slice(&output.stdout).unwrap()
}

#[test]
fn check_reports_every_fault_and_exits_2() {
    let path = file("faults", "[pools.desk]\nspare = 1\n[vms.vm-1]\npool = \"dsk\"\n");
    let output = command(&["check", path.to_str().unwrap()]);
    let errors = text(&output.stderr);
    assert_eq!((status(&output), errors.lines().count()), (2, 5), "{errors}");
    let output = command(&["--json", "check", path.to_str().unwrap()]);
    assert_eq!(json(&output)["faults"].as_array().unwrap().len(), 5);
    assert_eq!(json(&output)["valid"], false);
}

#[test]
fn check_of_a_valid_file_exits_0() {
    let path = file("valid", VALID);
    let output = command(&["check", path.to_str().unwrap()]);
    assert_eq!(status(&output), 0);
    let counts = "valid: 1 pools, 2 VMs, 1 services, 0 teams, 1 waves\n";
    assert_eq!(text(&output.stdout), counts);
}

#[test]
fn a_usage_error_exits_2() {
    for arguments in [&["no-such-command"][..], &["drain"], &["status"], &[]] {
        assert_eq!(status(&command(arguments)), 2, "{arguments:?}");
    }
    let output = call("127.0.0.1:9".parse().unwrap(), &["report", "burn", "--window", "6x"]);
    assert_eq!(status(&output), 2);
}

#[test]
fn an_applied_file_leaves_no_difference_and_is_applied_again_without_effect() {
    let entry = start(0);
    let path = file("apply", VALID);
    let path = path.to_str().unwrap();
    let before = call(entry.address, &["--json", "diff", path]);
    assert_eq!(json(&before).as_array().unwrap().len(), 5);
    let applied = call(entry.address, &["--json", "apply", path]);
    assert_eq!((status(&applied), &json(&applied)["outcome"]["accepted"]), (0, &Value::Bool(true)));
    let after = call(entry.address, &["--json", "diff", path]);
    assert_eq!(json(&after), Value::Array(Vec::new()));
    let again = call(entry.address, &["apply", path]);
    let unchanged = "nothing to change: version 0 is in force\n";
    assert_eq!((status(&again), text(&again.stdout).as_str()), (0, unchanged));
    assert_eq!(entry.log.lock().unwrap().records.len(), 1);
}

#[test]
fn an_apply_whose_reply_was_lost_succeeds() {
    let entry = start(1);
    let path = file("lost", VALID);
    let output = call(entry.address, &["apply", path.to_str().unwrap()]);
    assert_eq!(status(&output), 0, "{}", text(&output.stderr));
    assert_eq!(entry.log.lock().unwrap().state.verdicts.len(), 1);
}

#[test]
fn a_rejected_apply_exits_1_and_a_later_one_gets_a_new_verdict() {
    let entry = start(0);
    let path = file("stale", VALID);
    let path = path.to_str().unwrap();
    for operations in [1, 2] {
        let output = call(entry.address, &["apply", "--expected", "7", path]);
        let errors = text(&output.stderr);
        assert_eq!((status(&output), errors.lines().count()), (1, 1), "{errors}");
        assert!(errors.contains("apply declaration in log: refused at offset"), "{errors}");
        assert_eq!(entry.log.lock().unwrap().state.verdicts.len(), operations);
    }
}

#[test]
fn a_drain_is_repeated_by_its_operation_and_refused_beyond_the_budget() {
    let entry = start(0);
    let path = file("drain", VALID);
    assert_eq!(status(&call(entry.address, &["apply", path.to_str().unwrap()])), 0);
    let drain = |vm| call(entry.address, &["--json", "drain", "--operation", vm, vm]);
    let first = drain("vm-1");
    assert_eq!(status(&first), 0);
    assert_eq!(json(&drain("vm-1")), json(&first));
    let refused = drain("vm-2");
    assert_eq!(
        (status(&refused), &json(&refused)["outcome"]["accepted"]),
        (1, &Value::Bool(false))
    );
    let shown = json(&call(entry.address, &["--json", "status"]));
    assert_eq!(shown["drains"][0]["vm"], "vm-1");
    assert_eq!(shown["entries"][0]["health"], "ready");
    let history = json(&call(entry.address, &["--json", "history", "--max", "1"]));
    assert_eq!((&history[0]["author"], &history[0]["accepted"]), (&"astrid".into(), &false.into()));
}

#[test]
fn a_wave_is_started_paused_and_shown() {
    let entry = start(0);
    let path = file("wave", VALID);
    assert_eq!(status(&call(entry.address, &["apply", path.to_str().unwrap()])), 0);
    assert_eq!(status(&call(entry.address, &["wave", "pause", "spring"])), 1);
    assert_eq!(status(&call(entry.address, &["wave", "start", "spring"])), 0);
    let pause = ["wave", "pause", "spring", "--reason", "audit"];
    assert_eq!(status(&call(entry.address, &pause)), 0);
    let shown = json(&call(entry.address, &["--json", "wave", "status", "spring"]));
    assert_eq!(shown[0]["phase"], "paused");
    assert!(shown[0]["reason"].as_str().unwrap().contains("audit"));
    assert_eq!(status(&call(entry.address, &["wave", "status", "autumn"])), 1);
}

#[test]
fn a_change_prints_one_line() {
    let entry = start(0);
    let path = file("line", VALID);
    assert_eq!(status(&call(entry.address, &["apply", path.to_str().unwrap()])), 0);
    let drained = text(&call(entry.address, &["drain", "vm-1"]).stdout);
    assert_eq!(drained, "drain VM: in force from offset 1\n");
    let shown = text(&call(entry.address, &["history"]).stdout);
    assert!(shown.starts_with("History\nOFFSET"), "{shown}");
}

#[test]
fn burn_is_printed_and_plotted() {
    let entry = start(0);
    let path = file("burn", VALID);
    assert_eq!(status(&call(entry.address, &["apply", path.to_str().unwrap()])), 0);
    assert_eq!(status(&call(entry.address, &["drain", "vm-1"])), 0);
    let page = file("burn-page", "");
    let page = page.to_str().unwrap();
    let burn = ["--json", "report", "burn", "--window", "1h,2d", "--html", page];
    let windows = json(&call(entry.address, &burn))["services"][0]["windows"].clone();
    assert_eq!(
        (&windows[0]["window_secs"], &windows[1]["window_secs"]),
        (&3600.into(), &172_800.into())
    );
    let page = fs::read_to_string(page).unwrap();
    assert!(page.contains("<svg") && page.contains("vm-1") && page.ends_with("</html>\n"));
    assert!(!page.contains("<script") && !page.contains("<link"));
    let shown = text(&call(entry.address, &["report", "burn"]).stdout);
    assert!(shown.contains("quotes: 99.9 % over 30 d on 2 endpoints"), "{shown}");
}

#[test]
fn an_entry_that_does_not_answer_is_named_and_the_exit_status_is_1() {
    let unused = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = unused.local_addr().unwrap();
    drop(unused);
    let output = call(address, &["status"]);
    let errors = text(&output.stderr);
    assert_eq!((status(&output), errors.lines().count()), (1, 1), "{errors}");
    assert!(errors.starts_with(&format!("carobhitch: read status at {address}: unavailable: ")));
}

#[test]
fn output_is_coloured_only_on_request() {
    let entry = start(0);
    let plain = call(entry.address, &["status"]);
    assert!(!text(&plain.stdout).contains('\x1b'));
    let painted = call(entry.address, &["--color", "always", "status"]);
    assert!(text(&painted.stdout).contains("\x1b[32mready\x1b[0m"));
}

#[test]
fn completions_are_printed_for_every_shell() {
    for shell in ["bash", "zsh", "fish", "elvish", "powershell"] {
        let output = command(&["completions", shell]);
        assert!(status(&output) == 0 && text(&output.stdout).contains("carobhitch"));
    }
}
