//! Three replicas in simulated time, on real disks: messages lost, links blocked, replicas crashed and restarted,
//! replicas replaced. The code is that of the processes.

mod availability;
mod cluster;
mod random_faults;
mod replacement;
mod rollout;
