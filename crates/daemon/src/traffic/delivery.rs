//! Passing a back end's answer on to the caller.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use futures_util::StreamExt;
use http_body_util::{BodyExt, Empty};
use hyper::body::{Body, Frame};
use hyper::{Response, StatusCode};

use lifthollow_coordination::outbound::{AttemptId, OutboundEvent};
use lifthollow_transport::http::{AnyBody, BodyError};

use crate::control::ControlHandle;
use crate::traffic::answer;
use crate::traffic::dispatch::AttemptResponse;
use crate::traffic::in_progress::InProgressGuard;

/// The caller's answer. Its body passes while the caller reads it. `head_only`:
/// the request's method is `HEAD`.
pub async fn deliver(
    control: ControlHandle,
    attempt: AttemptId,
    response: AttemptResponse,
    head_only: bool,
    in_progress: InProgressGuard,
) -> Response<AnyBody> {
    let status = response.head.status;
    let mut delivered = answer::delivered(&response.head, empty());
    let mut body = DeliveredBody {
        response,
        closing: ClosingReport {
            control,
            attempt,
            complete: false,
        },
        _in_progress: in_progress,
    };
    let bodiless = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED];
    if head_only || bodiless.iter().any(|code| code.as_u16() == status) {
        // No body follows, so nobody will read it to its end.
        while body.frame().await.is_some() {}
        return delivered;
    }
    *delivered.body_mut() = body.boxed_unsync();
    delivered
}

fn empty() -> AnyBody {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Reports the end of the answer when it is dropped.
struct ClosingReport {
    control: ControlHandle,
    attempt: AttemptId,
    complete: bool,
}

impl Drop for ClosingReport {
    fn drop(&mut self) {
        self.control.outbound(OutboundEvent::AttemptClosed {
            attempt: self.attempt,
            complete: self.complete,
        });
    }
}

struct DeliveredBody {
    response: AttemptResponse,
    closing: ClosingReport,
    _in_progress: InProgressGuard,
}

impl Body for DeliveredBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match ready!(self.response.body.poll_next_unpin(context)) {
            Some(Ok(bytes)) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            Some(Err(error)) => Poll::Ready(Some(Err(error.into()))),
            None => {
                self.closing.complete = true;
                Poll::Ready(None)
            }
        }
    }
}
