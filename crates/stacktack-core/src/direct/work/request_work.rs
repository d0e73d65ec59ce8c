//! Tokens that one request needs at one back end.

/// Work of a request at a back end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestWork {
    /// Prompt tokens that the back end does not have cached and has to read.
    pub unread_tokens: u32,
    /// Expected number of tokens of the response; 0 if unknown.
    pub output_tokens: u32,
}
