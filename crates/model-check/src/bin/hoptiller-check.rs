//! The program `hoptiller-model-check` under its former name.

use std::process::ExitCode;

fn main() -> ExitCode {
    hoptiller_model_check::command::main()
}
