// Tests of the structured log. They guard against values that break a line or fill the log.
#include "turmericwing/host/log.h"

#include <doctest/doctest.h>
#include <easylogging++.h>

using namespace turmericwing::host;

// easylogging++ has a CHECK of its own that ends the process, so the cases use DOCTEST_CHECK.
namespace {

std::string lastLine;

class CapturedDispatch : public el::LogDispatchCallback {
protected:
    void handle(const el::LogDispatchData* data) override { lastLine = data->logMessage()->message(); }
};

std::string lineOf(const std::string& value)
{
    el::Helpers::installLogDispatchCallback<CapturedDispatch>("CapturedDispatch");
    logEvent(LogLevel::Warning, "test", { { "value", value } });
    el::Helpers::uninstallLogDispatchCallback<CapturedDispatch>("CapturedDispatch");
    return lastLine;
}

} // namespace

TEST_CASE("a long value is cut, so that one odd row does not fill the log")
{
    // The reason of an unreadable row repeated the row's value, up to 200 KB in a line.
    DOCTEST_CHECK(lineOf("plain") == "event=test value=plain");
    DOCTEST_CHECK(lineOf("a \"b\"\nc") == R"(event=test value="a \"b\" c")");
    DOCTEST_CHECK(lineOf(std::string(1000, 'x')) == "event=test value=" + std::string(1000, 'x'));
    DOCTEST_CHECK(lineOf(std::string(1001, 'x')) == "event=test value=" + std::string(1000, 'x') + "...");
    DOCTEST_CHECK(lineOf(std::string(200'000, '"')).size() < 2100);
}
