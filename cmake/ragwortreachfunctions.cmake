# Adds the static library NAME and installs it as a CMake package of its own, ragwortreach-NAME. SOURCES lists its
# source files, DEPENDS the libraries that users of its headers need as well, PRIVATE_DEPENDS those that only its
# implementation needs.
function(ragwortreach_add_library name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;PRIVATE_DEPENDS" ${ARGN})
    add_library(${name} STATIC ${ARG_SOURCES})
    add_library(ragwortreach::${name} ALIAS ${name})
    set_target_properties(${name} PROPERTIES OUTPUT_NAME ragwortreach-${name})
    target_include_directories(${name} PUBLIC
        $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/src/libs>
        $<INSTALL_INTERFACE:include/ragwortreach>)
    target_compile_options(${name} PRIVATE -Wall -Wextra -Wpedantic -Werror)
    target_link_libraries(${name} PUBLIC ${ARG_DEPENDS} PRIVATE ${ARG_PRIVATE_DEPENDS})
    set(package ragwortreach-${name})
    install(TARGETS ${name} EXPORT ${package}-targets ARCHIVE DESTINATION lib COMPONENT ${name})
    install(DIRECTORY . DESTINATION include/ragwortreach/${name} COMPONENT ${name} FILES_MATCHING PATTERN "*.h")
    install(EXPORT ${package}-targets NAMESPACE ragwortreach:: FILE ${package}-config.cmake
        DESTINATION lib/cmake/${package} COMPONENT ${name})
endfunction()

# Adds the program NAME from SOURCES, linked to DEPENDS. NO_INSTALL leaves it out of the installation.
function(ragwortreach_add_program name)
    cmake_parse_arguments(ARG "NO_INSTALL" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_compile_options(${name} PRIVATE -Wall -Wextra -Wpedantic -Werror)
    target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
    if(NOT ARG_NO_INSTALL)
        install(TARGETS ${name} RUNTIME DESTINATION bin COMPONENT ${name})
    endif()
endfunction()

# Adds the test program NAME from SOURCES and registers it with CTest.
# RapidCheck gets a fixed seed, so that each run tests the same cases.
function(ragwortreach_add_test name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_compile_options(${name} PRIVATE -Wall -Wextra -Wpedantic -Werror)
    target_link_libraries(${name} PRIVATE testmain Catch2::Catch2 ${RAPIDCHECK_LIBRARY} ${ARG_DEPENDS})
    add_test(NAME ${name} COMMAND ${name})
    set_tests_properties(${name} PROPERTIES
        ENVIRONMENT "RC_PARAMS=seed=20261204 max_success=200;RAGWORTREACH_SOURCE_DIR=${PROJECT_SOURCE_DIR};RAGWORTREACH_BUILD_DIR=${PROJECT_BINARY_DIR}"
        TIMEOUT 300)
endfunction()
