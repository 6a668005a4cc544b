# Defines one library of the workspace from all sources in its folder.
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

# Defines one object library of self-registering plug-ins. An object library is
# linked whole; a static one would lose the registrations that nothing refers to.
function(apricotwheel_plugins name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  set(target apricotwheel_${name})
  add_library(${target} OBJECT ${sources})
  target_link_libraries(${target} PUBLIC ${ARG_DEPENDS} Threads::Threads)
endfunction()

# Defines one Boost.Test program per *_test.cc file of the current folder.
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
    # Two cells of processes at once slow each other down past the time in which
    # a cell of the stated size settles.
    if(prefix MATCHES "^faults")
      set_tests_properties(${prefix}/${stem} PROPERTIES RESOURCE_LOCK cell)
    endif()
  endforeach()
endfunction()
