//! A traffic server in an agent's place that answers starts with frames that a test chose.

use std::sync::Arc;

use bytes::Bytes;
use standin::{
    fixture::ANY,
    server::{self, Server},
};
use uuid::Uuid;
use wire::frame::{self, Frame, Part};

/// Changes the frames of an answer on their way.
pub type Fault = fn(&mut Vec<Frame>);

pub async fn bind(content: &'static str, fault: Fault) -> Server {
    let handler: server::Handler = Arc::new(move |request| {
        let query = request.uri().query().unwrap().to_owned();
        Box::pin(async move {
            server::read(request.into_body()).await?;
            let id = query.split('&').find_map(|pair| pair.strip_prefix("request=")).unwrap();
            let mut frames = frames(id.parse().unwrap(), content);
            fault(&mut frames);
            let bytes: Vec<u8> =
                frames.iter().flat_map(|frame| frame::encode(frame).unwrap()).collect();
            Ok(http::Response::new(server::full(bytes)))
        })
    });
    server::bind(ANY, handler).await.unwrap()
}

/// The frames of a whole answer, one for each byte of content.
fn frames(request: Uuid, content: &'static str) -> Vec<Frame> {
    let digest = *blake3::hash(content.as_bytes()).as_bytes();
    let head = Part::Head { status: 200, content_type: "application/json".to_owned() };
    let chunks = content.as_bytes().chunks(1).map(|byte| Part::Chunk(Bytes::from_static(byte)));
    let end = Part::End { chunks: content.len() as u64, digest };
    let parts = std::iter::once(head).chain(chunks).chain([end]);
    (0..).zip(parts).map(|(sequence, part)| Frame { request, sequence, part }).collect()
}
