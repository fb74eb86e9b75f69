//! Answers that the entry makes itself.

use {
    crate::{
        body,
        event::Finish,
        exchange::Body,
        request::{ANSWER_HEADER, OUTCOME_HEADER, Outcome},
    },
    bytes::Bytes,
    hyper::{
        Response, StatusCode,
        header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderValue, RETRY_AFTER},
    },
    std::time::Duration,
};

pub(super) fn finished(finish: Finish) -> Response<Body> {
    match finish {
        Finish::NotRun { reason, retry_after } => {
            refusal(StatusCode::SERVICE_UNAVAILABLE, &reason, Some(retry_after))
        }
        Finish::Failed { reason } => {
            outcome(StatusCode::BAD_GATEWAY, Outcome::Failed, &reason, None)
        }
        Finish::Unknown { reason, retry_after } => {
            outcome(StatusCode::GATEWAY_TIMEOUT, Outcome::Unknown, &reason, Some(retry_after))
        }
        Finish::Stored(kept) => {
            let status = StatusCode::from_u16(kept.status).unwrap_or(StatusCode::OK);
            let said = if status.is_server_error() { Outcome::Failed } else { Outcome::Done };
            let mut response = outcome(status, said, kept.body.as_deref().unwrap_or(""), None);
            if kept.body.is_none() {
                let value = HeaderValue::from_static("not-kept");
                response.headers_mut().insert(ANSWER_HEADER, value);
            }
            response
        }
    }
}

pub(super) fn refusal(
    status: StatusCode,
    reason: &str,
    retry_after: Option<Duration>,
) -> Response<Body> {
    outcome(status, Outcome::NotRun, reason, retry_after)
}

pub(super) fn outcome(
    status: StatusCode,
    said: Outcome,
    reason: &str,
    retry_after: Option<Duration>,
) -> Response<Body> {
    let mut response = text(status, reason);
    let headers = response.headers_mut();
    if let Ok(value) = said.to_string().parse() {
        headers.insert(OUTCOME_HEADER, value);
    }
    if let Some(after) = retry_after {
        headers.insert(RETRY_AFTER, after.as_secs().max(1).into());
    }
    response
}

pub(super) fn text(status: StatusCode, content: &str) -> Response<Body> {
    let content = Bytes::from(content.to_string());
    let length = content.len();
    let mut response = Response::new(body::whole(content));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_LENGTH, length.into());
    response
}

pub(super) fn json(content: &impl serde::Serialize) -> Response<Body> {
    let mut response = text(StatusCode::OK, &serde_json::to_string(content).unwrap_or_default());
    if let Ok(value) = "application/json".parse() {
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
    response
}
