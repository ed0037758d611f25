#pragma once

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

/// Messages of PostgreSQL's wire protocol, version 3.
namespace cyclamendrift::standins {

/// Builds one message; the length is filled in by str().
class WireMessage {
public:
    explicit WireMessage(char type)
        : bytes(1, type)
    {
        this->int32(0);
    }

    WireMessage& int16(std::uint16_t value)
    {
        this->bytes += static_cast<char>(value >> 8U);
        this->bytes += static_cast<char>(value & 0xffU);
        return *this;
    }
    WireMessage& int32(std::uint32_t value)
    {
        this->int16(static_cast<std::uint16_t>(value >> 16U));
        return this->int16(static_cast<std::uint16_t>(value & 0xffffU));
    }
    WireMessage& text(std::string_view value)
    {
        this->bytes += value;
        this->bytes += '\0';
        return *this;
    }
    WireMessage& raw(std::string_view value)
    {
        this->bytes += value;
        return *this;
    }
    [[nodiscard]] std::string str() const
    {
        WireMessage length { 0 };
        length.bytes.clear();
        length.int32(static_cast<std::uint32_t>(this->bytes.size() - 1));
        std::string result = this->bytes;
        result.replace(1, length.bytes.size(), length.bytes);
        return result;
    }

private:
    std::string bytes;
};

/// Reads the fields of a message; throws std::runtime_error when it is too short.
class WireReader {
public:
    explicit WireReader(std::string_view bytes) noexcept
        : bytes(bytes)
    {
    }

    std::string_view take(std::size_t count)
    {
        if (count > this->bytes.size())
            throw std::runtime_error { "a message is too short" };
        const auto result = this->bytes.substr(0, count);
        this->bytes.remove_prefix(count);
        return result;
    }
    std::uint16_t int16()
    {
        const auto field = this->take(2);
        const auto high = static_cast<unsigned char>(field[0]);
        return static_cast<std::uint16_t>((high << 8U) | static_cast<unsigned char>(field[1]));
    }
    std::uint32_t int32()
    {
        const std::uint32_t high = this->int16();
        return (high << 16U) | this->int16();
    }
    std::string text()
    {
        const auto end = this->bytes.find('\0');
        if (end == std::string_view::npos)
            throw std::runtime_error { "a text has no end" };
        std::string result { this->take(end) };
        this->take(1);
        return result;
    }

private:
    std::string_view bytes;
};

} // namespace cyclamendrift::standins
