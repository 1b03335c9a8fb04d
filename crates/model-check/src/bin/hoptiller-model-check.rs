//! The program `hoptiller-model-check`.

use std::process::ExitCode;

fn main() -> ExitCode {
    hoptiller_model_check::command::main()
}
