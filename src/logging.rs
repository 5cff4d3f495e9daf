//! The log: structured events on standard error, as text or as JSON.

use clap::ValueEnum;
use tracing::level_filters::LevelFilter;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::registry;

/// Variable that says how much is logged.
const LOG_LEVEL: &str = "LOG_LEVEL";

/// Form of the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// A line of text an event.
    #[default]
    Text,
    /// A line of JSON an event.
    Json,
}

/// Starts the log, in the amount that the variable `LOG_LEVEL` says.
pub fn init_logging(format: LogFormat) {
    let asked = std::env::var(LOG_LEVEL).unwrap_or_default();
    let level = match asked.as_str() {
        "error" => Some(LevelFilter::ERROR),
        "" | "info" => Some(LevelFilter::INFO),
        "debug" => Some(LevelFilter::DEBUG),
        _ => None,
    };
    // What the web server says of its own start is of no use to operators.
    let filter = Targets::new()
        .with_default(level.unwrap_or(LevelFilter::INFO))
        .with_target("actix_server", LevelFilter::WARN);
    let form = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time();
    // Only fails if a log is set up already, which then serves.
    let _ = match format {
        LogFormat::Text => {
            tracing::subscriber::set_global_default(registry().with(filter).with(form))
        }
        LogFormat::Json => tracing::subscriber::set_global_default(
            registry().with(filter).with(form.json().flatten_event(true)),
        ),
    };
    if level.is_none() {
        tracing::warn!(level = %asked, "{LOG_LEVEL} is none of error, info, debug: info is used");
    }
}
