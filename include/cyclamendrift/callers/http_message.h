#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace cyclamendrift {

/// One header field of a message.
struct HttpHeader {
    std::string name;
    std::string value;
};

/// A whole request, as it came from a caller or operator.
struct HttpRequest {
    std::string method;
    /// Path alone, without a query.
    std::string path;
    std::vector<HttpHeader> headers;
    std::string body;

    /// The value of the first header with this name, whatever its case; empty when there is none.
    ///
    ///     request.header("Authorization"); // "Bearer 4f2c…"
    [[nodiscard]] std::string_view header(std::string_view name) const noexcept;
};

/// The answer to a request.
struct HttpResponse {
    int status = 200;
    std::string contentType = "text/plain; charset=utf-8";
    std::vector<HttpHeader> headers;
    std::string body;
};

} // namespace cyclamendrift
