#pragma once

#if defined(__SANITIZE_THREAD__)
extern "C" void __tsan_acquire(void *address); // NOLINT(bugprone-reserved-identifier,readability-identifier-naming)
extern "C" void __tsan_release(void *address); // NOLINT(bugprone-reserved-identifier,readability-identifier-naming)
#endif

namespace Anvilcart
{
/// Tells the thread sanitizer that a read-side section ends here: liburcu orders it before the end of a grace period,
/// with barriers that the sanitizer cannot see. Thread-safe.
inline void annotateReadEnd([[maybe_unused]] const void *domain)
{
#if defined(__SANITIZE_THREAD__)
    __tsan_release(const_cast<void *>(domain));
#endif
}

/// Tells the thread sanitizer that a grace period has ended here. Thread-safe.
inline void annotateGracePeriodEnd([[maybe_unused]] const void *domain)
{
#if defined(__SANITIZE_THREAD__)
    __tsan_acquire(const_cast<void *>(domain));
#endif
}
} // namespace Anvilcart
