# aq_package(NAME SOURCES file... [DEPENDS target...])
# Declares the static library of one package, aq_NAME, whose public headers
# are in Include/.
function(aq_package name)
  cmake_parse_arguments(P "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(aq_${name} STATIC ${P_SOURCES})
  target_include_directories(aq_${name} PUBLIC
                             ${CMAKE_CURRENT_SOURCE_DIR}/Include
                             PRIVATE ${CMAKE_CURRENT_SOURCE_DIR})
  target_link_libraries(aq_${name} PUBLIC ${P_DEPENDS})
endfunction()

# aq_test(NAME SOURCES file... DEPENDS target... [ARGS argument...])
# Declares the program test_NAME and the CTest test NAME, which runs it with
# the arguments and passes when its exit status is 0.
function(aq_test name)
  cmake_parse_arguments(T "" "" "SOURCES;DEPENDS;ARGS" ${ARGN})
  if(NOT AQ_TESTS)
    return()
  endif()
  add_executable(test_${name} ${T_SOURCES})
  target_include_directories(test_${name} PRIVATE
                             ${CMAKE_CURRENT_SOURCE_DIR})
  target_link_libraries(test_${name} PRIVATE ${T_DEPENDS}
                        PkgConfig::CUNIT)
  add_test(NAME ${name} COMMAND test_${name} ${T_ARGS})
  set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()
