# Helpers that declare the libraries and tests of the project, and the compiler options that they share.

add_library(turmericwing_options INTERFACE)
target_include_directories(turmericwing_options INTERFACE ${CMAKE_SOURCE_DIR}/include)
# Designated initialisers omit members intentionally.
target_compile_options(turmericwing_options INTERFACE
    -Wall -Wextra -Wpedantic -Wshadow -Wzero-as-null-pointer-constant -Werror -Wno-missing-field-initializers
    # g++ 12 reports overlapping copies inside std::string concatenations that cannot overlap (GCC bug 105651).
    -Wno-restrict)
if(TURMERICWING_SANITIZE)
    target_compile_options(turmericwing_options INTERFACE
        -fsanitize=${TURMERICWING_SANITIZE} -fno-sanitize-recover=all -fno-omit-frame-pointer)
    target_link_options(turmericwing_options INTERFACE -fsanitize=${TURMERICWING_SANITIZE})
endif()

# tw_library(NAME SOURCES a.cc DEPS base): library target turmericwing_NAME from the current directory.
function(tw_library name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
    add_library(turmericwing_${name} STATIC ${ARG_SOURCES})
    target_link_libraries(turmericwing_${name} PUBLIC turmericwing_options ${ARG_DEPS})
endfunction()

# tw_test(NAME SOURCES x-test.cc DEPS turmericwing_x [ARGS -tce=...]): one doctest program, registered with CTest.
function(tw_test name)
    if(TURMERICWING_GATEWAY_ONLY)
        return()
    endif()
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPS;ARGS" ${ARGN})
    add_executable(${name}-test ${ARG_SOURCES} ${CMAKE_SOURCE_DIR}/test/doctest-main.cc)
    target_link_libraries(${name}-test PRIVATE turmericwing_options ${ARG_DEPS})
    add_test(NAME ${name} COMMAND ${name}-test ${ARG_ARGS} WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
    set_tests_properties(${name} PROPERTIES TIMEOUT 120)
endfunction()
