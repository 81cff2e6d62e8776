//! Stand-in backend server that answers immediately or streams tokens with timestamps.

use std::{
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use actix_http::{Response, StatusCode, body::BodyStream};
use actix_rt::time::{Instant, sleep_until};
use bytes::Bytes;
use celerycrank_standin::{HttpAnswer, HttpCall, HttpHandler, StandinServer};
use futures_util::{FutureExt, future::LocalBoxFuture, stream};
use serde::Deserialize;

/// Request body that asks for a streamed answer.
#[derive(Debug, Clone, Copy, Deserialize)]
struct StreamRequest {
    tokens: usize,
    pause_micros: u64,
}

struct StandinHandler;

impl HttpHandler for StandinHandler {
    fn answer(self: Rc<Self>, call: HttpCall) -> LocalBoxFuture<'static, HttpAnswer> {
        async move {
            let mut builder = Response::build(StatusCode::OK);
            if let Some(id) = call.header("x-request-id") {
                builder.insert_header(("x-request-id", id));
            }
            let Ok(request) = serde_json::from_slice::<StreamRequest>(&call.body) else {
                return HttpAnswer::Respond(builder.body("ok").map_into_boxed_body());
            };
            builder.insert_header(("content-type", "text/event-stream"));
            let body = BodyStream::new(Box::pin(token_stream(request)));
            HttpAnswer::Respond(builder.body(body).map_into_boxed_body())
        }
        .boxed_local()
    }
}

/// Serves requests until the process is killed.
pub(crate) fn serve() {
    actix_rt::System::new().block_on(async {
        let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let server = StandinServer::start(listen, Rc::new(StandinHandler)).await;
        let server = server.expect("a port is free");
        println!("listening on {}", server.address());
        std::future::pending::<()>().await;
    });
}

/// Returns the system time in microseconds, which is comparable between processes of a machine.
pub(crate) fn unix_micros() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| {
        u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
    })
}

fn token_stream(
    request: StreamRequest,
) -> impl stream::Stream<Item = Result<Bytes, std::convert::Infallible>> {
    let pause = Duration::from_micros(request.pause_micros);
    let started = Instant::now();
    stream::unfold(0, move |index| async move {
        if index == request.tokens {
            return None;
        }
        if !pause.is_zero() {
            let pauses = u32::try_from(index).expect("streams are short");
            sleep_until(started + pause * pauses).await;
        }
        let event = format!("data: {}\n\n", unix_micros());
        Some((Ok(Bytes::from(event)), index + 1))
    })
}
