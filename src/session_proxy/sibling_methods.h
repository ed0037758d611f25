#pragma once

/// Names of the methods that both the traffic thread and the control thread use between siblings.
namespace cyclamendrift::sibling_method {

inline constexpr auto shareReadings = "ShareReadings";
inline constexpr auto shareConfiguration = "ShareConfiguration";

} // namespace cyclamendrift::sibling_method
