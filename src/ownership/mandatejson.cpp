#include <galenarock/shardcontroller.h>

namespace Galenarock
{

nlohmann::json toJson(const Mandate &mandate)
{
    auto former = nlohmann::json::array();
    for (const auto &it : mandate.former) {
        former.push_back(toString(it));
    }
    return {{"epoch", mandate.epoch},
            {"coordinator", toString(mandate.coordinator)},
            {"deputy", mandate.deputy ? toString(*mandate.deputy) : std::string()},
            {"former", std::move(former)}};
}

Result<Mandate> mandateFromJson(const nlohmann::json &json)
{
    try {
        Mandate mandate;
        mandate.epoch = json.at("epoch").get<std::uint32_t>();
        const auto coordinator = parseIdentity(json.at("coordinator").get<std::string>());
        if (!coordinator) {
            return fail(ErrorCode::OutOfRange, "/coordinator");
        }
        mandate.coordinator = *coordinator;
        const auto deputy = json.at("deputy").get<std::string>();
        mandate.deputy = parseIdentity(deputy);
        if (!deputy.empty() && !mandate.deputy) {
            return fail(ErrorCode::OutOfRange, "/deputy");
        }
        for (const auto &it : json.at("former")) {
            const auto member = parseIdentity(it.get<std::string>());
            if (!member) {
                return fail(ErrorCode::OutOfRange, "/former");
            }
            mandate.former.push_back(*member);
        }
        return mandate;
    } catch (const nlohmann::json::exception &error) {
        return fail(ErrorCode::MalformedJson, error.what());
    }
}

}
