#include "stand_ins/service_server.hpp"

int main(int argc, char** argv)
{
    return tarragontrail::stand_ins::run_program<tarragontrail::stand_ins::service_server>(
        tarragontrail::config::load_service_settings, argc, argv);
}
