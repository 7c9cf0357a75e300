//! One self-contained page for a folder of runs.

mod svg;

use crate::experiment::compare::{Compared, median};
use crate::experiment::result::Shown;
use maud::{DOCTYPE, Markup, html};
use svg::{Line, Plot};

const STYLE: &str = "body{font:14px/1.45 sans-serif;max-width:62em;margin:2em auto;padding:0 1em;color:#222}\
 table{border-collapse:collapse;margin:1em 0}td,th{padding:.2em .7em;text-align:right;border-bottom:1px solid #ddd}\
 td:first-child,th:first-child{text-align:left}.bad{color:#b00;font-weight:bold}svg{background:#fafafa;margin:.3em 0}\
 .marks td{font-size:12px;text-align:left}details{margin:.5em 0}";

/// A page of all variants' runs; `compared`: the first variant against each other one.
pub fn page(title: &str, variants: &[(String, Vec<Shown>)], compared: &[(String, Vec<Compared>)]) -> String {
    let page = html! {
        (DOCTYPE)
        html lang="en" {
            head { meta charset="utf-8"; title { (title) } style { (maud::PreEscaped(STYLE)) } }
            body {
                h1 { (title) }
                p { "Emulated servers and proxies on loopback; medians over seeds. Latencies count from when an op was \
                     meant to be sent; ops without an answer stand with their op timeout." }
                (overview(variants))
                @for (name, compared) in compared { (comparison(&variants[0].0, name, compared)) }
                @for (name, runs) in variants { (variant(name, runs)) }
            }
        }
    };
    page.into_string()
}

fn overview(variants: &[(String, Vec<Shown>)]) -> Markup {
    let names: Vec<&str> = crate::experiment::result::Figures::default().all().iter().map(|f| f.0).collect();
    html! {
        table {
            tr { th { "" } @for (name, runs) in variants { th { (name) " (" (runs.len()) ")" } } }
            @for (i, name) in names.iter().enumerate() {
                tr {
                    td { (name) }
                    @for (_, runs) in variants {
                        @let mut all = runs.iter().map(|run| run.figures.all()[i].1).collect::<Vec<f64>>();
                        td { (format!("{:.4}", median(&mut all))) }
                    }
                }
            }
            tr {
                td { "valid runs" }
                @for (_, runs) in variants { td { (runs.iter().filter(|run| run.valid).count()) } }
            }
        }
    }
}

fn comparison(one: &str, other: &str, compared: &[Compared]) -> Markup {
    html! {
        h2 { (other) " against " (one) }
        table {
            tr { th { "figure" } th { (one) } th { (other) } th { "difference" } th { "95% interval" } th { "" } }
            @for c in compared {
                tr {
                    td { (c.name) }
                    td { (format!("{:.4}", c.median[0])) }
                    td { (format!("{:.4}", c.median[1])) }
                    td { (format!("{:+.4}", c.difference)) }
                    td { (format!("{:+.4} to {:+.4}", c.interval.0, c.interval.1)) }
                    td { (c.words()) }
                }
            }
        }
    }
}

fn variant(name: &str, runs: &[Shown]) -> Markup {
    html! {
        h2 { (name) }
        @for run in runs { (one(run)) }
    }
}

fn one(run: &Shown) -> Markup {
    let marks: Vec<(f64, bool)> =
        run.marks.iter().map(|m| (m.at_ms as f64 / 1e3, m.who == "supervisor")).collect();
    let of = |read: &dyn Fn(&crate::experiment::result::Tick) -> f64| {
        run.ticks.iter().map(read).collect::<Vec<f64>>()
    };
    let rates = Plot {
        title: "ops a second: offered, acked, rejected, lost",
        lines: vec![
            Line { name: "offered", color: "#888", values: of(&|t| t.offered as f64) },
            Line { name: "acked", color: "#2a7", values: of(&|t| t.acked as f64) },
            Line { name: "rejected", color: "#e90", values: of(&|t| t.rejected as f64) },
            Line { name: "lost", color: "#c22", values: of(&|t| t.lost as f64) },
        ],
        marks: &marks,
    };
    let latencies = Plot {
        title: "latency of acked ops, ms: median and 99th percentile",
        lines: vec![
            Line { name: "p50", color: "#36c", values: of(&|t| t.p50_ms) },
            Line { name: "p99", color: "#a3a", values: of(&|t| t.p99_ms) },
        ],
        marks: &marks,
    };
    let busy: Vec<Line> = (0..run.servers.len())
        .map(|i| Line {
            name: "",
            color: ["#36c", "#2a7", "#e90", "#a3a", "#888", "#0aa"][i % 6],
            values: run.ticks.iter().map(|t| t.busy.get(i).copied().unwrap_or(0.0)).collect(),
        })
        .collect();
    let busy = Plot { title: "busyness of each server", lines: busy, marks: &marks };
    html! {
        details open[run.seed <= 1] {
            summary {
                "seed " (run.seed) ": " (format!("{:.1}% acked, p99 {:.0} ms", run.figures.acked * 100.0, run.figures.p99_ms))
                @if !run.valid { " " span.bad { "not valid: the generator was late" } }
            }
            (rates.draw()) (latencies.draw()) (busy.draw())
            table {
                tr { th { "op type" } th { "phase" } th { "intended" } th { "acked" } th { "rejected" } th { "aborted" }
                     th { "not sent" } th { "p50 ms" } th { "p99 ms" } }
                @for t in &run.by_type {
                    tr { td { (t.name) } td { (t.phase) } td { (t.intended) } td { (t.acked) } td { (t.rejected) }
                         td { (t.aborted) } td { (t.unsent) } td { (format!("{:.1}", t.p50_ms)) } td { (format!("{:.1}", t.p99_ms)) } }
                }
            }
            table {
                tr { th { "rule" } th { "broken" } }
                @for (rule, count) in &run.rules {
                    tr { td { (rule) } td class=[(*count > 0).then_some("bad")] { (count) } }
                }
            }
            p { (run.within_grace) " ops to draining servers within the grace; " (run.doubled_by_clients)
                " effects doubled by clients; own lateness " (format!("{:.2}", run.lateness_p999_ms)) " ms at the 99.9th percentile." }
            @if !run.broken.is_empty() { ul { @for line in &run.broken { li.bad { (line) } } } }
            details {
                summary { (run.marks.len()) " faults and changes of mode" }
                table.marks { @for m in &run.marks {
                    tr { td { (format!("{:.2} s", m.at_ms as f64 / 1e3)) } td { (m.who) } td { (m.what) } }
                } }
            }
        }
    }
}
