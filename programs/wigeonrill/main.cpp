#include "wigeonrill/tool.h"

int main(int argc, char** argv) {
    return wigeonrill::tool::run(argc, argv);
}
