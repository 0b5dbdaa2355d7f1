#include "loadprogram_p.h"

#include <cstdio>

#include <fmt/format.h>

#include "audit_p.h"
#include "events_p.h"
#include "journalreader_p.h"
#include "programoptions_p.h"

namespace Galenarock::Standin
{

namespace
{
constexpr auto progressInterval = seconds(1);

/// Serves the current progress line.
class ProgressHandler : public HttpHandler
{
public:
    explicit ProgressHandler(const std::string &line)
        : m_line(line)
    {
    }
    void complete(const HttpExchangePtr &exchange) override
    {
        exchange->respond(jsonResponse(200, {{"progress", m_line}}));
    }

private:
    const std::string &m_line;
};

class LoadProgram
{
public:
    explicit LoadProgram(const LoadProgramOptions &options)
        : m_options(options)
        , m_progress(m_line)
        , m_server(m_loop, m_progress)
        , m_run(m_loop, options.load, [this] { m_loop.stop(); })
    {
    }

    std::optional<LoadReport> run()
    {
        m_loop.stopOnSignals([this] { m_run.stopSending(); });
        if (m_options.listen && !listen()) {
            return {};
        }
        m_run.start();
        m_loop.after(progressInterval, [this] { progress(); });
        m_loop.run();
        m_server.close();
        return report();
    }

private:
    bool listen()
    {
        return tryOr(
            [&]() -> Result<bool> {
                BOOST_LEAF_CHECK(m_server.open(*m_options.listen));
                printListening(m_server.address());
                return true;
            },
            [](ErrorCode code, const std::string &detail) {
                logEvent(Events::ListenFailed, "{}: {}", errorMessage(code), detail);
                return false;
            });
    }

    void progress()
    {
        m_line = m_run.progressLine();
        fmt::print(stderr, "{}\n", m_line);
        m_loop.after(progressInterval, [this] { progress(); });
    }

    AuditReport makeAudit() const
    {
        const auto pause = duration_cast<std::chrono::nanoseconds>(m_options.settle).count();
        const timespec time{pause / 1'000'000'000, pause % 1'000'000'000};
        nanosleep(&time, nullptr);
        auto journals = collectJournals(m_options.journals);
        for (const auto &it : journals.findings) {
            logEvent(Events::JournalUnavailable, "{}: {}: {}", it.place, errorMessage(it.code), it.message);
        }
        AuditInput input;
        input.run = m_options.load.run;
        input.mix = m_options.load.workload.mix;
        input.records = m_run.records();
        input.journal = std::move(journals.entries);
        input.servers = std::move(journals.servers);
        input.journalsComplete = journals.isComplete;
        return audit(input);
    }

    std::optional<LoadReport> report() const
    {
        const auto result = makeAudit();
        LoadReport report;
        report.json = toJson(result);
        report.json["run"] = m_options.load.run;
        report.text = "latency of answered requests, from the intended start\n";
        const auto &mix = m_options.load.workload.mix;
        for (std::size_t i = 0; i < mix.size(); ++i) {
            addLatency(report, mix[i].profile.name, m_run.latency(i));
        }
        report.text += toText(result);
        if (result.faults() > 0) {
            logEvent(Events::AuditFailed, "{} faults", result.faults());
            report.exitCode = 1;
        } else if (!m_options.journals.empty() && !result.journalsComplete) {
            report.exitCode = incompleteAuditExitCode;
        }
        return report;
    }

    static void addLatency(LoadReport &report, const std::string &service, const LatencyHistogram &latency)
    {
        const auto p50 = latency.quantile(0.5) * 1e3;
        const auto p99 = latency.quantile(0.99) * 1e3;
        const auto p999 = latency.quantile(0.999) * 1e3;
        report.text += fmt::format("  {:<13} p50 {:.2f} ms, p99 {:.2f} ms, p99.9 {:.2f} ms\n", service, p50, p99, p999);
        report.json["services"][service]["latencyMs"] = {{"p50", p50}, {"p99", p99}, {"p99.9", p999}};
    }

    LoadProgramOptions m_options;
    EventLoop m_loop;
    std::string m_line;
    ProgressHandler m_progress;
    HttpServer m_server;
    LoadRun m_run;
};
}

std::optional<LoadReport> runLoadProgram(const LoadProgramOptions &options)
{
    return LoadProgram(options).run();
}

}
