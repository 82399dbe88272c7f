//! The part of an engine that takes orders: what is loaded, and who last gave an order.

use bytes::Bytes;
use http::{Method, StatusCode};
use model::{
    id::Offset,
    setup::{Fenced, Setup},
};

use crate::server::{self, Answer};

/// Where an engine takes orders and tells its setup.
pub const PATH: &str = "/v1/setup";

/// What an engine has loaded, and the orders that it carried out.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// What is loaded.
    pub setup: Setup,
    /// Orders that were carried out, in their order.
    pub journal: Vec<Fenced>,
    /// Whether an order with a fencing number below the highest is refused.
    pub checks_fence: bool,
    /// Calls that are answered without effect, as a busy engine does.
    pub busy: u32,
    highest: Offset,
}

impl State {
    /// Answers one call.
    pub fn handle(&mut self, method: &Method, body: &Bytes) -> Answer {
        if method == Method::GET {
            return server::json(StatusCode::OK, &self.setup);
        }
        let Ok(fenced) = serde_json::from_slice::<Fenced>(body) else {
            return server::status(StatusCode::BAD_REQUEST);
        };
        if self.checks_fence && fenced.fence < self.highest {
            return server::status(StatusCode::CONFLICT);
        }
        if self.busy > 0 {
            self.busy -= 1;
            return server::status(StatusCode::SERVICE_UNAVAILABLE);
        }
        self.highest = self.highest.max(fenced.fence);
        self.setup.apply(fenced.order.clone());
        self.journal.push(fenced);
        server::status(StatusCode::OK)
    }
}
