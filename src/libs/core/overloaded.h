#pragma once

namespace ragwortreach {

/// Visitor made of one callable for each alternative of a variant.
template <typename... Handlers>
struct overloaded : Handlers... {
    using Handlers::operator()...;
};

template <typename... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

}
