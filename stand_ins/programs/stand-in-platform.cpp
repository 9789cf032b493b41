#include "stand_ins/platform_server.hpp"

int main(int argc, char** argv)
{
    return tarragontrail::stand_ins::run_program<tarragontrail::stand_ins::platform_server>(
        tarragontrail::config::load_platform_settings, argc, argv);
}
