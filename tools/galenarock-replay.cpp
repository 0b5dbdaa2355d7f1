#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/program_options.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <galenarock/jsontext.h>
#include <galenarock/replay.h>

using namespace Galenarock;

namespace
{
namespace po = boost::program_options;

constexpr int InvalidArgumentsExitCode = 2;

struct Arguments
{
    std::vector<std::string> files;
    CheckOptions options;
    bool json = false;
};

bool isJournal(const std::string &path)
{
    constexpr std::string_view suffix = ".ndjson";
    return path.size() > suffix.size() && path.compare(path.size() - suffix.size(), suffix.size(), suffix) == 0;
}

Trace readInput(const std::string &path)
{
    if (!isJournal(path)) {
        return TraceReader::readFile(path);
    }
    const std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    return readJournal(path.substr(path.rfind('/') + 1), text.str());
}

nlohmann::json toJson(const CheckReport &report, const Findings &findings)
{
    nlohmann::json json{{"requests", report.requests},
                        {"runs", report.runs},
                        {"holds", report.holds},
                        {"versions", report.versions},
                        {"leavings", report.leavings}};
    json["violations"] = nlohmann::json::array();
    for (const auto &it : report.violations) {
        json["violations"].push_back({{"rule", it.rule}, {"text", it.text}});
    }
    json["defects"] = nlohmann::json::array();
    for (const auto &it : findings) {
        json["defects"].push_back({{"place", it.place}, {"text", toString(Findings{it})}});
    }
    return json;
}

void printText(const CheckReport &report, const Findings &findings)
{
    fmt::print("{} requests, {} runs, {} holds, {} versions, {} leaving servers\n", report.requests, report.runs,
               report.holds, report.versions, report.leavings);
    for (const auto &it : findings) {
        fmt::print("defect: {}", toString(Findings{it}));
    }
    for (const auto &it : report.violations) {
        fmt::print("violation: {}: {}\n", it.rule, it.text);
    }
    fmt::print("{}\n", findings.empty() && report.violations.empty() ? "no violation" : "failed");
}

int run(const Arguments &arguments)
{
    std::vector<Trace> traces;
    Findings findings;
    for (const auto &it : arguments.files) {
        traces.push_back(readInput(it));
        findings.insert(findings.end(), traces.back().findings.begin(), traces.back().findings.end());
    }
    const auto report = checkTraces(traces, arguments.options);
    if (arguments.json) {
        fmt::print("{}\n", jsonText(toJson(report, findings), 2));
    } else {
        printText(report, findings);
    }
    return findings.empty() && report.violations.empty() ? 0 : 1;
}
}

int main(int argc, char **argv)
{
    Arguments arguments;
    std::int64_t allowanceMs = 0;
    po::options_description options("Options");
    options.add_options()("help", "print this text")("json", po::bool_switch(&arguments.json), "print JSON")(
        "wall-clock", po::bool_switch(&arguments.options.usesWallClock), "compare times of different machines")(
        "clock-allowance-ms", po::value(&allowanceMs)->default_value(0), "times closer than this do not overlap");
    po::options_description all = options;
    all.add_options()("file", po::value(&arguments.files));
    po::positional_options_description positional;
    positional.add("file", -1);
    po::variables_map values;
    try {
        po::store(po::command_line_parser(argc, argv).options(all).positional(positional).run(), values);
        po::notify(values);
    } catch (const po::error &error) {
        fmt::print(stderr, "galenarock-replay: {}\n", error.what());
        return InvalidArgumentsExitCode;
    }
    if (values.count("help") > 0 || arguments.files.empty() || allowanceMs < 0) {
        std::cout << "Usage: galenarock-replay [OPTION...] TRACE...\n"
                     "Checks the traces of daemons and the journals of servers (*.ndjson) of one trial together.\n"
                     "Exit status: 0 no violation, 1 a violation or a defective file, 2 invalid arguments.\n\n"
                  << options;
        return values.count("help") > 0 ? 0 : InvalidArgumentsExitCode;
    }
    arguments.options.clockAllowance = milliseconds(allowanceMs);
    return run(arguments);
}
