//! Forwards a back end's answer to the caller.

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

/// Builds the response to the caller. Its body is forwarded while the caller reads
/// it. `head_only` says that the request's method is `HEAD`.
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
        end_report: AnswerEndReport {
            control,
            attempt,
            complete: false,
        },
        _in_progress: in_progress,
    };
    let bodiless = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED];
    if head_only || bodiless.iter().any(|code| code.as_u16() == status) {
        // The response has no body that the caller would read to its end, so the
        // attempt's body is read to its end here.
        while body.frame().await.is_some() {}
        return delivered;
    }
    *delivered.body_mut() = body.boxed_unsync();
    delivered
}

fn empty() -> AnyBody {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Reports the end of the answer when dropped.
struct AnswerEndReport {
    control: ControlHandle,
    attempt: AttemptId,
    complete: bool,
}

impl Drop for AnswerEndReport {
    fn drop(&mut self) {
        self.control.outbound(OutboundEvent::AttemptClosed {
            attempt: self.attempt,
            complete: self.complete,
        });
    }
}

struct DeliveredBody {
    response: AttemptResponse,
    end_report: AnswerEndReport,
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
                self.end_report.complete = true;
                Poll::Ready(None)
            }
        }
    }
}
