// Recognises messages that a network delivers more than once or out of order, by their sequence numbers, as
// the replay window of IPsec does (RFC 4303, section 3.4.3).
#pragma once

#include <cstdint>

namespace anvilpost {

enum class sequence_arrival {
    newest,   ///< Higher than all before.
    late,     ///< Arrives for the first time, after a higher one.
    duplicate ///< Arrived before, or is too far behind the highest to tell.
};

/// The sequence numbers received from one sender, which counts its messages from 1. Invariant: bit i of
/// `recent_` is set when `highest_ - i` has arrived.
class received_sequences {
public:
    /// Records a number and returns how it arrived.
    sequence_arrival add(std::uint64_t sequence)
    {
        if (sequence > highest_) {
            const auto step = sequence - highest_;
            recent_ = (step < window ? recent_ << step : 0) | 1U;
            highest_ = sequence;
            return sequence_arrival::newest;
        }
        const auto behind = highest_ - sequence;
        if (behind >= window || (recent_ >> behind & 1U) != 0) {
            return sequence_arrival::duplicate;
        }
        recent_ |= std::uint64_t{1} << behind;
        return sequence_arrival::late;
    }

    /// The highest number so far; 0 before the first.
    [[nodiscard]] std::uint64_t highest() const { return highest_; }

private:
    static constexpr std::uint64_t window = 64;

    std::uint64_t highest_ = 0;
    std::uint64_t recent_ = 0;
};

} // namespace anvilpost
