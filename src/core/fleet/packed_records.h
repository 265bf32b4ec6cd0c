// Serialises lists of records of unsigned integers as little-endian byte strings, so that a message with
// hundreds of numbers takes only microseconds to read. Nothing in the bytes marks the fields: the reader must
// read them in the order and with the types with which they were written.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <vector>

namespace anvilpost {

using packed_bytes = std::vector<std::uint8_t>;

/// Appends the fields of records to a byte string.
class record_writer {
public:
    /// Appends a number in as many bytes as its type has.
    template <class Number>
    void add(Number value)
    {
        auto remaining = static_cast<std::uint64_t>(value);
        for (std::size_t i = 0; i < sizeof(Number); ++i) {
            bytes_.push_back(static_cast<std::uint8_t>(remaining & 0xffU));
            remaining >>= 8U;
        }
    }

    /// Moves the bytes out; the writer must not be used afterwards.
    [[nodiscard]] packed_bytes take() { return std::move(bytes_); }

private:
    packed_bytes bytes_;
};

/// Reads the fields back. The bytes must outlive the reader.
class record_reader {
public:
    explicit record_reader(const packed_bytes& bytes) : bytes_(bytes) {}

    /// True when all bytes have been read.
    [[nodiscard]] bool at_end() const { return position_ == bytes_.size(); }

    /// Throws std::out_of_range when fewer bytes are left than the type has.
    template <class Number>
    Number next()
    {
        if (bytes_.size() - position_ < sizeof(Number)) {
            throw std::out_of_range("a packed record is truncated");
        }
        std::uint64_t value = 0;
        for (std::size_t i = 0; i < sizeof(Number); ++i) {
            value |= static_cast<std::uint64_t>(bytes_[position_++]) << (8U * i);
        }
        return static_cast<Number>(value);
    }

private:
    const packed_bytes& bytes_;
    std::size_t position_ = 0;
};

/// Converts a count or a time to the unsigned type of its field; values out of range become 0 or the largest
/// value of the type.
template <class Number>
Number saturating_cast(std::int64_t value)
{
    constexpr auto largest = static_cast<std::int64_t>(static_cast<Number>(~Number{0}));
    return static_cast<Number>(value < 0 ? 0 : (value > largest ? largest : value));
}

} // namespace anvilpost
