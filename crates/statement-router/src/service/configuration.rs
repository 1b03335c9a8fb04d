//! The application of the fleet configuration to the router.

use std::rc::Rc;

use super::{Service, class_names};

impl Service {
    /// Applies the currently enforced configuration versions between two events. If they cannot be applied, every
    /// class is rejected until other versions are enforced.
    pub(super) fn apply_configuration(&self) {
        let Some(member) = self.context.fleet_member() else {
            return;
        };
        let Some(document) = member.merged_document() else {
            return;
        };
        let settings = self
            .file_settings
            .with_document(&self.settings(), &document);
        member.set_can_apply_versions(settings.is_ok());
        let settings = match settings {
            Ok(settings) => Rc::new(settings),
            Err(errors) => {
                for error in errors {
                    tracing::error!(%error, "configuration not applied");
                }
                return;
            }
        };
        let engines = self.context.engines();
        engines.set_class_names(class_names(&settings));
        let policy_settings = settings.policy_settings();
        let runaway_settings = settings.runaway_settings();
        self.context.set_settings(settings.clone());
        self.context
            .with_core(|core, _| core.update_settings(policy_settings, runaway_settings));
        self.discovery.update_settings(&settings, self);
        let versions = member.versions();
        tracing::info!(
            in_force = versions.in_force,
            enforced = versions.enforced,
            "configuration applied"
        );
    }
}
