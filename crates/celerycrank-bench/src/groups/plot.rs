//! Plot of skew against cost, as SVG.

use std::fmt::Write;

use super::{
    replay::{MapStrategy, ReplayReport},
    trace::TraceKind,
};

const PANEL_WIDTH: f64 = 300.0;
const PANEL_HEIGHT: f64 = 260.0;
const MARGIN: f64 = 45.0;
const COLOURS: [&str; 12] = [
    "#000000", "#d62728", "#ff7f0e", "#7f7f7f", "#1f77b4", "#2ca02c", "#9edae5", "#c5b0d5",
    "#9467bd", "#98df8a", "#bcbd22", "#17becf",
];

/// Draws one panel for each trace, with bytes loaded on the x axis and mean skew on the y axis.
pub(crate) fn draw(points: &[(TraceKind, MapStrategy, ReplayReport)]) -> String {
    let kinds = TraceKind::ALL
        .iter()
        .filter(|kind| points.iter().any(|point| point.0 == **kind));
    let kinds = kinds.collect::<Vec<_>>();
    let width = PANEL_WIDTH * kinds.len() as f64;
    let height = PANEL_HEIGHT + 200.0;
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"11\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
    );
    for (index, kind) in kinds.iter().enumerate() {
        let panel = points
            .iter()
            .filter(|point| point.0 == **kind)
            .collect::<Vec<_>>();
        draw_panel(&mut svg, PANEL_WIDTH * index as f64, kind.name(), &panel);
    }
    let legend = points
        .iter()
        .filter(|point| Some(&&point.0) == kinds.first());
    for (index, (_, strategy, _)) in legend.enumerate() {
        let y = PANEL_HEIGHT + 15.0 + 16.0 * index as f64;
        draw_point(&mut svg, MARGIN, y, index);
        draw_text(&mut svg, MARGIN + 10.0, y + 4.0, &strategy.name());
    }
    svg.push_str("</svg>\n");
    svg
}

fn draw_panel(
    svg: &mut String,
    left: f64,
    name: &str,
    points: &[&(TraceKind, MapStrategy, ReplayReport)],
) {
    let max_bytes = points
        .iter()
        .map(|point| point.2.bytes)
        .max()
        .unwrap_or(0)
        .max(1) as f64;
    let skews = points.iter().map(|point| point.2.mean_skew);
    let (low, high) = skews.fold((f64::MAX, 1.0), |(low, high), skew| {
        (skew.min(low), skew.max(high))
    });
    let plot_size = (PANEL_WIDTH - 2.0 * MARGIN, PANEL_HEIGHT - 2.0 * MARGIN);
    let (x, y) = (left + MARGIN, MARGIN);
    let _ = writeln!(
        svg,
        "<rect x=\"{x}\" y=\"{y}\" width=\"{}\" height=\"{}\" fill=\"none\" stroke=\"#999\"/>",
        plot_size.0, plot_size.1
    );
    draw_text(svg, x, y - 8.0, name);
    draw_text(svg, left + 2.0, y + 10.0, &format!("{high:.2}"));
    draw_text(svg, left + 2.0, y + plot_size.1, &format!("{low:.2}"));
    let bytes = format!("0 to {:.0} GiB loaded", max_bytes / f64::from(1 << 30));
    draw_text(svg, x, y + plot_size.1 + 16.0, &bytes);
    let span = (high - low).max(f64::EPSILON);
    for (index, (_, _, report)) in points.iter().enumerate() {
        let right = report.bytes as f64 / max_bytes * plot_size.0;
        let down = (high - report.mean_skew) / span * plot_size.1;
        draw_point(svg, x + right, y + down, index);
    }
}

fn draw_point(svg: &mut String, x: f64, y: f64, index: usize) {
    let colour = COLOURS[index % COLOURS.len()];
    let _ = writeln!(
        svg,
        "<circle cx=\"{x:.1}\" cy=\"{y:.1}\" r=\"4\" fill=\"{colour}\"/>"
    );
}

fn draw_text(svg: &mut String, x: f64, y: f64, text: &str) {
    let _ = writeln!(svg, "<text x=\"{x:.1}\" y=\"{y:.1}\">{text}</text>");
}
