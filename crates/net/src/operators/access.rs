use std::sync::Arc;

use subtle::ConstantTimeEq;
use xitca_web::WebContext;
use xitca_web::error::{Error, GrpcError, GrpcStatus};
use xitca_web::http::header::AUTHORIZATION;
use xitca_web::service::Service;

use super::Context;
use crate::secret::Secret;

/// The token that calls must carry.
pub(super) struct Token(Secret);

impl Token {
    pub(super) fn new(text: &str) -> Token {
        Token(Secret::new(text))
    }

    /// Compares in a time that does not depend on how much of a wrong token is right, so that a token
    /// cannot be found byte by byte.
    fn admits(&self, given: &[u8]) -> bool {
        let expected = self.0.as_bytes();
        !expected.is_empty() && bool::from(expected.ct_eq(given))
    }
}

/// Lets a call in that carries the token, before anything of it is read.
pub(super) async fn authorize<S, B, Res>(
    service: &S,
    cx: WebContext<'_, Arc<Context>, B>,
) -> Result<Res, Error>
where
    S: for<'r> Service<WebContext<'r, Arc<Context>, B>, Response = Res, Error = Error>,
{
    let header = cx.req().headers().get(AUTHORIZATION);
    let given = header.and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
    if given.is_some_and(|given| cx.state().token.admits(given)) {
        return service.call(cx).await;
    }
    let message = "the call needs the header `authorization: Bearer TOKEN` with the right token";
    Err(Error::from_service(GrpcError::new(GrpcStatus::Unauthenticated, message)))
}
