//! The rates at which the running statements of an engine work, given that they share its cores and disks.

use super::execution::SimulatedExecution;
use super::job::MAX_PRIORITY;
use super::parameters::WorkModelParameters;

/// Weight of a thread by the priority of its statement.
const PRIORITY_WEIGHTS: [f64; MAX_PRIORITY as usize + 1] = [1.0, 4.0, 8.0, 16.0];

/// Returns the work per µs of each statement. `running` contains all statements that are not blocked; `warmth` is the
/// current fraction of the engine's full speed.
///
/// While there is a core for each thread, every thread runs at full speed. Otherwise the cores are divided by priority.
/// I/O slows down if more threads do I/O than the disks can serve at once.
pub(super) fn work_rates(
    parameters: &WorkModelParameters,
    warmth: f64,
    running: &[(u64, &SimulatedExecution)],
) -> Vec<(u64, f64)> {
    let threads: f64 = running.iter().map(|(_, e)| e.job().threads).sum();
    let io_threads: f64 = running
        .iter()
        .map(|(_, e)| e.job().threads * e.job().io_fraction)
        .sum();
    let total_weight: f64 = running.iter().map(|(_, e)| weight(e)).sum();
    let total_speed =
        parameters.cores * parameters.speed * warmth * thrashing_efficiency(parameters, threads);
    let io_speed = (parameters.io_slots / io_threads.max(f64::MIN_POSITIVE)).min(1.0);
    let rate = |execution: &SimulatedExecution| {
        let job = execution.job();
        let full_speed = job.threads * parameters.speed * warmth;
        let share = if threads <= parameters.cores {
            full_speed
        } else {
            total_speed * weight(execution) / total_weight
        };
        let cpu_rate = share.min(full_speed);
        cpu_rate / ((1.0 - job.io_fraction) + job.io_fraction / io_speed)
    };
    running.iter().map(|(id, e)| (*id, rate(e))).collect()
}

/// Returns the fraction of the total speed that remains with this number of threads. Above the threshold, it is
/// inversely proportional to that number.
fn thrashing_efficiency(parameters: &WorkModelParameters, threads: f64) -> f64 {
    let threads_per_core = threads / parameters.cores;
    let threshold = parameters.thrashing_threads_per_core;
    (threshold / threads_per_core.max(f64::MIN_POSITIVE)).min(1.0)
}

fn weight(execution: &SimulatedExecution) -> f64 {
    let job = execution.job();
    job.threads * PRIORITY_WEIGHTS[usize::from(job.priority.min(MAX_PRIORITY))]
}
