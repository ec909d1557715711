# celerykeel_generated(<dir>): the committed protobuf code.
function(celerykeel_generated dir)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/${dir}/celerykeel/*.pb.cc)
  add_library(celerykeel_gen STATIC ${sources})
  target_include_directories(celerykeel_gen SYSTEM PUBLIC ${CMAKE_SOURCE_DIR}/${dir})
  target_link_libraries(celerykeel_gen PUBLIC protobuf::libprotobuf)
endfunction()

# celerykeel_module(<name> [DIR <dir>] LINK <targets> [TESTING <sources>]): sources of src/celerykeel/<name>
# as a library, its *_unittest.cc as one test program, and each *_main.cc as a
# program named after the file (gate_main.cc -> celerykeel-gate,
# standin_engine_main.cc -> standin-engine).
function(celerykeel_module name)
  cmake_parse_arguments(arg "" "DIR" "LINK;TESTING" ${ARGN})
  set(dir ${CMAKE_SOURCE_DIR}/src/celerykeel/${name})
  if(arg_DIR)
    set(dir ${CMAKE_SOURCE_DIR}/${arg_DIR})
  endif()
  file(GLOB sources CONFIGURE_DEPENDS ${dir}/*.cc)
  set(tests ${sources})
  set(mains ${sources})
  list(FILTER sources EXCLUDE REGEX "(_unittest|_main)\\.cc$")
  list(FILTER tests INCLUDE REGEX "_unittest\\.cc$")
  list(FILTER mains INCLUDE REGEX "_main\\.cc$")

  if(sources)
    add_library(celerykeel_${name} STATIC ${sources})
    celerykeel_warnings(celerykeel_${name})
    set(scope PUBLIC)
  else()
    add_library(celerykeel_${name} INTERFACE)
    set(scope INTERFACE)
  endif()
  target_include_directories(celerykeel_${name} ${scope} ${CMAKE_SOURCE_DIR}/include ${CMAKE_SOURCE_DIR}/src
    ${CMAKE_SOURCE_DIR})
  target_link_libraries(celerykeel_${name} ${scope} ${arg_LINK} Threads::Threads)

  foreach(main ${mains})
    get_filename_component(program ${main} NAME_WE)
    string(REGEX REPLACE "_main$" "" program ${program})
    string(REPLACE "_" "-" program ${program})
    if(NOT program MATCHES "^(standin-|celerykeelctl$)")
      set(program celerykeel-${program})
    endif()
    add_executable(${program} ${main})
    celerykeel_warnings(${program})
    target_link_libraries(${program} PRIVATE celerykeel_${name})
  endforeach()

  if(tests AND CELERYKEEL_PARTS STREQUAL "all")
    add_executable(celerykeel_${name}_unittests ${tests} ${arg_TESTING}
      ${CMAKE_SOURCE_DIR}/src/celerykeel/testing/doctest_main.cc)
    celerykeel_warnings(celerykeel_${name}_unittests)
    target_link_libraries(celerykeel_${name}_unittests PRIVATE celerykeel_${name} doctest::doctest rapidcheck)
    add_test(NAME ${name} COMMAND celerykeel_${name}_unittests)
  endif()
endfunction()

# celerykeel_examples(): one program for each examples/<module>/<thing>.cc.
function(celerykeel_examples)
  file(GLOB examples CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/examples/*/*.cc)
  foreach(example ${examples})
    get_filename_component(thing ${example} NAME_WE)
    get_filename_component(module_dir ${example} DIRECTORY)
    get_filename_component(module ${module_dir} NAME)
    add_executable(example-${module}-${thing} ${example})
    celerykeel_warnings(example-${module}-${thing})
    target_link_libraries(example-${module}-${thing} PRIVATE celerykeel_${module})
    add_test(NAME example-${module}-${thing} COMMAND example-${module}-${thing})
  endforeach()
endfunction()

# celerykeel_version(<module> <file>): tells one source the version and commit.
function(celerykeel_version module file)
  execute_process(COMMAND git -C ${CMAKE_SOURCE_DIR} rev-parse --short HEAD
    OUTPUT_VARIABLE commit OUTPUT_STRIP_TRAILING_WHITESPACE ERROR_QUIET)
  set_source_files_properties(${CMAKE_SOURCE_DIR}/src/celerykeel/${module}/${file} PROPERTIES
    COMPILE_DEFINITIONS "CELERYKEEL_VERSION=\"${PROJECT_VERSION}\";CELERYKEEL_COMMIT=\"${commit}\"")
endfunction()
