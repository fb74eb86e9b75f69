//! The cases, one function each: it plays the case and returns how the rule was broken, if it was.

use crate::{
    http::{Reply, Server},
    record::{Event, Record},
    runner::{Config, Runner},
    site::{Result, Site},
};
use std::{
    net::SocketAddr,
    thread::sleep,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

const HOST: &str = "desk.example";

pub fn play(case: &str, record: Record, trouble: bool) -> Result<Option<String>> {
    match case {
        "route" => route(record, trouble),
        "flap" => flap(record, trouble),
        "large" => large(record, trouble),
        "filler" => filler(record, trouble),
        "reborn" => reborn(record, trouble),
        "foreign" => foreign(record, trouble),
        "service" => service(record, trouble),
        other => Err(format!("there is no case {other}")),
    }
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// A manifest with these routes (name, prefix, priority, attempts) to the service `desk`.
fn manifest(version: u64, routes: &[(&str, &str, u32, u32)]) -> String {
    let route = |(name, prefix, priority, attempts): &(&str, &str, u32, u32)| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"{prefix}\",\"timeoutMs\":3000,\
             \"kind\":\"non_idempotent\",\"sloMs\":600,\"priority\":{priority},\"service\":\"desk\",\
             \"attempts\":{attempts},\"stretch\":1.6}}"
        )
    };
    let routes: Vec<String> = routes.iter().map(route).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"desk\",\
         \"enforcesCapacity\":false,\"spare\":false}}],\"limits\":{{\"bodyBytes\":262144}}}}",
        routes.join(",")
    )
}

/// Starts so many runners of 16 cores and 64 GB, four on each rack. The first `special` have the kind `b`.
fn runners(site: &Site, count: usize, special: usize) -> Result<Vec<Runner>> {
    let config = |number: usize| Config {
        id: format!("i-{number}"),
        service: String::from("desk"),
        machine: format!("m-{number}"),
        zone: String::from("zone-a"),
        labels: vec![
            String::from(if number < special { "b" } else { "a" }),
            format!("r1-{}", number / 4),
        ],
        cpu: 16_000,
        mem_mb: 65_536,
    };
    let runners: Result<Vec<Runner>> =
        (0..count).map(|number| site.add_runner(config(number))).collect();
    // The entries read the registrations and the list of machines.
    sleep(seconds(2.0));
    runners
}

/// LOST: a job is shown as `failed` although its work item has failed less often than `attempts`.
fn route(record: Record, trouble: bool) -> Result<Option<String>> {
    const ATTEMPTS: u32 = 3;
    let quotes = ("r-quotes", "/quotes/", 0, ATTEMPTS);
    let other = ("r-other", "/other/", 0, ATTEMPTS);
    let site = Site::start(record, &manifest(3, &[quotes, other]), 3)?;
    runners(&site, 4, 0)?;
    let path = "/quotes/00000000000000a1";
    let body = "{\"spec\":\"work=6000 fails=1\",\"steps\":[{\"count\":2,\"cpu\":2000,\"memMb\":512,\
                \"estMs\":6000}]}";
    site.submit(HOST, path, body)?;
    sleep(seconds(1.0));
    if trouble {
        site.put_manifest("version 5 removes the route", &manifest(5, &[other]));
    }
    // The first run of one work item fails 6 s after its start.
    sleep(seconds(7.0));
    if trouble {
        site.put_manifest("version 8 adds the route again", &manifest(8, &[quotes, other]));
    }
    sleep(seconds(3.0));
    let mut shown = site.state(HOST, path);
    for _ in 0..20 {
        if shown.as_ref().is_some_and(|(_, state)| state == "complete" || state == "failed") {
            break;
        }
        sleep(seconds(1.0));
        shown = site.state(HOST, path);
    }
    let events = site.record.events();
    let failed = events.iter().filter(|(_, event)| {
        matches!(event, Event::End { how, .. } if *how == "failed")
    });
    let failed = failed.count();
    if failed == 0 {
        return Err(String::from("no run has failed"));
    }
    match shown {
        Some((200, state)) if state == "complete" => Ok(None),
        Some((200, state)) if state == "failed" && failed < ATTEMPTS as usize => Ok(Some(format!(
            "LOST: the job is shown as failed after {failed} failed run of {ATTEMPTS} attempts"
        ))),
        Some((410, _)) => Ok(Some(String::from("LOST: the accepted job is answered 410"))),
        other => Err(format!("the job's state is {other:?}")),
    }
}

/// Longest time from `from` on in which none of a job's work items runs.
fn longest_gap(record: &Record, job: &str, from: Duration, to: Duration) -> Duration {
    let mut spans = record.spans(job);
    spans.sort_by_key(|(_, _, begin, _)| *begin);
    let (mut busy_until, mut longest) = (from, Duration::ZERO);
    for (_, _, begin, end) in spans {
        longest = longest.max(begin.min(to).saturating_sub(busy_until));
        busy_until = busy_until.max(end.unwrap_or(to));
    }
    longest.max(to.saturating_sub(busy_until))
}

/// LOST: a work item that lasts isn't at work for 3 s, from 6 s after its last run, in calm time, while its
/// runner is up and has room for it.
fn flap(record: Record, trouble: bool) -> Result<Option<String>> {
    let watch = ("r-watch", "/watch/", 0, 3);
    let site = Site::start(record, &manifest(3, &[watch]), 3)?;
    let runners = runners(&site, 7, 1)?;
    let job = "00000000000000b1";
    let body = "{\"spec\":\"lasts\",\"steps\":[{\"count\":1,\"cpu\":2000,\"memMb\":512,\"estMs\":700,\
                \"daemon\":true,\"requires\":\"b\"}]}";
    site.submit(HOST, &format!("/watch/{job}"), body)?;
    site.wait("the work item runs", seconds(5.0), |site| !site.record.spans(job).is_empty())?;
    sleep(seconds(1.0));
    if trouble {
        // One of seven runners goes down and up by turns.
        for _ in 0..4 {
            runners[0].crash();
            sleep(seconds(0.7));
            runners[0].start().map_err(|e| e.to_string())?;
            sleep(seconds(0.7));
        }
    }
    site.record.note("calm from here on");
    let calm = site.record.now();
    sleep(seconds(28.0));
    let spans = site.record.spans(job);
    let before = |end: &Option<Duration>| end.filter(|end| *end < calm + seconds(2.0));
    let last_end = spans.iter().filter_map(|(.., end)| before(end)).max().unwrap_or(calm);
    let from = (calm + seconds(4.0)).max(last_end + seconds(6.0));
    let gap = longest_gap(&site.record, job, from, calm + seconds(28.0));
    let state = site.state(HOST, &format!("/watch/{job}"));
    site.record.note(&format!("state {state:?}, longest gap {gap:?}"));
    let text = format!("LOST: the work item that lasts has not run for {gap:.1?} of calm time");
    Ok((gap >= seconds(3.0)).then_some(text))
}

/// LOST: small jobs don't run while there is room, behind large ones of another queue for which there is none.
fn large(record: Record, trouble: bool) -> Result<Option<String>> {
    let watch = ("r-watch", "/watch/", 0, 3);
    let urgent = ("r-urgent", "/urgent/", 0, 2);
    let usual = ("r-usual", "/usual/", 1, 2);
    let site = Site::start(record, &manifest(3, &[watch, urgent, usual]), 3)?;
    runners(&site, 7, 0)?;
    let lasting = "00000000000000c1";
    let body = "{\"spec\":\"lasts\",\"steps\":[{\"count\":7,\"cpu\":1000,\"memMb\":512,\"estMs\":700,\
                \"daemon\":true,\"maxPerServer\":1}]}";
    site.submit(HOST, &format!("/watch/{lasting}"), body)?;
    site.wait("the work items that last run", seconds(5.0), |site| {
        site.record.spans(lasting).len() == 7
    })?;
    let job = |cpu: u32, count: u32, ms: u32| {
        format!(
            "{{\"spec\":\"work={ms}\",\"steps\":[{{\"count\":{count},\"cpu\":{cpu},\"memMb\":512,\
             \"estMs\":{ms}}}]}}"
        )
    };
    let mut jobs = Vec::new();
    for number in 0..40 {
        if trouble && number == 10 {
            for large in 0..8 {
                let path = format!("/urgent/00000000000001{large:02x}");
                site.submit(HOST, &path, &job(16_000, 1, 4_000))?;
            }
        }
        let id = format!("00000000000002{number:02x}");
        site.submit(HOST, &format!("/usual/{id}"), &job(1_000, 2, 500))?;
        jobs.push((id, site.record.now()));
        sleep(seconds(0.2));
    }
    site.record.note("the traffic ends");
    sleep(seconds(14.0));
    let end = site.record.now();
    sleep(seconds(4.0));
    let waits = |(id, _): &&(String, Duration)| site.record.spans(id).is_empty();
    let waiting: Vec<_> = jobs.iter().filter(waits).collect();
    for (id, _) in &waiting {
        let state = site.state(HOST, &format!("/usual/{id}"));
        site.record.note(&format!("job {id} is shown as {state:?}"));
    }
    let text = format!(
        "LOST: {} small jobs have not run {:.0?} after their acceptance, with 7 of 112 cores in use",
        waiting.len(),
        waiting.first().map_or(Duration::ZERO, |(_, at)| end - *at)
    );
    Ok((!waiting.is_empty()).then_some(text))
}

/// LOST: a work item that fills isn't started again on runners whose processors are full, although its
/// processors are not counted.
fn filler(record: Record, trouble: bool) -> Result<Option<String>> {
    let watch = ("r-watch", "/watch/", 0, 3);
    let site = Site::start(record, &manifest(3, &[watch]), 3)?;
    let runners = runners(&site, 7, 0)?;
    let body = "{\"spec\":\"lasts\",\"steps\":[{\"count\":48,\"cpu\":2000,\"memMb\":1024,\"estMs\":700,\
                \"daemon\":true,\"maxPerServer\":8}]}";
    let serving = "00000000000000d1";
    site.submit(HOST, &format!("/watch/{serving}"), body)?;
    site.wait("the serving work items run", seconds(5.0), |site| {
        site.record.spans(serving).len() == 48
    })?;
    sleep(seconds(1.0));
    let filling = "00000000000000d2";
    let body = "{\"spec\":\"lasts\",\"steps\":[{\"count\":1,\"cpu\":1000,\"memMb\":1024,\"estMs\":700,\
                \"daemon\":true,\"fills\":true}]}";
    site.submit(HOST, &format!("/watch/{filling}"), body)?;
    site.wait("the filling work item runs", seconds(5.0), |site| {
        !site.record.spans(filling).is_empty()
    })?;
    sleep(seconds(2.0));
    let begun = site.record.now();
    if trouble {
        let starts = site.record.events();
        let host = starts.iter().find_map(|(_, event)| match event {
            Event::Start { task, runner, .. } if task.starts_with(filling) => {
                runners.iter().find(|r| r.config().id == *runner)
            }
            _ => None,
        });
        let host = host.ok_or("the runner of the filling work item is not known")?;
        host.drain();
        sleep(seconds(4.0));
        host.leave();
    }
    sleep(seconds(20.0));
    let from = begun + seconds(10.0);
    let gap = longest_gap(&site.record, filling, from, site.record.now());
    let text = format!("LOST: the filling work item has not run for {gap:.1?}");
    Ok((gap >= seconds(3.0)).then_some(text))
}

/// Two runs of one work item that overlap, with the time for which they do.
fn overlap(record: &Record, job: &str) -> Option<String> {
    let now = record.now();
    let spans = record.spans(job);
    for (at, (task, run, begin, end)) in spans.iter().enumerate() {
        for (other_task, other_run, other_begin, other_end) in &spans[at + 1..] {
            let both = end.unwrap_or(now).min(other_end.unwrap_or(now));
            let from = (*begin).max(*other_begin);
            if task == other_task && both > from {
                let time = both - from;
                return Some(format!("runs {run} and {other_run} of {task} for {time:.1?}"));
            }
        }
    }
    None
}

/// TWICE: two runs of one work item at the same time, as a runner that has started again under its id holds a
/// longer lease than its owner counts with.
fn reborn(record: Record, trouble: bool) -> Result<Option<String>> {
    let quotes = ("r-quotes", "/quotes/", 0, 2);
    let site = Site::start(record, &manifest(3, &[quotes]), 3)?;
    let runners = runners(&site, 7, 0)?;
    sleep(seconds(12.0));
    // REBORN=0 leaves out the restart alone.
    let restarts = trouble && !std::env::var("REBORN").is_ok_and(|value| value == "0");
    if restarts {
        runners[0].cut_from_store(true);
        runners[0].crash();
        sleep(seconds(0.2));
        runners[0].start().map_err(|e| e.to_string())?;
    }
    sleep(seconds(1.0));
    let job = "00000000000000e1";
    let body = "{\"spec\":\"work=7000\",\"steps\":[{\"count\":1,\"cpu\":2000,\"memMb\":1024,\
                \"estMs\":7000}]}";
    site.submit(HOST, &format!("/quotes/{job}"), body)?;
    site.wait("the work item runs", seconds(3.0), |site| !site.record.spans(job).is_empty())?;
    sleep(seconds(0.8));
    if trouble {
        let events = site.record.events();
        let on_first = events.iter().any(|(_, event)| {
            matches!(event, Event::Start { runner, task, .. }
                if *runner == runners[0].config().id && task.starts_with(job))
        });
        if !on_first {
            return Err(String::from("the work item runs on another runner"));
        }
        runners[0].cut_off(true);
        runners[0].cut_from_store(false);
        sleep(seconds(5.4));
        runners[0].cut_off(false);
    }
    sleep(seconds(8.0));
    Ok(overlap(&site.record, job).map(|what| format!("TWICE: {what} at the same time")))
}

/// TWICE: an entry of another writer, with a service that no manifest names, makes the owner take a runner on
/// the same machine for ended.
fn foreign(record: Record, trouble: bool) -> Result<Option<String>> {
    let quotes = ("r-quotes", "/quotes/", 0, 2);
    let site = Site::start(record, &manifest(3, &[quotes]), 3)?;
    let runners = runners(&site, 7, 0)?;
    // The other program answers every call with 404.
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let other = Server::start(any, |_| Reply::json(404, "{}")).map_err(|e| e.to_string())?;
    let job = "00000000000000f1";
    let body = "{\"spec\":\"work=5000\",\"steps\":[{\"count\":2,\"cpu\":2000,\"memMb\":1024,\
                \"estMs\":5000}]}";
    site.submit(HOST, &format!("/quotes/{job}"), body)?;
    site.wait("the work items run", seconds(3.0), |site| site.record.spans(job).len() == 2)?;
    sleep(seconds(1.0));
    let events = site.record.events();
    let host = events.iter().find_map(|(_, event)| match event {
        Event::Start { runner, task, .. } if task.starts_with(job) => {
            runners.iter().find(|r| r.config().id == *runner)
        }
        _ => None,
    });
    let machine = host.ok_or("the runner is not known")?.config().machine.clone();
    let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    for sequence in 1..=6 {
        if trouble {
            let entry = format!(
                "{{\"service\":\"agent\",\"addr\":\"{}\",\"zone\":\"zone-a\",\"machine\":\"{machine}\",\
                 \"version\":\"v1\",\"slots\":1,\"state\":\"ready\",\"coldLeftMs\":0,\"born\":{born},\
                 \"seq\":{sequence},\"labels\":[],\"headroom\":{{\"cpu\":0,\"memMb\":0,\"gpu\":0}}}}",
                other.address
            );
            site.store.put("keyed.servers", "agent-1", entry.as_bytes());
            site.record.note(&format!("other writer: servers/agent-1 {entry}"));
        }
        sleep(crate::runner::HEARTBEAT);
    }
    other.stop();
    Ok(overlap(&site.record, job).map(|what| format!("TWICE: {what} at the same time")))
}

/// LOST: a work item that lasts runs nowhere after its queue was given to another service, which has room, and
/// the runner of the former one has left.
fn service(record: Record, trouble: bool) -> Result<Option<String>> {
    let watch = ("r-watch", "/watch/", 0, 3);
    let other = ("r-other", "/other/", 0, 3);
    let before = manifest(3, &[watch, other]).replace(
        "\"service\":\"desk\",\"attempts\":3,\"stretch\":1.6}]",
        "\"service\":\"new-desk\",\"attempts\":3,\"stretch\":1.6}]",
    );
    let services = "\"services\":[{\"name\":\"new-desk\",\"enforcesCapacity\":false,\"spare\":false},";
    let before = before.replace("\"services\":[", services);
    let without = manifest(5, &[other]).replace("\"service\":\"desk\"", "\"service\":\"new-desk\"");
    let without = without.replace("\"services\":[", services);
    let after = manifest(8, &[watch, other]).replace("\"service\":\"desk\"", "\"service\":\"new-desk\"");
    let after = after.replace("\"services\":[", services);
    let site = Site::start(record, &before, 3)?;
    let config = |number: usize| Config {
        id: format!("i-{number}"),
        service: String::from(if number == 0 { "desk" } else { "new-desk" }),
        machine: format!("m-{number}"),
        zone: String::from("zone-a"),
        labels: vec![String::from("a"), format!("r1-{}", number / 4)],
        cpu: 16_000,
        mem_mb: 65_536,
    };
    let runners: Result<Vec<Runner>> = (0..7).map(|number| site.add_runner(config(number))).collect();
    let runners = runners?;
    sleep(seconds(2.0));
    let job = "00000000000000a5";
    let body = "{\"spec\":\"lasts\",\"steps\":[{\"count\":2,\"cpu\":2000,\"memMb\":1024,\"estMs\":700,\
                \"daemon\":true}]}";
    site.submit(HOST, &format!("/watch/{job}"), body)?;
    site.wait("the work items run", seconds(5.0), |site| site.record.spans(job).len() == 2)?;
    sleep(seconds(2.0));
    let begun = site.record.now();
    if trouble {
        site.put_manifest("version 5 removes the route /watch/", &without);
        sleep(seconds(2.0));
        site.put_manifest("version 8 adds the route /watch/, to the service new-desk", &after);
        sleep(seconds(3.0));
        runners[0].drain();
        sleep(seconds(4.0));
        runners[0].leave();
    }
    sleep(seconds(15.0));
    site.state(HOST, &format!("/watch/{job}"));
    let from = begun + seconds(if trouble { 15.0 } else { 6.0 });
    let gap = longest_gap(&site.record, job, from, site.record.now());
    let text = format!("LOST: the work items that last have not run for {gap:.1?}");
    Ok((gap >= seconds(3.0)).then_some(text))
}
