//! Formats replies as text.

use {
    carobhitch::{
        diff::{Change, Effect},
        fleet::Declaration,
        rpc::{json, proto},
        units,
    },
    std::time::Duration,
};

/// Maximum number of losses shown per service, the longest ones.
const MAX_LOSSES: usize = 10;

/// Style of the output.
#[derive(Clone, Copy)]
pub(crate) struct Style {
    /// Whether to colour the text.
    pub(crate) color: bool,
}

/// Colour, as its ANSI escape code.
#[derive(Clone, Copy)]
enum Color {
    Red = 31,
    Green = 32,
    Yellow = 33,
}

impl Style {
    fn paint(self, color: Color, text: &str) -> String {
        match self.color {
            true => format!("\x1b[{}m{text}\x1b[0m", color as u8),
            false => String::from(text),
        }
    }
}

/// Formats rows as a table with aligned columns, without trailing spaces. The first row is the
/// heading.
fn table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or_default();
    let width = |column: usize| {
        rows.iter().filter_map(|row| row.get(column)).map(|c| visible_width(c)).max()
    };
    let widths: Vec<usize> = (0..columns).map(|column| width(column).unwrap_or_default()).collect();
    let line = |row: &Vec<String>| {
        let cells = row.iter().zip(&widths);
        let cells =
            cells.map(|(cell, width)| format!("{cell}{}", " ".repeat(width - visible_width(cell))));
        String::from(cells.collect::<Vec<_>>().join("  ").trim_end()) + "\n"
    };
    rows.iter().map(line).collect()
}

/// Number of visible characters of a cell, without ANSI escape sequences.
fn visible_width(cell: &str) -> usize {
    let mut escape = false;
    let visible = |c: &char| {
        let hidden = escape || *c == '\x1b';
        escape = hidden && *c != 'm';
        !hidden
    };
    cell.chars().filter(visible).count()
}

fn row<const N: usize>(cells: [&str; N]) -> Vec<String> {
    cells.map(String::from).to_vec()
}

/// Formats a title and a table; empty if there are no rows.
fn section(title: &str, heading: Vec<String>, rows: Vec<Vec<String>>) -> String {
    if rows.is_empty() {
        return String::new();
    }
    let rows: Vec<_> = std::iter::once(heading).chain(rows).collect();
    format!("\n{title}\n{}", table(&rows))
}

fn version(version: Option<u64>) -> String {
    version.map_or_else(|| String::from("none"), |version| version.to_string())
}

pub(crate) fn valid(declaration: &Declaration) -> String {
    let Declaration { pools, vms, services, teams, waves } = declaration;
    format!(
        "valid: {} pools, {} VMs, {} services, {} teams, {} waves\n",
        pools.len(),
        vms.len(),
        services.len(),
        teams.len(),
        waves.len()
    )
}

pub(crate) fn unchanged(found: Option<u64>) -> String {
    format!("nothing to change: version {} is in force\n", version(found))
}

pub(crate) fn changes(changes: &[Change], style: Style) -> String {
    if changes.is_empty() {
        return String::from("nothing to change\n");
    }
    changes.iter().map(|found| change(found, style)).collect()
}

fn change(change: &Change, style: Style) -> String {
    let object = format!("{} {}", change.kind, change.id);
    match &change.effect {
        Effect::Added => style.paint(Color::Green, &format!("+ {object}")) + "\n",
        Effect::Removed => style.paint(Color::Red, &format!("- {object}")) + "\n",
        Effect::Changed(fields) => {
            let lines = fields.iter().map(|f| format!("    {}: {} -> {}\n", f.name, f.old, f.new));
            let head = style.paint(Color::Yellow, &format!("~ {object}")) + "\n";
            head + &lines.collect::<String>()
        }
    }
}

pub(crate) fn status(reply: &proto::StatusReply, style: Style) -> String {
    let head = format!("version {}, next offset {}\n", version(reply.version), reply.next);
    head + &entries(&reply.entries, style)
        + &services(&reply.services, style)
        + &drains(&reply.drains)
        + &moves(&reply.moves)
        + &waves(&reply.waves, style)
}

fn entries(entries: &[proto::Entry], style: Style) -> String {
    let heading = row(["ENTRY", "ZONE", "HEALTH", "VERSION", "NEXT", "AGE", "INCARNATION"]);
    let rows = entries.iter().map(|entry| {
        let name = json::health_name(entry.health);
        let color = match entry.health() {
            proto::Health::Ready => Color::Green,
            proto::Health::Suspected | proto::Health::Unspecified => Color::Yellow,
            proto::Health::Gone => Color::Red,
        };
        vec![
            entry.id.clone(),
            entry.zone.clone(),
            style.paint(color, &name),
            version(entry.version),
            entry.next.to_string(),
            units::duration(Duration::from_millis(entry.age_millis)),
            format!("{:x}", entry.incarnation),
        ]
    });
    section("Entries", heading, rows.collect())
}

fn services(services: &[proto::Service], style: Style) -> String {
    let heading =
        row(["SERVICE", "POOL", "ENDPOINTS", "UNAVAILABLE", "AT MOST", "SPENT", "BUDGET"]);
    let rows = services.iter().map(|service| {
        let spent = units::duration(Duration::from_secs(service.spent_secs));
        let over = service.spent_secs > service.budget_secs;
        vec![
            service.id.clone(),
            service.pool.clone(),
            service.endpoints.to_string(),
            service.unavailable.to_string(),
            service.max_unavailable.to_string(),
            if over { style.paint(Color::Red, &spent) } else { spent },
            units::duration(Duration::from_secs(service.budget_secs)),
        ]
    });
    section("Services", heading, rows.collect())
}

fn drains(drains: &[proto::Drain]) -> String {
    let heading = row(["VM", "SINCE", "HELD BY", "WAITS FOR"]);
    let rows = drains.iter().map(|drain| {
        let waiting = if drain.waiting.is_empty() {
            String::from("nobody: empty")
        } else {
            drain.waiting.join(", ")
        };
        vec![drain.vm.clone(), drain.since.to_string(), drain.holds.join(", "), waiting]
    });
    section("Drains", heading, rows.collect())
}

fn moves(moves: &[proto::Move]) -> String {
    let heading = row(["VM", "FROM", "TO", "SINCE"]);
    let rows = moves.iter().map(|found| {
        let to = if found.to.is_empty() { "leaves the fleet" } else { &found.to };
        vec![found.vm.clone(), found.from.clone(), String::from(to), found.since.to_string()]
    });
    section("Moves", heading, rows.collect())
}

fn waves(waves: &[proto::Wave], style: Style) -> String {
    let heading = row(["WAVE", "PHASE", "DONE", "ACTIVE", "LEFT", "FAILED", "ENDS IN", "REASON"]);
    let rows = waves.iter().map(|wave| {
        let name = json::phase_name(wave.phase);
        let phase = match wave.phase() {
            proto::Phase::Paused => style.paint(Color::Yellow, &name),
            proto::Phase::Running => style.paint(Color::Green, &name),
            _ => name,
        };
        let remaining = wave.remaining_secs.map(|s| units::duration(Duration::from_secs(s)));
        vec![
            wave.id.clone(),
            phase,
            wave.done.to_string(),
            wave.active.len().to_string(),
            wave.left.to_string(),
            wave.failed.len().to_string(),
            remaining.unwrap_or_else(|| String::from("-")),
            wave.reason.clone(),
        ]
    });
    section("Waves", heading, rows.collect())
}

/// Formats waves alone.
pub(crate) fn wave_list(found: &[proto::Wave], style: Style) -> String {
    without_blank_line(waves(found, style))
}

/// Removes the blank line before a section; `none` if there is no section.
fn without_blank_line(text: String) -> String {
    match text.trim_start() {
        "" => String::from("none\n"),
        text => String::from(text),
    }
}

pub(crate) fn history(changes: &[proto::Change], style: Style) -> String {
    let heading = row(["OFFSET", "TIME", "AUTHOR", "ACTION", "VERDICT", "REASON"]);
    let rows = changes.iter().map(|change| {
        let verdict = match change.accepted {
            true => style.paint(Color::Green, "accepted"),
            false => style.paint(Color::Red, "rejected"),
        };
        vec![
            change.offset.to_string(),
            units::timestamp(change.at_millis),
            change.author.clone(),
            change.action.clone(),
            verdict,
            change.reason.clone(),
        ]
    });
    without_blank_line(section("History", heading, rows.collect()))
}

pub(crate) fn burn(reply: &proto::BurnReply, style: Style) -> String {
    let head = format!("Burn at {}\n", units::timestamp(reply.at_millis));
    head + &reply.services.iter().map(|service| service_burn(service, style)).collect::<String>()
}

fn service_burn(service: &proto::ServiceBurn, style: Style) -> String {
    let objective_window = service.promise.unwrap_or_default();
    let left = units::signed_millis(service.left_millis);
    let left = if service.left_millis < 0 { style.paint(Color::Red, &left) } else { left };
    let title = format!(
        "{}: {} over {} on {} endpoints, {left} left of {}",
        service.service,
        units::percent(service.target_ppm),
        units::duration(Duration::from_secs(objective_window.window_secs)),
        service.endpoints,
        units::duration(Duration::from_millis(objective_window.budget_millis)),
    );
    let heading =
        row(["WINDOW", "RATE", "LOST", "BY WAVES", "BY FAILURES", "BY MOVES", "BY OPERATORS"]);
    let windows = service.windows.iter().map(|window| window_burn(window, style)).collect();
    section(&title, heading, windows) + &losses(&service.spends)
}

fn window_burn(window: &proto::WindowBurn, style: Style) -> Vec<String> {
    let millis = |millis| units::duration(Duration::from_millis(millis));
    let rate = units::rate(window.rate_milli);
    vec![
        units::duration(Duration::from_secs(window.window_secs)),
        if window.lost_millis > window.budget_millis {
            style.paint(Color::Red, &rate)
        } else {
            rate
        },
        millis(window.lost_millis),
        millis(window.by_wave_millis),
        millis(window.by_failure_millis),
        millis(window.by_move_millis),
        millis(window.by_operator_millis),
    ]
}

fn losses(spends: &[proto::Spend]) -> String {
    let mut longest: Vec<&proto::Spend> = spends.iter().collect();
    longest.sort_by_key(|spend| std::cmp::Reverse(spend.lost_millis));
    let heading = row(["VM", "CAUSE", "FROM", "LOST", "OFFSETS"]);
    let rows = longest.iter().take(MAX_LOSSES).map(|spend| {
        let offsets: Vec<String> = spend.offsets.iter().map(ToString::to_string).collect();
        let cause = format!("{} {}", json::cause_name(spend.cause), spend.wave);
        vec![
            spend.vm.clone(),
            String::from(cause.trim_end()),
            units::timestamp(spend.from_millis),
            units::duration(Duration::from_millis(spend.lost_millis)),
            offsets.join(" to "),
        ]
    });
    let title = match spends.len().saturating_sub(MAX_LOSSES) {
        0 => String::from("Losses"),
        more => format!("Longest losses ({more} more with --json)"),
    };
    section(&title, heading, rows.collect())
}
