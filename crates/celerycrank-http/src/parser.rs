//! Skips interim responses.

use bytes::BytesMut;

use crate::{HeadError, ResponseHead, parse_response};

/// Maximum number of interim responses before the final one.
const MAX_INTERIM_RESPONSES: u32 = 16;

/// The status of a response after which the connection carries another protocol.
const SWITCHING_PROTOCOLS: u16 = 101;

/// Parses the heads of one answer, up to that of its final response.
#[derive(Debug, Default)]
pub struct HeadParser {
    /// The number of interim responses so far.
    interim: u32,
}

impl HeadParser {
    /// Removes the final head, and the interim ones before it, from the start of a buffer; `None`
    /// while it is incomplete.
    ///
    /// # Errors
    ///
    /// Fails if a head is too large or malformed, if too many are interim, or if the sender switches
    /// protocols.
    pub fn parse(
        &mut self,
        buffer: &mut BytesMut,
        limit: usize,
    ) -> Result<Option<ResponseHead>, HeadError> {
        while let Some(head) = parse_response(buffer, limit)? {
            match head.status {
                SWITCHING_PROTOCOLS => return Err(HeadError::SwitchedProtocol),
                100..=199 if self.interim == MAX_INTERIM_RESPONSES => {
                    return Err(HeadError::TooManyInterim);
                }
                100..=199 => self.interim += 1,
                _ => return Ok(Some(head)),
            }
        }
        Ok(None)
    }
}
