// Gateway front of turmericwingd: a gateway with the interface of the users' platform.
#pragma once

#include <string>

/// Runs the gateway until a graceful stop. Returns the exit status: 0 after the stop, 1 if the settings are
/// invalid, 3 if an address cannot be bound.
int runGateway(const std::string& settingsPath);
