//! The platform's protocol, without I/O: client requests and the responses to them ([`request`], [`table_group`]),
//! commands to engines and the engines' responses ([`engine_command`], [`engine_response`], [`result_rows`]), the
//! coordinator's endpoint list ([`endpoint_list`], [`frame_decoder`]), and a router's configuration file ([`config`]).
//!
//! Every length is checked before memory is allocated for it, and no input causes a panic.
#![warn(missing_docs)]

pub mod config;
pub mod endpoint_list;
pub mod engine_command;
pub mod engine_response;
pub mod frame_decoder;
mod initial_events;
pub mod request;
pub mod result_rows;
pub mod table_group;

pub use config::{Config, ConfigError};
pub use endpoint_list::{Endpoint, EndpointListUpdate, Phase};
pub use engine_command::StatementCommand;
pub use engine_response::{EngineResponse, LineDecoder, ResponseBody};
pub use frame_decoder::FrameDecoder;
pub use initial_events::InitialEventsError;
pub use request::{Catalog, RequestError, StatementRequest};
pub use result_rows::{RowAssembler, RowsError};
