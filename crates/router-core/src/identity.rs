//! Identifiers of routers and statements.

/// The number of a statement, unique within one incarnation of a router. Engines know a statement by
/// [its name](RouterIdentity::statement_name), clients by its [`QueryId`](hoptiller_statement::QueryId).
pub type StatementId = u64;

/// The name of a router and of its current incarnation.
#[derive(Clone, Debug)]
pub struct RouterIdentity {
    /// Name of the router.
    pub router: String,
    /// Name of the incarnation, which changes on each restart.
    pub incarnation: String,
}

impl RouterIdentity {
    /// Returns the name by which engines and other routers identify a statement.
    pub fn statement_name(&self, id: StatementId) -> String {
        hoptiller_statement::extra::statement_name(&self.router, &self.incarnation, id)
    }
}
