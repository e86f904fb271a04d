#pragma once

#include <core/instant.h>

#include <string>

namespace ragwortreach {

/// A daemon says whether it reaches replicas.
struct access_statement {
    std::string vm;
    bool hasAccess = true;
    instant statedAt {};
};

}
