//! Small helpers shared by the programs.

use crate::config::{LogFormat, LogSettings};
use logforth::{
    append::Stderr,
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
