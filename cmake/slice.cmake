# Build rules shared by all slices.

add_library(skylarkwing_options INTERFACE)
target_compile_options(skylarkwing_options INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Werror)
target_compile_definitions(
  skylarkwing_options INTERFACE BOOST_ASIO_NO_DEPRECATED BOOST_LOG_DYN_LINK
                                BOOST_TEST_DYN_LINK
                                SKYLARKWING_VERSION="${PROJECT_VERSION}")
target_include_directories(skylarkwing_options INTERFACE "${CMAKE_SOURCE_DIR}")
# All third-party libraries are linked here and not by slice, because a precompiled header serves only
# files that are compiled with the same definitions.
target_link_libraries(
  skylarkwing_options
  INTERFACE Threads::Threads Boost::log Boost::log_setup Boost::url nlohmann_json::nlohmann_json
            nng::nng prometheus-cpp::core)
# GCC 12 reports false positives inside Asio's coroutine frames.
target_compile_options(
  skylarkwing_options INTERFACE -Wno-maybe-uninitialized -Wno-mismatched-new-delete)

# One precompiled header serves every slice, because Asio and Beast cost seconds in each file.
add_library(skylarkwing_pch STATIC "${CMAKE_SOURCE_DIR}/cmake/pch.cpp")
target_link_libraries(skylarkwing_pch PUBLIC skylarkwing_options)
target_precompile_headers(skylarkwing_pch PRIVATE "${CMAKE_SOURCE_DIR}/cmake/pch.h")

# Declares the library of the slice in folder NAME, with every .cpp file in that folder, and its
# test program with every .cpp file in NAME/tests.
function(skylarkwing_slice NAME)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS "${CMAKE_SOURCE_DIR}/${NAME}/*.cpp")
  set(target skylarkwing_${NAME})
  set(dependencies)
  foreach(dependency IN LISTS ARG_DEPENDS)
    list(APPEND dependencies skylarkwing_${dependency})
  endforeach()
  if(sources)
    add_library(${target} STATIC ${sources})
    target_link_libraries(${target} PUBLIC skylarkwing_options ${dependencies})
    target_precompile_headers(${target} REUSE_FROM skylarkwing_pch)
  else()
    add_library(${target} INTERFACE)
    target_link_libraries(${target} INTERFACE skylarkwing_options ${dependencies})
  endif()
  file(GLOB tests CONFIGURE_DEPENDS "${CMAKE_SOURCE_DIR}/${NAME}/tests/*.cpp")
  if(SKYLARKWING_TESTS AND tests)
    add_executable(${NAME}_tests ${tests} "${CMAKE_SOURCE_DIR}/cmake/test_main.cpp")
    target_compile_definitions(
      ${NAME}_tests PRIVATE SKYLARKWING_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
    target_link_libraries(${NAME}_tests PRIVATE ${target} Boost::unit_test_framework rapidcheck)
    target_precompile_headers(${NAME}_tests REUSE_FROM skylarkwing_pch)
    add_test(NAME ${NAME} COMMAND ${NAME}_tests --log_level=test_suite)
    # A fixed seed gives the same verdict on every run; RC_PARAMS overrides it in a search.
    set_tests_properties(${NAME} PROPERTIES TIMEOUT 300 ENVIRONMENT "RC_PARAMS=seed=20261204")
  endif()
endfunction()
