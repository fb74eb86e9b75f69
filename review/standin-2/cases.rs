//! The cases, and the checks of the rules on what the runners have noted.

use {
    crate::site::{Event, Site},
    std::{
        collections::BTreeMap,
        fs::File,
        path::PathBuf,
        thread::sleep,
        time::{Duration, Instant},
    },
};

/// Service of all runners.
const SERVICE: &str = "desk-svc";
/// Number of entries.
const ENTRIES: usize = 3;

fn route(name: &str, prefix: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"desk.example\",\"pathPrefix\":\"{prefix}\",\
         \"kind\":\"non_idempotent\",\"timeoutMs\":3000,\"sloMs\":600,\"priority\":0,\
         \"service\":\"{SERVICE}\",\"attempts\":2,\"stretch\":1.6}}"
    )
}

fn manifest(version: u64, routes: &[String]) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"healthPath\":\"/health\",\"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,\
         \"enforcesCapacity\":false,\"spare\":false}}],\"limits\":{{\"bodyBytes\":262144}}}}",
        routes.join(",")
    )
}

/// Starts runners of these kinds and the entries; `None` if they aren't ready in time.
fn start(folder: PathBuf, record: File, routes: &[String], kinds: &[&str]) -> Option<Site> {
    let mut site = Site::new(folder, record, &manifest(3, routes))?;
    for kind in kinds {
        site.add_runner(SERVICE, kind)?;
    }
    for entry in 0..ENTRIES {
        site.start_entry(entry)?;
    }
    if !site.wait_ready() {
        return None;
    }
    sleep(Duration::from_millis(1_500));
    Some(site)
}

/// Plays a case; returns whether its rule was broken, or `None` if it could not run.
pub fn play(case: &str, folder: PathBuf, record: File, trouble: bool) -> Option<bool> {
    match case {
        "reborn" => reborn(folder, record, trouble),
        "flapping" => flapping(folder, record, trouble),
        _ => None,
    }
}

/// Submits a job of `count` work items and returns whether it was accepted.
fn submit(site: &mut Site, entry: usize, id: u64, step: &str, work_ms: u64) -> bool {
    let path = format!("/quotes/{id:016x}");
    let body = format!("{{\"spec\":\"{work_ms}\",\"steps\":[{step}]}}");
    site.call(entry, "POST", &path, &body).is_some_and(|(status, _)| status == 200)
}

/// Waits until a job is shown as complete.
fn wait_complete(site: &mut Site, id: u64, limit: Duration) -> bool {
    let begun = Instant::now();
    while begun.elapsed() < limit {
        let answer = site.call((id % 3) as usize, "GET", &format!("/quotes/{id:016x}"), "");
        if answer.is_some_and(|(_, body)| body.text("state") == "complete") {
            return true;
        }
        sleep(Duration::from_millis(100));
    }
    false
}

/// Time for which the crashed runner is down (`srv_crash`, `for_s`).
const DOWN_TIME: Duration = Duration::from_millis(3_100);

/// A runner crashes while it is idle, is up again under its id 3.1 s later, and gets work before the owner has
/// read its new entry.
fn reborn(folder: PathBuf, record: File, trouble: bool) -> Option<bool> {
    const ROUNDS: u64 = 8;
    let routes = [route("quotes", "/quotes/")];
    // One runner in seven crashes: `srv_crash` takes a share of 0.15 at most.
    let mut site = start(folder, record, &routes, &["a"; 7])?;
    // Each work item takes a whole runner, so the seven of a job are on all seven.
    let step = "{\"count\":7,\"cpu\":16000,\"memMb\":1024,\"estMs\":600}";
    for round in 0..ROUNDS {
        let id = 0x1000 + 2 * round;
        let accepted = submit(&mut site, (round % 3) as usize, id, step, 600);
        if !accepted || !wait_complete(&mut site, id, Duration::from_secs(10)) {
            return None;
        }
        sleep(Duration::from_millis(1_000));
        if trouble {
            let number = (round % 7) as usize;
            site.kill_runner(number);
            site.note(&format!("runner {number}: killed while idle"));
            sleep(DOWN_TIME);
            site.start_runner(number)?;
            site.note(&format!("runner {number}: started again"));
            sleep(Duration::from_millis(50 + 40 * round));
        }
        submit(&mut site, (round % 3) as usize, id + 1, step, 600);
        wait_complete(&mut site, id + 1, Duration::from_secs(10));
    }
    let broken = check_twice(&mut site);
    site.finish_record();
    Some(broken)
}

/// Runners crash by turns, one in seven at a time, while sound jobs run.
fn flapping(folder: PathBuf, record: File, trouble: bool) -> Option<bool> {
    const RUNNERS: usize = 7;
    const JOBS: u64 = 40;
    const TURN: Duration = Duration::from_millis(1_000);
    const TURNS: usize = 60;
    let routes = [route("quotes", "/quotes/")];
    let mut site = start(folder, record, &routes, &["a"; RUNNERS])?;
    let step = "{\"count\":4,\"cpu\":4000,\"memMb\":1024,\"estMs\":2500}";
    for turn in 0..TURNS {
        if (turn as u64) < JOBS {
            submit(&mut site, turn % ENTRIES, 0x2000 + turn as u64, step, 2_500);
        }
        // The runner of the last turn is up again before the next one crashes.
        let number = turn % RUNNERS;
        if trouble {
            site.kill_runner(number);
            site.note(&format!("runner {number}: killed"));
        }
        sleep(TURN * 9 / 10);
        if trouble {
            site.start_runner(number)?;
            site.note(&format!("runner {number}: started again"));
        }
        sleep(TURN / 10);
    }
    sleep(Duration::from_secs(20));
    let broken = check_failed(&mut site, 0x2000..0x2000 + JOBS);
    site.finish_record();
    Some(broken)
}

/// Checks the part of LOST by which a job must not be shown as `failed` without cause: only ends `failed`
/// count as attempts.
fn check_failed(site: &mut Site, jobs: std::ops::Range<u64>) -> bool {
    let events = site.events();
    let mut broken = false;
    for id in jobs {
        let name = format!("{id:016x}");
        let answer = site.call((id % 3) as usize, "GET", &format!("/quotes/{name}"), "");
        if answer.is_none_or(|(_, body)| body.text("state") != "failed") {
            continue;
        }
        let failed = |event: &&Event| match event.words.iter().map(String::as_str).collect::<Vec<_>>()[..] {
            ["end", task, _, "failed", _] => task.starts_with(&name),
            _ => false,
        };
        if !events.iter().any(|event| failed(&event)) {
            let line = format!("LOST: job {name} is shown as failed, but none of its runs has ended failed");
            site.note(&line);
            println!("{line}");
            broken = true;
        }
    }
    broken
}

/// Checks TWICE: two runs of a work item at the same time on runners that are up, or a start after a run
/// has ended `done`, if that end was taken note of while the runner's lease held.
fn check_twice(site: &mut Site) -> bool {
    let events = site.events();
    let mut noted: BTreeMap<(String, String), bool> = BTreeMap::new();
    for Event { words, .. } in events.iter().filter(|event| event.words[0] == "seen") {
        for end in words.last().into_iter().flat_map(|ends| ends.split(',')) {
            if let [task, run, "done", held] = end.split(':').collect::<Vec<_>>()[..] {
                noted.insert((String::from(task), String::from(run)), held == "held");
            }
        }
    }
    let mut done: BTreeMap<String, String> = BTreeMap::new();
    let mut running: BTreeMap<String, Vec<(String, u64)>> = BTreeMap::new();
    let mut found = Vec::new();
    for Event { at_ms, runner, born, words } in &events {
        match words.iter().map(String::as_str).collect::<Vec<_>>()[..] {
            ["born"] => running.values_mut().for_each(|on| on.retain(|(id, _)| id != runner)),
            ["start", task, run, ..] => {
                if let Some(earlier) = done.get(task) {
                    found.push(format!(
                        "TWICE: {task} run {run} starts on {runner} at {at_ms}, after run {earlier} has \
                         ended done and its end was taken note of"
                    ));
                }
                let on = running.entry(String::from(task)).or_default();
                if !on.is_empty() {
                    found.push(format!("TWICE: {task} run {run} starts on {runner} beside {on:?}"));
                }
                on.push((runner.clone(), *born));
            }
            ["end", task, run, how, _] => {
                if let Some(on) = running.get_mut(task) {
                    on.retain(|(id, _)| id != runner);
                }
                let key = (String::from(task), String::from(run));
                if how == "done" && noted.get(&key) == Some(&true) {
                    done.insert(String::from(task), String::from(run));
                }
            }
            _ => {}
        }
    }
    for line in &found {
        site.note(line);
        println!("{line}");
    }
    !found.is_empty()
}
