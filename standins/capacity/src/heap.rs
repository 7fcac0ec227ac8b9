//! Counts the heap in use, rounded as the C library's allocator rounds it.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

static LIVE_BYTES: AtomicUsize = AtomicUsize::new(0);

/// The system's allocator with a count.
pub(crate) struct CountingHeap;

/// The chunk that glibc takes for a request: 8 bytes of header, 16-byte steps, at least 32.
const fn chunk_bytes(size: usize) -> usize {
    let chunk = (size + 8 + 15) & !15;
    if chunk < 32 { 32 } else { chunk }
}

// SAFETY: every call goes to the system's allocator unchanged; only a count is kept beside it.
unsafe impl GlobalAlloc for CountingHeap {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        LIVE_BYTES.fetch_add(chunk_bytes(layout.size()), Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        LIVE_BYTES.fetch_sub(chunk_bytes(layout.size()), Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }

    unsafe fn realloc(&self, pointer: *mut u8, layout: Layout, size: usize) -> *mut u8 {
        LIVE_BYTES.fetch_add(chunk_bytes(size), Ordering::Relaxed);
        LIVE_BYTES.fetch_sub(chunk_bytes(layout.size()), Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `realloc`.
        unsafe { System.realloc(pointer, layout, size) }
    }
}

/// Runs `make` and returns its result with the heap bytes that it holds.
pub(crate) fn held_bytes<T>(make: impl FnOnce() -> T) -> (T, usize) {
    let before = LIVE_BYTES.load(Ordering::Relaxed);
    let made = make();
    let after = LIVE_BYTES.load(Ordering::Relaxed);
    (made, after.saturating_sub(before))
}
