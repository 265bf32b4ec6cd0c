// Lists of small numbers as byte strings, little-endian, so that a message with hundreds of them costs
// microseconds to read. Records are written and read field by field in the same order.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <vector>

namespace anvilpost {

using packed_bytes = std::vector<std::uint8_t>;

class record_writer {
public:
    template <class Number>
    void add(Number value)
    {
        auto rest = static_cast<std::uint64_t>(value);
        for (std::size_t i = 0; i < sizeof(Number); ++i) {
            bytes_.push_back(static_cast<std::uint8_t>(rest & 0xffU));
            rest >>= 8U;
        }
    }

    [[nodiscard]] packed_bytes take() { return std::move(bytes_); }

private:
    packed_bytes bytes_;
};

/// Throws std::out_of_range when a record is cut short.
class record_reader {
public:
    explicit record_reader(const packed_bytes& bytes) : bytes_(bytes) {}

    [[nodiscard]] bool done() const { return at_ == bytes_.size(); }

    template <class Number>
    Number next()
    {
        if (bytes_.size() - at_ < sizeof(Number)) {
            throw std::out_of_range("a packed record is cut short");
        }
        std::uint64_t value = 0;
        for (std::size_t i = 0; i < sizeof(Number); ++i) {
            value |= static_cast<std::uint64_t>(bytes_[at_++]) << (8U * i);
        }
        return static_cast<Number>(value);
    }

private:
    const packed_bytes& bytes_;
    std::size_t at_ = 0;
};

/// Narrows a count or a time to the width of its field; larger values become the largest that fits.
template <class Number>
Number saturated(std::int64_t value)
{
    constexpr auto largest = static_cast<std::int64_t>(static_cast<Number>(~Number{0}));
    return static_cast<Number>(value < 0 ? 0 : (value > largest ? largest : value));
}

} // namespace anvilpost
