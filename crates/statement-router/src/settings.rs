//! The settings of a router: their types, their parsing from a Jsonnet file, and their validation before the router
//! starts.
//!
//! The keys of the file are a documented interface; a serde rename ties each field to its key where the names differ.
//! All errors of a file are reported at once, each with its location.

mod conversion;
mod error;
mod fleet_document;
mod jsonnet;
mod parse;
mod reader;
mod sections;
mod validate;

use std::path::Path;

use serde::Serialize;

pub use error::SettingError;
pub use jsonnet::{evaluate, evaluate_file};
pub use sections::{
    ClassSettings, CoordinationSettings, DiscoverySettings, EngineSettings, Idempotency,
    LimitSettings, MachineKind, RetryBudgetSettings, RouterSettings, RuleSettings, RunawaySettings,
    Tenant,
};

/// All settings of one router.
#[derive(Clone, Debug, Serialize)]
pub struct Settings {
    /// This router and its place among the routers of the fleet.
    pub router: RouterSettings,
    /// Classes of statements. The policy refers to a class by its index here.
    pub classes: Vec<ClassSettings>,
    /// Index of the class of a statement that names none.
    pub default_class: usize,
    /// Machine kinds. The policy refers to a kind by its index here.
    pub kinds: Vec<MachineKind>,
    /// Zones. The policy refers to a zone by its index here.
    pub zones: Vec<String>,
    /// Tenants. The policy refers to a tenant by its index here.
    pub tenants: Vec<Tenant>,
    /// Capabilities of engines, and limits and timeouts of requests to them.
    pub engines: EngineSettings,
    /// Parameters of the policy's rules.
    pub rules: RuleSettings,
    /// The source of the list of engines.
    pub discovery: DiscoverySettings,
    /// Detection and enforcement settings for runaway statements.
    pub runaways: RunawaySettings,
    /// This router's part in the coordination of a fleet. With `None`, only its own file applies.
    #[serde(rename = "agreement")]
    pub coordination: Option<CoordinationSettings>,
    /// Resource limits and timeouts.
    pub limits: LimitSettings,
}

impl Settings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file is invalid: all errors of the file, each with its location.
    pub fn load(path: &Path) -> Result<Settings, Vec<SettingError>> {
        let value = evaluate_file(path).map_err(|error| vec![error])?;
        Settings::from_value(&path.display().to_string(), &value)
    }

    /// Reads settings from Jsonnet text; `name` stands for a file name in errors.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is invalid: all errors of the text, each with its location.
    pub fn from_text(name: &str, text: &str) -> Result<Settings, Vec<SettingError>> {
        let value = evaluate(name, text).map_err(|error| vec![error])?;
        Settings::from_value(name, &value)
    }

    /// Reads settings from an evaluated value; `name` stands for a file name in errors.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is invalid: all errors of the value, each with its location.
    pub fn from_value(
        name: &str,
        value: &serde_json::Value,
    ) -> Result<Settings, Vec<SettingError>> {
        let (settings, mut errors) = parse::parse(name, value);
        if let Some(settings) = &settings {
            errors.extend(validate::validate(name, settings));
        }
        match settings {
            Some(settings) if errors.is_empty() => Ok(settings),
            _ => Err(errors),
        }
    }

    /// Returns the index of the class with this name.
    pub fn class_index(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class.name == name)
    }
}
