//! Small helpers shared by the programs.

use crate::config::{LogFormat, LogSettings};
use logforth::{
    append::{Stderr, Stdout, asynchronous::AsyncBuilder},
    layout::{JsonLayout, TextLayout},
    record::{Level, LevelFilter},
};
use tokio::signal::unix::{SignalKind, signal};

/// Sets up logs on standard error. Later calls change nothing.
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

/// Lines that wait to be written at most; further ones are dropped.
const BUFFERED_LINES: usize = 4_096;

/// Sets up a service's logs: JSON lines on standard output, written by a thread of their own, so that
/// a reader that stops reading never stops the service.
pub fn init_service_logs() {
    let writer = AsyncBuilder::new("logs")
        .buffered_lines_limit(Some(BUFFERED_LINES))
        .overflow_drop_incoming()
        .append(Stdout::default().with_layout(JsonLayout::default()))
        .build();
    let filter = LevelFilter::MoreSevereEqual(Level::Info);
    let builder = logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(writer));
    let _ = builder.try_apply();
}

/// Ends when the process is asked to stop, by SIGTERM or SIGINT.
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
