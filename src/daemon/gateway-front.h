// The gateway front of the daemon, in front of the users' platform.
#pragma once

#include <string>

/// Runs until a graceful stop. Returns the exit status.
int runGateway(const std::string& settingsPath);
