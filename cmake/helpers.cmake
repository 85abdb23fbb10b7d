# Sets the warning and sanitizer flags of a target.
function(apricotstep_flags target)
    target_compile_options(${target} PRIVATE -Wall -Wextra -Werror -Wno-missing-field-initializers)
    if(APRICOTSTEP_SANITIZE)
        # GCC's sanitizer passes hide initializations from -Wmaybe-uninitialized, which then warns inside library headers.
        target_compile_options(${target} PRIVATE -fsanitize=${APRICOTSTEP_SANITIZE} -fno-omit-frame-pointer -Wno-maybe-uninitialized)
        target_link_options(${target} PUBLIC -fsanitize=${APRICOTSTEP_SANITIZE})
    endif()
endfunction()

# Adds the static library apricotstep_<name> of a layer from the sources of its folder. Further arguments are the libraries it links.
function(apricotstep_layer name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_library(apricotstep_${name} STATIC ${sources})
    target_include_directories(apricotstep_${name} PUBLIC ${PROJECT_SOURCE_DIR})
    target_link_libraries(apricotstep_${name} PUBLIC ${ARGN})
    apricotstep_flags(apricotstep_${name})
endfunction()

# Adds the test program of a layer from all sources of tests/<name>. Further arguments are the libraries it links.
function(apricotstep_test name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${name}/*.cpp)
    add_executable(test_${name} ${sources})
    target_include_directories(test_${name} PRIVATE ${PROJECT_SOURCE_DIR})
    target_link_libraries(test_${name} PRIVATE ${ARGN} PkgConfig::CRITERION)
    apricotstep_flags(test_${name})
    add_test(NAME ${name} COMMAND test_${name} --jobs 4 --filter "!(knownred)/*")
    set_tests_properties(${name} PROPERTIES TIMEOUT 300 LABELS unit)
    add_dependencies(unit_tests test_${name})
endfunction()
