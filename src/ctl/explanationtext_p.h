#pragma once

#include <string>

#include <nlohmann/json.hpp>

namespace Galenarock::Ctl
{

/// Text for an explanation of a gateway (src/gateway/explanation_p.h). Fields that are absent are left out, since the
/// daemon may be of another version.
std::string explanationText(const nlohmann::json &explanation);

}
