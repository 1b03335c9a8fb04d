use super::*;
use proptest::prelude::*;

fn frame(number: u64, kind: u8, records: &[[u8; RECORD]]) -> Vec<u8> {
    let mut out = ((HEAD + records.len() * RECORD) as u32)
        .to_be_bytes()
        .to_vec();
    out.extend(number.to_be_bytes());
    out.push(kind);
    out.extend(records.iter().flatten());
    out
}

fn record(id: u32, state: u8) -> [u8; RECORD] {
    let mut r = [0; RECORD];
    r[..4].copy_from_slice(&id.to_be_bytes());
    r[4..10].copy_from_slice(&[127, 1, 0, 9, 0x1f, 0x90]);
    r[10..15].copy_from_slice(&[state, 1, 2, 0, 7]);
    r[15..19].copy_from_slice(&4000u32.to_be_bytes());
    r[19..].copy_from_slice(&1_700_000_000_123u64.to_be_bytes());
    r
}

fn all(frames: &mut Frames) -> Result<Vec<Frame>, FrameError> {
    std::iter::from_fn(|| frames.next().transpose()).collect()
}

#[test]
fn a_record_is_read_field_by_field() {
    let mut frames = Frames::new(6);
    frames.feed(&frame(7, 2, &[record(0x00c4_1f7a, 1)]));
    let Ok(Some(Frame::Next(update))) = frames.next() else {
        panic!("an event")
    };
    let m = &update.members[0];
    assert_eq!(
        (update.number, update.whole, m.id, m.cell),
        (7, false, 0x00c4_1f7a, 7)
    );
    assert_eq!(
        (m.addr.to_string().as_str(), m.phase),
        ("127.1.0.9:8080", Phase::Draining)
    );
    assert_eq!(
        (m.zone, m.kind, m.started_ms),
        (Some(1), Some(2), 1_700_000_000_123)
    );
}

#[test]
fn what_was_had_is_passed_over_and_a_gap_is_an_error() {
    let mut frames = Frames::new(6);
    let twice = [
        frame(6, 2, &[record(1, 0)]),
        frame(7, 2, &[record(1, 0)]),
        frame(7, 2, &[record(1, 0)]),
    ];
    frames.feed(&twice.concat());
    let told = all(&mut frames).expect("good");
    assert_eq!(
        told.iter().filter(|f| matches!(f, Frame::Next(_))).count(),
        1
    );
    frames.feed(&frame(9, 2, &[]));
    assert_eq!(frames.next(), Err(FrameError::Gap(9)));
    let mut frames = Frames::new(6);
    frames.feed(&frame(9, 1, &[record(1, 0)]));
    assert!(
        matches!(frames.next(), Ok(Some(Frame::Next(u))) if u.whole),
        "a whole list fills any gap"
    );
}

#[test]
fn lengths_kinds_and_states_are_checked() {
    for (bytes, error) in [
        (vec![0xff; 4], FrameError::Length(u32::MAX)),
        (vec![0, 0, 0, 8], FrameError::Length(8)),
        (vec![0, 0, 0, 10], FrameError::Length(10)),
        (frame(7, 3, &[]), FrameError::Kind(3)),
        (frame(7, 2, &[record(1, 3)]), FrameError::State(3)),
        (frame(7, 0, &[record(1, 0)]), FrameError::Length(36)),
    ] {
        let mut frames = Frames::new(6);
        frames.feed(&bytes);
        assert_eq!(frames.next(), Err(error));
    }
}

proptest! {
    #[test]
    fn no_bytes_panic_and_splits_change_nothing(
        bytes in proptest::collection::vec(any::<u8>(), 0..200), cut in 0usize..400, noise in any::<bool>()
    ) {
        let good = [frame(1, 1, &[record(1, 0)]), frame(1, 0, &[]), frame(2, 2, &[record(2, 2)])].concat();
        let stream = if noise { bytes } else { good };
        let mut whole = Frames::new(0);
        whole.feed(&stream);
        let expected = all(&mut whole);
        let (a, b) = stream.split_at(cut.min(stream.len()));
        let mut split = Frames::new(0);
        split.feed(a);
        let told = all(&mut split).and_then(|mut first| {
            split.feed(b);
            first.extend(all(&mut split)?);
            Ok(first)
        });
        prop_assert_eq!(expected, told);
    }
}
