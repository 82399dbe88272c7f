//! One process's own way to the log, which can be cut while others still reach it.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU32, Ordering},
};

use futures::future::BoxFuture;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use standin::{
    fixture::ANY,
    log::Log,
    server::{self, Answer, Server},
};

#[derive(Default)]
struct Shared {
    is_cut: AtomicBool,
    reads: AtomicU32,
}

/// A running way; dropping it cuts it.
pub struct Way {
    server: Server,
    shared: Arc<Shared>,
}

/// Opens a way on which reads get through.
pub async fn open(log: &Log) -> Way {
    let shared = Arc::new(Shared::default());
    let way = Arc::clone(&shared);
    let base = log.base();
    let forward = move |request: Request<Incoming>| {
        if request.uri().path().starts_with("/streams/config/") {
            way.reads.fetch_add(1, Ordering::SeqCst);
        }
        let is_cut = way.is_cut.load(Ordering::SeqCst);
        let url = format!("{base}{}", request.uri());
        let answer: BoxFuture<'static, Answer> = Box::pin(async move {
            match is_cut {
                true => server::status(StatusCode::SERVICE_UNAVAILABLE),
                false => read(url).await,
            }
        });
        answer
    };
    Way { server: server::bind(ANY, Arc::new(forward)).await.unwrap(), shared }
}

impl Way {
    /// Base URL for the process's settings.
    pub fn base(&self) -> String {
        format!("http://{}", self.server.address)
    }

    /// Refuses all further calls; those that are under way end by themselves.
    pub fn cut(&self) {
        self.shared.is_cut.store(true, Ordering::SeqCst);
    }

    /// Reads of the configuration that came this way.
    pub fn reads(&self) -> u32 {
        self.shared.reads.load(Ordering::SeqCst)
    }
}

async fn read(url: String) -> Answer {
    let answer = reqwest::get(url).await.map_err(|_| server::Cut)?;
    let status = answer.status();
    let body = answer.bytes().await.map_err(|_| server::Cut)?;
    Ok(Response::builder().status(status).body(server::full(body)).unwrap())
}
