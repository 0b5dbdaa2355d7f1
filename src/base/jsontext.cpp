#include <galenarock/jsontext.h>

namespace Galenarock
{

std::string jsonText(const nlohmann::json &value, int indent)
{
    return value.dump(indent, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string jsonText(const nlohmann::ordered_json &value)
{
    return value.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

bool isJsonString(const std::string &text)
{
    return nlohmann::json::parse(jsonText(nlohmann::json(text))) == text;
}

}
