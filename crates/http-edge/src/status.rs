//! Status codes as they are on the wire.
//!
//! `http-types` knows a closed list of status codes. An answer with another code holds a substitute of the same class, and its own code
//! as an extension. So whoever decides by the status of an answer reads it with [`Status::of`].

use http_types::{Response, StatusCode};
use thiserror::Error;

/// The result of reading a status code.
pub type Result<T> = std::result::Result<T, OutOfRange>;

/// The number is no status code.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("{0} is not a status code from 100 to 999")]
pub struct OutOfRange(pub u16);

/// A status code from 100 to 999.
///
/// RFC 9110 (section 15) defines the classes 1xx to 5xx, and treats a higher code as a server error. The request may have run then.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Status(u16);

/// The class of a status code, given by its first digit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatusClass {
    /// An interim answer.
    Informational,
    /// The request was successful.
    Success,
    /// The caller has to do something else.
    Redirection,
    /// The request is faulty.
    ClientError,
    /// The server failed; also the codes from 600 on.
    ServerError,
}

/// The code of an answer that `http-types` does not know, with the code that the answer holds in its place.
#[derive(Debug, Clone, Copy)]
struct UnknownStatus {
    code: Status,
    substitute: StatusCode,
}

impl Status {
    /// Returns the status of an answer.
    #[expect(clippy::disallowed_methods, reason = "only this function completes what it returns")]
    pub fn of(res: &Response) -> Self {
        let unknown = res.ext().get::<UnknownStatus>();
        // A status that was set later takes precedence.
        let unknown = unknown.filter(|it| it.substitute == res.status());
        unknown.map_or_else(|| res.status().into(), |it| it.code)
    }

    /// Creates an answer with this status.
    pub fn into_response(self) -> Response {
        if let Ok(known) = StatusCode::try_from(self.0) {
            return Response::new(known);
        }
        let substitute = match self.class() {
            StatusClass::Informational => StatusCode::Continue,
            StatusClass::Success => StatusCode::Ok,
            StatusClass::Redirection => StatusCode::MultipleChoice,
            StatusClass::ClientError => StatusCode::BadRequest,
            StatusClass::ServerError => StatusCode::InternalServerError,
        };
        let mut res = Response::new(substitute);
        res.ext_mut().insert(UnknownStatus { code: self, substitute });
        res
    }

    /// Returns the code.
    pub fn code(self) -> u16 {
        self.0
    }

    /// Returns the class.
    pub fn class(self) -> StatusClass {
        match self.0 / 100 {
            1 => StatusClass::Informational,
            2 => StatusClass::Success,
            3 => StatusClass::Redirection,
            4 => StatusClass::ClientError,
            _ => StatusClass::ServerError,
        }
    }

    /// Returns whether the request was successful.
    pub fn is_success(self) -> bool {
        self.class() == StatusClass::Success
    }

    /// Returns whether the server failed.
    pub fn is_server_error(self) -> bool {
        self.class() == StatusClass::ServerError
    }

    /// Returns whether the status promises that a request has not run and never will. Callers send a request that may run only once
    /// again after such a status, so only an answer that is known to be true may have it.
    pub fn promises_not_run(self) -> bool {
        matches!(self.0, 408 | 421 | 429 | 503)
    }
}

impl TryFrom<u16> for Status {
    type Error = OutOfRange;

    fn try_from(code: u16) -> Result<Self> {
        match code {
            100..=999 => Ok(Self(code)),
            _ => Err(OutOfRange(code)),
        }
    }
}

impl From<StatusCode> for Status {
    fn from(code: StatusCode) -> Self {
        Self(code.into())
    }
}
