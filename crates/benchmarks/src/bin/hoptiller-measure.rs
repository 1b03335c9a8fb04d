//! The program `hoptiller-benchmarks` under its former name.

use std::process::ExitCode;

fn main() -> ExitCode {
    hoptiller_benchmarks::main()
}
