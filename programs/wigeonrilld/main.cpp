#include "wigeonrill/daemon.h"

int main(int argc, char** argv) {
    return wigeonrill::daemon::run(argc, argv);
}
