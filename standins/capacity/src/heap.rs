//! Counts the heap bytes in use, rounded to the chunk sizes of the C library's allocator.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

static LIVE_BYTES: AtomicUsize = AtomicUsize::new(0);

/// Wraps the system allocator and counts live bytes.
pub(crate) struct CountingHeap;

/// Returns the size of the chunk that glibc allocates for a request: 8 bytes of header, rounded
/// up to 16 bytes, at least 32.
const fn chunk_bytes(size: usize) -> usize {
    let chunk = (size + 8 + 15) & !15;
    if chunk < 32 { 32 } else { chunk }
}

// SAFETY: every call is passed to the system allocator unchanged; only a counter is added.
unsafe impl GlobalAlloc for CountingHeap {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        LIVE_BYTES.fetch_add(chunk_bytes(layout.size()), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        LIVE_BYTES.fetch_sub(chunk_bytes(layout.size()), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }

    unsafe fn realloc(&self, pointer: *mut u8, layout: Layout, size: usize) -> *mut u8 {
        LIVE_BYTES.fetch_add(chunk_bytes(size), Ordering::Relaxed);
        LIVE_BYTES.fetch_sub(chunk_bytes(layout.size()), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `realloc`.
        unsafe { System.realloc(pointer, layout, size) }
    }
}

/// Runs `build` and returns its result and the number of heap bytes that it retains.
pub(crate) fn measure_heap<T>(build: impl FnOnce() -> T) -> (T, usize) {
    let before = LIVE_BYTES.load(Ordering::Relaxed);
    let built = build();
    let after = LIVE_BYTES.load(Ordering::Relaxed);
    (built, after.saturating_sub(before))
}
