// Runs a Lua script against the rig: scenario FILE.lua [ARGUMENT...]. The script fails by raising an error.
//
//     local r = rig { deployment = "sanad", seed = 1, demand = 0.6 }
//     r:run(10)
//     r:fault("outage", "", 60) -- kinds: see Rig::fault in rig.h
//     r:run(70)
//     assert(next(r:violations()) == nil)
#include "rig.h"

#include <cstdio>
#include <lua.hpp>

using namespace turmericwing;
using namespace turmericwing::scenario;

namespace {

Duration fromSeconds(double s) { return Duration(static_cast<int64_t>(s * 1e6)); }

Rig& self(lua_State* lua) { return **static_cast<Rig**>(luaL_checkudata(lua, 1, "rig")); }

int newRig(lua_State* lua)
{
    Setup setup;
    const auto text = [&](const char* name, const std::string& otherwise) {
        lua_getfield(lua, 1, name);
        const std::string value = luaL_optstring(lua, -1, otherwise.c_str());
        lua_pop(lua, 1);
        return value;
    };
    setup.deployment_ = text("deployment", setup.deployment_);
    setup.seed_ = std::stoull(text("seed", "1"));
    setup.demand_ = std::stod(text("demand", "0.6"));
    setup.maxTimeoutMs_ = static_cast<uint32_t>(std::stoul(text("max_timeout_ms", "5000")));
    const std::string policy = text("policy", "project");
    setup.policy_ = policy == "round-robin" ? Policy::RoundRobin
        : policy == "least-in-flight"       ? Policy::LeastInFlight
                                            : Policy::Project;
    const std::string broken = text("without", "");
    setup.breakGrants_ = broken == "grants";
    setup.breakLease_ = broken == "lease";
    setup.breakSlots_ = broken == "slots";
    setup.breakMoves_ = broken == "moves";
    *static_cast<Rig**>(lua_newuserdatauv(lua, sizeof(Rig*), 0)) = new Rig(setup);
    luaL_setmetatable(lua, "rig");
    return 1;
}

int freeRig(lua_State* lua)
{
    delete &self(lua);
    return 0;
}

int run(lua_State* lua)
{
    self(lua).run(fromSeconds(luaL_checknumber(lua, 2)));
    return 0;
}

int fault(lua_State* lua)
{
    if (!self(lua).fault(
            luaL_checkstring(lua, 2), luaL_optstring(lua, 3, ""), fromSeconds(luaL_optnumber(lua, 4, 0))))
        return luaL_error(lua, "unknown fault %s", lua_tostring(lua, 2));
    return 0;
}

int demand(lua_State* lua)
{
    self(lua).demand(luaL_checkstring(lua, 2), luaL_checknumber(lua, 3));
    return 0;
}

int reset(lua_State* lua)
{
    self(lua).resetCounts();
    return 0;
}

int stat(lua_State* lua)
{
    lua_pushnumber(lua, self(lua).stat(luaL_checkstring(lua, 2), luaL_optstring(lua, 3, "")));
    return 1;
}

int names(lua_State* lua)
{
    lua_newtable(lua);
    lua_Integer i = 0;
    for (const std::string& name : self(lua).names(luaL_checkstring(lua, 2))) {
        lua_pushstring(lua, name.c_str());
        lua_rawseti(lua, -2, ++i);
    }
    return 1;
}

int violations(lua_State* lua)
{
    lua_newtable(lua);
    for (const auto& [invariant, what] : self(lua).violations()) {
        lua_pushstring(lua, what.c_str());
        lua_setfield(lua, -2, invariant.c_str());
    }
    return 1;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 2) {
        std::fprintf(stderr, "usage: scenario FILE.lua [ARGUMENT...]\n");
        return 2;
    }
    lua_State* lua = luaL_newstate();
    luaL_openlibs(lua);
    const luaL_Reg methods[]
        = { { "run", run }, { "fault", fault }, { "demand", demand }, { "reset", reset }, { "stat", stat },
              { "names", names }, { "violations", violations }, { "__gc", freeRig }, { nullptr, nullptr } };
    luaL_newmetatable(lua, "rig");
    luaL_setfuncs(lua, methods, 0);
    lua_pushvalue(lua, -1);
    lua_setfield(lua, -2, "__index");
    lua_register(lua, "rig", newRig);
    lua_newtable(lua);
    for (int i = 2; i < argc; ++i) {
        lua_pushstring(lua, argv[i]);
        lua_rawseti(lua, -2, i - 1);
    }
    lua_setglobal(lua, "arg");
    const bool failed = luaL_dofile(lua, argv[1]) != LUA_OK;
    if (failed)
        std::fprintf(stderr, "%s\n", lua_tostring(lua, -1));
    lua_close(lua);
    return failed ? 1 : 0;
}
