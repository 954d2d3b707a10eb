// Guards against requests that are assigned to another route or workspace than the configuration specifies.
#include "turmericwing/gateway/catalog.h"

#include <doctest/doctest.h>

using namespace turmericwing::gateway;

TEST_CASE("the route of the host with the longest matching prefix is chosen")
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
    REQUIRE(catalog.findWorkspaceByKey("k2"));
    CHECK(catalog.findWorkspaceByKey("k2")->name_ == "one");
    CHECK(catalog.findWorkspaceByKey("k3")->name_ == "two");
    CHECK(catalog.findWorkspaceByKey("K3") == nullptr);
    CHECK(catalog.findWorkspaceByKey("") == nullptr);
}
