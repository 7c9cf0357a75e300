//! Log lines on standard error: seconds since start, level, text, figures; or the same as JSON.

use clap::ValueEnum;
use std::fmt;
use std::io;
use std::time::Instant;
use tracing::level_filters::LevelFilter;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::FormatTime;
use tracing_subscriber::layer::{Layer, SubscriberExt};
use tracing_subscriber::util::SubscriberInitExt;

/// How log lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum Form {
    /// A line of words, its figures behind.
    #[default]
    Text,
    /// An object a line.
    Json,
}

struct SinceStart(Instant);

impl FormatTime for SinceStart {
    fn format_time(&self, to: &mut Writer<'_>) -> fmt::Result {
        write!(to, "{:.3}", self.0.elapsed().as_secs_f64())
    }
}

/// Libraries are heard only when they warn. A closed standard error stops no supervisor.
pub fn start(form: Form) {
    let heard = Targets::new().with_default(LevelFilter::WARN).with_target("fallgap", LevelFilter::INFO);
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(io::stderr)
        .with_timer(SinceStart(Instant::now()))
        .with_target(false)
        .with_ansi(false)
        .log_internal_errors(false);
    let lines = match form {
        Form::Text => lines.boxed(),
        Form::Json => lines.json().flatten_event(true).with_current_span(false).with_span_list(false).boxed(),
    };
    // Only a second start could fail, and there is none.
    let _ = tracing_subscriber::registry().with(lines.with_filter(heard)).try_init();
}
