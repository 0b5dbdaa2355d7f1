#include <ctl/commands_p.h>

#include <curl/curl.h>
#include <fmt/format.h>

#include <galenarock/jsontext.h>

using namespace Galenarock;

namespace
{
void print(const Ctl::CommandResult &result, bool asJson)
{
    // `diff` and `status` can exit with 1 and still print a result, which belongs on stdout.
    const bool isResult = result.status == Ctl::ExitStatus::Done
        || (result.status == Ctl::ExitStatus::Failed && !result.json.contains("error"));
    if (asJson) {
        fmt::print("{}\n", jsonText(result.json, 2));
        return;
    }
    fmt::print(isResult ? stdout : stderr, "{}", result.text);
}
}

int main(int argc, char **argv)
{
    const auto parsed = Ctl::parseArguments({argv + 1, argv + argc}, processEnvironment());
    if (parsed.arguments.help || parsed.arguments.version) {
        fmt::print("{}", parsed.arguments.help ? Ctl::helpText() : "galenarockctl " GALENAROCK_VERSION "\n");
        return 0;
    }
    if (!parsed.findings.empty()) {
        const auto refused = Ctl::findingsResult(parsed.findings, "galenarockctl");
        print(refused, parsed.arguments.json);
        return static_cast<int>(refused.status);
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    const auto result = Ctl::runCommand(Ctl::systemContext(), parsed.arguments);
    print(result, parsed.arguments.json);
    curl_global_cleanup();
    return static_cast<int>(result.status);
}
