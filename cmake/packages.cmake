# Defines a library from all sources of the current folder, or an interface
# library if the folder has only headers.
# Usage: apricotwheel_package(NAME [DEPENDS target...])
function(apricotwheel_package name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  set(target apricotwheel_${name})
  if(sources)
    add_library(${target} STATIC ${sources})
    target_include_directories(${target} PUBLIC ${PROJECT_SOURCE_DIR}/src)
    target_link_libraries(${target} PUBLIC ${ARG_DEPENDS} Threads::Threads)
  else()
    add_library(${target} INTERFACE)
    target_include_directories(${target} INTERFACE ${PROJECT_SOURCE_DIR}/src)
    target_link_libraries(${target} INTERFACE ${ARG_DEPENDS} Threads::Threads)
  endif()
endfunction()

# Defines an object library of self-registering plug-ins. The linker would drop
# objects of a static library that no symbol refers to, and their registrations.
function(apricotwheel_plugins name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  set(target apricotwheel_${name})
  add_library(${target} OBJECT ${sources})
  target_link_libraries(${target} PUBLIC ${ARG_DEPENDS} Threads::Threads)
endfunction()

# Defines a Boost.Test program for each *_test.cc file of the current folder.
# Usage: apricotwheel_tests(PREFIX [DEPENDS target...])
function(apricotwheel_tests prefix)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*_test.cc)
  foreach(source ${tests})
    get_filename_component(stem ${source} NAME_WE)
    set(target ${prefix}_${stem})
    add_executable(${target} ${source})
    target_compile_definitions(${target} PRIVATE BOOST_TEST_DYN_LINK
      BOOST_TEST_MODULE=${stem})
    target_link_libraries(${target} PRIVATE ${ARG_DEPENDS}
      Boost::unit_test_framework)
    target_include_directories(${target} PRIVATE ${PROJECT_SOURCE_DIR})
    add_test(NAME ${prefix}/${stem} COMMAND ${target})
    set_tests_properties(${prefix}/${stem} PROPERTIES TIMEOUT 300)
    # Fault tests start a cell of processes. Two cells at once slow each other
    # down so much that they miss the time limits of the tests.
    if(prefix MATCHES "^faults")
      set_tests_properties(${prefix}/${stem} PROPERTIES RESOURCE_LOCK cell)
    endif()
  endforeach()
endfunction()
