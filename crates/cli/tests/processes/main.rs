//! Processes of the program: routers that are killed and terminated, the demo, a short scenario, and checks of settings.

mod commands;
mod http_client;
mod process;
mod routers;
#[path = "../temp_folder/mod.rs"]
mod temp_folder;
