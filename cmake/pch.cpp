#include "cmake/pch.h"
