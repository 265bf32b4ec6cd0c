// Implements claims by an advisory lock on a file beside the folder; the operating system releases the lock
// when the process that holds it dies.
#include "support/folder_claim.h"

#include <fcntl.h>
#include <filesystem>
#include <stdexcept>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace anvilpost::testing {

folder_claim::folder_claim(const std::string& wanted)
{
    constexpr int max_claims = 100;
    const auto parent = std::filesystem::path(wanted).parent_path();
    if (!parent.empty()) {
        std::filesystem::create_directories(parent);
    }
    for (int i = 1; i <= max_claims; ++i) {
        path_ = i == 1 ? wanted : wanted + "-" + std::to_string(i);
        if (try_lock()) {
            return;
        }
    }
    throw std::runtime_error("cannot lock a folder for " + wanted);
}

folder_claim::~folder_claim()
{
    // Removed before it is unlocked, so that nobody holds a lock on a removed file; see try_lock.
    unlink(lock_path().c_str());
    close(lock_);
}

bool folder_claim::try_lock()
{
    constexpr mode_t owner_access = 0600;
    lock_ = open(lock_path().c_str(), O_RDWR | O_CREAT | O_CLOEXEC, owner_access);
    if (lock_ < 0) {
        return false;
    }
    struct stat locked {};
    struct stat present {};
    // The holder before may have removed the file after it was opened here; a lock on it excludes nobody.
    if (flock(lock_, LOCK_EX | LOCK_NB) == 0 && fstat(lock_, &locked) == 0 &&
        stat(lock_path().c_str(), &present) == 0 && locked.st_ino == present.st_ino) {
        return true;
    }
    close(lock_);
    return false;
}

} // namespace anvilpost::testing
