// Guards against requests that take another route or workspace than the configuration says.
#include "turmericwing/gateway/catalog.h"

#include <doctest/doctest.h>

using namespace turmericwing::gateway;

TEST_CASE("the longest prefix of the host's routes is taken")
{
    const Catalog catalog({ .routes_ = { { .name_ = "short", .host_ = "a.example", .prefix_ = "/x/" },
                                { .name_ = "long", .host_ = "a.example", .prefix_ = "/x/y/" },
                                { .name_ = "other", .host_ = "b.example", .prefix_ = "/" } } });
    REQUIRE(catalog.findRoute("a.example", "/x/y/z"));
    CHECK(catalog.findRoute("a.example", "/x/y/z")->name_ == "long");
    CHECK(catalog.findRoute("A.EXAMPLE:80", "/x/y")->name_ == "short");
    CHECK(catalog.findRoute("a.example", "/q?/x/") == nullptr);
    CHECK(catalog.findRoute("c.example", "/x/") == nullptr);
    CHECK(catalog.findRoute("b.example", "/x/y/z")->name_ == "other");
}

TEST_CASE("a key belongs to its workspace only")
{
    const Catalog catalog({ .workspaces_
        = { { .name_ = "one", .keys_ = { "k1", "k2" } }, { .name_ = "two", .keys_ = { "k3" } } } });
    REQUIRE(catalog.findKey("k2"));
    CHECK(catalog.findKey("k2")->name_ == "one");
    CHECK(catalog.findKey("k3")->name_ == "two");
    CHECK(catalog.findKey("K3") == nullptr);
    CHECK(catalog.findKey("") == nullptr);
}
