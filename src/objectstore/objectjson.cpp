#include <galenarock/storeclient.h>

#include <charconv>

#include <fmt/format.h>

namespace Galenarock
{

namespace
{
using nlohmann::json;

Result<std::string> textField(const json &object, const char *name)
{
    const auto it = object.find(name);
    if (it == object.end()) {
        return fail(ErrorCode::MissingField, name);
    }
    if (!it->is_string()) {
        return fail(ErrorCode::WrongType, name);
    }
    return it->get<std::string>();
}

Result<std::uint64_t> numberField(const json &object, const char *name)
{
    const auto it = object.find(name);
    if (it == object.end()) {
        return fail(ErrorCode::MissingField, name);
    }
    if (!it->is_number_unsigned()) {
        return fail(ErrorCode::WrongType, name);
    }
    return it->get<std::uint64_t>();
}

/// The writer's nonce, which is decimal text. Other clients of the platform may store any text; it gives 0.
std::uint64_t writerNonce(const json &object)
{
    const auto it = object.find("writer");
    if (it == object.end()) {
        return 0;
    }
    if (it->is_number_unsigned()) {
        return it->get<std::uint64_t>();
    }
    if (!it->is_string()) {
        return 0;
    }
    const auto &text = it->get_ref<const std::string &>();
    std::uint64_t n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    return ec == std::errc() && end == text.data() + text.size() ? n : 0;
}

/// Empty when the field is missing or not text.
std::string optionalText(const json &object, const char *name)
{
    const auto it = object.find(name);
    return it != object.end() && it->is_string() ? it->get<std::string>() : std::string();
}

Result<VmEntry> vmFromJson(const json &object)
{
    if (!object.is_object()) {
        return fail(ErrorCode::WrongType, "vm is not an object");
    }
    VmEntry vm;
    BOOST_LEAF_ASSIGN(vm.name, textField(object, "name"));
    BOOST_LEAF_AUTO(role, textField(object, "role"));
    BOOST_LEAF_AUTO(state, textField(object, "state"));
    if (role != "entry" && role != "backend") {
        return fail(ErrorCode::OutOfRange, fmt::format("role '{}' of {}", role, vm.name));
    }
    if (state != "live" && state != "leaving") {
        return fail(ErrorCode::OutOfRange, fmt::format("state '{}' of {}", state, vm.name));
    }
    vm.role = role == "entry" ? VmRole::Entry : VmRole::Backend;
    vm.state = state == "live" ? VmState::Live : VmState::Leaving;
    vm.service = optionalText(object, "service");
    vm.failureDomain = optionalText(object, "failureDomain");
    vm.address = optionalText(object, "address");
    vm.peerAddress = optionalText(object, "peerAddress");
    return vm;
}
}

Result<StoredObject> storedObjectFromJson(const json &object)
{
    if (!object.is_object()) {
        return fail(ErrorCode::WrongType, "object is not a JSON object");
    }
    StoredObject stored;
    BOOST_LEAF_ASSIGN(stored.key.kind, textField(object, "kind"));
    BOOST_LEAF_ASSIGN(stored.key.name, textField(object, "name"));
    BOOST_LEAF_ASSIGN(stored.version, numberField(object, "version"));
    stored.writer = writerNonce(object);
    const auto value = object.find("value");
    if (value == object.end()) {
        return fail(ErrorCode::MissingField, "value");
    }
    stored.value = *value;
    return stored;
}

Result<VmList> vmListFromJson(const json &object)
{
    const auto vms = object.is_object() ? object.find("vms") : object.end();
    if (vms == object.end() || !vms->is_array()) {
        return fail(ErrorCode::MissingField, "vms");
    }
    VmList list;
    BOOST_LEAF_ASSIGN(list.revision, numberField(object, "revision"));
    list.vms.reserve(vms->size());
    for (const auto &it : *vms) {
        BOOST_LEAF_AUTO(vm, vmFromJson(it));
        list.vms.push_back(std::move(vm));
    }
    return list;
}

}
