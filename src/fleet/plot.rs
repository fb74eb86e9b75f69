//! Plots burn reports as a self-contained SVG or HTML page.
//!
//! Each service has a panel with a bar per window and, below the bars, a timeline of the losses in
//! the window of the objective. A bar is divided by cause, and a dashed line marks the burn rate of
//! 1, at which the objective is just met. The tooltip of a loss names the offsets of its records.

use {
    crate::{
        rpc::{
            json,
            proto::{BurnReply, Cause, ServiceBurn, Spend, WindowBurn},
        },
        units,
    },
    std::time::Duration,
};

/// Width of a plot in pixels.
const WIDTH: u32 = 960;
/// Left edge of the bars in pixels.
const LEFT: f64 = 110.0;
/// Length of the longest bar in pixels.
const LENGTH: f64 = 560.0;
/// Height of the legend in pixels.
const LEGEND: usize = 40;
/// Height of a row in pixels.
const ROW: usize = 24;
/// Rows of a panel besides its windows: title, timeline, axis and a gap.
const EXTRA_ROWS: usize = 4;
/// Minimum width of a loss in the timeline in pixels, so that short losses stay visible.
const MIN_MARK: f64 = 1.5;
/// Minimum burn rate at the right end of the scale in thousandths, so that the line at rate 1 is
/// always shown.
const MIN_SCALE_MILLI: u64 = 1_500;
/// Causes with their colours, in the order in which they are stacked in a bar.
const CAUSES: [(Cause, &str); 4] = [
    (Cause::Wave, "#0072b2"),
    (Cause::Failure, "#d55e00"),
    (Cause::Move, "#009e73"),
    (Cause::Operator, "#999999"),
];
const STYLE: &str = "text{font:13px sans-serif;fill:#222}.title{font-weight:bold}\
.note{fill:#666}.axis{stroke:#bbb}.mark{stroke:#222;stroke-dasharray:3 2}";
const PAGE_STYLE: &str = "body{font:14px sans-serif;margin:2em;color:#222}\
table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:left;border-bottom:1px solid #ddd}";

/// Renders a plot as an SVG document.
pub fn svg(reply: &BurnReply) -> String {
    let mut top = LEGEND;
    let mut panels = String::new();
    for service in &reply.services {
        panels += &panel(service, reply.at_millis, top);
        top += panel_height(service);
    }
    format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{top}\" \
         viewBox=\"0 0 {WIDTH} {top}\"><style>{STYLE}</style>\n{}{panels}</svg>\n",
        legend(reply.at_millis)
    )
}

/// Renders an HTML page with the plot and a table of all losses.
pub fn html(reply: &BurnReply) -> String {
    let tables: String = reply.services.iter().map(loss_table).collect();
    format!(
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Burn</title>\
         <style>{PAGE_STYLE}</style></head><body>\n<h1>Service-level burn at {}</h1>\n{}{tables}\
         </body></html>\n",
        units::timestamp(reply.at_millis),
        svg(reply)
    )
}

fn panel_height(service: &ServiceBurn) -> usize {
    (service.windows.len() + EXTRA_ROWS) * ROW
}

fn text(x: f64, y: usize, class: &str, content: &str) -> String {
    format!("<text x=\"{x:.1}\" y=\"{y}\" class=\"{class}\">{}</text>\n", escape(content))
}

fn rect(x: f64, y: usize, width: f64, color: &str, title: &str) -> String {
    let height = ROW - 8;
    format!(
        "<rect x=\"{x:.1}\" y=\"{y}\" width=\"{width:.1}\" height=\"{height}\" fill=\"{color}\" \
         fill-opacity=\"0.85\"><title>{}</title></rect>\n",
        escape(title)
    )
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

fn millis(time: u64) -> String {
    units::duration(Duration::from_millis(time))
}

fn legend(at_millis: u64) -> String {
    let entry = |(index, (cause, color)): (usize, &(Cause, &str))| {
        let (x, name) = (10.0 + 120.0 * index as f64, json::cause_name(i32::from(*cause)));
        rect(x, 8, 16.0, color, &name) + &text(x + 22.0, 21, "", &name)
    };
    let entries: String = CAUSES.iter().enumerate().map(entry).collect();
    entries + &text(520.0, 21, "note", &format!("at {}", units::timestamp(at_millis)))
}

/// Title, bars and timeline of one service.
fn panel(service: &ServiceBurn, at_millis: u64, top: usize) -> String {
    let objective_window = service.promise.unwrap_or_default();
    let title = format!(
        "{}: {} over {}, {} left of {}",
        service.service,
        units::percent(service.target_ppm),
        units::duration(Duration::from_secs(objective_window.window_secs)),
        units::signed_millis(service.left_millis),
        millis(objective_window.budget_millis),
    );
    let rates = service.windows.iter().filter_map(|window| window.rate_milli);
    let scale_milli = rates.max().unwrap_or_default().max(MIN_SCALE_MILLI);
    let mut panel = text(10.0, top + ROW, "title", &title);
    for (index, window) in service.windows.iter().enumerate() {
        panel += &bar(window, scale_milli, top + (index + 1) * ROW + 8);
    }
    let bottom = top + (service.windows.len() + 1) * ROW;
    let mark = LEFT + LENGTH * 1_000.0 / scale_milli as f64;
    panel += &format!(
        "<line class=\"mark\" x1=\"{mark:.1}\" x2=\"{mark:.1}\" y1=\"{}\" y2=\"{bottom}\"/>\n",
        top + ROW + 6
    );
    panel + &timeline(service, objective_window.window_secs * 1_000, at_millis, bottom + 10)
}

/// Bar of one window, divided by cause.
fn bar(window: &WindowBurn, scale_milli: u64, top: usize) -> String {
    let length = units::duration(Duration::from_secs(window.window_secs));
    let mut bar = text(10.0, top + 14, "", &length);
    let mut x = LEFT;
    for (cause, color) in CAUSES {
        let lost = lost_by(window, cause);
        let share = lost as f64 / window.budget_millis.max(1) as f64;
        // Without an error budget there is no burn rate to draw.
        let width =
            window.rate_milli.map_or(0.0, |_| LENGTH * share * 1_000.0 / scale_milli as f64);
        if width > 0.0 {
            let title = format!("{}: {}", json::cause_name(i32::from(cause)), millis(lost));
            bar += &rect(x, top, width, color, &title);
        }
        x += width;
    }
    let note = format!(
        "rate {}: {} of {}",
        units::rate(window.rate_milli),
        millis(window.lost_millis),
        millis(window.budget_millis)
    );
    bar + &text(LEFT + LENGTH + 12.0, top + 14, "note", &note)
}

fn lost_by(window: &WindowBurn, cause: Cause) -> u64 {
    match cause {
        Cause::Wave => window.by_wave_millis,
        Cause::Failure => window.by_failure_millis,
        Cause::Move => window.by_move_millis,
        Cause::Operator => window.by_operator_millis,
        Cause::Unspecified => 0,
    }
}

/// Losses of a service over the window of its objective.
fn timeline(service: &ServiceBurn, window_millis: u64, at_millis: u64, top: usize) -> String {
    let start = at_millis.saturating_sub(window_millis);
    let x = |time: u64| {
        let passed = time.clamp(start, at_millis) - start;
        LEFT + LENGTH * passed as f64 / window_millis.max(1) as f64
    };
    let axis = top + ROW;
    let mut line = text(10.0, top + 14, "", "losses");
    for spend in &service.spends {
        let (from, to) = (x(spend.from_millis), x(spend.to_millis.unwrap_or(at_millis)));
        let color = CAUSES.iter().find(|(cause, _)| *cause == spend.cause()).map_or("", |c| c.1);
        line += &rect(from, top, (to - from).max(MIN_MARK), color, &tooltip(spend));
    }
    line += &format!(
        "<line class=\"axis\" x1=\"{LEFT}\" x2=\"{}\" y1=\"{axis}\" y2=\"{axis}\"/>\n",
        LEFT + LENGTH
    );
    let ends = format!("{} to {}", units::timestamp(start), units::timestamp(at_millis));
    line + &text(LEFT, axis + 16, "note", &ends)
}

fn tooltip(spend: &Spend) -> String {
    format!(
        "{} in {}, {} {}: {} from {}, offsets {}",
        spend.vm,
        spend.zone,
        json::cause_name(spend.cause),
        spend.wave,
        millis(spend.lost_millis),
        units::timestamp(spend.from_millis),
        offsets(spend)
    )
}

fn offsets(spend: &Spend) -> String {
    let offsets: Vec<String> = spend.offsets.iter().map(ToString::to_string).collect();
    offsets.join(" to ")
}

fn loss_table(service: &ServiceBurn) -> String {
    let heading = ["VM", "Zone", "Cause", "Wave", "From", "To", "Lost", "Offsets"];
    let heading: String = heading.iter().map(|name| format!("<th>{name}</th>")).collect();
    let rows: String = service.spends.iter().map(loss_row).collect();
    let name = escape(&service.service);
    format!("<h2>Losses of {name}</h2>\n<table><tr>{heading}</tr>\n{rows}</table>\n")
}

fn loss_row(spend: &Spend) -> String {
    let cells = [
        spend.vm.clone(),
        spend.zone.clone(),
        json::cause_name(spend.cause),
        spend.wave.clone(),
        units::timestamp(spend.from_millis),
        spend.to_millis.map_or_else(|| String::from("lasts"), units::timestamp),
        millis(spend.lost_millis),
        offsets(spend),
    ];
    let cells: String = cells.iter().map(|cell| format!("<td>{}</td>", escape(cell))).collect();
    format!("<tr>{cells}</tr>\n")
}
