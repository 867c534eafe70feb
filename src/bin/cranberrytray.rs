//! The command line `cranberrytray`. Errors exit with code 2; see `cmd::Exit` for other codes.

use cranberrytray::cmd;
use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    let args = cmd::command().get_matches();
    match cmd::run(&args).await {
        Ok(exit) => exit.into(),
        Err(e) => {
            eprintln!("{:?}", miette::Report::new(e));
            ExitCode::from(2)
        }
    }
}
