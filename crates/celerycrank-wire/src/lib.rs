//! Typed and versioned messages between the processes.
//!
//! Each QUIC stream carries one [`PeerOrder`] and the [`PeerReply`] messages that answer
//! it. Each message is sent in a frame, which consists of the protocol version, the
//! payload's length and the payload.

mod frame;
mod order;
mod reply;

pub use crate::{
    frame::{FRAME_HEADER_BYTES, FrameReader, PROTOCOL_VERSION, WireError, encode_frame},
    order::{
        HelloOrder, HttpField, OfferOrder, PeerOrder, PullOrder, RequestHead, RevokeOrder,
        RunOrder, UpdateOrder,
    },
    reply::{
        AnswerEnd, AnswerHead, BackendOffer, BrokenReply, ConfigurationReply, LoadReport,
        OfferKind, PeerReply, RefusedReply, RevokeReply, RevokeVerdict, WelcomeReply,
    },
};
