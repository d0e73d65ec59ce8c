//! Tries have the same digest only if they are tries of the same request.

use stacktack_core::direct::quarantine::digest::{DigestError, RequestIdentity, SuspectDigest};

const REQUEST: RequestIdentity<'_> = RequestIdentity {
    caller: "tenant-one",
    method: "POST",
    host: "h.example",
    target: "/safe/x?y",
    body: b"a body",
};

#[test]
fn requests_that_differ_in_any_part_have_different_digests() {
    let others = [
        RequestIdentity {
            caller: "tenant-two",
            ..REQUEST
        },
        RequestIdentity {
            method: "PUT",
            ..REQUEST
        },
        RequestIdentity {
            host: "i.example",
            ..REQUEST
        },
        RequestIdentity {
            target: "/safe/x?z",
            ..REQUEST
        },
        RequestIdentity {
            body: b"a bodz",
            ..REQUEST
        },
    ];
    let own = SuspectDigest::of_request(&REQUEST);
    assert_eq!(own, SuspectDigest::of_request(&REQUEST));
    for other in others {
        assert_ne!(own, SuspectDigest::of_request(&other), "{other:?}");
    }
}

#[test]
fn bytes_moved_from_one_part_to_the_next_change_the_digest() {
    let first = RequestIdentity {
        target: "/x",
        body: b"yz",
        ..REQUEST
    };
    let second = RequestIdentity {
        target: "/xy",
        body: b"z",
        ..REQUEST
    };
    assert_ne!(
        SuspectDigest::of_request(&first),
        SuspectDigest::of_request(&second)
    );
}

#[test]
fn the_text_of_a_digest_is_parsed_back_and_invalid_texts_are_rejected() {
    let digest = SuspectDigest::of_request(&REQUEST);
    assert_eq!(digest.to_string().parse(), Ok(digest));
    for text in [
        "",
        "ab",
        "zz0000000000000000000000",
        "0123456789abcdef0123456é",
    ] {
        assert_eq!(text.parse::<SuspectDigest>(), Err(DigestError), "{text}");
    }
}
