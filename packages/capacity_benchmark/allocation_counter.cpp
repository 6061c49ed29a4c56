#include "allocation_counter.hpp"

#include <malloc.h>

#include <algorithm>
#include <cstdlib>
#include <new>

namespace {

// Not synchronized: the program has a single thread.
std::size_t current_bytes = 0;
std::size_t max_bytes = 0;

void deallocate(void* pointer) noexcept {
    current_bytes -= malloc_usable_size(pointer);
    std::free(pointer);
}

} // namespace

namespace rattanbay::capacity_benchmark {

std::size_t live_bytes() {
    return current_bytes;
}

std::size_t peak_bytes() {
    return max_bytes;
}

void reset_peak() {
    max_bytes = current_bytes;
}

} // namespace rattanbay::capacity_benchmark

void* operator new(std::size_t size) {
    void* pointer = std::malloc(size == 0 ? 1 : size);
    if (pointer == nullptr) {
        throw std::bad_alloc();
    }
    current_bytes += malloc_usable_size(pointer);
    max_bytes = std::max(max_bytes, current_bytes);
    return pointer;
}

void operator delete(void* pointer) noexcept {
    deallocate(pointer);
}

void operator delete(void* pointer, std::size_t /*size*/) noexcept {
    deallocate(pointer);
}
