//! Bytes that are no message are refused, without a panic and within an allocation bound.

use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::message::control::{ControlMessage, PromiseRequest};
use hornbeamlead_wire::{
    MAX_DATAGRAM_BYTES, WIRE_VERSION, WireError, decode_cell, decode_control, decode_job,
    decode_link, encode_control,
};
use proptest::prelude::*;
use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

/// Most that decoding may hold at once beyond the input, in bytes.
///
/// The codec reserves at most 1 MiB ahead for each open sequence, and no form nests deeper than
/// three sequences.
const DECODE_BOUND: usize = 4 * 1024 * 1024;

thread_local! {
    static HELD: Cell<isize> = const { Cell::new(0) };
    static PEAK: Cell<isize> = const { Cell::new(0) };
}

struct CountingAllocator;

fn note(change: isize) {
    let held = HELD.get() + change;
    HELD.set(held);
    PEAK.set(PEAK.get().max(held));
}

// SAFETY: every call is passed on to the system's allocator unchanged; only counts are kept.
#[allow(unsafe_code)]
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        note(layout.size() as isize);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        note(-(layout.size() as isize));
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn peak_of(work: impl FnOnce()) -> usize {
    HELD.set(0);
    PEAK.set(0);
    work();
    PEAK.get().unsigned_abs()
}

fn with_version(mut bytes: Vec<u8>) -> Vec<u8> {
    bytes.insert(0, WIRE_VERSION);
    bytes
}

proptest! {
    #[test]
    fn any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..4096)) {
        let bytes = with_version(bytes);
        let peak = peak_of(|| {
            drop(decode_control(&bytes));
            drop(decode_link(&bytes, MonoTime(0)));
            drop(decode_cell(&bytes));
            drop(decode_job(&bytes));
        });
        prop_assert!(peak <= DECODE_BOUND + 4 * bytes.len(), "held {} bytes", peak);
    }

    #[test]
    fn flipped_bytes(index in any::<prop::sample::Index>(), mask in 1..=255u8) {
        let mut bytes = encode_control(&ask());
        let place = index.index(bytes.len());
        bytes[place] ^= mask;
        let _ = decode_control(&bytes);
    }

    #[test]
    fn cut_bytes(index in any::<prop::sample::Index>()) {
        let bytes = encode_control(&ask());
        let length = index.index(bytes.len());
        prop_assert!(decode_control(&bytes[..length]).is_err());
    }
}

fn ask() -> ControlMessage {
    ControlMessage::PromiseRequest(PromiseRequest {
        cell: "3".parse().unwrap(),
        planner: "negombo-01".parse().unwrap(),
        epoch: "12".parse().unwrap(),
        clock: MonoTime(123_456),
        incarnation: "99".parse().unwrap(),
    })
}

#[test]
fn other_version() {
    let mut bytes = encode_control(&ask());
    bytes[0] = WIRE_VERSION + 1;
    let expected = WireError::Version {
        found: WIRE_VERSION + 1,
        expected: WIRE_VERSION,
    };
    assert_eq!(decode_control(&bytes), Err(expected));
}

#[test]
fn trailing_bytes() {
    let mut bytes = encode_control(&ask());
    bytes.push(0);
    assert_eq!(
        decode_control(&bytes),
        Err(WireError::Trailing { count: 1 })
    );
}

#[test]
fn long_datagram() {
    let bytes = vec![WIRE_VERSION; MAX_DATAGRAM_BYTES + 1];
    assert!(matches!(
        decode_control(&bytes),
        Err(WireError::TooLong { .. })
    ));
}

#[test]
fn empty_message() {
    assert_eq!(decode_control(&[]), Err(WireError::Empty));
}
