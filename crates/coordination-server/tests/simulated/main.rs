//! Three replicas in simulated time, on real disks, with lost messages, blocked links, crashes, restarts and
//! replacements. The tests run the same replica, log and storage code as the server process.

mod availability;
mod cluster;
mod random_faults;
mod replacement;
mod rollout;
