#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

/// Names that cannot be mistaken for one another.
namespace cyclamendrift {

/// A name of one kind of thing; the tag keeps a team's name from being passed as a VM's.
///
///     TeamName team { "palermo-hospitals" };
///     team.view(); // "palermo-hospitals"
template <class Tag> class Identifier {
public:
    Identifier() = default;
    explicit Identifier(std::string text) noexcept
        : text(std::move(text))
    {
    }

    /// The name as text; valid while this object lives.
    [[nodiscard]] std::string_view view() const noexcept { return this->text; }

    /// The name as a string, for messages and codecs.
    [[nodiscard]] const std::string& string() const noexcept { return this->text; }

    /// True for a name that was never set.
    [[nodiscard]] bool empty() const noexcept { return this->text.empty(); }

    friend auto operator<=>(const Identifier&, const Identifier&) = default;

private:
    std::string text;
};

/// A process of the system, by the name that its settings give it.
using VmName = Identifier<struct VmNameTag>;
/// An availability zone.
using ZoneName = Identifier<struct ZoneNameTag>;
/// A tenant.
using TeamName = Identifier<struct TeamNameTag>;
/// A service, as callers name it.
using ServiceName = Identifier<struct ServiceNameTag>;
/// One upstream of a database.
using SlotName = Identifier<struct SlotNameTag>;
/// A caller's key, never its secret.
using KeyId = Identifier<struct KeyIdTag>;
/// A request, by the id that its caller chose.
using RequestId = Identifier<struct RequestIdTag>;
/// An open transaction.
using TransactionId = Identifier<struct TransactionIdTag>;

} // namespace cyclamendrift

template <class Tag> struct std::hash<cyclamendrift::Identifier<Tag>> {
    [[nodiscard]] std::size_t operator()(const cyclamendrift::Identifier<Tag>& identifier) const noexcept
    {
        return std::hash<std::string_view> {}(identifier.view());
    }
};
