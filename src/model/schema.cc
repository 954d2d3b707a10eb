// Field tables of all object kinds, and conversions between field values and text.
#include "schema.h"

#include "turmericwing/model/address.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <limits>

namespace turmericwing::model {

bool isNumericAddress(std::string_view text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    std::string host(text.substr(0, colon));
    const auto port = text.substr(colon + 1);
    unsigned number = 0;
    const auto [end, code] = std::from_chars(port.data(), port.data() + port.size(), number);
    if (code != std::errc() || end != port.data() + port.size() || number == 0 || number > 65535)
        return false;
    std::array<unsigned char, sizeof(in6_addr)> bytes {};
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), bytes.data()) == 1;
    return inet_pton(AF_INET, host.c_str(), bytes.data()) == 1;
}

namespace detail {

    namespace {

        /// Returns the first 60 bytes in quotes, so that a long value does not flood a message.
        std::string quoted(std::string_view text) { return "\"" + std::string(text.substr(0, 60)) + "\""; }

        template <typename N> std::string formatNumber(N value)
        {
            std::array<char, 32> buffer {};
            const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value).ptr;
            return { buffer.data(), end };
        }

        template <typename T> Field<T> textField(const char* name, bool required, std::string T::*member)
        {
            return { name, required,
                [member](T& object, std::string_view text) -> std::string {
                    object.*member = text;
                    return {};
                },
                [member](const T& object) { return object.*member; } };
        }

        template <typename T>
        Field<T> referenceField(
            const char* name, const char* kind, std::string T::*member, bool required = true)
        {
            auto field = textField<T>(name, required, member);
            field.referencedKind_ = kind;
            return field;
        }

        template <typename T, typename N>
        Field<T> numberField(const char* name, bool required, N T::*member, N minValue, N maxValue)
        {
            return { name, required,
                [=](T& object, std::string_view text) -> std::string {
                    N value {};
                    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
                    const bool parsed = code == std::errc() && end == text.data() + text.size();
                    // Negated so that "nan", for which each comparison is false, is rejected.
                    if (!parsed || !(value >= minValue && value <= maxValue))
                        return quoted(text) + " is not a number from " + formatNumber(minValue) + " to "
                            + formatNumber(maxValue);
                    object.*member = value;
                    return {};
                },
                [=](const T& object) { return formatNumber(object.*member); } };
        }

        template <typename T> Field<T> boolField(const char* name, bool T::*member)
        {
            return { name, false,
                [=](T& object, std::string_view text) -> std::string {
                    if (text != "true" && text != "false")
                        return quoted(text) + " is neither true nor false";
                    object.*member = text == "true";
                    return {};
                },
                [=](const T& object) { return object.*member ? "true" : "false"; } };
        }

        template <typename T> Field<T> timeField(const char* name, int64_t T::*member)
        {
            return { name, true,
                [=](T& object, std::string_view text) -> std::string {
                    const auto ms = parseTime(text);
                    if (!ms)
                        return quoted(text) + " is not a UTC time like 2026-12-04T09:00:00Z";
                    object.*member = *ms;
                    return {};
                },
                [=](const T& object) { return formatTime(object.*member); } };
        }

        Field<Upstream> addressField()
        {
            auto field = textField<Upstream>("address", true, &Upstream::address_);
            field.parse_ = [](Upstream& object, std::string_view text) -> std::string {
                if (!isNumericAddress(text))
                    return quoted(text) + " is not a numeric ip:port";
                object.address_ = text;
                return {};
            };
            return field;
        }

        Field<Route> pathField()
        {
            auto field = textField<Route>("path", true, &Route::path_);
            field.parse_ = [](Route& object, std::string_view text) -> std::string {
                const bool printable
                    = std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 127; });
                // Leaves room for "path = " within the line length limit of inih.
                constexpr size_t maxPathLength = 160;
                if (text.size() > maxPathLength)
                    return "is longer than " + std::to_string(maxPathLength) + " bytes";
                if (text.empty() || text.front() != '/' || !printable || text.find_first_of("?#") != text.npos
                    || text.find("//") != text.npos || (text.size() > 1 && text.back() == '/'))
                    return quoted(text)
                        + " is not a path that starts with \"/\" and has no empty segment, \"?\" or \"#\"";
                object.path_ = text;
                return {};
            };
            return field;
        }

        Field<Route> methodsField()
        {
            static constexpr std::array<std::string_view, 7> known { "GET", "HEAD", "POST", "PUT", "PATCH",
                "DELETE", "OPTIONS" };
            return { "methods", true,
                [](Route& object, std::string_view text) -> std::string {
                    std::vector<std::string> methods;
                    size_t position = 0;
                    while (position < text.size()) {
                        const size_t end = std::min(text.find_first_of(", \t", position), text.size());
                        const auto method = text.substr(position, end - position);
                        position = end + 1;
                        if (method.empty())
                            continue;
                        if (std::find(known.begin(), known.end(), method) == known.end())
                            return quoted(method)
                                + " is not one of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS";
                        methods.emplace_back(method);
                    }
                    std::sort(methods.begin(), methods.end());
                    if (methods.empty())
                        return "lists no method";
                    if (const auto duplicate = std::adjacent_find(methods.begin(), methods.end());
                        duplicate != methods.end())
                        return *duplicate + " is listed twice";
                    object.methods_ = std::move(methods);
                    return {};
                },
                [](const Route& object) {
                    std::string out;
                    for (const auto& method : object.methods_)
                        out += (out.empty() ? "" : ", ") + method;
                    return out;
                } };
        }

        Field<Key> digestField()
        {
            auto field = textField<Key>("sha256", true, &Key::sha256_);
            field.secret_ = true;
            // The reason omits the value, so that a key entered in place of its digest does not reach a log.
            field.parse_ = [](Key& object, std::string_view text) -> std::string {
                if (text.size() != 64 || text.find_first_not_of("0123456789abcdef") != text.npos)
                    return "is not 64 lower-case hexadecimal digits";
                object.sha256_ = text;
                return {};
            };
            return field;
        }

        Field<Move> stateField()
        {
            return { "state", false,
                [](Move& object, std::string_view text) -> std::string {
                    if (text == "running")
                        object.state_ = MoveState::Running;
                    else if (text == "held")
                        object.state_ = MoveState::Held;
                    else if (text == "rolled-back")
                        object.state_ = MoveState::RolledBack;
                    else
                        return quoted(text) + " is not one of running, held, rolled-back";
                    return {};
                },
                [](const Move& object) -> std::string {
                    switch (object.state_) {
                    case MoveState::Running:
                        return "running";
                    case MoveState::Held:
                        return "held";
                    case MoveState::RolledBack:
                        break;
                    }
                    return "rolled-back";
                } };
        }

        /// Lower bound of fields that accept any positive value.
        constexpr double minPositive = 1e-6;

    } // namespace

    bool isValidName(std::string_view name)
    {
        const auto alphanumeric = [](char c) {
            return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
        };
        return !name.empty() && name.size() <= maxNameLength && alphanumeric(name.front())
            && std::all_of(name.begin(), name.end(),
                [&](char c) { return alphanumeric(c) || c == '-' || c == '_' || c == '.'; });
    }

    std::optional<ClientBlock> parseBlock(std::string_view text, std::string& reason)
    {
        const char* position = text.data();
        const char* const end = text.data() + text.size();
        uint32_t prefix = 0;
        unsigned length = 0;
        bool valid = true;
        for (int octet = 0; octet < 4 && valid; ++octet) {
            unsigned value = 0;
            const auto [next, code] = std::from_chars(position, end, value);
            valid = code == std::errc() && value <= 255 && next != end && *next == (octet < 3 ? '.' : '/');
            prefix = (prefix << 8) | (value & 255);
            position = valid ? next + 1 : end;
        }
        if (valid) {
            const auto [next, code] = std::from_chars(position, end, length);
            valid = code == std::errc() && next == end && length <= 32;
        }
        if (!valid) {
            reason = quoted(text) + " is not a block a.b.c.d/length";
            return std::nullopt;
        }
        const uint32_t mask = length == 0 ? 0 : ~uint32_t { 0 } << (32 - length);
        if ((prefix & ~mask) != 0) {
            reason = quoted(text) + " has address bits set beyond its length";
            return std::nullopt;
        }
        return ClientBlock { prefix, static_cast<uint8_t>(length), 0 };
    }

    std::string formatBlock(const ClientBlock& block)
    {
        const uint32_t bits = block.prefix_;
        std::array<char, 32> out {};
        const int size = std::snprintf(out.data(), out.size(), "%u.%u.%u.%u/%u", bits >> 24,
            (bits >> 16) & 255, (bits >> 8) & 255, bits & 255, static_cast<unsigned>(block.length_));
        return { out.data(), static_cast<size_t>(size) };
    }

    std::optional<int64_t> parseTime(std::string_view text)
    {
        // Each "0" of the pattern stands for a digit; a fraction has exactly three digits.
        static constexpr std::string_view pattern = "0000-00-00T00:00:00";
        if (text.size() != pattern.size() + 1 && text.size() != pattern.size() + 5)
            return std::nullopt;
        const auto digit = [](char c) { return c >= '0' && c <= '9'; };
        for (size_t i = 0; i < pattern.size(); ++i)
            if (pattern[i] == '0' ? !digit(text[i]) : text[i] != pattern[i])
                return std::nullopt;
        const auto number = [&](size_t from, size_t size) {
            int value = 0;
            std::from_chars(text.data() + from, text.data() + from + size, value);
            return value;
        };
        int fraction = 0;
        if (text.size() > pattern.size() + 1) {
            if (text[19] != '.' || !digit(text[20]) || !digit(text[21]) || !digit(text[22]))
                return std::nullopt;
            fraction = number(20, 3);
        }
        using namespace std::chrono;
        const year_month_day date { year { number(0, 4) }, month { static_cast<unsigned>(number(5, 2)) },
            day { static_cast<unsigned>(number(8, 2)) } };
        if (text.back() != 'Z' || !date.ok() || number(0, 4) < 1970 || number(11, 2) > 23
            || number(14, 2) > 59 || number(17, 2) > 59)
            return std::nullopt;
        const auto time = sys_days { date } + hours { number(11, 2) } + minutes { number(14, 2) }
            + seconds { number(17, 2) } + milliseconds { fraction };
        return time.time_since_epoch().count();
    }

    std::string formatTime(int64_t ms)
    {
        using namespace std::chrono;
        const sys_time<milliseconds> time { milliseconds { ms } };
        const auto date = floor<days>(time);
        const year_month_day ymd { date };
        const hh_mm_ss timeOfDay { time - date };
        std::array<char, 64> out {};
        int size = std::snprintf(out.data(), out.size(), "%04d-%02u-%02uT%02d:%02d:%02d",
            static_cast<int>(ymd.year()), static_cast<unsigned>(ymd.month()),
            static_cast<unsigned>(ymd.day()), static_cast<int>(timeOfDay.hours().count()),
            static_cast<int>(timeOfDay.minutes().count()), static_cast<int>(timeOfDay.seconds().count()));
        std::string text(out.data(), static_cast<size_t>(size));
        if (const auto fraction = static_cast<int>(timeOfDay.subseconds().count()); fraction != 0) {
            size = std::snprintf(out.data(), out.size(), ".%03d", fraction);
            text.append(out.data(), static_cast<size_t>(size));
        }
        return text + "Z";
    }

    // clang-format off
template <> const char* kindName<Region>() { return "region"; }
template <> const char* kindName<FailureDomain>() { return "failure-domain"; }
template <> const char* kindName<Site>() { return "site"; }
template <> const char* kindName<Link>() { return "link"; }
template <> const char* kindName<Service>() { return "service"; }
template <> const char* kindName<Version>() { return "version"; }
template <> const char* kindName<Upstream>() { return "upstream"; }
template <> const char* kindName<Route>() { return "route"; }
template <> const char* kindName<Workspace>() { return "workspace"; }
template <> const char* kindName<Key>() { return "key"; }
template <> const char* kindName<Move>() { return "move"; }
    // clang-format on

    template <> const std::vector<Field<Region>>& fieldsOf<Region>()
    {
        static const std::vector<Field<Region>> fields;
        return fields;
    }

    template <> const std::vector<Field<FailureDomain>>& fieldsOf<FailureDomain>()
    {
        static const std::vector<Field<FailureDomain>> fields {
            referenceField<FailureDomain>("region", "region", &FailureDomain::region_),
        };
        return fields;
    }

    template <> const std::vector<Field<Site>>& fieldsOf<Site>()
    {
        static const std::vector<Field<Site>> fields {
            referenceField<Site>("failure-domain", "failure-domain", &Site::failureDomain_),
            numberField<Site, uint32_t>("capacity", false, &Site::capacity_, 1, 1'000'000),
        };
        return fields;
    }

    template <> const std::vector<Field<Link>>& fieldsOf<Link>()
    {
        static const std::vector<Field<Link>> fields {
            referenceField<Link>("from", "region", &Link::from_),
            referenceField<Link>("to", "region", &Link::to_),
            numberField<Link, uint32_t>("capacity-mbps", true, &Link::capacityMbps_, 1, 10'000'000),
        };
        return fields;
    }

    template <> const std::vector<Field<Service>>& fieldsOf<Service>()
    {
        static const std::vector<Field<Service>> fields {
            referenceField<Service>("version", "version", &Service::version_),
            numberField<Service, uint32_t>("typical-ms", true, &Service::typicalMs_, 1, 600'000),
            numberField<Service, double>("rate-fraction", false, &Service::rateFraction_, minPositive, 1),
            numberField<Service, uint32_t>("min-slots", false, &Service::minSlots_, 0, 1'000'000),
        };
        return fields;
    }

    template <> const std::vector<Field<Version>>& fieldsOf<Version>()
    {
        static const std::vector<Field<Version>> fields {
            referenceField<Version>("service", "service", &Version::service_),
        };
        return fields;
    }

    template <> const std::vector<Field<Upstream>>& fieldsOf<Upstream>()
    {
        static const std::vector<Field<Upstream>> fields {
            referenceField<Upstream>("service", "service", &Upstream::service_),
            referenceField<Upstream>("version", "version", &Upstream::version_),
            referenceField<Upstream>("failure-domain", "failure-domain", &Upstream::failureDomain_),
            addressField(),
            numberField<Upstream, uint32_t>("slots", true, &Upstream::slots_, 1, 10'000),
            numberField<Upstream, uint32_t>("connections", true, &Upstream::connections_, 1, 1'000'000),
            boolField<Upstream>("drain", &Upstream::drain_),
        };
        return fields;
    }

    template <> const std::vector<Field<Route>>& fieldsOf<Route>()
    {
        static const std::vector<Field<Route>> fields {
            referenceField<Route>("service", "service", &Route::service_),
            pathField(),
            methodsField(),
            boolField<Route>("open", &Route::open_),
            boolField<Route>("idempotent", &Route::idempotent_),
            numberField<Route, uint32_t>("timeout-ms", true, &Route::timeoutMs_, 1, 3'600'000),
            numberField<Route, uint64_t>(
                "max-body-bytes", true, &Route::maxBodyBytes_, 0, uint64_t { 1 } << 36),
        };
        return fields;
    }

    template <> const std::vector<Field<Workspace>>& fieldsOf<Workspace>()
    {
        static const std::vector<Field<Workspace>> fields {
            referenceField<Workspace>("region", "region", &Workspace::region_),
            numberField<Workspace, double>("rate", true, &Workspace::rate_, minPositive, 1e6),
            numberField<Workspace, double>("burst", true, &Workspace::burst_, 1, 1e7),
            numberField<Workspace, double>("share", false, &Workspace::share_, minPositive, 1e6),
        };
        return fields;
    }

    template <> const std::vector<Field<Key>>& fieldsOf<Key>()
    {
        static const std::vector<Field<Key>> fields {
            referenceField<Key>("workspace", "workspace", &Key::workspace_),
            digestField(),
            boolField<Key>("withdrawn", &Key::withdrawn_),
        };
        return fields;
    }

    template <> const std::vector<Field<Move>>& fieldsOf<Move>()
    {
        static const std::vector<Field<Move>> fields {
            referenceField<Move>("service", "service", &Move::service_),
            referenceField<Move>("from-version", "version", &Move::fromVersion_, false),
            referenceField<Move>("to-version", "version", &Move::toVersion_, false),
            referenceField<Move>("from-region", "region", &Move::fromRegion_, false),
            referenceField<Move>("to-region", "region", &Move::toRegion_, false),
            numberField<Move, double>("cap", true, &Move::cap_, 1e-4, 1),
            numberField<Move, uint32_t>("step-ms", true, &Move::stepMs_, 1'000, 604'800'000),
            timeField<Move>("start", &Move::startMs_),
            timeField<Move>("deadline", &Move::deadlineMs_),
            stateField(),
        };
        return fields;
    }

} // namespace detail

} // namespace turmericwing::model
