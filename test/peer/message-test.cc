// Tests of the CBOR codec: round trips, and rejection of malformed, oversized and unsupported messages.
#include "turmericwing/peer/message.h"

#include "turmericwing/base/random.h"

#include <nlohmann/json.hpp>

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::peer;
using Json = nlohmann::json;

namespace {

// One message of each type, in the order of the variant.
const std::vector<Envelope> samples {
    { 0, 0,
        Heartbeat { 9, "10.0.0.1:7", true, false, 1ull << 40,
            { "h1", "a-1", 30, 28, { { "h7", 3 }, { "h8", 4 } } } } },
    { 1, 0, Probe {} },
    { 0, 1, control::Evidence { "h1", 9, 77, false, { { 76, "nonce", "digest" } } } },
    { 0, 2,
        control::Summary {
            "h1", "a-1", 77, { { "", 30 } }, 29, 1, Duration(400), { { 76, "nonce", "digest" } } } },
    { 2, 0, CandidateReport { { 76, "nonce", "digest" }, "{}" } },
    { 0, 2, Ack { 9 } },
    { 2, 0, HeadRequest { 76 } },
    { 0, 2, HeadRow { 77, 123456, true, "{\"revision\":1}" } },
    { 3, 0, BlobRequest { "digest", 1 << 19 } },
    { 0, 3, Blob { "digest", 1 << 19, 1 << 22, { 0, 255, 10 } } },
    { 4, 0, TokenPull { "w1", "h1", 9, 5, limits::ShareKind::Floor, 12, 10, 1, 100 } },
    { 0, 4,
        TokenGrant {
            "w1", 9, 5, limits::ShareKind::Floor, 12, limits::GrantStatus::Empty, 0, Duration(500) } },
    { 0, 0, TokenReturn { {}, "w1", "h1", 9, limits::ShareKind::Main, 12, 3 } },
    { 5, 0, SlotBorrow { { "h1", 9, 4 }, "u1", Duration(2000) } },
    { 0, 5, SlotLoan { { "h1", 9, 4 }, { "u1", 2 }, Duration(2000) } },
    { 0, 0, SlotReturn { { "h1", 9, 4 }, { "u1", 2 } } },
    { 0, 0, SlotRelease { { "u1", 2 }, 8 } },
    { 6, 0,
        MoveStats {
            "m1", { "h1", 9, { { "r1", { { 10, 1, 1000, 3 }, { 10, 0, 1000, 1 }, 12.5 } } }, true } } },
    { 0, 6, MoveShare { "m1", 2, 0.01, false, { "r1" }, { 1000, 2000 } } },
    { 0, 0, MoveTrip { "m1", "errors" } },
    { 0, 0, Crash { { "h1", 9, 3 }, "u1", { 1000 }, { { { 1, 2 }, { 900 } } } } },
    { 0, 0, Quarantine { { 1, 2 }, { 600000 } } },
    { 0, 7, Refusal { 4, "epoch 4 is not current" } },
};

std::string cbor(const Json& json)
{
    std::string out;
    Json::to_cbor(json, out);
    return out;
}

DecodeErrorCode decodeErrorCode(const std::string& bytes)
{
    const DecodeResult result = decode(bytes);
    REQUIRE_FALSE(result);
    return result.error().code_;
}

} // namespace

TEST_CASE("decoding an encoded message returns the same message")
{
    // Guards against a field that is encoded but not decoded, or the reverse.
    REQUIRE(samples.size() == std::variant_size_v<Message>);
    for (size_t i = 0; i < samples.size(); ++i) {
        CAPTURE(typeName(samples[i].message_));
        REQUIRE(samples[i].message_.index() == i);
        const auto decoded = decode(encode(samples[i]).value());
        REQUIRE(decoded);
        CHECK((decoded.value() == samples[i]));
    }
}

TEST_CASE("every missing or mistyped field is reported")
{
    // Guards against substituting a default value for a field that a peer did not send.
    for (const auto& sample : samples) {
        const Json whole = Json::from_cbor(encode(sample).value());
        for (const auto& [name, value] : whole.items()) {
            CAPTURE(typeName(sample.message_));
            CAPTURE(name);
            Json changed = whole;
            changed[name] = value.is_boolean() ? Json(1) : Json(true);
            const DecodeResult mistyped = decode(cbor(changed));
            REQUIRE_FALSE(mistyped);
            CHECK((mistyped.error() == DecodeError { DecodeErrorCode::MistypedField, name }));
            if (name == "i" || name == "r")
                continue;
            changed.erase(name);
            const DecodeResult missing = decode(cbor(changed));
            REQUIRE_FALSE(missing);
            CHECK((missing.error() == DecodeError { DecodeErrorCode::MissingField, name }));
        }
    }
}

TEST_CASE("nested fields, ranges, versions and types are checked")
{
    // Guards against truncated numbers and against misinterpreting messages of another release.
    const Json headGet = Json::from_cbor(encode(samples[6]).value());
    auto with = [&](const char* name, const Json& value) {
        Json changed = headGet;
        changed[name] = value;
        return cbor(changed);
    };
    CHECK((decodeErrorCode(with("v", 2)) == DecodeErrorCode::UnknownVersion));
    CHECK((decodeErrorCode(with("t", 1000)) == DecodeErrorCode::UnknownType));
    CHECK((decodeErrorCode(with("t", 1ull << 32)) == DecodeErrorCode::MistypedField));
    CHECK((decodeErrorCode(with("h", -1)) == DecodeErrorCode::MistypedField));
    Json refusal = Json::from_cbor(encode(samples[22]).value());
    refusal["c"] = 1ull << 32;
    CHECK((decodeErrorCode(cbor(refusal)) == DecodeErrorCode::MistypedField));
    Json pull = Json::from_cbor(encode(samples[10]).value());
    pull["k"] = 2;
    CHECK((decodeErrorCode(cbor(pull)) == DecodeErrorCode::MistypedField));
    Json borrow = Json::from_cbor(encode(samples[13]).value());
    borrow["d"] = 1ull << 63;
    CHECK((decodeErrorCode(cbor(borrow)) == DecodeErrorCode::MistypedField));
    Json share = Json::from_cbor(encode(samples[18]).value());
    share["p"] = std::numeric_limits<double>::quiet_NaN();
    CHECK((decodeErrorCode(cbor(share)) == DecodeErrorCode::MistypedField));
    Json stats = Json::from_cbor(encode(samples[17]).value());
    stats["s"]["R"]["r1"]["e"].erase("g");
    CHECK((decodeErrorCode(cbor(stats)) == DecodeErrorCode::MissingField));
    CHECK(decode(with("future", Json { { "x", 1 } })));
}

TEST_CASE("size and depth are checked before decoding")
{
    // Guards against input from a peer that exhausts memory or stack.
    CHECK((decodeErrorCode(std::string(maxMessageBytes + 1, '\x80')) == DecodeErrorCode::TooLarge));
    CHECK((decodeErrorCode(std::string(maxMessageBytes, '\x81')) == DecodeErrorCode::TooDeep));
    const auto nested = [](int depth) {
        Json json = 1;
        for (int i = 0; i < depth; ++i)
            json = Json::array({ json });
        return cbor(json);
    };
    CHECK((decodeErrorCode(nested(maxMessageDepth)) == DecodeErrorCode::Malformed));
    CHECK((decodeErrorCode(nested(maxMessageDepth + 1)) == DecodeErrorCode::TooDeep));
    // Declared sizes beyond the end of the input (three), a tag, an indefinite length, trailing bytes, empty
    // input.
    for (const char* text : { "\x9b\x7f\xff\xff\xff\xff\xff\xff\xff", "\xbb\xff\xff\xff\xff\xff\xff\xff\xff",
             "\x7a\xff\xff\xff\xff", "\xc1\xa0", "\xbf\xff", "\xa0\xa0", "" }) {
        CAPTURE(text);
        CHECK((decodeErrorCode(text) == DecodeErrorCode::Malformed));
    }
    CHECK(encode({ 0, 0, Refusal { 1, std::string(maxMessageBytes, 'x') } }).error().code_
        == ErrorCode::Invalid);
}

TEST_CASE("mutated messages are rejected or can be encoded again")
{
    // Guards against input that crashes the process or decodes to a message that cannot be encoded again.
    Random random(20261204);
    size_t accepted = 0;
    for (int i = 0; i < 100'000; ++i) {
        std::string bytes = encode(samples[random() % samples.size()]).value();
        for (uint64_t changes = 1 + random() % 4; changes > 0; --changes) {
            const size_t position = random() % bytes.size();
            switch (random() % 4) {
            case 0:
                bytes[position] = static_cast<char>(random());
                break;
            case 1:
                bytes[position] = static_cast<char>(bytes[position] ^ (1 << random() % 8));
                break;
            case 2:
                bytes.insert(position, 1, static_cast<char>(random()));
                break;
            default:
                bytes.resize(position + 1);
            }
        }
        const DecodeResult decoded = decode(bytes);
        if (!decoded)
            continue;
        ++accepted;
        const DecodeResult reencoded = decode(encode(decoded.value()).value());
        REQUIRE(reencoded);
        REQUIRE((reencoded.value() == decoded.value()));
    }
    // Both outcomes must occur often, otherwise the mutations do not exercise the decoder.
    CHECK(accepted > 1000);
    CHECK(accepted < 99'000);
}
