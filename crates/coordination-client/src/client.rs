//! Owns calls to keepers: to one that answered last, and to the others in turn where it does not. What a call that had
//! no answer came to is not known; calls are made so that repeating them is harmless.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use hoptiller_http::client::Connection;
use hoptiller_http::{Limits, Method, Request, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::secret::Secret;
use crate::wire::{MOST_BODY, Problem};

/// Time for a connection.
const CONNECT: Duration = Duration::from_millis(500);

/// No keeper has answered as wanted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unreached {
    /// None has answered at all: what each said or did, with its address.
    Nobody(Vec<(SocketAddr, String)>),
    /// One has answered that the call itself is wrong.
    Refused(u16, String),
}

impl std::fmt::Display for Unreached {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Unreached::Nobody(all) => {
                write!(f, "no keeper has answered")?;
                all.iter()
                    .try_for_each(|(addr, why)| write!(f, "; {addr}: {why}"))
            }
            Unreached::Refused(_, why) => write!(f, "{why}"),
        }
    }
}

impl std::error::Error for Unreached {}

/// The keepers of a fleet.
#[derive(Debug)]
pub struct Keepers {
    at: Vec<SocketAddr>,
    secret: Secret,
    first: Cell<usize>,
}

impl Keepers {
    /// At these addresses.
    pub fn new(at: Vec<SocketAddr>, secret: Secret) -> Keepers {
        Keepers {
            at,
            secret,
            first: Cell::new(0),
        }
    }

    /// Begins with another one at the next call; so that a fleet's routers don't all ask the same.
    pub fn begin_with(&self, n: usize) {
        self.first.set(n % self.at.len().max(1));
    }

    /// Where they are.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.at
    }

    /// Asks one after the other until one answers; each has the time given.
    pub async fn call<A: DeserializeOwned>(
        &self,
        path: &str,
        body: Option<&impl Serialize>,
        each: Duration,
    ) -> Result<A, Unreached> {
        let mut all = Vec::new();
        for n in 0..self.at.len() {
            let at = (self.first.get() + n) % self.at.len();
            match self.call_one(self.at[at], path, body, each).await {
                Ok(answer) => {
                    self.first.set(at);
                    return Ok(answer);
                }
                Err(Unreached::Nobody(why)) => all.extend(why),
                Err(refused) => return Err(refused),
            }
        }
        Err(Unreached::Nobody(all))
    }

    /// Asks one.
    pub async fn call_one<A: DeserializeOwned>(
        &self,
        at: SocketAddr,
        path: &str,
        body: Option<&impl Serialize>,
        within: Duration,
    ) -> Result<A, Unreached> {
        let nobody = |why: String| Unreached::Nobody(vec![(at, why)]);
        let mut request = Request::new(
            if body.is_some() {
                Method::Post
            } else {
                Method::Get
            },
            path,
        );
        if let Some(body) = body {
            request.body = serde_json::to_vec(body).map_err(|e| nobody(e.to_string()))?;
        }
        let request = self.secret.sign(request.with("Connection", "close"));
        let limits = Limits {
            body: MOST_BODY,
            ..Limits::default()
        };
        let exchange = async {
            let mut c = Connection::open(at, CONNECT.min(within), limits).await?;
            c.exchange(&request, within).await
        };
        let answer: Response = exchange.await.map_err(|e| nobody(e.to_string()))?;
        let told = || {
            let told: Option<Problem> = serde_json::from_slice(&answer.body).ok();
            told.map_or_else(|| format!("status {}", answer.status.0), |p| p.problem)
        };
        if answer.status.0 == 401 {
            return Err(nobody("it does not know our secret".into()));
        }
        if self.secret.check_answer(&request, &answer).is_err() {
            return Err(nobody("its answer is not the fleet's".into()));
        }
        match answer.status.0 {
            200 => {
                serde_json::from_slice(&answer.body).map_err(|e| nobody(format!("its answer: {e}")))
            }
            status @ 400..500 => Err(Unreached::Refused(status, told())),
            _ => Err(nobody(told())),
        }
    }
}
