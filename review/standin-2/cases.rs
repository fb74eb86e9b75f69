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

fn service(name: &str, spare: bool) -> String {
    format!(
        "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":64,\"protocol\":\"h1\",\
         \"tls\":false,\"enforcesCapacity\":false,\"spare\":{spare}}}"
    )
}

/// A manifest with these routes, and with a spare pool if there is one.
fn manifest(version: u64, routes: &[String], spare: bool) -> String {
    let mut services = vec![service(SERVICE, false)];
    services.extend(spare.then(|| service("spare-svc", true)));
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\
         \"limits\":{{\"bodyBytes\":262144}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// Starts runners and entries; `None` if they aren't ready in time.
fn start(
    folder: PathBuf,
    record: File,
    routes: &[String],
    runners: usize,
    spare: bool,
) -> Option<Site> {
    let mut site = Site::new(folder, record, &manifest(3, routes, spare), spare)?;
    for _ in 0..runners {
        site.add_runner(SERVICE, "a")?;
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
        "upkeep" => upkeep(folder, record, trouble),
        "dropped" => dropped(folder, record, trouble),
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
    let mut site = start(folder, record, &routes, 7, false)?;
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

/// The owner is killed while callers hand in jobs, and the manifest drops their route before the next owner
/// serves.
fn dropped(folder: PathBuf, record: File, trouble: bool) -> Option<bool> {
    const ROUNDS: u64 = 6;
    const CALLERS: u64 = 8;
    let both = [route("quotes", "/quotes/"), route("orders", "/orders/")];
    let one = [route("quotes", "/quotes/")];
    let mut site = start(folder, record, &both, 7, false)?;
    let mut version = 3;
    let mut answers: Vec<(u64, Option<u16>)> = Vec::new();
    for round in 0..ROUNDS {
        let owner = site.owner()?;
        let others: Vec<usize> = (0..ENTRIES).filter(|entry| *entry != owner).collect();
        let addresses: Vec<_> = others.iter().map(|entry| site.callers_address(*entry)).collect();
        let until = Instant::now() + Duration::from_millis(1_200);
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| {
                let at = addresses[(caller % 2) as usize];
                std::thread::spawn(move || hand_in(at, until, round << 32 | caller << 16))
            })
            .collect();
        sleep(Duration::from_millis(1_000));
        if trouble {
            site.kill_entry(owner);
        }
        sleep(Duration::from_millis(150));
        version += 2;
        site.put("keyed.op", "config", &manifest(version, &one, false));
        site.note(&format!("manifest: version {version} drops the route of /orders/"));
        for caller in callers {
            answers.extend(caller.join().ok()?);
        }
        if trouble {
            site.start_entry(owner)?;
        }
        sleep(Duration::from_millis(1_500));
        version += 2;
        site.put("keyed.op", "config", &manifest(version, &both, false));
        site.note(&format!("manifest: version {version} has the route of /orders/ again"));
        sleep(Duration::from_millis(2_500));
        if !site.wait_ready() {
            return None;
        }
    }
    sleep(Duration::from_secs(3));
    let events = site.events();
    let mut broken = false;
    for (id, status) in &answers {
        site.note(&format!("job {id:016x}: {status:?}"));
        let rejected = matches!(status, Some(400..=499 | 503));
        let name = format!("{id:016x}.");
        let started = events.iter().find(|e| e.words[0] == "start" && e.words[1].starts_with(&name));
        if let Some(Event { at_ms, runner, .. }) = started.filter(|_| rejected) {
            let line = format!("REFUSED: job {id:016x} was answered {status:?} and starts on {runner} at {at_ms}");
            site.note(&line);
            println!("{line}");
            broken = true;
        }
    }
    site.finish_record();
    Some(broken)
}

/// Hands in jobs, each once, until the time is over; returns the status of each answer.
fn hand_in(at: std::net::SocketAddr, until: Instant, first: u64) -> Vec<(u64, Option<u16>)> {
    let mut answers = Vec::new();
    let step = "{\"count\":1,\"cpu\":100,\"memMb\":64,\"estMs\":300}";
    let body = format!("{{\"spec\":\"300\",\"steps\":[{step}]}}");
    let headers = [("Host", crate::site::HOST), ("X-Deadline-Ms", "3000")];
    while Instant::now() < until {
        let id = 0x4000_0000_0000_0000 | first | answers.len() as u64;
        let path = format!("/orders/{id:016x}");
        let limit = Duration::from_millis(3_000);
        let reply = crate::wire::call(at, "POST", &path, &headers, body.as_bytes(), limit);
        answers.push((id, reply.map(|(status, _)| status)));
        sleep(Duration::from_millis(40));
    }
    answers
}

/// A wave asks for the upkeep of a machine whose lasting work items have room on no other machine.
fn upkeep(folder: PathBuf, record: File, trouble: bool) -> Option<bool> {
    /// Memory of a runner and of a work item.
    const ROOM_MB: usize = 32_768;
    const ITEM_MB: usize = 7_000;
    /// Times of the rule: from 6 s after the last run on, for 3 s.
    const AFTER_MS: u64 = 6_000;
    const FOR_MS: u64 = 3_000;
    let routes = [route("quotes", "/quotes/")];
    let mut site = start(folder, record, &routes, 2, true)?;
    let step = |count| {
        format!(
            "{{\"count\":{count},\"cpu\":1000,\"memMb\":{ITEM_MB},\"daemon\":true,\"mayMiss\":1}}"
        )
    };
    // Four items fill one runner, three are on the other.
    for (id, count) in [(0x4000, 4), (0x4001, 3)] {
        let body = format!("{{\"spec\":\"lasts\",\"steps\":[{}]}}", step(count));
        site.call(0, "POST", &format!("/quotes/{id:016x}"), &body)?;
        sleep(Duration::from_millis(1_500));
    }
    let starts: Vec<Event> =
        site.events().into_iter().filter(|event| event.words[0] == "start").collect();
    let of_second = |event: &&Event| event.words[1].starts_with("0000000000004001");
    let runner = starts.iter().find(of_second)?.runner.clone();
    let together = starts.iter().filter(of_second).all(|event| event.runner == runner);
    let alone = !starts.iter().any(|event| !of_second(&event) && event.runner == runner);
    if starts.len() != 7 || !together || !alone {
        return None;
    }
    let number = site.runners.iter().position(|other| other.id == runner)?;
    sleep(Duration::from_secs(5));
    if trouble {
        let wave = format!(
            "{{\"wave\":1,\"machines\":[\"m-{number:05x}\"],\"durationS\":25,\"maxCount\":1}}"
        );
        site.put("keyed.op", "wave/1", &wave);
        site.note(&format!("wave {wave}"));
    }
    sleep(Duration::from_secs(40));
    let end_ms = crate::wire::unix_ms();
    let changes = site.changes();
    for change in &changes {
        site.note(&format!("change of a machine: {change}"));
    }
    let events = site.events();
    let last_of = |index: usize| {
        let task = format!("0000000000004001.0.0.{index}");
        let of_task = |event: &&Event| event.words.get(1).is_some_and(|name| *name == task);
        events.iter().rfind(of_task)
    };
    let at_work = (0..3).filter(|index| last_of(*index).is_some_and(|last| last.words[0] == "start"));
    let free_mb = ROOM_MB - at_work.count() * ITEM_MB;
    let mut broken = false;
    for last in (0..3).filter_map(last_of).filter(|last| last.words[0] == "end") {
        let away_ms = end_ms - last.at_ms;
        if changes.is_empty() && free_mb >= 2 * ITEM_MB && away_ms >= AFTER_MS + FOR_MS {
            let task = &last.words[1];
            let line = format!(
                "LOST: {task} is to last and has not run for {away_ms} ms; {runner} is up with \
                 {free_mb} MB free, and no machine was moved or taken down"
            );
            site.note(&line);
            println!("{line}");
            broken = true;
        }
    }
    site.finish_record();
    Some(broken)
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
