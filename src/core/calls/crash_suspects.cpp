// Records strikes per request fingerprint, expires old ones and keeps the table within its size limit.
#include "core/calls/crash_suspects.h"

#include <algorithm>

namespace anvilpost {

void crash_suspects::make_room(time_point now)
{
    std::erase_if(suspects_,
                  [&](const auto& entry) { return now - entry.second.last_strike_ > strike_lifetime; });
    if (suspects_.size() < max_suspects) {
        return;
    }
    const auto oldest =
        std::min_element(suspects_.begin(), suspects_.end(), [](const auto& a, const auto& b) {
            return a.second.last_strike_ < b.second.last_strike_;
        });
    suspects_.erase(oldest);
}

bool crash_suspects::add_strike(std::uint64_t fingerprint, const std::string& upstream, time_point now)
{
    if (!suspects_.contains(fingerprint)) {
        make_room(now);
    }
    auto& entry = suspects_[fingerprint];
    entry.last_strike_ = now;
    return entry.upstreams_.insert(upstream).second;
}

bool crash_suspects::clear(std::uint64_t fingerprint)
{
    return suspects_.erase(fingerprint) > 0;
}

bool crash_suspects::quarantined(std::uint64_t fingerprint, time_point now) const
{
    const auto found = suspects_.find(fingerprint);
    return found != suspects_.end() && found->second.upstreams_.size() >= strikes_to_quarantine_ &&
           now - found->second.last_strike_ <= strike_lifetime;
}

} // namespace anvilpost
