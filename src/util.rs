//! Logging and signal handling, shared by the binaries.

use crate::config::{LogFormat, LogSettings};
use logforth::{
    append::{Stderr, Stdout, asynchronous::AsyncBuilder},
    layout::{JsonLayout, TextLayout},
    record::{Level, LevelFilter},
};
use tokio::signal::unix::{SignalKind, signal};

/// Sets up logging to standard error. Calls after the first one have no effect.
pub fn init_logs(settings: &LogSettings) {
    let level = match settings.level.as_str() {
        "error" => Level::Error,
        "warn" => Level::Warn,
        "debug" => Level::Debug,
        "trace" => Level::Trace,
        _ => Level::Info,
    };
    let filter = LevelFilter::MoreSevereEqual(level);
    let builder = logforth::starter_log::builder().dispatch(|dispatch| {
        let dispatch = dispatch.filter(filter);
        match settings.format {
            LogFormat::Json => {
                dispatch.append(Stderr::default().with_layout(JsonLayout::default()))
            }
            LogFormat::Text => {
                dispatch.append(Stderr::default().with_layout(TextLayout::default()))
            }
        }
    });
    let _ = builder.try_apply();
}

/// Most log lines that wait to be written; further ones are dropped.
const MAX_BUFFERED_LINES: usize = 4_096;

/// Sets up a service's logging: JSON lines to standard output. A separate thread writes them, so
/// that the service never blocks on a reader that has stopped reading.
pub fn init_service_logs() {
    let writer = AsyncBuilder::new("logs")
        .buffered_lines_limit(Some(MAX_BUFFERED_LINES))
        .overflow_drop_incoming()
        .append(Stdout::default().with_layout(JsonLayout::default()))
        .build();
    let filter = LevelFilter::MoreSevereEqual(Level::Info);
    let builder = logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(writer));
    let _ = builder.try_apply();
}

/// Completes when the process receives SIGTERM or SIGINT; never if the handlers can't be installed.
pub async fn stop_signal() {
    let (Ok(mut term), Ok(mut int)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}
