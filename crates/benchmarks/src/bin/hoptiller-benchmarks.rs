//! The program `hoptiller-benchmarks`.

use std::process::ExitCode;

fn main() -> ExitCode {
    hoptiller_benchmarks::main()
}
