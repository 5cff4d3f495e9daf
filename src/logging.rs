//! The log: structured events on standard error, as text or as JSON.

use clap::ValueEnum;
use tracing::level_filters::LevelFilter;

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
pub fn start(format: LogFormat) {
    let asked = std::env::var(LOG_LEVEL).unwrap_or_default();
    let level = match asked.as_str() {
        "error" => Some(LevelFilter::ERROR),
        "" | "info" => Some(LevelFilter::INFO),
        "debug" => Some(LevelFilter::DEBUG),
        _ => None,
    };
    let log = tracing_subscriber::fmt()
        .with_max_level(level.unwrap_or(LevelFilter::INFO))
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time();
    // Only fails if a log is set up already, which then serves.
    let _ = match format {
        LogFormat::Text => tracing::subscriber::set_global_default(log.finish()),
        LogFormat::Json => {
            tracing::subscriber::set_global_default(log.json().flatten_event(true).finish())
        }
    };
    if level.is_none() {
        tracing::warn!(level = %asked, "{LOG_LEVEL} is none of error, info, debug: info is used");
    }
}
