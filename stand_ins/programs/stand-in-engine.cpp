#include "stand_ins/engine_server.hpp"

int main(int argc, char** argv)
{
    return tarragontrail::stand_ins::run_program<tarragontrail::stand_ins::engine_server>(
        tarragontrail::config::load_engine_settings, argc, argv);
}
