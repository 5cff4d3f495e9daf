//! The log: structured events on standard error, as text or as JSON.

use clap::ValueEnum;
use tracing::level_filters::LevelFilter;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::registry;

/// Environment variable that sets the log level.
const LOG_LEVEL: &str = "LOG_LEVEL";

/// Format of the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// One line of text for each event
    #[default]
    Text,
    /// One line of JSON for each event
    Json,
}

/// Initializes the log with the level that the environment variable `LOG_LEVEL` sets: `error`, `info` (the default) or
/// `debug`.
pub fn init_logging(format: LogFormat) {
    let level_name = std::env::var(LOG_LEVEL).unwrap_or_default();
    let level = match level_name.as_str() {
        "error" => Some(LevelFilter::ERROR),
        "" | "info" => Some(LevelFilter::INFO),
        "debug" => Some(LevelFilter::DEBUG),
        _ => None,
    };
    // The start messages of the web server are not useful to operators.
    let filter = Targets::new()
        .with_default(level.unwrap_or(LevelFilter::INFO))
        .with_target("actix_server", LevelFilter::WARN);
    let layer = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time();
    // Fails only if a global subscriber is already set, which then stays in use.
    let _ = match format {
        LogFormat::Text => {
            tracing::subscriber::set_global_default(registry().with(filter).with(layer))
        }
        LogFormat::Json => tracing::subscriber::set_global_default(
            registry().with(filter).with(layer.json().flatten_event(true)),
        ),
    };
    if level.is_none() {
        tracing::warn!(level = %level_name, "{LOG_LEVEL} must be error, info or debug; using info");
    }
}
