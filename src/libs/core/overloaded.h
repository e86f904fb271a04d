#pragma once

namespace ragwortreach {

/// Visitor for std::visit, made of one callable per alternative of the variant.
template <typename... Handlers>
struct overloaded : Handlers... {
    using Handlers::operator()...;
};

template <typename... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

}
