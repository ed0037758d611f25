#pragma once

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <utility>

/// Runs a rapidcheck property as one doctest assertion; inside use RC_ASSERT.
///
///     checkProperty("merging is commutative", [](std::uint64_t a, std::uint64_t b) { RC_ASSERT(a + b == b +
///     a); });
template <class Property> void checkProperty(const std::string& description, Property&& property)
{
    CHECK_MESSAGE(rc::check(description, std::forward<Property>(property)), description);
}
