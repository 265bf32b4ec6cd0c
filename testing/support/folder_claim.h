// Claims a folder for one run, so that runs side by side with the same seed never share settings and logs.
#pragma once

#include <string>

namespace anvilpost::testing {

/// A folder that belongs to this object until it is destroyed; the claim ends with its process at the latest.
/// The folder itself is neither created nor removed.
class folder_claim {
public:
    /// Claims `wanted`, or the first of `wanted`-2, `wanted`-3 and so on that no other claim holds. The
    /// parent folder is created. Throws std::runtime_error when none can be claimed.
    explicit folder_claim(const std::string& wanted);
    folder_claim(const folder_claim&) = delete;
    folder_claim& operator=(const folder_claim&) = delete;
    ~folder_claim();

    [[nodiscard]] const std::string& path() const { return path_; }

private:
    [[nodiscard]] std::string lock_path() const { return path_ + ".lock"; }
    bool try_lock();

    std::string path_;
    int lock_ = -1;
};

} // namespace anvilpost::testing
