#include <cyclamendrift/session_proxy/packing.h>

#include <cyclamendrift/core/little_endian.h>

#include <google/protobuf/io/gzip_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstring>

namespace cyclamendrift {

namespace {

namespace io = google::protobuf::io;

constexpr std::size_t maxDocumentBytes = std::size_t { 16 } << 20U;

// The document's length precedes its bytes, because the library takes a truncated stream for a complete one.
constexpr std::size_t lengthBytes = sizeof(std::uint64_t);

} // namespace

std::string pack(std::string_view document)
{
    std::string packed = littleEndian(document.size());
    io::StringOutputStream bytes { &packed };
    io::GzipOutputStream stream { &bytes };
    while (!document.empty()) {
        void* room = nullptr;
        int size = 0;
        if (!stream.Next(&room, &size))
            throw PackingError { "the document cannot be packed" };
        const auto taken = std::min(document.size(), static_cast<std::size_t>(size));
        std::memcpy(room, document.data(), taken);
        document.remove_prefix(taken);
        stream.BackUp(size - static_cast<int>(taken));
    }
    if (!stream.Close())
        throw PackingError { "the document cannot be packed" };
    return packed;
}

std::string unpack(std::string_view packed)
{
    if (packed.size() < lengthBytes)
        throw PackingError { "the packed document is cut" };
    const auto length = packed.substr(0, lengthBytes);
    packed.remove_prefix(lengthBytes);
    io::ArrayInputStream bytes { packed.data(), static_cast<int>(packed.size()) };
    io::GzipInputStream stream { &bytes, io::GzipInputStream::GZIP };
    std::string document;
    const void* part = nullptr;
    int size = 0;
    while (stream.Next(&part, &size)) {
        document.append(static_cast<const char*>(part), static_cast<std::size_t>(size));
        if (document.size() > maxDocumentBytes)
            throw PackingError { "the packed document is too long" };
    }
    if (littleEndian(document.size()) != length)
        throw PackingError { "the packed document is cut or foreign" };
    return document;
}

} // namespace cyclamendrift
