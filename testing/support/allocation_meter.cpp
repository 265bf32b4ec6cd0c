// Counts the bytes that the allocator reserves, including its rounding.
#include "support/allocation_meter.h"

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <malloc.h>
#include <new>

#ifdef __SANITIZE_ADDRESS__
// From sanitizer/allocator_interface.h, which gcc 12 does not install.
extern "C" {
std::size_t __sanitizer_get_allocated_size(const volatile void* block);
int __sanitizer_install_malloc_and_free_hooks(void (*on_malloc)(const volatile void*, std::size_t),
                                              void (*on_free)(const volatile void*));
}
#endif

namespace anvilpost::testing {
namespace {

std::atomic<bool> is_measuring = false;
std::atomic<std::ptrdiff_t> allocated_bytes = 0;
std::atomic<std::ptrdiff_t> peak_allocated_bytes = 0;

void count_allocation(std::size_t size)
{
    if (!is_measuring) {
        return;
    }
    const auto now = allocated_bytes += static_cast<std::ptrdiff_t>(size);
    auto peak = peak_allocated_bytes.load();
    while (now > peak && !peak_allocated_bytes.compare_exchange_weak(peak, now)) {
    }
}

void count_release(std::size_t size)
{
    if (is_measuring) {
        allocated_bytes -= static_cast<std::ptrdiff_t>(size);
    }
}

#ifdef __SANITIZE_ADDRESS__
void on_allocation(const volatile void* /*block*/, std::size_t size)
{
    count_allocation(size);
}

void on_release(const volatile void* block)
{
    if (is_measuring && block != nullptr) {
        count_release(__sanitizer_get_allocated_size(block));
    }
}
#endif

} // namespace

allocation_meter::allocation_meter()
{
#ifdef __SANITIZE_ADDRESS__
    static const int installed = __sanitizer_install_malloc_and_free_hooks(on_allocation, on_release);
    static_cast<void>(installed);
#endif
    allocated_bytes = 0;
    peak_allocated_bytes = 0;
    is_measuring = true;
}

allocation_meter::~allocation_meter()
{
    is_measuring = false;
}

std::size_t allocation_meter::peak_bytes() const
{
    return static_cast<std::size_t>(std::max<std::ptrdiff_t>(0, peak_allocated_bytes));
}

} // namespace anvilpost::testing

#ifndef __SANITIZE_ADDRESS__
// The array forms and those without exceptions call these two.
void* operator new(std::size_t size)
{
    void* block = std::malloc(std::max<std::size_t>(size, 1));
    if (block == nullptr) {
        throw std::bad_alloc();
    }
    anvilpost::testing::count_allocation(malloc_usable_size(block));
    return block;
}

void operator delete(void* block) noexcept
{
    if (block != nullptr) {
        anvilpost::testing::count_release(malloc_usable_size(block));
    }
    std::free(block);
}

void operator delete(void* block, std::size_t /*size*/) noexcept
{
    operator delete(block);
}
#endif
