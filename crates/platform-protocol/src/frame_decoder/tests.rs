//! Tests of valid, split and invalid frames.

use super::*;
use proptest::prelude::*;

fn frame(number: u64, kind: u8, records: &[[u8; RECORD_BYTES]]) -> Vec<u8> {
    let mut bytes = ((HEADER_BYTES + records.len() * RECORD_BYTES) as u32)
        .to_be_bytes()
        .to_vec();
    bytes.extend(number.to_be_bytes());
    bytes.push(kind);
    bytes.extend(records.iter().flatten());
    bytes
}

fn record(id: u32, phase: u8) -> [u8; RECORD_BYTES] {
    let mut record = [0; RECORD_BYTES];
    record[..4].copy_from_slice(&id.to_be_bytes());
    record[4..10].copy_from_slice(&[127, 1, 0, 9, 0x1f, 0x90]);
    record[10..15].copy_from_slice(&[phase, 1, 2, 0, 7]);
    record[15..19].copy_from_slice(&4000u32.to_be_bytes());
    record[19..].copy_from_slice(&1_700_000_000_123u64.to_be_bytes());
    record
}

fn decode_all(decoder: &mut FrameDecoder) -> Result<Vec<Frame>, FrameError> {
    std::iter::from_fn(|| decoder.next_frame().transpose()).collect()
}

#[test]
fn record_fields_are_decoded() {
    let mut decoder = FrameDecoder::new(6);
    decoder.feed(&frame(7, 2, &[record(0x00c4_1f7a, 1)]));
    let Ok(Some(Frame::Update(update))) = decoder.next_frame() else {
        panic!("expected an update")
    };
    let endpoint = &update.endpoints[0];
    assert_eq!(
        (
            update.number,
            update.is_complete,
            endpoint.id,
            endpoint.cell
        ),
        (7, false, 0x00c4_1f7a, 7)
    );
    assert_eq!(
        (endpoint.addr.to_string().as_str(), endpoint.phase),
        ("127.1.0.9:8080", Phase::Draining)
    );
    assert_eq!(
        (endpoint.zone, endpoint.kind, endpoint.started_ms),
        (Some(1), Some(2), 1_700_000_000_123)
    );
}

#[test]
fn duplicate_events_are_ignored_and_a_gap_is_an_error() {
    let mut decoder = FrameDecoder::new(6);
    let frames = [
        frame(6, 2, &[record(1, 0)]),
        frame(7, 2, &[record(1, 0)]),
        frame(7, 2, &[record(1, 0)]),
    ];
    decoder.feed(&frames.concat());
    let decoded = decode_all(&mut decoder).expect("valid");
    assert_eq!(
        decoded
            .iter()
            .filter(|frame| matches!(frame, Frame::Update(_)))
            .count(),
        1
    );
    decoder.feed(&frame(9, 2, &[]));
    assert_eq!(
        decoder.next_frame(),
        Err(FrameError::Gap {
            expected: 8,
            found: 9
        })
    );
    let mut decoder = FrameDecoder::new(6);
    decoder.feed(&frame(9, 1, &[record(1, 0)]));
    assert!(
        matches!(decoder.next_frame(), Ok(Some(Frame::Update(update))) if update.is_complete),
        "a complete list is accepted after a gap"
    );
}

#[test]
fn lengths_kinds_and_phases_are_checked() {
    for (bytes, error) in [
        (vec![0xff; 4], FrameError::Length(u32::MAX)),
        (vec![0, 0, 0, 8], FrameError::Length(8)),
        (vec![0, 0, 0, 10], FrameError::Length(10)),
        (frame(7, 3, &[]), FrameError::Kind(3)),
        (frame(7, 2, &[record(1, 3)]), FrameError::Phase(3)),
        (frame(7, 0, &[record(1, 0)]), FrameError::Length(36)),
    ] {
        let mut decoder = FrameDecoder::new(6);
        decoder.feed(&bytes);
        assert_eq!(decoder.next_frame(), Err(error));
    }
}

proptest! {
    #[test]
    fn arbitrary_bytes_do_not_panic_and_splits_do_not_matter(
        bytes in proptest::collection::vec(any::<u8>(), 0..200), cut in 0usize..400, noise in any::<bool>()
    ) {
        let valid = [frame(1, 1, &[record(1, 0)]), frame(1, 0, &[]), frame(2, 2, &[record(2, 2)])].concat();
        let stream = if noise { bytes } else { valid };
        let mut unsplit = FrameDecoder::new(0);
        unsplit.feed(&stream);
        let expected = decode_all(&mut unsplit);
        let (head, tail) = stream.split_at(cut.min(stream.len()));
        let mut split = FrameDecoder::new(0);
        split.feed(head);
        let decoded = decode_all(&mut split).and_then(|mut first| {
            split.feed(tail);
            first.extend(decode_all(&mut split)?);
            Ok(first)
        });
        prop_assert_eq!(expected, decoded);
    }
}
