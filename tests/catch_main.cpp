// Defines the main function that all test programs share.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
