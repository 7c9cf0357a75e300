//! Lines over time, with marks, as SVG.

use maud::{Markup, html};
use std::fmt::Write;

pub struct Line {
    pub name: &'static str,
    pub color: &'static str,
    /// One each second.
    pub values: Vec<f64>,
}

pub struct Plot<'a> {
    pub title: &'static str,
    pub lines: Vec<Line>,
    /// When, in seconds, and whether the supervisor said it (else it is a fault).
    pub marks: &'a [(f64, bool)],
}

const SIZE: (f64, f64) = (860.0, 170.0);
/// Room left of and below the lines.
const EDGE: (f64, f64) = (46.0, 20.0);

impl Plot<'_> {
    pub fn draw(&self) -> Markup {
        let seconds = self.lines.iter().map(|line| line.values.len()).max().unwrap_or(0).max(2) as f64;
        let most = self.lines.iter().flat_map(|line| &line.values).copied().fold(1e-9, f64::max);
        let top = round_up(most);
        let x = |second: f64| EDGE.0 + second / (seconds - 1.0) * (SIZE.0 - EDGE.0 - 6.0);
        let y = |value: f64| 16.0 + (1.0 - value / top) * (SIZE.1 - 16.0 - EDGE.1);
        let path = |values: &[f64]| {
            values.iter().enumerate().fold(String::new(), |mut path, (i, value)| {
                let _ = write!(path, "{}{:.1},{:.1}", if i == 0 { "M" } else { "L" }, x(i as f64), y(*value));
                path
            })
        };
        html! {
            svg xmlns="http://www.w3.org/2000/svg" width=(SIZE.0) height=(SIZE.1) font-size="11" font-family="sans-serif" {
                text x="4" y="11" { (self.title) }
                @for part in [0.0, 0.5, 1.0] {
                    line x1=(EDGE.0) x2=(SIZE.0) y1=(y(part * top)) y2=(y(part * top)) stroke="#ddd" {}
                    text x=(EDGE.0 - 4.0) y=(y(part * top) + 4.0) text-anchor="end" fill="#666" { (short(part * top)) }
                }
                @for part in 0..=4 {
                    @let second = (f64::from(part) / 4.0 * (seconds - 1.0)).round();
                    text x=(x(second)) y=(SIZE.1 - 5.0) text-anchor="middle" fill="#666" { (second) " s" }
                }
                @for (at, said) in self.marks.iter().filter(|(at, _)| *at <= seconds - 1.0) {
                    line x1=(x(*at)) x2=(x(*at)) y1="16" y2=(SIZE.1 - EDGE.1)
                        stroke=(if *said { "#69c" } else { "#c66" }) stroke-dasharray=(if *said { "1,3" } else { "4,2" }) {}
                }
                @for line in &self.lines {
                    path d=(path(&line.values)) fill="none" stroke=(line.color) stroke-width="1.4" {}
                }
                @for (i, line) in self.lines.iter().filter(|line| !line.name.is_empty()).enumerate() {
                    text x=(SIZE.0 - 70.0 * (i as f64 + 1.0)) y="11" fill=(line.color) { (line.name) }
                }
            }
        }
    }
}

fn round_up(most: f64) -> f64 {
    let power = 10f64.powf(most.log10().floor());
    [1.0, 2.0, 5.0, 10.0].map(|step| step * power).into_iter().find(|top| *top >= most).unwrap_or(most)
}

fn short(value: f64) -> String {
    if value >= 1000.0 {
        format!("{:.0}k", value / 1000.0)
    } else if value >= 10.0 {
        format!("{value:.0}")
    } else {
        format!("{value:.2}")
    }
}
