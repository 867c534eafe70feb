//! Runs the command-line tool as a process.

use std::process::Command;

/// Exit code and output of a finished command.
pub struct CommandOutput {
    pub exit_code: i32,
    pub stdout: String,
    pub stderr: String,
}

/// Runs `cranberrytray` with these arguments and waits until it exits.
pub async fn cranberrytray(args: &[&str]) -> CommandOutput {
    let args: Vec<String> = args.iter().map(|arg| (*arg).to_owned()).collect();
    let run = move || Command::new(env!("CARGO_BIN_EXE_cranberrytray")).args(args).output();
    let output = tokio::task::spawn_blocking(run).await.expect("joined").expect("the program runs");
    CommandOutput {
        exit_code: output.status.code().expect("an exit code"),
        stdout: String::from_utf8(output.stdout).expect("UTF-8"),
        stderr: String::from_utf8(output.stderr).expect("UTF-8"),
    }
}
